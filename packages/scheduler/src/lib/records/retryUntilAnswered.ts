/**
 * Reads of which a new holder cannot do without the answer.
 *
 * @module
 */
import { delay, type Result } from '@quillscale/utils'
import type { PlatformError } from '@quillscale/ports'

/** Between tries: a holder should begin soon after the store is back, and sixteen of them stay below a tenth of its reads. */
const RETRY_MS = 150

/**
 * Asks the store until it has answered.
 *
 * @param read - one try
 * @param signal - ends the tries
 * @returns what was read, `undefined` once the signal has ended them
 * @public
 */
export async function retryUntilAnswered<T> (read: () => Promise<Result<T, PlatformError>>, signal: AbortSignal): Promise<T | undefined> {
  while (!signal.aborted) {
    const answer = await read()
    if (answer.ok) return answer.val
    await delay(RETRY_MS, signal)
  }
  return undefined
}
