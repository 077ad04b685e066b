/**
 * Exponential backoff with jitter.
 *
 * @module
 */
import { delay } from './delay.js'

const BASE_DELAY_MS = 100
const MAX_DELAY_FACTOR = 16

/**
 * Waits before a retry. The delay doubles with each attempt and is randomized, so that processes do not retry all at the same time.
 *
 * @param attempt - the number of doublings of the first delay; 0 for the first retry
 * @param signal - ends the wait early
 * @public
 */
export async function backOff (attempt: number, signal: AbortSignal): Promise<void> {
  const delayMs = BASE_DELAY_MS * Math.min(MAX_DELAY_FACTOR, 2 ** attempt)
  await delay(delayMs * (0.5 + Math.random()), signal)
}
