/**
 * Connects the scheduler to one worker: extends its leases, collects reports of ended runs, and sends orders until their outcome is known.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { delay, type Clock, type Result } from '@quillscale/utils'
import { lifetimeStartMsOf, type HoldReport, type RunOrderError, type RunOrders, type RunRef, type WorkerInstance } from '@quillscale/ports'
import { coldUntilMs, type Run, WorkerHealth } from '@quillscale/policy'
import { LATE_CALL_MS } from './LeaseBounds.js'
import type { StopSlots } from './StopSlots.js'
import { WorkerClock } from './WorkerClock.js'

/** Dependencies of a {@link WorkerLink}, supplied by its scheduler. @public */
export interface WorkerLinkOptions {
  readonly orders: RunOrders
  readonly clock: Clock
  /** Resolves to the token of all calls to this lifetime. */
  readonly fencingToken: Promise<number>
  /** Whether this holder may have sent calls to an earlier lifetime of the worker. */
  readonly hasPredecessor: boolean
  /** Duration of a lease, counted from each hold or start. */
  readonly leaseMs: number
  /** Whether the duty is held at this moment; checked right before each start and lease extension. */
  readonly holdsDuty: () => boolean
  /** Whether the records that starts depend on are recent enough; checked right before each start. */
  readonly mayStart: () => boolean
  /** Whether the worker may be recorded as silent. Its leases must not be extended then: the next holder waits only for the recorded timer. */
  readonly isRecordedSilent: (link: WorkerLink) => boolean
  /** Removes the record so that leases may be extended; called when the worker answers. Resolves when the removal has succeeded or failed. */
  readonly removeSilentRecord: (link: WorkerLink) => Promise<void>
  /** Called with each report. @param askedMs - monotonic time when the request was sent */
  readonly onReport: (link: WorkerLink, report: HoldReport, askedMs: number) => void
  /** Whether a start whose outcome is unknown is sent again; otherwise the run is stopped. */
  readonly mayRepeatStart: (run: Run) => boolean
  /** Give stops their turn; those to workers whose calls fail, which wait for the whole time limit of a call, apart from the others. */
  readonly stopSlots: Readonly<Record<'answering' | 'failing', Pick<StopSlots, 'use'>>>
  /** Called for each start or stop that was answered, or given up while the worker answered others, with the time since it was handed over for sending. */
  readonly onOrderAnswered: (waitedMs: number) => void
  /** Called when a start is confirmed. */
  readonly onStarted: (run: Run) => void
  /** Called when a start has failed, or its outcome stayed unknown for too long. */
  readonly onNotStarted: (link: WorkerLink, run: Run, error: RunOrderError) => void
  /** Resolves to true once the ends reported so far are durable, to false if this scheduler was deposed. */
  readonly ensureDurable: () => Promise<boolean>
  /** Called when another worker answers at its address, or its next lifetime, which may have taken orders meant for it. */
  readonly onLifetimeEnded: (link: WorkerLink, by: 'other-worker' | 'next-lifetime') => void
  /** Called when the worker has accepted a newer holder. */
  readonly onFencedOff: (link: WorkerLink) => void
  /** Called with the error when the worker stops answering, with `undefined` when it answers again. */
  readonly onContactChange: (link: WorkerLink, error: RunOrderError | undefined) => void
  /** How long a hold may wait for a run to end. */
  readonly holdWaitMs: () => number
}

/** Without an answer for this long, which is two holds and a retry, a worker gets no new work. @public */
export const SILENT_AFTER_MS = 2500
/** Interval of lease extensions while reported ends are not yet durable. */
const LEASE_EXTENSION_INTERVAL_MS = 500
const MIN_RETRY_DELAY_MS = 100
/** Minimum time between two reports that are requested besides the regular ones. */
const MIN_REPORT_INTERVAL_MS = 100
const MAX_RETRY_DELAY_MS = 500
/** Timers may fire a millisecond early. */
const TIMER_MARGIN_MS = 5
/** A start with unknown outcome is retried for this long, then given up and stopped. */
const START_RETRY_PERIOD_MS = 1500

