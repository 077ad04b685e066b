/**
 * Serves the job requests of clients on an entry host: submits and cancels jobs, returns their status, and counts waiting jobs.
 *
 * Every answer is based on a linearizable read or an acknowledged write of the store; the entry host itself keeps no job state.
 *
 * @module
 */
import { decodeJson, delay, Err, type Clock, type Result } from '@quillscale/utils'
import type { KeyValue, PlatformError, QueueConfiguration, RevisionCondition, TransactionOutcome } from '@quillscale/ports'
import { isOwnedBy, jobSpecSchema, type JobId, type JobOwner, type JobSpec, type JobStatus, type StepSpec } from '@quillscale/policy'
import * as z from 'zod'
import type { EventLog } from '../duties/EventLog.js'
import { decodeProgress } from './jobProgress.js'
import type { AdmissionRefusal, JobAdmission } from '../pressure/JobAdmission.js'
import type { MonitoredStore } from '../records/MonitoredStore.js'
import type { RecordReader } from '../records/RecordReader.js'
import { CANCEL_VALUE, cancelKey, inboxPrefix, jobKey, parseInboxKey, progressKey, progressPrefix, waitingKey } from '../records/storeKeys.js'

/** Dependencies of a {@link JobApi}. @public */
export interface JobApiOptions {
  readonly store: MonitoredStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** Decides which jobs are of no use any more; without it, all are accepted. */
  readonly admission?: Pick<JobAdmission, 'decide' | 'report'> | undefined
}

/**
 * Outcome of a submission. `refused`: this request has not written the job and never will. `unknown`: the job may or may not be written.
 * `taken`: the id belongs to a job of another account.
 *
 * @public
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown' | 'taken' | OverloadedOutcome | OutdatedOutcome
/** This request has not written the job and never will, since the job would end too late to be of use. @public */
export interface OverloadedOutcome { readonly kind: 'overloaded', readonly retryAfterMs: number }
/** This request has not written the job and never will, since the configuration has changed; `record` is the present one, if there is any. @public */
export interface OutdatedOutcome { readonly kind: 'outdated', readonly record: KeyValue | undefined }
/** What the acceptance of a job depends on. @public */
export interface SubmissionTerms {
  /** The queue by whose objective the job may be refused; without it, the job is not refused. */
  readonly queue?: QueueConfiguration | undefined
  /** The configuration that admits the job: it is accepted only while the store holds this revision. Without it, any will do. */
  readonly configuration?: RevisionCondition | undefined
}
/** Status of a job. `unavailable`: the store did not answer in time, or its record of the job cannot be decoded. @public */
export type StatusOutcome = JobStatus | 'no-such-job' | 'unavailable'
/** Outcome of a cancellation; `unavailable` as in {@link StatusOutcome}. @public */
export type CancelOutcome = 'accepted' | 'no-such-job' | 'unavailable'
/** Number of waiting jobs; `unavailable` if the store did not answer in time. @public */
export type WaitingOutcome = number | 'unavailable'

/** Time left before the deadline of the client, so that the answer still arrives. */
const DEADLINE_MARGIN_MS = 150
/** How long a request is retried while the store rejects it without effect; an overload that lasts longer is unlikely to pass in time. */
const REFUSED_RETRY_LIMIT_MS = 400
const FIRST_RETRY_DELAY_MS = 40
/** After so many lost answers the request fails, since another host may do better. */
const MAX_LOST_ANSWERS = 2
const MAX_RETRY_DELAY_MS = 250
/** Older counts are recomputed from the job records: the scheduler that publishes them is being replaced. */
const MAX_COUNT_AGE_MS = 2500

const STORE_UNRESPONSIVE: PlatformError = { kind: 'unavailable', detail: 'the store has not answered for a while and was not asked' }

const RECORD_UNREADABLE: PlatformError = { kind: 'unavailable', detail: 'the record of the job in the store cannot be decoded' }

