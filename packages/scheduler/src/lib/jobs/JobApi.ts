/**
 * Serves the job requests of clients on an entry host: submits and cancels jobs, returns their status, and counts waiting jobs.
 *
 * Every answer is based on a linearizable read or an acknowledged write of the store; the entry host itself keeps no job state.
 *
 * @module
 */
import { decodeJson, type Clock } from '@quillscale/utils'
import type { KeyValue, PlatformError, QueueConfiguration, RevisionCondition } from '@quillscale/ports'
import { isOwnedBy, jobSpecSchema, restrictedOwner, type JobId, type JobOwner, type JobSpec, type JobStatus, type StepSpec } from '@quillscale/policy'
import * as z from 'zod'
import type { EventLog } from '../duties/EventLog.js'
import { EarlyCancellations } from './EarlyCancellations.js'
import { decodeProgress } from './jobProgress.js'
import type { JobAdmission } from '../pressure/JobAdmission.js'
import type { JobMemoryBound } from '../pressure/JobMemoryBound.js'
import type { MonitoredStore } from '../records/MonitoredStore.js'
import type { RecordReader } from '../records/RecordReader.js'
import { CallRetrier } from '../records/CallRetrier.js'
import { acceptanceKeys, CANCEL_VALUE, cancelKey, inboxPrefix, isServiceName, jobKey, jobServiceKey, parseInboxKey, progressKey, progressPrefix, WAITING_PREFIX, waitingKey } from '../records/storeKeys.js'
import { hasChanged, JobRecorder, RECORD_UNREADABLE, type RecordingOutcome } from './JobRecorder.js'

/** Dependencies of a {@link JobApi}. @public */
export interface JobApiOptions {
  readonly store: MonitoredStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** Decides which jobs are of no use any more; without it, all are accepted. */
  readonly admission?: Pick<JobAdmission, 'decide' | 'report'> | undefined
  /** Decides for which jobs there is memory; without it, for all. */
  readonly memory?: Pick<JobMemoryBound, 'decide' | 'report' | 'add'> | undefined
  /** Longest value that the store takes, in bytes; no limit if left out. */
  readonly maxRecordBytes?: (() => number) | undefined
}

/**
 * Outcome of a submission. `refused`: this request has not written the job and never will. `unknown`: the job may or may not be written.
 * `taken`: the id belongs to a job of another account. `cancelled`: the id was cancelled before, so this request has not written the job and never will.
 * `too-large`: the store takes no record of this size.
 *
 * @public
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown' | 'taken' | 'cancelled' | 'too-large' | OverloadedOutcome | OutdatedOutcome
/** This request has not written the job and never will, since the job would end too late to be of use. @public */
export interface OverloadedOutcome { readonly kind: 'overloaded', readonly retryAfterMs: number }
/** This request has not written the job and never will, since the configuration has changed. @public */
export interface OutdatedOutcome { readonly kind: 'outdated' }
/** What the acceptance of a job depends on. @public */
export interface SubmissionTerms {
  /** The queue by whose objective the job may be refused; without it, the job is not refused. */
  readonly queue?: QueueConfiguration | undefined
  /** The configuration that admits the job: it is accepted only while the store holds this revision. Without it, any will do. */
  readonly configuration?: RevisionCondition | undefined
  /** Called if the store holds another configuration: with its record, `undefined` if there is none. */
  readonly onConfigurationChanged?: ((record: KeyValue | undefined) => void) | undefined
  /** The other services, which may have accepted the job before its queue moved. */
  readonly otherServices?: readonly string[] | undefined
}
/** Status of a job. `unavailable`: the store did not answer in time, or its record of the job cannot be decoded. @public */
export type StatusOutcome = JobStatus | 'no-such-job' | 'unavailable'
/** Outcome of a cancellation; `unavailable` as in {@link StatusOutcome}. @public */
export type CancelOutcome = 'accepted' | 'no-such-job' | 'unavailable'
/** Number of waiting jobs; `unavailable` if the store did not answer in time. @public */
export type WaitingOutcome = number | 'unavailable'

/** Older counts are recomputed from the job records: the scheduler that publishes them is being replaced. */
const MAX_COUNT_AGE_MS = 2500

