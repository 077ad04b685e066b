/**
 * Publishes how much memory the jobs of a service take, so that hosts accept no more than its holder can keep.
 *
 * @module
 */
import { hasEnded, memoryOfJob, type Job } from '@quillscale/policy'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import { jobMemoryKey } from '../records/storeKeys.js'
import { encodeJobMemory, type JobMemoryRecord } from './jobMemoryRecord.js'

/** Dependencies of a {@link JobMemoryPublisher}. @public */
export interface JobMemoryPublisherOptions {
  readonly service: string
  /** Tells whether the store has a record of it, as far as this host knows. */
  readonly hasJobMemoryRecord?: (() => boolean) | undefined
  /** Writes a record to the store, without delay if it is urgent. */
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
}

const INTERVAL_MS = 150
/** A service that takes less has no record, and is not counted: most have some jobs at any time, and each change of a record is an event for all hosts. */
export const LEAST_RECORDED_BYTES = 2 * 1024 * 1024
/** Changes by a smaller part are not written. */
export const NOTICEABLE_SHARE = 0.1
/** Accounts in a record; those beyond take less than each of these. */
const MAX_ACCOUNTS = 16

/** Writes the memory of the jobs of a service while it matters, and removes it afterwards. @public */
export class JobMemoryPublisher {
  readonly #options: JobMemoryPublisherOptions
  readonly #bytesOf = new WeakMap<Job, number>()
  #computedMs = -Infinity
  #writtenBytes = 0

  /** @param options - dependencies */
  constructor (options: JobMemoryPublisherOptions) {
    this.#options = options
  }

  /** Writes or removes the record if that is due. @param jobs - jobs of the service @param nowMs - monotonic time */
  write (jobs: readonly Job[], nowMs: number): void {
    if (nowMs - this.#computedMs < INTERVAL_MS) return
    this.#computedMs = nowMs
    const { service, put, hasJobMemoryRecord } = this.#options
    const record = this.#measure(jobs)
    const isNeeded = record.allBytes >= LEAST_RECORDED_BYTES
    if (!isNeeded && this.#writtenBytes === 0 && hasJobMemoryRecord?.() !== true) return
    const wantedBytes = isNeeded ? record.allBytes : 0
    if (isNeeded && Math.abs(wantedBytes - this.#writtenBytes) < wantedBytes * NOTICEABLE_SHARE) return
    this.#writtenBytes = wantedBytes
    put(jobMemoryKey(service), () => isNeeded ? encodeJobMemory(record) : undefined, true)
  }

  #measure (jobs: readonly Job[]): JobMemoryRecord {
    const byAccount = new Map<string, number>()
    let allBytes = 0
    for (const job of jobs) {
      if (hasEnded(job)) continue
      const bytes = this.#bytesOf.get(job) ?? memoryOfJob(job.spec)
      this.#bytesOf.set(job, bytes)
      const account = job.spec.owner?.account ?? ''
      byAccount.set(account, (byAccount.get(account) ?? 0) + bytes)
      allBytes += bytes
    }
    return { allBytes, accounts: [...byAccount].sort((a, b) => b[1] - a[1]).slice(0, MAX_ACCOUNTS) }
  }
}
