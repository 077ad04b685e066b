/**
 * What an entry host does for clients: takes jobs in, cancels them, tells their state and how many wait.
 *
 * Every answer rests on a linearizable read or an acknowledged write of the store; nothing is kept here.
 *
 * @module
 */
import { decodeJson, delay, Err, type Clock, type Result } from '@quillscale/utils'
import type { KeyValue, PlatformError, TransactionOutcome } from '@quillscale/ports'
import { isOwnedBy, jobSpecSchema, type JobId, type JobOwner, type JobSpec, type JobStatus, type StepSpec } from '@quillscale/policy'
import * as z from 'zod'
import type { EventLog } from '../duties/EventLog.js'
import { decodeProgress } from './jobProgress.js'
import type { MonitoredStore } from '../records/MonitoredStore.js'
import type { RecordReader } from '../records/RecordReader.js'
import { CANCEL_VALUE, cancelKey, inboxPrefix, jobKey, parseInboxKey, progressKey, progressPrefix, waitingKey } from '../records/storeKeys.js'

/** What the desk works with. @public */
export interface JobApiOptions {
  readonly store: MonitoredStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
}

/** `refused`: surely not written by this try, now or later. `unknown`: it may be. `taken`: the id is another account's job. @public */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown' | 'taken'
/** `unavailable`: the store gave no answer in time, or what it has of the job cannot be read. @public */
export type StatusOutcome = JobStatus | 'no-such-job' | 'unavailable'
/** What became of a cancel. @public */
export type CancelOutcome = 'accepted' | 'no-such-job' | 'unavailable'
/** How many jobs wait. @public */
export type WaitingOutcome = number | 'unavailable'

/** Kept short of the deadline, so that the answer still arrives. */
const DEADLINE_MARGIN_MS = 150
/** While the store says that it did nothing, a request is tried for so long: overload passes or it does not. */
const REFUSED_RETRY_LIMIT_MS = 400
const FIRST_RETRY_DELAY_MS = 40
/** So many lost answers, and another host may do better. */
const MAX_LOST_ANSWERS = 2
const MAX_RETRY_DELAY_MS = 250
/** A count of waiting jobs that is older is made anew from the records: its scheduler is being replaced. */
const MAX_COUNT_AGE_MS = 2500

const STORE_SILENT: PlatformError = { kind: 'unavailable', detail: 'the store has not answered for a while and was not asked' }

const RECORD_UNREADABLE: PlatformError = { kind: 'unavailable', detail: 'what the store has of the job cannot be read' }

const waitingSchema = z.object({ atMs: z.number(), counts: z.record(z.string(), z.number()) })

/** The desk. @public */
export class JobApi {
  readonly #options: JobApiOptions

  /** @param options - what it works with */
  constructor (options: JobApiOptions) {
    this.#options = options
  }

  /**
   * Takes a job in. The same job again is the same job: the write happens only where there is none. What cannot be read is none.
   *
   * @param spec - the job
   * @param service - whose workers run it
   * @param deadlineMs - monotonic, when the client stops waiting
   * @returns what became of it
   */
  async submit (spec: JobSpec, service: string, deadlineMs: number): Promise<SubmitOutcome> {
    const { log } = this.#options
    const written = await this.#writeJob(spec, service, deadlineMs)
    const outcome = this.#submitOutcome(spec, service, written)
    const fields = { jobId: spec.jobId, queue: spec.queue, service, account: spec.owner?.account, outcome, tries: written.tries }
    if (outcome === 'taken') log.warn(fields, 'job refused: its id is another account\'s')
    else if (written.result.err) log.warn({ ...fields, error: written.result.val }, 'job not taken in')
    else log.info({ ...fields, isRepeat: !written.result.val.committed, steps: spec.steps.map(describeStep) }, 'job taken in')
    return outcome
  }