const waitingSchema = z.object({ atMs: z.number(), counts: z.record(z.string(), z.number()) })

/** Submits, cancels, looks up and counts jobs for clients. @public */
export class JobApi {
  readonly #options: JobApiOptions

  /** @param options - dependencies */
  constructor (options: JobApiOptions) {
    this.#options = options
  }

  /**
   * Submits a job. Submitting it again is idempotent: the job is written only if it does not exist. A record that cannot be decoded is replaced.
   *
   * @param spec - the job
   * @param service - the service whose workers run the job
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param terms - what its acceptance depends on
   * @returns the outcome
   */
  async submit (spec: JobSpec, service: string, deadlineMs: number, { queue, configuration }: SubmissionTerms = {}): Promise<SubmitOutcome> {
    const { log, admission } = this.#options
    const refusal = queue === undefined ? undefined : admission?.decide(spec, queue)
    const refused = refusal === undefined ? undefined : await this.#refuse(spec, service, deadlineMs, refusal)
    if (refused !== undefined) return refused
    const written = await this.#writeJob(spec, service, deadlineMs, configuration)
    const outcome = this.#submitOutcome(spec, service, written, configuration)
    const { jobId, queue: queueName, owner, configurationVersion: version } = spec
    const fields = { jobId, queue: queueName, service, account: owner?.account, version, outcome: typeof outcome === 'string' ? outcome : outcome.kind, tries: written.tries }
    if (typeof outcome !== 'string') log.info({ ...fields, expected: configuration?.modRevision, revision: outcome.record?.modRevision }, 'job not taken in: the configuration has changed')
    else if (outcome === 'taken') log.warn(fields, 'job refused: its id is another account\'s')
    else if (written.result.err) log.warn({ ...fields, error: written.result.val }, 'job not taken in')
    else log.info({ ...fields, ...this.#describeRecord(spec, service, written.result.val), steps: spec.steps.map(describeStep) }, 'job taken in')
    return outcome
  }

  /** Describes the record of an accepted job for the log: the revision at which it was written, and for a repeat the version by which it was accepted first. */
  #describeRecord ({ jobId }: JobSpec, service: string, outcome: TransactionOutcome): object {
    if (outcome.committed) return { isRepeat: false, revision: outcome.modRevision }
    const record = outcome.current.find(({ key }) => key === jobKey(service, jobId))
    const existingSpec = record === undefined ? undefined : this.#readJob(record)
    return { isRepeat: true, revision: record?.modRevision, recordVersion: existingSpec?.configurationVersion }
  }

  /** Refuses a job that would be of no use, unless it was accepted before: that is a promise, and its repeat is handled as always. */
  async #refuse (spec: JobSpec, service: string, deadlineMs: number, refusal: AdmissionRefusal): Promise<SubmitOutcome | undefined> {
    const { admission, store, log } = this.#options
    const earlier = await this.#retry(deadlineMs, () => store.get(jobKey(service, spec.jobId)))
    if (earlier.result.err) {
      log.warn({ jobId: spec.jobId, queue: spec.queue, service, outcome: 'refused', tries: earlier.tries, error: earlier.result.val }, 'job not taken in')
      return 'refused'
    }
    if (earlier.result.val !== undefined) return undefined
    admission?.report(spec, service, refusal)
    return { kind: 'overloaded', retryAfterMs: refusal.retryAfterMs }
  }

