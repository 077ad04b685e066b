/**
 * One task a worker: holds what runs there, learns of ends, and sends orders until their outcome is known.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { delay, type Clock } from '@quillscale/utils'
import { bornMsOf, type HoldReport, type RunOrderError, type RunOrders, type WorkerInstance } from '@quillscale/ports'
import { type Run, WorkerHealth } from '@quillscale/policy'
import { WorkerClock } from './WorkerClock.js'

/** What a link needs of its scheduler. @public */
export interface WorkerLinkOptions {
  readonly orders: RunOrders
  readonly clock: Clock
  readonly fencingToken: number
  /** How long a lease lasts from each hold or start. */
  readonly leaseMs: number
  /** Whether the duty is held at this moment; checked right before each start and extension. */
  readonly holdsDuty: () => boolean
  /** Whether no lease may be extended there yet: a next holder might count it from an earlier time. */
  readonly isRecordedSilent: (link: WorkerLink) => boolean
  /** Makes extensions possible again; called once it answers. Resolves when it is done, or cannot be. */
  readonly removeSilentRecord: (link: WorkerLink) => Promise<void>
  /** Called with each answer. @param askedMs - monotonic, when the question was sent */
  readonly onReport: (link: WorkerLink, report: HoldReport, askedMs: number) => void
  /** Called when a start is known to have happened, or never to happen. */
  readonly onStarted: (run: Run) => void
  readonly onNotStarted: (link: WorkerLink, run: Run, error: RunOrderError) => void
  /** Resolves once the ends reported so far are durable; false if this scheduler was deposed. */
  readonly ensureDurable: () => Promise<boolean>
  /** Called when something else answers at its address: another worker, or the next lifetime of this one, which may have taken orders for it. */
  readonly onLifetimeEnded: (link: WorkerLink, by: 'other-worker' | 'next-lifetime') => void
  /** Called when a newer holder was there. */
  readonly onFencedOff: (link: WorkerLink) => void
  /** Called when the worker stops answering, with `undefined` when it answers again. */
  readonly onContactChange: (link: WorkerLink, error: RunOrderError | undefined) => void
  /** How long a hold may wait for an end. */
  readonly holdWaitMs: () => number
}

/** Without an answer for so long, a worker gets no new work: two holds and a retry. @public */
export const SILENT_AFTER_MS = 2500
/** While ends wait for the store, leases are extended this often. */
const LEASE_EXTENSION_INTERVAL_MS = 500
const MIN_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 500
/** A start whose outcome is not known is asked again for so long, then stopped for good. */
const START_RETRY_PERIOD_MS = 1500

/** A worker as one scheduler deals with it. @public */
export class WorkerLink {
  readonly clock = new WorkerClock()
  readonly health = new WorkerHealth()
  /** Monotonic; since when it is asked. */
  readonly openedMs: number
  /** Runs placed there that are not known to be over. */
  readonly runs = new Map<string, Run>()
  /** As last registered. */
  instance: WorkerInstance
  /** Whether its entry is there; one that cannot be read any more names no worker for new work, and says nothing about what runs there. */
  registration: 'readable' | 'unreadable' | 'missing' = 'readable'
  /** Monotonic; no work is placed until then, since it refused some. */
  refusingUntilMs = -Infinity
  processedSequence = 0
  readonly #options: WorkerLinkOptions
  readonly #stop = new AbortController()
  #acknowledgedSequence = 0
  #lastResponseMs = -Infinity
  #isInContact = true
  #pendingRemoval: Promise<void> | undefined
  /** A call failed since the last hold was answered: the next answer may be another lifetime's. */
  #mayBeNextLifetime = false
  /** As registered, or as first answered. */
  #bornMs: number | undefined
  /** Runs whose start this lifetime itself has confirmed. */
  readonly #confirmedRuns = new WeakSet<Run>()

