/**
 * Job ids, workers and placement rounds for tests, also those of other packages.
 *
 * @module
 */
export { createTestWorker, type TestWorker } from './testing/createTestWorker.js'
export { playRound, type PlayedService } from './testing/playRound.js'
export { testJobId } from './testing/testJobId.js'