  #submitOutcome (
    { jobId, owner }: JobSpec, service: string, { result, mayHaveEffect }: RetryResult<TransactionOutcome>, configuration: RevisionCondition | undefined
  ): Exclude<SubmitOutcome, OverloadedOutcome> {
    if (result.err) return mayHaveEffect ? 'unknown' : 'refused'
    const item = result.val.committed ? undefined : result.val.current.find(({ key }) => key === jobKey(service, jobId))
    const existingSpec = item === undefined ? undefined : this.#readJob(item)
    // An attempt of this request whose answer was lost may have written the existing job, by the configuration of that time.
    const isOwnWrite = existingSpec !== undefined && mayHaveEffect
    if (configuration !== undefined && !isOwnWrite && hasChanged(configuration, result.val)) {
      return { kind: 'outdated', record: result.val.committed ? undefined : result.val.current.find(({ key }) => key === configuration.key) }
    }
    return existingSpec === undefined || isOwnedBy(restrictedOwner(existingSpec), owner) ? 'accepted' : 'taken'
  }

  async #writeJob (spec: JobSpec, service: string, deadlineMs: number, configuration: RevisionCondition | undefined): Promise<RetryResult<TransactionOutcome>> {
    const { store } = this.#options
    const key = jobKey(service, spec.jobId)
    const terms = configuration === undefined ? [] : [configuration]
    const put = (modRevision: number): Promise<RetryResult<TransactionOutcome>> => this.#retry(deadlineMs, () =>
      store.transact({ conditions: [{ key, modRevision }, ...terms], puts: [{ key, value: JSON.stringify(spec) }], removals: [] }))
    const written = await put(0)
    if (written.result.err || written.result.val.committed) return written
    const existing = written.result.val.current.find((item) => item.key === key)
    if (existing === undefined || this.#readJob(existing) !== undefined) return written
    const replacement = await put(existing.modRevision)
    if (replacement.result.err || replacement.result.val.committed) return replacement
    if (configuration !== undefined && hasChanged(configuration, replacement.result.val)) return replacement
    const hasReadableJob = replacement.result.val.current.some((item) => item.key === key && this.#readJob(item) !== undefined)
    return hasReadableJob ? replacement : { ...replacement, result: Err(RECORD_UNREADABLE), mayHaveEffect: true }
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
    const [mostLikely, ...others] = services
    for (const service of mostLikely === undefined ? [] : [mostLikely, ...others]) {
      const status = await this.#statusIn(jobId, service, deadlineMs, caller)
      if (status !== 'no-such-job') return status
    }
    this.#options.log.info({ jobId, services }, 'no such job')
    return 'no-such-job'
  }

  async #statusIn (jobId: JobId, service: string, deadlineMs: number, caller: JobOwner | undefined): Promise<StatusOutcome> {
    const { store, records } = this.#options
    const recorded = await this.#retry(deadlineMs, () => store.get(progressKey(service, jobId)))
    if (recorded.result.err) return this.#reportUnavailable(jobId, recorded.result.val)
    if (recorded.result.val !== undefined) {
      const progress = records.read(recorded.result.val, decodeProgress)
      if (progress === undefined) return this.#reportUnavailable(jobId, RECORD_UNREADABLE)
      return isOwnedBy(progress.owner, caller) ? progress.status : this.#reportNotOwned(jobId, caller)
    }
    const job = await this.#retry(deadlineMs, () => store.get(jobKey(service, jobId)))
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
   * Requests the cancellation of a job; the scheduler of its service then stops the runs.
   *
   * @param jobId - the job to cancel
   * @param services - services that may have the job, the most likely one first
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param caller - who cancels; jobs of other accounts are reported as `no-such-job`
   * @returns the outcome
   */
  async cancel (jobId: JobId, services: readonly string[], deadlineMs: number, caller?: JobOwner): Promise<CancelOutcome> {
    const { store, log } = this.#options
    for (const service of services) {
      const job = await this.#retry(deadlineMs, () => store.get(jobKey(service, jobId)))
      if (job.result.err) return this.#reportUnavailable(jobId, job.result.val)
      if (job.result.val === undefined) continue
      const spec = this.#readJob(job.result.val)
      // The owner of an undecodable job is unknown, so any caller may cancel it; otherwise nobody could stop it.
      if (spec !== undefined && !isOwnedBy(restrictedOwner(spec), caller)) return this.#reportNotOwned(jobId, caller)
      const put = { conditions: [], puts: [{ key: cancelKey(service, jobId), value: CANCEL_VALUE }], removals: [] }
      const written = await this.#retry(deadlineMs, () => store.transact(put))
      if (written.result.err) return this.#reportUnavailable(jobId, written.result.val)
      log.info({ jobId, service }, 'job cancellation accepted')
      return 'accepted'
    }
    log.info({ jobId, services }, 'job cancellation refused: no such job')
    return 'no-such-job'
  }

  /**
   * Counts the jobs of a queue of which no worker has started a run yet; jobs with a schedule are not counted.
   *
   * @param queue - name of the queue
   * @param service - the service of the queue
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @returns the number of waiting jobs, or `unavailable`
   */
  async countWaiting (queue: string, service: string, deadlineMs: number): Promise<WaitingOutcome> {
    const { store, clock, log, records } = this.#options
    const read = await this.#retry(deadlineMs, () => store.get(waitingKey(service)))
    if (read.result.err) {
      log.warn({ queue, error: read.result.val }, 'reading the published count of waiting jobs failed')
      return 'unavailable'
    }
    const counts = read.result.val === undefined ? undefined : records.read(read.result.val, (text) => decodeJson(waitingSchema, text))
    if (counts !== undefined && Math.abs(clock.wallMs() - counts.atMs) < MAX_COUNT_AGE_MS) return counts.counts[queue] ?? 0
    return this.#countFromRecords(queue, service, deadlineMs)
  }

  async #countFromRecords (queue: string, service: string, deadlineMs: number): Promise<WaitingOutcome> {
    const { store, log, records } = this.#options
    const [inbox, progress] = await Promise.all([
      this.#retry(deadlineMs, () => store.list(inboxPrefix(service))), this.#retry(deadlineMs, () => store.list(progressPrefix(service)))
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

  /**
   * Calls the store and retries until it answers or time runs out. A store known to be unresponsive is not called: the request fails at once, so that
   * the client can retry on another host. After a lost answer the call is repeated once, then the request fails for the same reason.
   */
  async #retry<T> (deadlineMs: number, call: () => Promise<Result<T, PlatformError>>): Promise<RetryResult<T>> {
    const { clock, store } = this.#options
    const startMs = clock.monotonicMs()
    if (store.isUnresponsive(startMs)) return { result: Err(STORE_UNRESPONSIVE), mayHaveEffect: false, tries: 0 }
    let lost = 0
    let delayMs = FIRST_RETRY_DELAY_MS
    for (let tries = 1; ; tries++) {
      const result = await call()
      const mayHaveEffect = lost > 0
      if (result.ok) return { result, mayHaveEffect, tries }
      if (result.val.kind === 'unknown-effect') lost++
      const nowMs = clock.monotonicMs()
      const retryUntilMs = lost > 0 ? deadlineMs - DEADLINE_MARGIN_MS : startMs + REFUSED_RETRY_LIMIT_MS
      const isLastTry = lost >= MAX_LOST_ANSWERS || store.isUnresponsive(nowMs) || nowMs + delayMs >= Math.min(retryUntilMs, deadlineMs - DEADLINE_MARGIN_MS)
      if (isLastTry) return { result, mayHaveEffect: lost > 0, tries }
      await delay(delayMs)
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2)
    }
  }
}

/** Whether a transaction failed because a record no longer has the expected revision. */
function hasChanged ({ key, modRevision }: RevisionCondition, outcome: TransactionOutcome): boolean {
  return !outcome.committed && (outcome.current.find((item) => item.key === key)?.modRevision ?? 0) !== modRevision
}

/** Returns the only client account that may access a job; `undefined` if every account may. */
const restrictedOwner = ({ owner, isPublic }: JobSpec): JobOwner | undefined => isPublic ? undefined : owner

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

/** Result of a call that may have been retried; `mayHaveEffect` is true if an attempt without an answer may have taken effect. */
interface RetryResult<T> { readonly result: Result<T, PlatformError>, readonly mayHaveEffect: boolean, readonly tries: number }
