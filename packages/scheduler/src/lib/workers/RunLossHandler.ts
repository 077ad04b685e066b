/**
 * Reports runs of ended worker lifetimes as lost, at once or as soon as it is certain that they no longer run anywhere.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import { lifetimeStartMsOf, type HoldReport, type WorkerInstance } from '@quillscale/ports'
import type { Run } from '@quillscale/policy'
import type { WorkerLoss } from '../jobs/CrashTracker.js'
import type { LossEvidence } from '../jobs/JobRegistry.js'
import { UnresolvedRuns, type UnresolvedState, type UnresolvedRun } from './UnresolvedRuns.js'
import { LATE_CALL_MS, type LeaseBounds } from './LeaseBounds.js'
import { MACHINE_GONE } from './EndedLifetimes.js'
import { runKey, type WorkerLink } from './WorkerLink.js'

/** Reason for losing runs: the worker has restarted. @public */
export const WORKER_RESTARTED = 'its worker has started again'
/** Reason for losing runs: the leases that this holder granted have expired. @public */
export const LEASES_EXPIRED = 'its leases are over'
/** Reason for losing runs: the leases that previous holders granted have expired. @public */
export const PREVIOUS_LEASES_EXPIRED = 'leases of former holders are over'

/** Dependencies of a {@link RunLossHandler}. @public */
export interface RunLossHandlerOptions {
  readonly clock: Clock
  readonly leases: LeaseBounds
  /** Monotonic time since which the duty has been held. */
  readonly tookOverMs: number
  /** Whether a machine is being drained. */
  readonly isDraining: (machineId: string) => boolean
  /** Called for each worker that ended, with its lost runs if it had any, before {@link RunLossHandlerOptions.onLost} is called for the runs. */
  readonly onWorkerLost: (loss: WorkerLoss) => void
  /** Called for each run that is lost with its worker. */
  readonly onLost: (run: Run, evidence: LossEvidence) => void
  /** Called for each run that the next lifetime of its worker turns out to run. */
  readonly onMoved: (run: Run) => void
}

/** An order in flight when its worker's machine went down either reaches the next lifetime within this time, and is listed there, or never does. */
const ORDERS_IN_FLIGHT_MS = 1500

/** Reports lost runs, and holds back those that may be running on the next lifetime of their worker. @public */
export class RunLossHandler {
  readonly #options: RunLossHandlerOptions
  readonly #unresolved = new UnresolvedRuns()

  /** @param options - dependencies of the handler */
  constructor (options: RunLossHandlerOptions) {
    this.#options = options
  }

  /** Tells whether a lifetime has unresolved runs. @param instanceId - id of the lifetime @returns true if it has any */
  hasUnresolved (instanceId: string): boolean {
    return this.#unresolved.has(instanceId)
  }

  /** Adds a run of an ended lifetime; a previous holder's order may have reached the current lifetime. @param run - the recorded run */
  addUnresolved (run: Run): void {
    this.#unresolved.add(run, this.#unresolvedStateOf(WORKER_RESTARTED, { mayArrive: false, loss: this.#lossOf(run.instanceId, undefined, WORKER_RESTARTED) }))
  }

  /** Reports the runs of a lifetime as lost, except those that may be on the next one. @param link - link to the lifetime @param reason - why it ended */
  loseRunsOfLink (link: WorkerLink, reason: string): void {
    const { instanceId } = link.instance
    const runs = [...link.runs.values()]
    if (runs.length === 0) return this.#reportIdleEnd(link, reason)
    const unresolved = new Set(runs.filter((run) => mayRunOnNextLifetime(run, link, reason)))
    const loss = this.#lossOf(instanceId, link, reason)
    for (const run of unresolved) this.#unresolved.add(run, this.#unresolvedStateOf(reason, { mayArrive: run.phase === 'starting', loss }))
    const ended = runs.filter((run) => !unresolved.has(run))
    if (ended.length === 0) return
    this.#options.onWorkerLost({ ...loss, runs: ended })
    for (const run of ended) {
      // The answer to its start may have been the next lifetime's, whose clock may go on as that of this one: only a report names its lifetime.
      // And an earlier attempt of the start, which had no answer, may reach the next lifetime.
      if (reason === WORKER_RESTARTED && run.phase === 'running' && (!link.hasListed(run) || run.isUncertain)) {
        this.#unresolved.add(run, { ...this.#unresolvedStateOf(reason, { mayArrive: false, loss }), isLossReported: true })
      } else this.#loseRun(run, loss, reason, countRunsOfOtherJobs(ended, run))
    }
  }

  /** Reports a restart of another service's worker, which no task of this service can have caused. @param instance - its current lifetime */
  reportRestartElsewhere ({ instanceId }: WorkerInstance): void {
    const unknown = { rack: undefined, availabilityZone: undefined, lastAnswerMs: undefined, lastReportMs: -Infinity }
    this.#options.onWorkerLost({ instanceId, ...unknown, runs: [], isPlanned: false, isSilent: false })
  }

