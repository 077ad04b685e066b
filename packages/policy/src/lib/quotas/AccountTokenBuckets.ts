/**
 * Tells which jobs an account sends beyond its share, in the order in which they came.
 *
 * What it answers: one account floods a queue with many times its usual. Without a measure its jobs take the room of everybody's; with it they
 * go after all that others are owed, and still run where there is room.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'

/** An account may send its share of so long at once: clients are not even within a second. */
const BURST_S = 1
const MS_PER_S = 1000

interface TokenBucket { jobs: number, atMs: number }

/** The meter. @public */
export class AccountTokenBuckets {
  readonly #buckets = new Map<AccountName, TokenBucket>()

  /**
   * Counts a job.
   *
   * @param account - that sent it
   * @param weight - jobs a second that are the account's share
   * @param atMs - time of day when it was accepted; a job that was accepted before one that is counted already is taken for as late
   * @returns whether it is beyond the share
   */
  isOverShare (account: AccountName, weight: number, atMs: number): boolean {
    const most = Math.max(1, weight * BURST_S)
    const bucket = this.#buckets.get(account) ?? { jobs: most, atMs }
    this.#buckets.set(account, bucket)
    bucket.jobs = Math.min(most, bucket.jobs + weight * Math.max(0, atMs - bucket.atMs) / MS_PER_S)
    bucket.atMs = Math.max(bucket.atMs, atMs)
    if (bucket.jobs < 1) return true
    bucket.jobs--
    return false
  }
}
