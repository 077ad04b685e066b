/**
 * Stand-ins of workers that run tasks under leases and fencing tokens. They inject the faults of real workers, and record every run so that tests can
 * check the promises.
 *
 * @module
 */
import { delay, Err, Ok, type Clock, type Result } from '@quillscale/utils'
import {
  lifetimeStartMsOf, workerIdOf, type EndReport, type HoldReport, type HoldRequest, type RunEnd, type RunOrderError, type RunOrders, type RunRef,
  type RunReport, type RunStart, type WorkerCapacity, type WorkerInstance
} from '@quillscale/ports'

/** Instructions for a task, sent as JSON in its command. @public */
export interface StandInCommand {
  /** Duration of a run; 0 for a run that lasts until it is stopped. */
  readonly runMs: number
  /** Whether every run fails. */
  readonly fails?: boolean
  /** Every run crashes its worker this long after its start. */
  readonly crashesAfterMs?: number
  /** Limits the crashes to the task with this index within its step; without it all tasks crash their workers. */
  readonly crashingIndex?: number
}

/** What a worker actually did in one run. @public */
export interface RunRecord extends RunRef {
  readonly instanceId: string
  readonly command: string
  /** Token of the order that started it. */
  readonly fencingToken: number
  readonly startedMs: number
  endedMs: number | undefined
  end: RunEnd | undefined
  /** Whether the scheduler acknowledged the end of the run before the worker's lease expired. A task with an acknowledged end `done` must not run again. */
  isAcknowledged: boolean
}

/** The faults that a worker shows. @public */
export interface WorkerFaults {
  /** Whether calls get no answer and have no effect. */
  isSilent: boolean
  /** Whether calls are carried out but get no answer. */
  losesAnswers: boolean
  /** Whether runs that reach their end report `failed`. */
  failsAll: boolean
  /** Delay with which starts are carried out; delayed starts get no answer. */
  startsLateMs: number
}

interface ActiveRun { readonly record: RunRecord, readonly capacity: WorkerCapacity, readonly endsAtMs: number, readonly percentOf: (nowMs: number) => number }

/** The error that a client reports for a missing answer after its timeout. */
const LOST_ANSWER: RunOrderError = { kind: 'unknown-effect', detail: 'no answer' }
const LOST_ANSWER_DELAY_MS = 30
const MAX_ENDS_LISTED = 500
const MAX_WAIT_MS = 2000
/** Time after its start at which a lasting task reports 100 percent, which means that it is ready. */
const READY_AFTER_MS = 20
const DEFAULT_TASK_SIZE: WorkerCapacity = { cpuMillis: 1000, memoryMb: 100, gpus: 0 }

/** Runs and records the tasks of one lifetime of a worker. @public */
export class StandInWorker {
  readonly faults: WorkerFaults = { isSilent: false, losesAnswers: false, failsAll: false, startsLateMs: 0 }
  readonly active = new Map<string, ActiveRun>()
  readonly records: RunRecord[] = []
  /** Called when a run has crashed this worker. */
  onCrash: (worker: StandInWorker) => void = () => {}
  /** Delay of the answer to a hold, in addition to the time that the hold waits. */
  holdDelayMs = 0
  /** Time that a run takes to end after a stop. */
  stopDelayMs = 0
  /** How many stops were accepted. */
  acceptedStopCount = 0
  /** The current capacity; its registration shows a change only some time later. */
  capacity: WorkerCapacity
  /** Whether it refuses a task beyond its capacity instead of starting it. */
  refusesOverload = true
  /** The longest lease that it accepts; it cuts longer ones. */
  maxLeaseMs = Infinity
  /** How far its monotonic clock is ahead of that of the others. */
  clockShiftMs = 0
  /** Times at which it was ordered to start a task beyond its capacity. */
  readonly overloadTimesMs: number[] = []
  /** Called at each such order. */
  onOverload: (atMs: number) => void = () => {}
  #fencingToken = 0
  #sequence = 0
  #ends: Array<EndReport & { readonly record: RunRecord }> = []
  /** Ends that were unacknowledged when the lease expired; a later acknowledgement of them does not count. */
  readonly #lapsedEnds = new Set<EndReport>()
  #lastClosedRuns = new Map<string, number>()
  #leaseEndsAtMs = 0
  #hasEnded = false
  #waiters = new Set<() => void>()