  #submitOutcome ({ jobId, owner }: JobSpec, service: string, { result, mayHaveEffect }: RetryResult<TransactionOutcome>): SubmitOutcome {
    if (result.err) return mayHaveEffect ? 'unknown' : 'refused'
    const found = result.val.committed ? undefined : result.val.current.find(({ key }) => key === jobKey(service, jobId))
    const known = found === undefined ? undefined : this.#readJob(found)
    return known === undefined || isOwnedBy(restrictedOwner(known), owner) ? 'accepted' : 'taken'
  }

  async #writeJob (spec: JobSpec, service: string, deadlineMs: number): Promise<RetryResult<TransactionOutcome>> {
    const { store } = this.#options
    const key = jobKey(service, spec.jobId)
    const put = (modRevision: number): Promise<RetryResult<TransactionOutcome>> => this.#retry(deadlineMs, () =>
      store.transact({ conditions: [{ key, modRevision }], puts: [{ key, value: JSON.stringify(spec) }], removals: [] }))
    const written = await put(0)
    if (written.result.err || written.result.val.committed) return written
    const found = written.result.val.current.find((item) => item.key === key)
    if (found === undefined || this.#readJob(found) !== undefined) return written
    const replaced = await put(found.modRevision)
    if (replaced.result.err || replaced.result.val.committed) return replaced
    const isThere = replaced.result.val.current.some((item) => item.key === key && this.#readJob(item) !== undefined)
    return isThere ? replaced : { ...replaced, result: Err(RECORD_UNREADABLE), mayHaveEffect: true }
  }

  #readJob (item: KeyValue): JobSpec | undefined {
    return this.#options.records.read(item, (text) => decodeJson(jobSpecSchema, text))
  }

  /**
   * @param jobId - any
   * @param services - where it may be, the likeliest first
   * @param deadlineMs - monotonic
   * @param caller - who asks; another account's job is not there for it
   * @returns its state
   */
  async status (jobId: JobId, services: readonly string[], deadlineMs: number, caller?: JobOwner): Promise<StatusOutcome> {
    const [likeliest, ...others] = services
    for (const service of likeliest === undefined ? [] : [likeliest, ...others]) {
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
   * @param jobId - any
   * @param services - where it may be, the likeliest first
   * @param deadlineMs - monotonic
   * @param caller - who cancels; another account's job is not there for it
   * @returns what became of it
   */
  async cancel (jobId: JobId, services: readonly string[], deadlineMs: number, caller?: JobOwner): Promise<CancelOutcome> {
    const { store, log } = this.#options
    for (const service of services) {
      const job = await this.#retry(deadlineMs, () => store.get(jobKey(service, jobId)))
      if (job.result.err) return this.#reportUnavailable(jobId, job.result.val)
      if (job.result.val === undefined) continue
      const spec = this.#readJob(job.result.val)
      // One that cannot be read may be anybody's, and has to be stopped by somebody.
      if (spec !== undefined && !isOwnedBy(restrictedOwner(spec), caller)) return this.#reportNotOwned(jobId, caller)
      const put = { conditions: [], puts: [{ key: cancelKey(service, jobId), value: CANCEL_VALUE }], removals: [] }
      const written = await this.#retry(deadlineMs, () => store.transact(put))
      if (written.result.err) return this.#reportUnavailable(jobId, written.result.val)
      log.info({ jobId, service }, 'cancel taken in')
      return 'accepted'
    }
    log.info({ jobId, services }, 'cancel of a job that does not exist')
    return 'no-such-job'
  }

  /** @param queue - by name @param service - its service @param deadlineMs - monotonic @returns how many of its jobs have not begun */
  async countWaiting (queue: string, service: string, deadlineMs: number): Promise<WaitingOutcome> {
    const { store, clock, log, records } = this.#options
    const read = await this.#retry(deadlineMs, () => store.get(waitingKey(service)))
    if (read.result.err) {
      log.warn({ queue, error: read.result.val }, 'count of waiting jobs not read')
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
      log.warn({ queue, service }, 'waiting jobs not counted')
      return 'unavailable'
    }
    // A job that was placed has a record, and still waits until a worker has begun with it.
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
   * Tries until an answer. A store that is silent is not asked: the client is told at once to come back, and finds another host.
   * What a lost answer leaves open is asked again once; then the client is told, for the same reason.
   */
  async #retry<T> (deadlineMs: number, call: () => Promise<Result<T, PlatformError>>): Promise<RetryResult<T>> {
    const { clock, store } = this.#options
    const beganMs = clock.monotonicMs()
    if (store.isUnresponsive(beganMs)) return { result: Err(STORE_SILENT), mayHaveEffect: false, tries: 0 }
    let lost = 0
    let pauseMs = FIRST_RETRY_DELAY_MS
    for (let tries = 1; ; tries++) {
      const result = await call()
      const mayHaveEffect = lost > 0
      if (result.ok) return { result, mayHaveEffect, tries }
      if (result.val.kind === 'unknown-effect') lost++
      const nowMs = clock.monotonicMs()
      const giveUpMs = lost > 0 ? deadlineMs - DEADLINE_MARGIN_MS : beganMs + REFUSED_RETRY_LIMIT_MS
      const isHopeless = lost >= MAX_LOST_ANSWERS || store.isUnresponsive(nowMs) || nowMs + pauseMs >= Math.min(giveUpMs, deadlineMs - DEADLINE_MARGIN_MS)
      if (isHopeless) return { result, mayHaveEffect: lost > 0, tries }
      await delay(pauseMs)
      pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2)
    }
  }
}

/** Who alone may ask for a job; `undefined` if everybody may. */
const restrictedOwner = ({ owner, isPublic }: JobSpec): JobOwner | undefined => isPublic ? undefined : owner

/** What an operator needs to know of a step to see why it waits. */
function describeStep (step: StepSpec): string {
  const traits = [
    step.isLasting ? 'lasting' : '', step.isFiller ? 'filler' : '', step.isGang ? 'gang' : '', step.isCheckpointing ? 'checkpointing' : '',
    step.allowsCopies ? 'copies' : '', step.requiredLabel === '' ? '' : `needs ${step.requiredLabel}`, step.preferredRack === '' ? '' : `near ${step.preferredRack}`,
    step.maxPerWorker === 0 ? '' : `${step.maxPerWorker} a worker`, step.maxAway === undefined ? '' : `${step.maxAway} away`,
    step.targetTailMs === 0 ? '' : `tail ${step.targetTailMs} ms`, step.dependsOn.length === 0 ? '' : `after ${step.dependsOn.join('+')}`
  ].filter((trait) => trait !== '')
  return [`${step.taskCount} x ${step.cpuMillis} mcpu ${step.memoryMb} MB ${step.estimateMs} ms`, ...traits].join(', ')
}

interface RetryResult<T> { readonly result: Result<T, PlatformError>, readonly mayHaveEffect: boolean, readonly tries: number }
