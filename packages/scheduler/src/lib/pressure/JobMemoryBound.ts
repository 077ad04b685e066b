/**
 * Refuses jobs for which the hosts have no memory left, from the watch of the duties that each host has anyway.
 *
 * One host may come to hold the duties of all services, so the jobs of all of them count together.
 *
 * @module
 */
import { fitsMemory, memoryOfJob, type JobMemoryUse, type JobSpec } from '@quillscale/policy'
import type { PrefixChange } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'
import type { RecordReader } from '../records/RecordReader.js'
import { JOB_MEMORY_PREFIX, jobMemoryKey } from '../records/storeKeys.js'
import { decodeJobMemory, type JobMemoryRecord } from './jobMemoryRecord.js'

/** Dependencies of a {@link JobMemoryBound}. @public */
export interface JobMemoryBoundOptions {
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly records: RecordReader
  /** Memory that the jobs of all services may take on a host. */
  readonly mostBytes: number
}

/** Why a job is refused. @public */
export interface JobMemoryRefusal extends JobMemoryUse {
  readonly jobBytes: number
  readonly mostBytes: number
  /** When the caller may return, in whole seconds. */
  readonly retryAfterMs: number
}

/** A job that this host has accepted, which the record of its service may not count yet. */
interface AcceptedJob { readonly atMs: number, readonly account: string, readonly bytes: number }

/** A record counts a job after the interval at which it is written, and is known after the time that a silent watch goes unnoticed. */
const ACCEPTED_MS = 4500
const RETRY_AFTER_MS = 5000
const BYTES_PER_MB = 1024 * 1024

/** Tracks the memory of the jobs of all services, and decides about new ones. @public */
export class JobMemoryBound {
  readonly #options: JobMemoryBoundOptions
  /** `undefined` for a record that cannot be read. */
  readonly #records = new Map<string, JobMemoryRecord | undefined>()
  /** Ordered by time. */
  #accepted: AcceptedJob[] = []

  /** @param options - dependencies */
  constructor (options: JobMemoryBoundOptions) {
    this.#options = options
    options.metrics.gauge('job_memory_mb', () => [...this.#records.values()].reduce((sum, record) => sum + (record?.allBytes ?? 0), 0) / BYTES_PER_MB)
  }

  /** Applies changes of the keys of duties. @param change - the changes */
  apply ({ changed, removed }: PrefixChange): void {
    for (const key of removed) this.#records.delete(key)
    for (const item of changed) {
      if (item.key.startsWith(JOB_MEMORY_PREFIX)) this.#records.set(item.key, this.#options.records.read(item, decodeJobMemory))
    }
  }

  /** @param service - a service @returns whether the store has a record of the memory of its jobs */
  hasRecord (service: string): boolean {
    return this.#records.has(jobMemoryKey(service))
  }

  /**
   * Decides about a job.
   *
   * @param spec - the job
   * @param nowMs - monotonic time
   * @returns the reasons to refuse it, `undefined` to accept it
   */
  decide (spec: JobSpec, nowMs: number): JobMemoryRefusal | undefined {
    const { mostBytes } = this.#options
    const jobBytes = memoryOfJob(spec)
    const used = this.#used(accountOf(spec), nowMs)
    return fitsMemory(jobBytes, used, mostBytes) ? undefined : { ...used, jobBytes, mostBytes, retryAfterMs: RETRY_AFTER_MS }
  }

  /** Logs and counts a job that is refused. @param spec - the job @param service - its service @param refusal - the reasons */
  report ({ jobId, queue, owner }: JobSpec, service: string, refusal: JobMemoryRefusal): void {
    this.#options.metrics.count('jobs_refused_for_memory', queue)
    this.#options.log.info({ jobId, queue, service, account: owner?.account, ...refusal }, 'job refused: the jobs of all services take too much memory')
  }

  /** Counts a job that this host has accepted. @param spec - the job @param nowMs - monotonic time */
  add (spec: JobSpec, nowMs: number): void {
    this.#accepted.push({ atMs: nowMs, account: accountOf(spec), bytes: memoryOfJob(spec) })
  }

  /** Sums the memory of the jobs of all services. */
  #used (account: string, nowMs: number): JobMemoryUse {
    this.#accepted = this.#accepted.filter(({ atMs }) => nowMs - atMs < ACCEPTED_MS)
    let allBytes = 0
    let accountBytes = 0
    for (const record of this.#records.values()) {
      allBytes += record?.allBytes ?? 0
      if (account !== '') accountBytes += record?.accounts.find(([name]) => name === account)?.[1] ?? 0
    }
    for (const accepted of this.#accepted) {
      allBytes += accepted.bytes
      if (account !== '' && accepted.account === account) accountBytes += accepted.bytes
    }
    return { allBytes, accountBytes }
  }
}

/** The empty name stands for jobs without an account. */
const accountOf = ({ owner }: JobSpec): string => owner?.account ?? ''
