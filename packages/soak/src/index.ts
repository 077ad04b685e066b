/**
 * Seeded fault soak of the program that runs on the users' platform.
 *
 * @module
 */
export { runSoak, type SoakOptions, type SoakResult } from './lib/runSoak.js'
export { checkPromises, PROMISES, type BrokenPromise } from './lib/checkPromises.js'