  /** @param instance - the worker @param options - its scheduler's part */
  constructor (instance: WorkerInstance, options: WorkerLinkOptions) {
    this.instance = instance
    this.#options = options
    this.openedMs = options.clock.monotonicMs()
    this.#bornMs = bornMsOf(instance.instanceId)
    // Orders under way wait for its end, many at a time.
    setMaxListeners(0, this.#stop.signal)
  }

  /** Whether the platform still lists it. */
  get isRegistered (): boolean {
    return this.registration !== 'missing'
  }

  /** Whether it says that it takes new work. */
  get takesWork (): boolean {
    return this.registration === 'readable' && this.instance.state === 'ready'
  }

  /** @param nowMs - monotonic @returns whether it has answered lately */
  isAnswering (nowMs: number): boolean {
    return nowMs - this.#lastResponseMs < SILENT_AFTER_MS
  }

  /** Whether it has ever answered this scheduler: from then on it obeys no older one. */
  get hasResponded (): boolean {
    return this.#lastResponseMs > -Infinity
  }

  /** @param nowMs - monotonic @returns for how long it has not answered this scheduler, `undefined` if it never did */
  silentForMs (nowMs: number): number | undefined {
    return this.hasResponded ? nowMs - this.#lastResponseMs : undefined
  }

  /** Whether it is written down as silent: it gets no lease, and no new work, until that is taken back. */
  get isNotedSilent (): boolean {
    return this.#options.isRecordedSilent(this)
  }

  /** @param run - placed there @returns whether it surely reached this lifetime, so that it ended with it if that is over */
  hasConfirmed (run: Run): boolean {
    return this.#confirmedRuns.has(run) || run.lastListedMs > -Infinity
  }

  /** Ends all that this link does. */
  close (): void {
    this.#stop.abort()
    this.#options.orders.forget(this.instance)
  }

  /** Holds the worker until closed. */
  async keepPolling (): Promise<void> {
    let failures = 0
    while (!this.#stop.signal.aborted) {
      const mayWait = failures === 0 && this.hasResponded && !this.isNotedSilent
      const isAnswered = await this.#hold(mayWait ? this.#options.holdWaitMs() : 0)
      if (isAnswered && this.isNotedSilent) await this.#waitForRemoval()
      failures = isAnswered ? 0 : failures + 1
      if (failures > 0) await delay(Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1)), this.#stop.signal)
    }
  }

