/**
 * Detects jobs beyond the share of their account, by a token bucket per account.
 *
 * Guards against one account that floods a queue with many times its usual load and crowds out the others. Its jobs beyond the share rank
 * after those within other accounts' shares, and still run on spare capacity.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'

/** Burst size, in seconds of the share: clients do not submit evenly within a second. */
const BURST_S = 1
const MS_PER_S = 1000

interface TokenBucket { jobs: number, atMs: number }

/** Keeps a token bucket for each account. @public */
export class AccountTokenBuckets {
  readonly #buckets = new Map<AccountName, TokenBucket>()

  /**
   * Takes a token for a job.
   *
   * @param account - the job's account
   * @param weight - share of the account, in jobs per second
   * @param atMs - wall-clock time of acceptance; a time before the latest one of the account counts as that one
   * @returns whether the job is beyond the share
   */
  isOverShare (account: AccountName, weight: number, atMs: number): boolean {
    const capacity = Math.max(1, weight * BURST_S)
    const bucket = this.#buckets.get(account) ?? { jobs: capacity, atMs }
    this.#buckets.set(account, bucket)
    bucket.jobs = Math.min(capacity, bucket.jobs + weight * Math.max(0, atMs - bucket.atMs) / MS_PER_S)
    bucket.atMs = Math.max(bucket.atMs, atMs)
    if (bucket.jobs < 1) return true
    bucket.jobs--
    return false
  }
}
