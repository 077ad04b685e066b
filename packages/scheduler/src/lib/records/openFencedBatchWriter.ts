/**
 * Creates the batch writer of a duty's new holder.
 *
 * @module
 */
import { FencedBatchWriter, readDutyRevision, type FencedBatchWriterOptions } from './FencedBatchWriter.js'
import { retryUntilAnswered } from './retryUntilAnswered.js'

/**
 * Creates a writer that continues after the previous holder's last transaction. Reads the chain key until the store answers.
 *
 * @param options - the store, the duty and the chain key to write under
 * @param signal - aborts the attempts
 * @returns the writer, `undefined` if aborted
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
