/**
 * Retries the reads without which a new holder of a duty cannot start.
 *
 * @module
 */
import { delay, type Result } from '@quillscale/utils'
import type { PlatformError } from '@quillscale/ports'

/** Short enough that a holder starts soon after the store recovers; at this rate sixteen holders use less than a tenth of the store's reads. */
const RETRY_INTERVAL_MS = 150

/**
 * Repeats a read until the store answers.
 *
 * @param read - makes one attempt
 * @param signal - aborts the attempts
 * @returns the result of the read, `undefined` if aborted
 * @public
 */
export async function retryUntilAnswered<T> (read: () => Promise<Result<T, PlatformError>>, signal: AbortSignal): Promise<T | undefined> {
  while (!signal.aborted) {
    const answer = await read()
    if (answer.ok) return answer.val
    await delay(RETRY_INTERVAL_MS, signal)
  }
  return undefined
}
