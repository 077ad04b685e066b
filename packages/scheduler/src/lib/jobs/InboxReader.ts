/**
 * Reads jobs, cancellations and requests from the inbox of a service, and restores the progress that previous duty holders recorded.
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
import { CANCEL_VALUE, inboxPrefix, parseInboxKey, progressKey, progressPrefix } from '../records/storeKeys.js'
import { decodeProgress, joinProgress, restoreProgress } from './jobProgress.js'
import type { JobRegistry } from './JobRegistry.js'

/** Dependencies of an {@link InboxReader}. @public */
export interface InboxReaderOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  readonly registry: JobRegistry
  readonly drainer: Pick<MachineDrainer, 'request' | 'withdraw'>
  /** Returns the number of jobs per second that an account is entitled to; `undefined` if it is not known. */
  readonly weightOf: (account: AccountName) => number | undefined
  /** Called for each run that was placed by a previous duty holder and may still be running. */
  readonly onRunRestored: (run: Run) => void
  /** Called when the machine of a worker is reported as down or removed. */
  readonly onMachineDown: (workerId: WorkerId, report: MachineLossReport) => void
}

/** Applies changes of the inbox of a service to its job registry. @public */
export class InboxReader {
  readonly #options: InboxReaderOptions
  /** Progress records of previous duty holders whose jobs have not been read from the inbox yet. */
  readonly #recordedProgress = new Map<JobId, KeyValue[]>()
  /** Jobs whose progress record cannot be decoded. */
  readonly #setAside = new Map<JobId, JobSpec>()
  readonly #tokenBuckets = new AccountTokenBuckets()

  /** @param options - dependencies */
  constructor (options: InboxReaderOptions) {
    this.#options = options
  }

  /**
   * Keeps the progress records of previous duty holders until their jobs are read from the inbox.
   *
   * @param items - progress records of the jobs of this service
   */
  loadProgress (items: readonly KeyValue[]): void {
    const prefix = progressPrefix(this.#options.service)
    for (const item of items) {
      const [jobId = ''] = item.key.slice(prefix.length).split('/')
      const recorded = this.#recordedProgress.get(jobId as JobId)
      if (recorded === undefined) this.#recordedProgress.set(jobId as JobId, [item])
      else recorded.push(item)
    }
  }

  /**
   * Returns whether a job is left alone because its progress record cannot be decoded. Its tasks could be done or running, and starting them
   * would run them twice, so they are neither started nor stopped until the job is cancelled.
   *
   * @param jobId - the job to look up
   */
  isSetAside (jobId: JobId): boolean {
    return this.#setAside.has(jobId)
  }

  /**
   * Applies a change of the inbox.
   *
   * @param change - records that were written or removed
   */
  applyChange ({ changed, removed }: PrefixChange): void {
    const { service, drainer } = this.#options
    const prefix = inboxPrefix(service)
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'vacate') drainer.request(subject.machineId, item.value)
    }
    for (const newSpec of this.#newJobs(changed)) this.#addJob(newSpec)
    // Cancellations and reports of lost machines come last: a listing may return them before the jobs that they refer to.
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'cancel' && item.value === CANCEL_VALUE) this.#cancelJob(subject.jobId)
      else if (subject.kind === 'gone') this.#readMachineDown(subject.workerId, item)
    }
    for (const key of removed) {
      const subject = parseInboxKey(key, prefix)
      if (subject.kind === 'vacate') drainer.withdraw(subject.machineId)
    }
  }

  #readMachineDown (workerId: WorkerId, item: KeyValue): void {
    const report = this.#options.records.read(item, decodeMachineLossReport)
    if (report !== undefined) this.#options.onMachineDown(workerId, report)
  }

  /** Returns new jobs in the order in which they were accepted; a listing of the inbox sorts them by id. */
  #newJobs (changed: readonly KeyValue[]): JobSpec[] {
    const { service, registry, records } = this.#options
    const specs = changed.flatMap((item) => {
      const subject = parseInboxKey(item.key, inboxPrefix(service))
      if (subject.kind !== 'job' || registry.jobs.has(subject.jobId) || this.#setAside.has(subject.jobId)) return []
      const spec = records.read(item, (text) => decodeJson(jobSpecSchema, text))
      // A record stored under the key of another job is ignored.
      return spec?.jobId === subject.jobId ? [spec] : []
    })
    return specs.sort((a, b) => a.submittedMs - b.submittedMs)
  }

  #isOverShare ({ owner, submittedMs }: JobSpec): boolean {
    const weight = owner === undefined ? undefined : this.#options.weightOf(owner.account)
    return owner !== undefined && weight !== undefined && this.#tokenBuckets.isOverShare(owner.account, weight, submittedMs)
  }

  #addJob (spec: JobSpec): void {
    const { registry, clock, log, records, service, onRunRestored } = this.#options
    const { jobId } = spec
    const recorded = (this.#recordedProgress.get(jobId) ?? []).map((item) => ({ item, decoded: records.read(item, decodeProgress) }))
    this.#recordedProgress.delete(jobId)
    const unreadable = recorded.find(({ decoded }) => decoded === undefined)?.item
    if (unreadable !== undefined) {
      this.#setAside.set(jobId, spec)
      log.warn({ jobId, queue: spec.queue, key: unreadable.key, revision: unreadable.modRevision }, 'job set aside: its progress record cannot be decoded')
      return
    }
    const progress = joinProgress(recorded.flatMap(({ decoded }) => decoded ?? []))
    const job = createJob(spec)
    job.isOverShare = this.#isOverShare(spec)
    if (job.isOverShare) log.info({ jobId, account: spec.owner?.account }, 'job is beyond its account\'s share: others go first')
    registry.jobs.set(jobId, job)
    if (progress === undefined) return
    job.isRecordedWhole = progress.hasParts !== true && !recorded.some(({ item }) => item.key !== progressKey(service, jobId))
    for (const run of restoreProgress(job, progress, clock.monotonicMs())) onRunRestored(run)
  }

  #cancelJob (jobId: JobId): void {
    const { registry } = this.#options
    const setAside = this.#setAside.get(jobId)
    if (setAside !== undefined) {
      // The tracker then stops its runs as unrecorded ones.
      this.#setAside.delete(jobId)
      registry.jobs.set(jobId, createJob(setAside))
    }
    const job = registry.jobs.get(jobId)
    if (job !== undefined && !hasEnded(job)) registry.endJob(job, 'cancelled')
  }
}