/** A long-polling connection to one worker lifetime, with the runs placed there. @public */
export class WorkerLink {
  readonly clock = new WorkerClock()
  readonly health = new WorkerHealth()
  /** Monotonic time when the link was opened. */
  readonly openedMs: number
  /** Runs placed there that are not known to have ended. */
  readonly runs = new Map<string, Run>()
  #instance: WorkerInstance
  #coldUntilMs: number
  /** State of the registration entry. An unreadable entry makes the worker ineligible for new work, but says nothing about its runs. */
  registration: 'readable' | 'unreadable' | 'missing' = 'readable'
  /** Whether the last call had been answered when its registration ended, as that of a worker that leaves but not of one that has crashed. */
  hasLeft = false
  /** Monotonic time until which no work is placed there, because the worker refused some. */
  refusingUntilMs = -Infinity
  processedSequence = 0
  readonly #options: WorkerLinkOptions
  readonly #stop = new AbortController()
  #acknowledgedSequence = 0
  /** Highest sequence whose acknowledgement this lifetime has answered. */
  #takenSequence = 0
  #lastResponseMs = -Infinity
  #lastReportMs = -Infinity
  #firstReportMs = Infinity
  #isInContact = true
  /** Whether a report is about to be requested besides the regular ones, and when the last such request was sent. */
  #isReportDue = false
  #reportRequestedMs = -Infinity
  #pendingRemoval: Promise<void> | undefined
  /** Whether a call has failed since the last answered hold, so that the next answer may come from the next lifetime. */
  #mayBeNextLifetime = false
  /** Unix time at which the lifetime began, from the registration or else from the first answer. */
  #lifetimeStartMs: number | undefined
  /** Monotonic time when the last start of a run was answered or given up. */
  readonly #startsSentMs = new WeakMap<Run, number>()
  /** Monotonic time until when the next lifetime may carry out a call that extends its lease. */
  #leaseCallsUntilMs = -Infinity
  /** Runs whose start this lifetime has confirmed. */
  readonly #confirmedRuns = new WeakSet<Run>()

