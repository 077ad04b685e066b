/**
 * Opens the log of a new holder, after the last transaction of the one before.
 *
 * @module
 */
import { FencedBatchWriter, readDutyRevision, type FencedBatchWriterOptions } from './FencedBatchWriter.js'
import { retryUntilAnswered } from './retryUntilAnswered.js'

/**
 * @param options - where and under which duty
 * @param signal - ends the tries
 * @returns the log, `undefined` once the signal has ended the tries
 * @public
 */
export async function openFencedBatchWriter (
  options: Omit<FencedBatchWriterOptions, 'chainRevision' | 'previousDutyRevision'>, signal: AbortSignal
): Promise<FencedBatchWriter | undefined> {
  const { store, chainKey } = options
  const chain = await retryUntilAnswered(
    async () => (await store.get(chainKey)).map((item) => ({ revision: item?.modRevision ?? 0, value: item?.value })), signal
  )
  if (chain === undefined) return undefined
  return new FencedBatchWriter({ ...options, chainRevision: chain.revision, previousDutyRevision: readDutyRevision(chain.value) })
}