  /** Until its leases may be extended, but asks again meanwhile. */
  async #waitForRemoval (): Promise<void> {
    await Promise.race([this.#pendingRemoval, delay(LEASE_EXTENSION_INTERVAL_MS, this.#stop.signal)])
    if (this.isNotedSilent) await delay(MIN_RETRY_DELAY_MS, this.#stop.signal)
  }

  async #hold (waitMs: number): Promise<boolean> {
    const { orders, clock, fencingToken } = this.#options
    const askedMs = clock.monotonicMs()
    const held = await orders.hold(this.instance, {
      fencingToken,
      acknowledgedSequence: this.#sequenceToAcknowledge,
      // One that does not answer is only asked: if extensions went on into the void, its leases would never surely end.
      leaseEndsAtMs: waitMs > 0 ? this.#extendLease(askedMs) : undefined,
      waitMs
    })
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
    this.#handleResponse(held.val.clockMs)
    this.#options.onReport(this, held.val, askedMs)
    const last = held.val.ended.at(-1)?.sequence ?? 0
    if (last > this.#acknowledgedSequence) await this.#acknowledge(last)
    return true
  }

  /** Ends are acknowledged once they are durable; meanwhile leases are extended. */
  async #acknowledge (sequence: number): Promise<void> {
    const durable = this.#options.ensureDurable()
    for (;;) {
      const isDurable = await Promise.race([durable, delay(LEASE_EXTENSION_INTERVAL_MS).then(() => undefined)])
      if (isDurable === true) this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence)
      if (isDurable !== undefined || this.#stop.signal.aborted) return
      const { orders, clock, fencingToken } = this.#options
      const nowMs = clock.monotonicMs()
      const leaseEndsAtMs = this.isAnswering(nowMs) ? this.#extendLease(nowMs) : undefined
      const held = await orders.hold(this.instance, { fencingToken, acknowledgedSequence: this.#sequenceToAcknowledge, leaseEndsAtMs, waitMs: 0 })
      if (held.err) this.#mayBeNextLifetime = true
      else if (this.#isOtherLifetime(held.val)) return this.#options.onLifetimeEnded(this, 'next-lifetime')
      else this.#handleResponse(held.val.clockMs)
    }
  }

  /** The next lifetime counts its ends from 1 again: nothing is acknowledged where it may be the one that reads this. */
  get #sequenceToAcknowledge (): number {
    return this.#mayBeNextLifetime ? 0 : this.#acknowledgedSequence
  }

  #isOtherLifetime ({ bornMs }: HoldReport): boolean {
    if (bornMs === undefined) return false
    this.#bornMs ??= bornMs
    return bornMs !== this.#bornMs
  }

  /** @param nowMs - monotonic @returns the end of a lease given now, `undefined` where none may be given */
  #extendLease (nowMs: number): number | undefined {
    const { holdsDuty: mayOrder, leaseMs } = this.#options
    return mayOrder() && !this.isNotedSilent ? this.clock.extendLease(leaseMs, nowMs) : undefined
  }

  /** Orders a run whose placement is durable, until the outcome is known. @param run - in phase `starting` */
  async startRun (run: Run, command: string, checkpoint: string | undefined): Promise<void> {
    const { orders, clock, fencingToken } = this.#options
    const beganMs = clock.monotonicMs()
    while (run.phase === 'starting' && !this.#stop.signal.aborted) {
      const nowMs = clock.monotonicMs()
      const leaseEndsAtMs = this.#extendLease(nowMs)
      if (leaseEndsAtMs === undefined) {
        if (nowMs - beganMs > START_RETRY_PERIOD_MS) return this.#giveUpStart(run)
        await delay(MIN_RETRY_DELAY_MS, this.#stop.signal)
        continue
      }
      const started = await orders.start(this.instance, {
        taskKey: run.taskKey, runNumber: run.runNumber, command, leaseEndsAtMs, fencingToken, checkpoint, ticket: run.ticket
      })
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
    }
  }

  /** Sends a stop until the worker has answered. @param run - that is not to run any more */
  async stop (run: Run): Promise<void> {
    const { orders, clock, fencingToken } = this.#options
    run.phase = 'stopping'
    for (let pauseMs = MIN_RETRY_DELAY_MS; this.runs.has(runKey(run)) && !this.#stop.signal.aborted; pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2)) {
      const stopped = await orders.stop(this.instance, run, fencingToken)
      const isRefused = stopped.err && (stopped.val.kind === 'run-closed' || stopped.val.kind === 'malformed')
      if (stopped.ok || isRefused) {
        run.stopConfirmedMs = clock.monotonicMs()
        this.#pollNow()
        return
      }
      this.#handleError(stopped.val)
      await delay(pauseMs, this.#stop.signal)
    }
  }

  /** Sets the share at which a run may work. @param run - that fills @param percent - 0 to 100 @returns whether the worker took it */
  async pace (run: Run, percent: number): Promise<boolean> {
    const paced = await this.#options.orders.pace(this.instance, run, percent, this.#options.fencingToken)
    if (paced.err) this.#handleError(paced.val)
    return paced.ok
  }

  #giveUpStart (run: Run): void {
    this.#options.onNotStarted(this, run, { kind: 'unknown-effect', detail: 'no answer to the start' })
  }

  #reportNotStarted (run: Run, error: RunOrderError): void {
    this.#handleError(error)
    this.#options.onNotStarted(this, run, error)
  }

  /** A waiting hold says nothing of what changed since: one that is sent now does. */
  #pollNow (): void {
    void this.#hold(0)
  }

  #handleResponse (clockMs: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#lastResponseMs = nowMs
    this.clock.addReading(clockMs, nowMs)
    if (!this.#isInContact) this.#options.onContactChange(this, undefined)
    this.#isInContact = true
    if (this.isNotedSilent) this.#pendingRemoval ??= this.#options.removeSilentRecord(this).finally(() => { this.#pendingRemoval = undefined })
  }

  #handleError (error: RunOrderError): void {
    if (error.kind === 'fenced-off') return this.#options.onFencedOff(this)
    if (error.kind === 'other-instance') return this.#options.onLifetimeEnded(this, 'other-worker')
    if (error.kind !== 'unknown-effect' && error.kind !== 'unhealthy') return
    this.#mayBeNextLifetime = true
    if (this.#isInContact && !this.isAnswering(this.#options.clock.monotonicMs())) {
      this.#isInContact = false
      this.#options.onContactChange(this, error)
    }
  }
}

/** @param run - any @returns its name within a worker @public */
export function runKey (run: { readonly taskKey: string, readonly runNumber: number }): string {
  return `${run.taskKey}#${run.runNumber}`
}