  /** @param instance - the worker @param options - dependencies of the link */
  constructor (instance: WorkerInstance, options: WorkerLinkOptions) {
    this.#instance = instance
    this.#options = options
    this.openedMs = options.clock.monotonicMs()
    this.#coldUntilMs = coldUntilMs(-Infinity, instance.warmupLeftMs, this.openedMs)
    this.#lifetimeStartMs = lifetimeStartMsOf(instance.instanceId)
    // Many pending orders listen to this signal at a time.
    setMaxListeners(0, this.#stop.signal)
  }

  /** The latest registration of the worker. Each is one object, however often it is read. */
  get instance (): WorkerInstance {
    return this.#instance
  }

  set instance (instance: WorkerInstance) {
    if (instance === this.#instance) return
    this.#instance = instance
    this.#coldUntilMs = coldUntilMs(this.#coldUntilMs, instance.warmupLeftMs, this.#options.clock.monotonicMs())
  }

  /** Monotonic time until which the worker is or was slow after its start, `-Infinity` if it does not report that. */
  get coldUntilMs (): number {
    return this.#coldUntilMs
  }

  /** Whether this holder may have sent calls to an earlier lifetime of the worker. */
  get hasPredecessor (): boolean {
    return this.#options.hasPredecessor
  }

  /** Whether the worker is still registered. */
  get isRegistered (): boolean {
    return this.registration !== 'missing'
  }

  /** Whether a call has failed since the last report. */
  get hasFailedCalls (): boolean {
    return this.#mayBeNextLifetime
  }

  /** Whether the worker is registered as ready for new work. */
  get acceptsRuns (): boolean {
    return this.registration === 'readable' && this.instance.state === 'ready'
  }

  /** Tells whether the worker has answered recently. @param nowMs - monotonic time @returns true if it has */
  isAnswering (nowMs: number): boolean {
    return nowMs - this.#lastResponseMs < SILENT_AFTER_MS
  }

  /** Whether the worker has ever answered this scheduler; from then on it rejects orders of older ones. */
  get hasResponded (): boolean {
    return this.#lastResponseMs > -Infinity
  }

  /** Returns the time since the last answer. @param nowMs - monotonic time @returns `undefined` if the worker never answered this scheduler */
  silentForMs (nowMs: number): number | undefined {
    return this.hasResponded ? nowMs - this.#lastResponseMs : undefined
  }

  /** Monotonic time of the last report, which this lifetime certainly gave; an answer to an order may be the next one's. `-Infinity` before the first. */
  get lastReportMs (): number {
    return this.#lastReportMs
  }

  /** Monotonic time of the first report; from then on this lifetime rejects calls of previous holders, and calls to earlier lifetimes. `Infinity` before it. */
  get firstReportMs (): number {
    return this.#firstReportMs
  }

  /** Whether the worker may be recorded as silent; it gets no leases and no new work until the record is removed. */
  get isRecordedSilent (): boolean {
    return this.#options.isRecordedSilent(this)
  }

  /** Tells whether a run certainly reached this lifetime, so that it ends with it. @param run - a run placed there @returns true if it did */
  hasConfirmed (run: Run): boolean {
    return this.#confirmedRuns.has(run) || this.hasListed(run)
  }

  /**
   * Tells until when a start may have reached the next lifetime, which grants a lease from then on: the answer was not this lifetime's, or there was none.
   * Each later call that extends the lease prolongs it for the run as well.
   *
   * @param run - a run placed there
   * @returns monotonic time, `-Infinity` if no start was sent or the run certainly reached this lifetime
   */
  startMayArriveUntilMs (run: Run): number {
    const sentMs = this.hasConfirmed(run) ? undefined : this.#startsSentMs.get(run)
    return sentMs === undefined ? -Infinity : Math.max(sentMs + (run.isUncertain ? LATE_CALL_MS : 0), this.#leaseCallsUntilMs)
  }

  /** Tells whether a report of this lifetime has listed a run. @param run - a run placed there @returns true if one has */
  hasListed (run: Run): boolean {
    return run.lastListedMs > -Infinity
  }

  /** Stops polling and retrying, and drops pending orders. */
  close (): void {
    this.#stop.abort()
    this.#options.orders.releaseConnections(this.instance)
  }

  /** Polls the worker with holds until the link is closed. */
  async keepPolling (): Promise<void> {
    let failures = 0
    while (!this.#stop.signal.aborted) {
      const mayWait = failures === 0 && this.hasResponded && !this.isRecordedSilent
      const isAnswered = await this.#hold(mayWait ? this.#options.holdWaitMs() : 0)
      if (isAnswered && this.isRecordedSilent) await this.#waitForRemoval()
      failures = isAnswered ? 0 : failures + 1
      if (failures > 0) await delay(Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1)), this.#stop.signal)
    }
  }

  /** Waits until leases may be extended, but not longer than a regular extension interval. */
  async #waitForRemoval (): Promise<void> {
    await Promise.race([this.#pendingRemoval, delay(LEASE_EXTENSION_INTERVAL_MS, this.#stop.signal)])
    if (this.isRecordedSilent) await delay(MIN_RETRY_DELAY_MS, this.#stop.signal)
  }

  /** Requests a report some time from now, in addition to the regular ones. @param delayMs - the least time until then */
  pollAfter (delayMs: number): void {
    void delay(delayMs + TIMER_MARGIN_MS, this.#stop.signal).then(() => {
      if (!this.#stop.signal.aborted) void this.#hold(0)
    })
  }

  async #hold (waitMs: number): Promise<boolean> {
    const { clock, orders } = this.#options
    const fencingToken = await this.#options.fencingToken
    if (this.#stop.signal.aborted) return true
    const askedMs = clock.monotonicMs()
    const acknowledgedSequence = this.#sequenceToAcknowledge
    // A worker that does not answer gets no extensions: otherwise its leases might never be known to have expired.
    const leaseEndsAtMs = waitMs > 0 ? this.#extendLease(askedMs) : undefined
    const held = await orders.hold(this.instance, { fencingToken, acknowledgedSequence, leaseEndsAtMs, waitMs })
    if (leaseEndsAtMs !== undefined) this.#recordLeaseCall(held.err || held.val.hasUnansweredAttempt === true)
    if (this.#stop.signal.aborted) return true
    if (held.err) {
      this.#handleError(held.val)
      return false
    }
    if (this.#isOtherLifetime(held.val)) {
      this.#options.onLifetimeEnded(this, 'next-lifetime')
      return true
    }
    this.#mayBeNextLifetime = false
    this.#recordTaken(acknowledgedSequence, held.val)
    this.#handleResponse(held.val.clockMs)
    this.#lastReportMs = clock.monotonicMs()
    this.#firstReportMs = Math.min(this.#firstReportMs, this.#lastReportMs)
    this.#options.onReport(this, held.val, askedMs)
    const last = held.val.ended.at(-1)?.sequence ?? 0
    if (last > this.#acknowledgedSequence) await this.#acknowledge(last)
    return true
  }

  /** Acknowledges reported ends once they are durable, and extends leases meanwhile. */
  async #acknowledge (sequence: number): Promise<void> {
    const durable = this.#options.ensureDurable()
    for (;;) {
      const isDurable = await Promise.race([durable, delay(LEASE_EXTENSION_INTERVAL_MS).then(() => undefined)])
      if (isDurable === true) this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence)
      if (isDurable !== undefined || this.#stop.signal.aborted) return
      const { clock, orders } = this.#options
      const fencingToken = await this.#options.fencingToken
      const nowMs = clock.monotonicMs()
      const leaseEndsAtMs = this.isAnswering(nowMs) ? this.#extendLease(nowMs) : undefined
      const acknowledgedSequence = this.#sequenceToAcknowledge
      const held = await orders.hold(this.instance, { fencingToken, acknowledgedSequence, leaseEndsAtMs, waitMs: 0 })
      if (leaseEndsAtMs !== undefined) this.#recordLeaseCall(held.err || held.val.hasUnansweredAttempt === true)
      if (held.err) this.#mayBeNextLifetime = true
      else if (this.#isOtherLifetime(held.val)) return this.#options.onLifetimeEnded(this, 'next-lifetime')
      else {
        this.#recordTaken(acknowledgedSequence, held.val)
        this.#handleResponse(held.val.clockMs)
      }
    }
  }

  /**
   * Sequence to acknowledge. It is 0 if the next lifetime may receive it, because that one numbers its ends from 1 again and would drop them unreported;
   * for the same reason no sequence is sent again once its acknowledgement has been answered.
   */
  get #sequenceToAcknowledge (): number {
    return this.#mayBeNextLifetime || this.#takenSequence === this.#acknowledgedSequence ? 0 : this.#acknowledgedSequence
  }

  /** Records that this lifetime has answered a hold. A second attempt of it acknowledged nothing. */
  #recordTaken (acknowledgedSequence: number, { hasUnansweredAttempt }: HoldReport): void {
    if (hasUnansweredAttempt !== true) this.#takenSequence = Math.max(this.#takenSequence, acknowledgedSequence)
  }

  #isOtherLifetime ({ lifetimeStartMs: bornMs }: HoldReport): boolean {
    if (bornMs === undefined) return false
    this.#lifetimeStartMs ??= bornMs
    return bornMs !== this.#lifetimeStartMs
  }

  /** Records a call that extends the lease. @param mayArrive - whether it may still be carried out */
  #recordLeaseCall (mayArrive: boolean): void {
    this.#leaseCallsUntilMs = Math.max(this.#leaseCallsUntilMs, this.#options.clock.monotonicMs() + (mayArrive ? LATE_CALL_MS : 0))
  }

  /** Extends the lease. @param nowMs - monotonic time @returns the new end of the lease, `undefined` if none may be granted */
  #extendLease (nowMs: number): number | undefined {
    const { holdsDuty, leaseMs } = this.#options
    return holdsDuty() && !this.isRecordedSilent ? this.clock.extendLease(leaseMs, nowMs) : undefined
  }

  /**
   * Sends a start order until its outcome is known. The placement must be durable.
   *
   * @param run - a run in phase `starting`
   * @param command - its command
   * @param checkpoint - the checkpoint to start from, if there is one
   */
  async startRun (run: Run, command: string, checkpoint: string | undefined): Promise<void> {
    const { orders, clock, mayStart, mayRepeatStart } = this.#options
    const fencingToken = await this.#options.fencingToken
    const beganMs = clock.monotonicMs()
    while (run.phase === 'starting' && !this.#stop.signal.aborted) {
      const nowMs = clock.monotonicMs()
      const leaseEndsAtMs = mayStart() ? this.#extendLease(nowMs) : undefined
      if (leaseEndsAtMs === undefined) {
        if (nowMs - beganMs > START_RETRY_PERIOD_MS || !mayRepeatStart(run)) return this.#giveUpStart(run)
        await delay(MIN_RETRY_DELAY_MS, this.#stop.signal)
        continue
      }
      const started = await orders.start(this.instance, {
        taskKey: run.taskKey, runNumber: run.runNumber, command, leaseEndsAtMs, fencingToken, checkpoint, ticket: run.ticket
      })
      this.#reportWait(nowMs, started)
      if (started.err && started.val.kind === 'not-sent') {
        if (this.#mayWaitLonger(nowMs, beganMs) && mayRepeatStart(run)) continue
        return this.#reportNotStarted(run, started.val)
      }
      this.#startsSentMs.set(run, clock.monotonicMs())
      this.#recordLeaseCall(started.err && started.val.kind === 'unknown-effect')
      if (started.ok) {
        if (this.clock.isPlausibleReading(started.val, clock.monotonicMs())) this.#confirmedRuns.add(run)
        this.#handleResponse(started.val)
        this.#options.onStarted(run)
        return
      }
      if (started.val.kind !== 'unknown-effect') return this.#reportNotStarted(run, started.val)
      run.isUncertain = true
      if (clock.monotonicMs() - beganMs > START_RETRY_PERIOD_MS) return this.#giveUpStart(run)
      await delay(MIN_RETRY_DELAY_MS, this.#stop.signal)
      if (!mayRepeatStart(run)) return this.#giveUpStart(run)
    }
  }

  /** Reports how long an order waited, unless the worker has answered nothing meanwhile: then the wait says nothing about this host. */
  #reportWait (handedOverMs: number, answer: Result<number, RunOrderError>): void {
    const isUnanswered = answer.err && (answer.val.kind === 'unknown-effect' || answer.val.kind === 'not-sent')
    if (!isUnanswered || this.#lastResponseMs >= handedOverMs) this.#options.onOrderAnswered(this.#options.clock.monotonicMs() - handedOverMs)
  }

  /**
   * Tells whether a start that found no free connection is handed over once more: this host is busy, and the worker is not the reason.
   *
   * @param handedOverMs - monotonic time when the start was handed over last
   * @param beganMs - monotonic time when it was handed over first
   * @returns false if the worker takes no new runs any more, or has answered nothing since then, as its unanswered calls take all connections
   */
  #mayWaitLonger (handedOverMs: number, beganMs: number): boolean {
    return this.acceptsRuns && this.#lastResponseMs >= handedOverMs && this.#options.clock.monotonicMs() - beganMs <= START_RETRY_PERIOD_MS
  }

  /** Sends a stop order until the worker has answered. @param run - the run to stop */
  async stop (run: Run): Promise<void> {
    const { stopSlots, clock } = this.#options
    run.phase = 'stopping'
    const fencingToken = await this.#options.fencingToken
    for (let pauseMs = MIN_RETRY_DELAY_MS; this.runs.has(runKey(run)) && !this.#stop.signal.aborted; pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2)) {
      const stopped = await stopSlots[this.hasFailedCalls ? 'failing' : 'answering'].use(run.task.job, () => this.#sendStop(run, fencingToken))
      if (stopped === undefined) continue
      const isRefused = stopped.err && (stopped.val.kind === 'run-closed' || stopped.val.kind === 'malformed')
      if (stopped.ok || isRefused) {
        run.stopConfirmedMs = clock.monotonicMs()
        void this.#pollNow()
        return
      }
      this.#handleError(stopped.val)
      await delay(pauseMs, this.#stop.signal)
    }
  }

  /** Sends a stop order, unless the run has ended while it waited for its turn. */
  async #sendStop (run: Run, fencingToken: number): Promise<Result<number, RunOrderError> | undefined> {
    if (!this.runs.has(runKey(run)) || this.#stop.signal.aborted) return undefined
    const { orders, clock } = this.#options
    const handedOverMs = clock.monotonicMs()
    const stopped = await orders.stop(this.instance, run, fencingToken)
    this.#reportWait(handedOverMs, stopped)
    return stopped
  }

  /** Sends a stop order, once, for a run that has no record. @param run - a run that the worker lists */
  async stopUnrecorded (run: RunRef): Promise<void> {
    await this.#options.orders.stop(this.instance, run, await this.#options.fencingToken)
  }

  /** Limits the pace of a filler run. @param run - the run @param percent - 0 to 100 percent of full pace @returns whether the worker accepted it */
  async pace (run: Run, percent: number): Promise<boolean> {
    const paced = await this.#options.orders.pace(this.instance, run, percent, await this.#options.fencingToken)
    if (paced.err) this.#handleError(paced.val)
    return paced.ok
  }

  #giveUpStart (run: Run): void {
    const wasSent = this.#startsSentMs.has(run)
    this.#options.onNotStarted(this, run, wasSent ? { kind: 'unknown-effect', detail: 'no answer to the start' } : { kind: 'not-sent', detail: 'held back' })
  }

  #reportNotStarted (run: Run, error: RunOrderError): void {
    this.#handleError(error)
    this.#options.onNotStarted(this, run, error)
  }

  /**
   * Requests a report at once, because a pending hold does not show changes since it was sent. Requests that follow each other closely share one, since each
   * report lists all runs of the worker.
   */
  async #pollNow (): Promise<void> {
    if (this.#isReportDue) return
    this.#isReportDue = true
    const { clock } = this.#options
    const waitMs = this.#reportRequestedMs + MIN_REPORT_INTERVAL_MS - clock.monotonicMs()
    if (waitMs > 0) await delay(waitMs, this.#stop.signal)
    this.#isReportDue = false
    if (this.#stop.signal.aborted) return
    this.#reportRequestedMs = clock.monotonicMs()
    await this.#hold(0)
  }

  #handleResponse (clockMs: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#lastResponseMs = nowMs
    this.clock.addReading(clockMs, nowMs)
    if (!this.#isInContact) this.#options.onContactChange(this, undefined)
    this.#isInContact = true
    if (this.isRecordedSilent) this.#pendingRemoval ??= this.#options.removeSilentRecord(this).finally(() => { this.#pendingRemoval = undefined })
  }

  #handleError (error: RunOrderError): void {
    // A call to an ended lifetime that reaches the next one is rejected as one of a former holder would be.
    if (error.kind === 'fenced-off') return this.#stop.signal.aborted ? undefined : this.#options.onFencedOff(this)
    if (error.kind === 'other-instance') return this.#options.onLifetimeEnded(this, 'other-worker')
    if (error.kind !== 'unknown-effect' && error.kind !== 'unhealthy') return
    this.#mayBeNextLifetime = true
    if (this.#isInContact && !this.isAnswering(this.#options.clock.monotonicMs())) {
      this.#isInContact = false
      this.#options.onContactChange(this, error)
    }
  }
}

/** Builds the key of a run within its worker. @param run - the run @returns the key @public */
export function runKey (run: { readonly taskKey: string, readonly runNumber: number }): string {
  return `${run.taskKey}#${run.runNumber}`
}
