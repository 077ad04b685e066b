/**
 * Utilities shared by all packages.
 *
 * @module
 */
export { assert, AssertionError } from './lib/assert.js'
export { exhaustiveSwitchError } from './lib/exhaustiveSwitchError.js'
export { Ok, Err, type Result } from './lib/Result.js'
export { createClock, systemClock, type Clock, type ClockSources } from './lib/Clock.js'
export { rendezvousScore, rendezvousOrder, rendezvousOwner, hash32 } from './lib/rendezvous.js'
export { SeededRandom } from './lib/SeededRandom.js'
export { backOff } from './lib/backOff.js'
export { delay } from './lib/delay.js'
export { listen } from './lib/listen.js'
export { decodeJson, type DecodeProblem } from './lib/decodeJson.js'
export { largestOf, smallestOf } from './lib/largestOf.js'