const waitingSchema = z.object({ atMs: z.number(), counts: z.record(z.string(), z.number()) })

/** Why a job is refused: when the caller may return, and how this is logged and counted. */
interface Refusal { readonly retryAfterMs: number, readonly report: () => void }

/** Submits, cancels, looks up and counts jobs for clients. @public */
export class JobApi {
  readonly #options: JobApiOptions
  readonly #calls: CallRetrier
  readonly #recorder: JobRecorder
  readonly #earlyCancellations: EarlyCancellations

  /** @param options - dependencies */
  constructor (options: JobApiOptions) {
    this.#options = options
    this.#calls = new CallRetrier(options)
    this.#recorder = new JobRecorder({ ...options, calls: this.#calls })
    this.#earlyCancellations = new EarlyCancellations({ ...options, calls: this.#calls })
  }

  /**
   * Submits a job. Submitting it again is idempotent: the job is written only if no service has it. A record that cannot be decoded is replaced.
   *
   * @param spec - the job
   * @param service - the service whose workers run the job
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param terms - what its acceptance depends on
   * @returns the outcome
   */
  async submit (spec: JobSpec, service: string, deadlineMs: number, terms: SubmissionTerms = {}): Promise<SubmitOutcome> {
    const { log, clock, memory } = this.#options
    const { queue, configuration, onConfigurationChanged, otherServices = [] } = terms
    const refusal = this.#findRefusal(spec, service, queue)
    const refused = refusal === undefined ? undefined : await this.#refuse(spec, [service, ...otherServices], deadlineMs, refusal)
    if (refused !== undefined) return refused
    const written = await this.#recorder.record(spec, { service, otherServices, configuration }, deadlineMs)
    const changed = configuration === undefined ? undefined : findChange(configuration, written)
    if (changed !== undefined) onConfigurationChanged?.(changed.record)
    const outcome = submitOutcomeOf(spec, written, changed !== undefined)
    const { jobId, queue: queueName, owner, configurationVersion: version } = spec
    const submission = { jobId, queue: queueName, service, account: owner?.account, keyTag: owner?.keyTag, version, isConditional: configuration !== undefined }
    const fields = { ...submission, outcome: typeof outcome === 'string' ? outcome : outcome.kind, tries: written.tries }
    if (outcome === 'accepted' && written.existing === undefined) memory?.add(spec, clock.monotonicMs())
    if (typeof outcome !== 'string') log.info({ ...fields, expected: configuration?.modRevision, revision: changed?.record?.modRevision }, 'job not taken in: the configuration has changed')
    else if (outcome === 'taken') log.warn(fields, 'job refused: its id is another account\'s')
    else if (outcome === 'cancelled') log.info(fields, 'job refused: its id was cancelled before')
    else if (outcome !== 'accepted') log.warn({ ...fields, error: written.result.err ? written.result.val : undefined }, 'job not taken in')
    else log.info({ ...fields, ...describeRecord(written), steps: spec.steps.map(describeStep) }, 'job taken in')
    return outcome
  }