  /** Reports the end of a worker without runs, unless it was out of use already. */
  #reportIdleEnd (link: WorkerLink, reason: string): void {
    if (!link.acceptsRuns || !link.isAnswering(this.#options.clock.monotonicMs())) return
    this.#options.onWorkerLost({ ...this.#lossOf(link.instance.instanceId, link, reason), runs: [] })
  }

  /**
   * Reports runs of a lifetime as lost.
   *
   * @param instanceId - id of the lifetime
   * @param link - link to it, `undefined` if there never was one
   * @param runs - the lost runs
   * @param reason - why they are lost
   */
  loseRuns (instanceId: string, link: WorkerLink | undefined, runs: readonly Run[], reason: string): void {
    if (runs.length === 0) return
    const loss = this.#lossOf(instanceId, link, reason)
    this.#options.onWorkerLost({ ...loss, runs })
    for (const run of runs) this.#loseRun(run, loss, reason, countRunsOfOtherJobs(runs, run))
  }

  /**
   * Resolves runs by the report of a worker's current lifetime. Runs whose start may still arrive there are stopped, which keeps them from
   * starting.
   *
   * @param link - link to the current lifetime
   * @param report - its report
   * @param askedMs - monotonic time when the report was requested
   */
  resolve (link: WorkerLink, report: HoldReport, askedMs: number): void {
    if (this.#unresolved.isEmpty) return
    const { reported, mayStillArrive, lost } = this.#unresolved.resolve(link, report, askedMs)
    for (const run of [...reported, ...mayStillArrive.map((each) => each.run)]) {
      run.instanceId = link.instance.instanceId
      run.lastListedMs = -Infinity
      run.workerClockStartMs = undefined
      link.runs.set(runKey(run), run)
      if (run.phase !== 'stopping') run.phase = 'unconfirmed'
      this.#options.onMoved(run)
    }
    // A stop that was sent to the previous lifetime may not have reached this one.
    for (const run of reported) if (run.phase === 'stopping') void link.stop(run)
    // It is not known whether the previous lifetime had started these runs, so its end counts for their tasks.
    this.#reportWorkerLosses(mayStillArrive)
    for (const { run } of mayStillArrive) void link.stop(run)
    this.#loseUnresolved(lost)
  }

  /** Reports unresolved runs as lost once no lease allows them any more. @param nowMs - monotonic time */
  loseExpired (nowMs: number): void {
    this.#loseUnresolved(this.#unresolved.takeExpired(nowMs))
  }

  #loseUnresolved (lost: readonly UnresolvedRun[]): void {
    this.#reportWorkerLosses(lost.filter(({ runState }) => runState.isLossReported !== true))
    for (const { run, runState } of lost) this.#loseRun(run, runState.loss, WORKER_RESTARTED)
  }

  /** Reports each lifetime that ended with unresolved runs, once. */
  #reportWorkerLosses (resolved: readonly UnresolvedRun[]): void {
    for (const instanceId of new Set(resolved.map(({ runState }) => runState.loss.instanceId))) {
      const ofLifetime = resolved.filter(({ runState }) => runState.loss.instanceId === instanceId)
      for (const { runState: { loss } } of ofLifetime.slice(0, 1)) this.#options.onWorkerLost({ ...loss, runs: ofLifetime.map(({ run }) => run) })
    }
  }

  #unresolvedStateOf (reason: string, details: Pick<UnresolvedState, 'mayArrive' | 'loss'>): UnresolvedState {
    const { clock, leases } = this.#options
    const sinceMs = clock.monotonicMs()
    // A start order may arrive late, and its lease end is on the previous lifetime's clock; on the next one's it may be a longer lease than the worker accepts.
    const lastsMs = reason === MACHINE_GONE ? ORDERS_IN_FLIGHT_MS : LATE_CALL_MS + leases.longestWorkerLeaseMs
    return { ...details, sinceMs, untilMs: sinceMs + lastsMs }
  }

  #lossOf (instanceId: string, link: WorkerLink | undefined, reason: string): Omit<WorkerLoss, 'runs'> {
    const nowMs = this.#options.clock.monotonicMs()
    const silentMs = link?.silentForMs(nowMs)
    return {
      instanceId,
      lastAnswerMs: silentMs === undefined ? undefined : nowMs - silentMs,
      lastReportMs: link?.lastReportMs ?? -Infinity,
      rack: link?.instance.labels.at(-1),
      availabilityZone: link?.instance.availabilityZone,
      isPlanned: link !== undefined && this.#isEndPlanned(link, nowMs),
      isSilent: reason === LEASES_EXPIRED || reason === PREVIOUS_LEASES_EXPIRED
    }
  }

  /** Whether the end was planned: the worker or its machine was draining, or the worker kept answering without a registration. */
  #isEndPlanned (link: WorkerLink, nowMs: number): boolean {
    const isLeaving = !link.isRegistered && link.hasLeft && link.isAnswering(nowMs)
    return isLeaving || link.instance.state === 'draining' || this.#options.isDraining(link.instance.machineId)
  }

  #loseRun (run: Run, { lastAnswerMs }: Omit<WorkerLoss, 'runs'>, reason: string, runsOfOtherJobs = 0): void {
    const { clock, tookOverMs, onLost } = this.#options
    const nowMs = clock.monotonicMs()
    const placedAgoMs = run.placedMs === undefined ? undefined : Math.round(nowMs - run.placedMs)
    onLost(run, { reason, silentMs: Math.round(nowMs - (lastAnswerMs ?? tookOverMs)), placedAgoMs, runsOfOtherJobs, isListed: run.lastListedMs > -Infinity })
  }
}

const countRunsOfOtherJobs = (runs: readonly Run[], { task: { job } }: Run): number => runs.filter(({ task }) => task.job !== job).length

/** Whether an order to start a run may have reached the next lifetime of its worker. */
function mayRunOnNextLifetime (run: Run, link: WorkerLink, reason: string): boolean {
  if (run.phase === 'recording' || link.hasConfirmed(run)) return false
  if (reason === WORKER_RESTARTED) return true
  // Orders of previous holders found no next lifetime while the machine was down.
  return reason === MACHINE_GONE && run.phase !== 'unconfirmed' && lifetimeStartMsOf(run.instanceId) !== undefined
}
