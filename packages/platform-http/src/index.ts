/**
 * The platform over HTTP and JSON.
 *
 * @module
 */
export { createHttpPlatform } from './lib/createHttpPlatform.js'
export type { PlatformHttpOptions } from './lib/PlatformClient.js'
export { HttpKeyValueStore } from './lib/HttpKeyValueStore.js'
export { HttpHosts } from './lib/HttpHosts.js'
export { HttpWorkerTasks } from './lib/HttpWorkerTasks.js'