  /** @param instance - its registration @param clock - its monotonic clock @param sizeOf - returns the resources that a task needs */
  constructor (readonly instance: WorkerInstance, readonly clock: Clock, readonly sizeOf: (taskKey: string) => WorkerCapacity) {
    this.capacity = instance.capacity
  }

  /** Ends the lifetime: all runs end, and further calls are refused. */
  crash (): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    for (const run of this.active.values()) run.record.endedMs = this.clock.monotonicMs()
    this.active.clear()
    for (const wake of this.#waiters) wake()
  }

  /** Whether this lifetime has ended. */
  get hasEnded (): boolean {
    return this.#hasEnded
  }

  /**
   * Carries out a call, subject to the current faults.
   *
   * @param expectedInstanceId - the instance that the caller expects at this address
   * @param act - carries out the call
   * @returns the result of `act`, or the error that the caller sees
   */
  async call<T> (expectedInstanceId: string, act: () => Result<T, RunOrderError> | Promise<Result<T, RunOrderError>>): Promise<Result<T, RunOrderError>> {
    if (this.#hasEnded) return Err({ kind: 'unhealthy', detail: 'connection refused' })
    if (workerIdOf(expectedInstanceId) !== workerIdOf(this.instance.instanceId)) return Err({ kind: 'other-instance', detail: 'another lifetime' })
    if (this.faults.isSilent) {
      await delay(LOST_ANSWER_DELAY_MS)
      return Err(LOST_ANSWER)
    }
    this.step()
    const result = await act()
    if (this.#hasEnded) return Err({ kind: 'unknown-effect', detail: 'connection reset' })
    if (!this.faults.losesAnswers) return result
    await delay(LOST_ANSWER_DELAY_MS)
    return Err(LOST_ANSWER)
  }

  /** Ends runs that are complete or whose lease has expired. */
  step (): void {
    const nowMs = this.clock.monotonicMs()
    if (nowMs >= this.#leaseEndsAtMs) for (const end of this.#ends) this.#lapsedEnds.add(end)
    for (const run of [...this.active.values()]) {
      if (nowMs >= this.#leaseEndsAtMs) this.#end(run, 'lapsed', this.#leaseEndsAtMs)
      else if (nowMs >= run.endsAtMs) this.#end(run, this.faults.failsAll || isFailing(run.record) ? 'failed' : 'done')
    }
  }

  /** Starts a run. @param order - the run to start @returns the worker's clock */
  start (order: RunStart): Result<number, RunOrderError> {
    if (!this.#acceptsToken(order.fencingToken)) return Err({ kind: 'fenced-off', detail: 'a newer token was seen' })
    if (this.active.has(runKeyOf(order))) return Ok(this.#clockMs())
    const leaseEndsAtMs = this.#extendLease(order.leaseEndsAtMs)
    if (order.runNumber <= (this.#lastClosedRuns.get(order.taskKey) ?? 0)) return Err({ kind: 'run-closed', detail: 'old' })
    const nowMs = this.clock.monotonicMs()
    if (leaseEndsAtMs <= nowMs) return Err({ kind: 'lease-past', detail: 'late' })
    const capacity = this.sizeOf(order.taskKey)
    const hasRoom = this.#hasRoom(capacity)
    if (!hasRoom) {
      this.overloadTimesMs.push(nowMs)
      this.onOverload(nowMs)
    }
    if (!hasRoom && this.refusesOverload) return Err({ kind: 'no-room', detail: 'full' })
    const { runMs, crashesAfterMs, crashingIndex } = JSON.parse(order.command) as StandInCommand
    const record: RunRecord = {
      taskKey: order.taskKey,
      runNumber: order.runNumber,
      instanceId: this.instance.instanceId,
      command: order.command,
      fencingToken: order.fencingToken,
      startedMs: nowMs,
      endedMs: undefined,
      end: undefined,
      isAcknowledged: false
    }
    this.records.push(record)
    const percentOf = (atMs: number): number => {
      if (runMs === 0) return atMs - nowMs > READY_AFTER_MS ? 100 : 0
      return Math.min(99, Math.floor((atMs - nowMs) / runMs * 100))
    }
    this.active.set(runKeyOf(order), { record, capacity, endsAtMs: runMs === 0 ? Infinity : nowMs + runMs, percentOf })
    if (runMs > 0) setTimeout(() => this.#wakeWaiters(), runMs + 1).unref()
    const isCrashing = crashingIndex === undefined || order.taskKey.endsWith(`.${crashingIndex}`)
    if (crashesAfterMs !== undefined && isCrashing) setTimeout(() => this.#crashIfRunning(order), crashesAfterMs).unref()
    return Ok(this.#clockMs())
  }

  /** Stops a run. @param run - the run to stop @param fencingToken - token of the caller @returns the worker's clock */
  stop (run: RunRef, fencingToken: number): Result<number, RunOrderError> {
    if (!this.#acceptsToken(fencingToken)) return Err({ kind: 'fenced-off', detail: 'a newer token was seen' })
    this.acceptedStopCount++
    const active = this.active.get(runKeyOf(run))
    if (active !== undefined && this.stopDelayMs === 0) this.#end(active, 'stopped')
    else if (active !== undefined) setTimeout(() => { if (this.active.has(runKeyOf(run))) this.#end(active, 'stopped') }, this.stopDelayMs).unref()
    this.#lastClosedRuns.set(run.taskKey, Math.max(run.runNumber, this.#lastClosedRuns.get(run.taskKey) ?? 0))
    return Ok(this.#clockMs())
  }

  /** Renews the lease and waits for ends of runs. @param request - the hold @returns the runs in progress and the unacknowledged ends */
  async hold (request: HoldRequest): Promise<Result<HoldReport, RunOrderError>> {
    if (!this.#acceptsToken(request.fencingToken)) return Err({ kind: 'fenced-off', detail: 'a newer token was seen' })
    if (this.holdDelayMs > 0) await delay(this.holdDelayMs)
    if (request.leaseEndsAtMs !== undefined) this.#extendLease(request.leaseEndsAtMs)
    for (const end of this.#ends) if (end.sequence <= request.acknowledgedSequence && !this.#lapsedEnds.has(end)) end.record.isAcknowledged = true
    this.#ends = this.#ends.filter(({ sequence }) => sequence > request.acknowledgedSequence)
    if (this.#ends.length === 0 && request.waitMs > 0) await this.#waitForEnd(Math.min(MAX_WAIT_MS, request.waitMs))
    this.step()
    const nowMs = this.clock.monotonicMs()
    const running = [...this.active.values()].map(({ record, percentOf }): RunReport =>
      ({ taskKey: record.taskKey, runNumber: record.runNumber, checkpoint: '', percent: percentOf(nowMs), load: 0 }))
    return Ok({
      clockMs: this.#clockMs(),
      lifetimeStartMs: lifetimeStartMsOf(this.instance.instanceId),
      running,
      ended: this.#ends.slice(0, MAX_ENDS_LISTED),
      hasMoreEnds: this.#ends.length > MAX_ENDS_LISTED
    })
  }

  /** Extends the lease. @param endsAtMs - its end by this worker's clock @returns the end that was asked for, cut to the longest lease */
  #extendLease (endsAtMs: number): number {
    const cutMs = Math.min(endsAtMs - this.clockShiftMs, this.clock.monotonicMs() + this.maxLeaseMs)
    this.#leaseEndsAtMs = Math.max(this.#leaseEndsAtMs, cutMs)
    return cutMs
  }

  #clockMs (): number {
    return this.clock.monotonicMs() + this.clockShiftMs
  }

  #crashIfRunning (run: RunRef): void {
    if (!this.active.has(runKeyOf(run))) return
    this.crash()
    this.onCrash(this)
  }

  #acceptsToken (fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false
    this.#fencingToken = fencingToken
    return true
  }

  #hasRoom (wanted: WorkerCapacity): boolean {
    const used = [...this.active.values()].reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0)
    return used + wanted.cpuMillis <= this.capacity.cpuMillis
  }

  /** Records the end of a run. For an expired lease `endedMs` is its expiry, which may be noticed later. */
  #end (run: ActiveRun, end: RunEnd, endedMs = this.clock.monotonicMs()): void {
    const { record } = run
    this.active.delete(runKeyOf(record))
    record.end = end
    record.endedMs = endedMs
    this.#lastClosedRuns.set(record.taskKey, Math.max(record.runNumber, this.#lastClosedRuns.get(record.taskKey) ?? 0))
    this.#ends.push({ taskKey: record.taskKey, runNumber: record.runNumber, sequence: ++this.#sequence, end, checkpoint: '', record })
    this.#wakeWaiters()
  }

  #wakeWaiters (): void {
    this.step()
    if (this.#ends.length > 0) for (const wake of this.#waiters) wake()
  }

  #waitForEnd (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiters.add(wake)
    })
  }
}

const runKeyOf = (run: RunRef): string => `${run.taskKey}#${run.runNumber}`
const isFailing = (record: RunRecord): boolean => (JSON.parse(record.command) as StandInCommand).fails === true

/** Delivers orders to stand-in workers in the same process. @public */
export class StandInRuns implements RunOrders {
  readonly workers = new Map<string, StandInWorker>()
  /** Called when a run has crashed its worker. */
  onCrash: (worker: StandInWorker) => void = () => {}
  /** Workers by address; a new lifetime replaces the previous one. */
  readonly #workersByAddress = new Map<string, StandInWorker>()
  readonly #clock: Clock
  readonly #sizeOf: (taskKey: string) => WorkerCapacity

  /** @param clock - the clock that all workers share @param sizeOf - returns the resources that a task needs */
  constructor (clock: Clock, sizeOf: (taskKey: string) => WorkerCapacity = () => DEFAULT_TASK_SIZE) {
    this.#clock = clock
    this.#sizeOf = sizeOf
  }

  /** Adds a new lifetime of a worker. @param instance - its registration @returns the worker */
  add (instance: WorkerInstance): StandInWorker {
    const worker = new StandInWorker(instance, this.#clock, this.#sizeOf)
    worker.onCrash = (crashed) => this.onCrash(crashed)
    this.workers.set(instance.instanceId, worker)
    this.#workersByAddress.set(`${instance.address}:${instance.port}`, worker)
    return worker
  }

  /** The records of all runs so far. */
  get records (): RunRecord[] {
    return [...this.workers.values()].flatMap(({ records }) => records)
  }

  async start (worker: WorkerInstance, order: RunStart): Promise<Result<number, RunOrderError>> {
    const at = this.#workerAt(worker)
    const lateMs = at.faults.startsLateMs
    if (lateMs === 0) return await at.call(worker.instanceId, () => at.start(order))
    // The worker that has this address by then carries it out.
    setTimeout(() => { void this.#workerAt(worker).call(worker.instanceId, () => this.#workerAt(worker).start(order)) }, lateMs).unref()
    await delay(LOST_ANSWER_DELAY_MS)
    return Err(LOST_ANSWER)
  }

  async stop (worker: WorkerInstance, run: RunRef, fencingToken: number): Promise<Result<number, RunOrderError>> {
    const at = this.#workerAt(worker)
    return await at.call(worker.instanceId, () => at.stop(run, fencingToken))
  }

  async hold (worker: WorkerInstance, request: HoldRequest): Promise<Result<HoldReport, RunOrderError>> {
    const at = this.#workerAt(worker)
    return await at.call(worker.instanceId, () => at.hold(request))
  }

  async pace (worker: WorkerInstance): Promise<Result<number, RunOrderError>> {
    const at = this.#workerAt(worker)
    return await at.call(worker.instanceId, () => Ok(this.#clock.monotonicMs()))
  }

  releaseConnections (): void {
    // Nothing is kept open.
  }

  #workerAt (worker: WorkerInstance): StandInWorker {
    return this.#workersByAddress.get(`${worker.address}:${worker.port}`) as StandInWorker
  }
}
