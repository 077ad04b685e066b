/**
 * Waits longer after each failure.
 *
 * @module
 */
import { delay } from './delay.js'

const BASE_DELAY_MS = 100
const MAX_DELAY_FACTOR = 16

/**
 * Waits before another try: twice as long each time, and each process differently, so that none returns with the others.
 *
 * @param attempt - how many tries have failed
 * @param signal - ends the wait early
 * @public
 */
export async function backOff (attempt: number, signal: AbortSignal): Promise<void> {
  const delayMs = BASE_DELAY_MS * Math.min(MAX_DELAY_FACTOR, 2 ** attempt)
  await delay(delayMs * (0.5 + Math.random()), signal)
}