  /** Returns why a job is to be refused, `undefined` to accept it. */
  #findRefusal (spec: JobSpec, service: string, queue: QueueConfiguration | undefined): Refusal | undefined {
    const { clock, admission, memory } = this.#options
    const memoryRefusal = memory?.decide(spec, clock.monotonicMs())
    if (memoryRefusal !== undefined) return { retryAfterMs: memoryRefusal.retryAfterMs, report: () => memory?.report(spec, service, memoryRefusal) }
    const refusal = queue === undefined ? undefined : admission?.decide(spec, queue)
    return refusal === undefined ? undefined : { retryAfterMs: refusal.retryAfterMs, report: () => admission?.report(spec, service, refusal) }
  }

  /** Refuses a job that would be of no use or has no memory left, unless it was accepted before: that is a promise, and its repeat is handled as always. */
  async #refuse (spec: JobSpec, services: readonly string[], deadlineMs: number, { retryAfterMs, report }: Refusal): Promise<SubmitOutcome | undefined> {
    const { store, log } = this.#options
    const reads = await Promise.all(acceptanceKeys(spec.jobId, services).map((key) => this.#calls.retry(deadlineMs, () => store.get(key))))
    const [service = ''] = services
    for (const { result, tries } of reads) {
      if (result.ok) continue
      log.warn({ jobId: spec.jobId, queue: spec.queue, service, outcome: 'refused', tries, error: result.val }, 'job not taken in')
      return 'refused'
    }
    if (reads.some(({ result }) => result.ok && result.val !== undefined)) return undefined
    report()
    return { kind: 'overloaded', retryAfterMs }
  }

  #readJob (item: KeyValue): JobSpec | undefined {
    return this.#options.records.read(item, (text) => decodeJson(jobSpecSchema, text))
  }

  /**
   * Returns the status of a job.
   *
   * @param jobId - the job to look up
   * @param services - services that may have the job, the most likely one first
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param caller - who asks; jobs of other accounts are reported as `no-such-job`
   * @returns the status, or why there is none
   */
  async status (jobId: JobId, services: readonly string[], deadlineMs: number, caller?: JobOwner): Promise<StatusOutcome> {
    const status = await this.#search<StatusOutcome>(jobId, services, deadlineMs, (service) => this.#statusIn(jobId, service, deadlineMs, caller))
    if (status === 'no-such-job') this.#options.log.info({ jobId, services }, 'no such job')
    return status
  }

  /**
   * Looks for a job in its services: in the most likely one first, then in the one that its acceptance recorded, then in the others, where a job may be
   * whose acceptance recorded none.
   */
  async #search<T> (
    jobId: JobId, [mostLikely, ...others]: readonly string[], deadlineMs: number, find: (service: string) => Promise<T | 'no-such-job'>
  ): Promise<T | 'no-such-job' | 'unavailable'> {
    const found = mostLikely === undefined ? 'no-such-job' : await find(mostLikely)
    if (found !== 'no-such-job') return found
    const recorded = await this.#calls.retry(deadlineMs, () => this.#options.store.get(jobServiceKey(jobId)))
    if (recorded.result.err) return this.#reportUnavailable(jobId, recorded.result.val)
    const recordedService = recorded.result.val?.value ?? ''
    const services = new Set(isServiceName(recordedService) ? [recordedService, ...others] : others)
    if (mostLikely !== undefined) services.delete(mostLikely)
    for (const service of services) {
      const outcome = await find(service)
      if (outcome !== 'no-such-job') return outcome
    }
    return 'no-such-job'
  }

  async #statusIn (jobId: JobId, service: string, deadlineMs: number, caller: JobOwner | undefined): Promise<StatusOutcome> {
    const { store, records } = this.#options
    const recorded = await this.#calls.retry(deadlineMs, () => store.get(progressKey(service, jobId)))
    if (recorded.result.err) return this.#reportUnavailable(jobId, recorded.result.val)
    if (recorded.result.val !== undefined) {
      const progress = records.read(recorded.result.val, decodeProgress)
      if (progress === undefined) return this.#reportUnavailable(jobId, RECORD_UNREADABLE)
      return isOwnedBy(progress.owner, caller) ? progress.status : this.#reportNotOwned(jobId, caller)
    }
    const job = await this.#calls.retry(deadlineMs, () => store.get(jobKey(service, jobId)))
    if (job.result.err) return this.#reportUnavailable(jobId, job.result.val)
    if (job.result.val === undefined) return 'no-such-job'
    const spec = this.#readJob(job.result.val)
    if (spec === undefined) return this.#reportUnavailable(jobId, RECORD_UNREADABLE)
    return isOwnedBy(restrictedOwner(spec), caller) ? 'queued' : this.#reportNotOwned(jobId, caller)
  }

  #reportNotOwned (jobId: JobId, caller: JobOwner | undefined): 'no-such-job' {
    this.#options.log.info({ jobId, account: caller?.account }, 'the job is another account\'s: none for this one')
    return 'no-such-job'
  }

  #reportUnavailable (jobId: JobId, error: PlatformError): 'unavailable' {
    this.#options.log.warn({ jobId, error }, 'state not read')
    return 'unavailable'
  }

  /**
   * Requests the cancellation of a job; the scheduler of its service then stops the runs. If there is no such job, a submission of it that is still
   * under way is not accepted any more.
   *
   * @param jobId - the job to cancel
   * @param services - services that may have the job, the most likely one first
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param caller - who cancels; jobs of other accounts are reported as `no-such-job`
   * @returns the outcome
   */
  async cancel (jobId: JobId, services: readonly string[], deadlineMs: number, caller?: JobOwner): Promise<CancelOutcome> {
    const find = (): Promise<CancelOutcome> =>
      this.#search<CancelOutcome>(jobId, services, deadlineMs, (service) => this.#cancelIn(jobId, service, deadlineMs, caller))
    const found = await find()
    if (found !== 'no-such-job') return found
    const early = await this.#earlyCancellations.record(jobId, services, deadlineMs, caller)
    if (early !== 'recorded' && early !== 'has-job') return this.#reportUnavailable(jobId, early)
    // It was accepted in between, or belongs to another account.
    const outcome = early === 'has-job' ? await find() : 'no-such-job'
    if (outcome === 'no-such-job') this.#options.log.info({ jobId, services, isRecorded: early === 'recorded' }, 'job cancellation refused: no such job')
    return outcome
  }

  async #cancelIn (jobId: JobId, service: string, deadlineMs: number, caller: JobOwner | undefined): Promise<CancelOutcome> {
    const { store, log } = this.#options
    const job = await this.#calls.retry(deadlineMs, () => store.get(jobKey(service, jobId)))
    if (job.result.err) return this.#reportUnavailable(jobId, job.result.val)
    if (job.result.val === undefined) return 'no-such-job'
    const spec = this.#readJob(job.result.val)
    // The owner of an undecodable job is unknown, so any caller may cancel it; otherwise nobody could stop it.
    if (spec !== undefined && !isOwnedBy(restrictedOwner(spec), caller)) return this.#reportNotOwned(jobId, caller)
    const put = { conditions: [], puts: [{ key: cancelKey(service, jobId), value: CANCEL_VALUE }], removals: [] }
    const written = await this.#calls.retry(deadlineMs, () => store.transact(put))
    if (written.result.err) return this.#reportUnavailable(jobId, written.result.val)
    log.info({ jobId, service }, 'job cancellation accepted')
    return 'accepted'
  }

  /**
   * Counts the jobs of a queue of which no worker has started a run yet, in all services that the queue has had; jobs with a schedule are not counted.
   *
   * @param queue - name of the queue
   * @param service - the service of the queue
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @returns the number of waiting jobs, or `unavailable`
   */
  async countWaiting (queue: string, service: string, deadlineMs: number): Promise<WaitingOutcome> {
    const { store, log } = this.#options
    const read = await this.#calls.retry(deadlineMs, () => store.list(WAITING_PREFIX))
    if (read.result.err) {
      log.warn({ queue, error: read.result.val }, 'reading the published counts of waiting jobs failed')
      return 'unavailable'
    }
    const records = new Map(read.result.val.items.map((item) => [item.key, item]))
    const ownKey = waitingKey(service)
    const own = this.#publishedCount(queue, records.get(ownKey))
    records.delete(ownKey)
    // Schedulers do not refresh a count of zero, so an old one is trusted for the services that the queue may have had before.
    const others = [...records].map(([key, record]) => ({ service: key.slice(WAITING_PREFIX.length), ...this.#publishedCount(queue, record) }))
    const former = others.filter(({ count }) => count > 0)
    const counts = await Promise.all([{ service, ...own }, ...former].map(async ({ service: counted, isRecent, count }) =>
      isRecent ? count : await this.#countFromRecords(queue, counted, deadlineMs)))
    return counts.reduce<WaitingOutcome>((sum, count) => sum === 'unavailable' || count === 'unavailable' ? 'unavailable' : sum + count, 0)
  }

  #publishedCount (queue: string, record: KeyValue | undefined): { readonly isRecent: boolean, readonly count: number } {
    const { clock, records } = this.#options
    const published = record === undefined ? undefined : records.read(record, (text) => decodeJson(waitingSchema, text))
    if (published === undefined) return { isRecent: false, count: 0 }
    return { isRecent: Math.abs(clock.wallMs() - published.atMs) < MAX_COUNT_AGE_MS, count: published.counts[queue] ?? 0 }
  }

  async #countFromRecords (queue: string, service: string, deadlineMs: number): Promise<WaitingOutcome> {
    const { store, log, records } = this.#options
    const [inbox, progress] = await Promise.all([
      this.#calls.retry(deadlineMs, () => store.list(inboxPrefix(service))), this.#calls.retry(deadlineMs, () => store.list(progressPrefix(service)))
    ])
    if (inbox.result.err || progress.result.err) {
      log.warn({ queue, service }, 'counting waiting jobs from their records failed')
      return 'unavailable'
    }
    // A placed job has a progress record, but still waits until a worker has started one of its runs.
    const begun = new Set(progress.result.val.items.filter((item) => records.read(item, decodeProgress)?.status !== 'queued')
      .map(({ key }) => key.slice(progressPrefix(service).length)))
    return inbox.result.val.items.filter((item) => {
      const subject = parseInboxKey(item.key, inboxPrefix(service))
      if (subject.kind !== 'job' || begun.has(subject.jobId)) return false
      const spec = this.#readJob(item)
      return spec?.queue === queue && spec.schedule === undefined
    }).length
  }
}

/** Returns the configuration that the store held in place of the expected one, `undefined` if it held the expected one or is not known. */
function findChange (expected: RevisionCondition, { result }: RecordingOutcome): { readonly record: KeyValue | undefined } | undefined {
  if (result.err || result.val.committed || !hasChanged(expected, result.val)) return undefined
  return { record: result.val.current.find(({ key }) => key === expected.key) }
}

/** Returns the outcome of a submission from that of its recording. A job that this request wrote itself was admitted by the configuration of that time. */
function submitOutcomeOf (
  { owner }: JobSpec, { result, mayHaveEffect, existing, isOwn, isCancelled, isTooLarge }: RecordingOutcome, isOutdated: boolean
): Exclude<SubmitOutcome, OverloadedOutcome> {
  if (isTooLarge === true) return 'too-large'
  if (isCancelled === true) return 'cancelled'
  if (result.err) return mayHaveEffect ? 'unknown' : 'refused'
  if (isOutdated && isOwn !== true) return { kind: 'outdated' }
  return existing === undefined || isOwnedBy(restrictedOwner(existing.spec), owner) ? 'accepted' : 'taken'
}

/** Describes the record of an accepted job for the log: its service and revision, and for a repeat by which queue, key and version it was accepted first. */
function describeRecord ({ result, existing, isOwn }: RecordingOutcome): object {
  if (existing === undefined) return { isRepeat: false, revision: result.ok && result.val.committed ? result.val.modRevision : undefined }
  const { record, service, spec } = existing
  const { queue: recordQueue, owner, configurationVersion: recordVersion } = spec
  return { isRepeat: true, isOwn, recordService: service, recordQueue, recordKeyTag: owner?.keyTag, revision: record.modRevision, recordVersion }
}

/** Describes the requirements of a step for the log, so that operators can see why it waits. */
function describeStep (step: StepSpec): string {
  const traits = [
    step.isLasting ? 'lasting' : '', step.isFiller ? 'filler' : '', step.isGang ? 'gang' : '', step.isCheckpointing ? 'checkpointing' : '',
    step.allowsCopies ? 'copies' : '', step.requiredLabel === '' ? '' : `needs ${step.requiredLabel}`, step.preferredRack === '' ? '' : `near ${step.preferredRack}`,
    step.maxPerWorker === 0 ? '' : `${step.maxPerWorker} a worker`, step.maxAway === undefined ? '' : `${step.maxAway} away`,
    step.targetTailMs === 0 ? '' : `tail ${step.targetTailMs} ms`, step.dependsOn.length === 0 ? '' : `after ${step.dependsOn.join('+')}`
  ].filter((trait) => trait !== '')
  return [`${step.taskCount} x ${step.cpuMillis} mcpu ${step.memoryMb} MB ${step.estimateMs} ms`, ...traits].join(', ')
}
