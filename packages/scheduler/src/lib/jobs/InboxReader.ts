/**
 * Takes jobs, cancels and requests from a service's inbox, and joins jobs with what earlier holders recorded of them.
 *
 * @module
 */
import { decodeJson, type Clock } from '@quillscale/utils'
import type { AccountName, KeyValue, WorkerId } from '@quillscale/ports'
import type { PrefixChange } from '@quillscale/leases'
import { createJob, hasEnded, type JobId, type JobSpec, jobSpecSchema, type Run, AccountTokenBuckets } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { decodeMachineLossReport, type MachineLossReport } from '../machines/machineLossReport.js'
import type { MachineDrainer } from '../machines/MachineDrainer.js'
import type { RecordReader } from '../records/RecordReader.js'
import { CANCEL_VALUE, inboxPrefix, parseInboxKey, progressPrefix } from '../records/storeKeys.js'
import { decodeProgress, restoreProgress } from './jobProgress.js'
import type { JobRegistry } from './JobRegistry.js'

/** What the reader works with. @public */
export interface InboxReaderOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  readonly registry: JobRegistry
  readonly vacator: Pick<MachineDrainer, 'request' | 'withdraw'>
  /** Jobs a second that are an account's share, `undefined` where that is not known. */
  readonly weightOf: (account: AccountName) => number | undefined
  /** Called for each run that an earlier holder placed. */
  readonly onRunRestored: (run: Run) => void
  /** Called when a worker's machine is down or gone. */
  readonly onGone: (workerId: WorkerId, report: MachineLossReport) => void
}

/** The reader. @public */
export class InboxReader {
  readonly #options: InboxReaderOptions
  /** Progress as recorded by earlier holders, until its job is seen in the inbox. */
  readonly #recordedProgress = new Map<JobId, KeyValue>()
  /** Jobs whose progress cannot be read. */
  readonly #setAside = new Map<JobId, JobSpec>()
  readonly #shares = new AccountTokenBuckets()

  /** @param options - what it works with */
  constructor (options: InboxReaderOptions) {
    this.#options = options
  }

  /** @param items - progress of the service's jobs, as earlier holders recorded it */
  loadProgress (items: readonly KeyValue[]): void {
    const prefix = progressPrefix(this.#options.service)
    for (const item of items) this.#recordedProgress.set(item.key.slice(prefix.length) as JobId, item)
  }

  /**
   * Tells whether a job is left as it is. What became of its tasks is not known, so that one which is done or running could be started
   * again: it is neither started nor stopped until it is cancelled.
   *
   * @param jobId - any
   */
  isSetAside (jobId: JobId): boolean {
    return this.#setAside.has(jobId)
  }

  /** @param change - of the inbox */
  applyChange ({ changed, removed }: PrefixChange): void {
    const { service, vacator } = this.#options
    const prefix = inboxPrefix(service)
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'vacate') vacator.request(subject.machineId, item.value)
    }
    for (const arrival of this.#newJobs(changed)) this.#addJob(arrival)
    // These last: a list may bring them before the jobs that they are about.
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'cancel' && item.value === CANCEL_VALUE) this.#cancelJob(subject.jobId)
      else if (subject.kind === 'gone') this.#readMachineDown(subject.workerId, item)
    }
    for (const key of removed) {
      const subject = parseInboxKey(key, prefix)
      if (subject.kind === 'vacate') vacator.withdraw(subject.machineId)
    }
  }

  #readMachineDown (workerId: WorkerId, item: KeyValue): void {
    const report = this.#options.records.read(item, decodeMachineLossReport)
    if (report !== undefined) this.#options.onGone(workerId, report)
  }

  /** New jobs in the order in which they were accepted; a list of the inbox has them by id. */
  #newJobs (changed: readonly KeyValue[]): JobSpec[] {
    const { service, registry: book, records } = this.#options
    const specs = changed.flatMap((item) => {
      const subject = parseInboxKey(item.key, inboxPrefix(service))
      if (subject.kind !== 'job' || book.jobs.has(subject.jobId) || this.#setAside.has(subject.jobId)) return []
      const spec = records.read(item, (text) => decodeJson(jobSpecSchema, text))
      // A record under another job's key is nobody's.
      return spec?.jobId === subject.jobId ? [spec] : []
    })
    return specs.sort((a, b) => a.submittedMs - b.submittedMs)
  }

  #isExcess ({ owner, submittedMs }: JobSpec): boolean {
    const weight = owner === undefined ? undefined : this.#options.weightOf(owner.account)
    return owner !== undefined && weight !== undefined && this.#shares.isOverShare(owner.account, weight, submittedMs)
  }

  #addJob (spec: JobSpec): void {
    const { registry: book, clock, log, records, onRunRestored: onPlaced } = this.#options
    const { jobId } = spec
    const recorded = this.#recordedProgress.get(jobId)
    this.#recordedProgress.delete(jobId)
    const progress = recorded === undefined ? undefined : records.read(recorded, decodeProgress)
    if (recorded !== undefined && progress === undefined) {
      this.#setAside.set(jobId, spec)
      log.warn({ jobId, queue: spec.queue, key: recorded.key, revision: recorded.modRevision }, 'job set aside: what became of its tasks cannot be read')
      return
    }
    const job = createJob(spec)
    job.isOverShare = this.#isExcess(spec)
    if (job.isOverShare) log.info({ jobId, account: spec.owner?.account }, 'job is beyond its account\'s share: others go first')
    book.jobs.set(jobId, job)
    if (progress === undefined) return
    for (const run of restoreProgress(job, progress, clock.monotonicMs())) onPlaced(run)
  }

  #cancelJob (jobId: JobId): void {
    const { registry: book } = this.#options
    const setAside = this.#setAside.get(jobId)
    if (setAside !== undefined) {
      // Its runs are stopped as those that nobody recorded.
      this.#setAside.delete(jobId)
      book.jobs.set(jobId, createJob(setAside))
    }
    const job = book.jobs.get(jobId)
    if (job !== undefined && !hasEnded(job)) book.endJob(job, 'cancelled')
  }
}
