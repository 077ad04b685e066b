/**
 * The entry daemon's parts, for tests and benchmarks.
 *
 * @module
 */
export { EntryHost, type EntryHostOptions } from './lib/EntryHost.js'
export type { EntryHostParts } from './lib/EntryHostParts.js'
export { createLogger } from './lib/createLogger.js'
export { parseSettings, readSettings, settingsSchema, type Settings } from './lib/settings.js'
export type { OpenPlatform } from './lib/createPlatform.js'
