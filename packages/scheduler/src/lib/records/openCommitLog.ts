/**
 * Opens the log of a new holder, after the last transaction of the one before.
 *
 * @module
 */
import { CommitLog, readDutyRevision, type CommitLogOptions } from './CommitLog.js'
import { untilAnswered } from './untilAnswered.js'

/**
 * @param options - where and under which duty
 * @param signal - ends the tries
 * @returns the log, `undefined` once the signal has ended the tries
 * @public
 */
export async function openCommitLog (options: Omit<CommitLogOptions, 'chainRevision' | 'formerDutyRevision'>, signal: AbortSignal): Promise<CommitLog | undefined> {
  const { store, chainKey } = options
  const chain = await untilAnswered(async () => (await store.get(chainKey)).map((item) => ({ revision: item?.modRevision ?? 0, value: item?.value })), signal)
  if (chain === undefined) return undefined
  return new CommitLog({ ...options, chainRevision: chain.revision, formerDutyRevision: readDutyRevision(chain.value) })
}
