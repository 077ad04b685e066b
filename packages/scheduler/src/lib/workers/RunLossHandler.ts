/**
 * Gives up the runs of workers' lifetimes that are over, at once or as soon as it is known that they go on nowhere.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import { bornMsOf, type HoldReport } from '@quillscale/ports'
import type { Run } from '@quillscale/policy'
import type { WorkerLoss } from '../jobs/CrashTracker.js'
import type { LossEvidence } from '../jobs/JobRegistry.js'
import { UnresolvedRuns, type UnresolvedState, type UnresolvedRun } from './UnresolvedRuns.js'
import type { LeaseBounds } from './LeaseBounds.js'
import { MACHINE_GONE } from './EndedLifetimes.js'
import { runKey, type WorkerLink } from './WorkerLink.js'

/** Why runs are given up. @public */
export const WORKER_RESTARTED = 'its worker has started again'
/** The same. @public */
export const LEASES_EXPIRED = 'its leases are over'
/** The same. @public */
export const PREVIOUS_LEASES_EXPIRED = 'leases of former holders are over'

/** What it works with. @public */
export interface RunLossHandlerOptions {
  readonly clock: Clock
  readonly leases: LeaseBounds
  /** Monotonic; since when the duty is held. */
  readonly tookOverMs: number
  /** Whether a machine is being emptied. */
  readonly isVacating: (machineId: string) => boolean
  /** Called for each worker whose runs are lost, before its runs are. */
  readonly onWorkerLost: (loss: WorkerLoss) => void
  /** Called for each run that is lost with its worker. */
  readonly onLost: (run: Run, evidence: LossEvidence) => void
  /** Called for each run that turned out to be on the next lifetime of its worker. */
  readonly onMoved: (run: Run) => void
}

/** An order under way when its worker's machine went down has reached the next lifetime within this, and is listed there, or never will. */
const ORDERS_IN_FLIGHT_MS = 1500

/** The losses. @public */
export class RunLossHandler {
  readonly #options: RunLossHandlerOptions
  readonly #unresolved = new UnresolvedRuns()

  /** @param options - what it works with */
  constructor (options: RunLossHandlerOptions) {
    this.#options = options
  }

  /** @param instanceId - any @returns whether runs of that lifetime are in doubt */
  hasUnresolved (instanceId: string): boolean {
    return this.#unresolved.has(instanceId)
  }

  /** Takes note of a run of a lifetime that is over: a former holder's order for it may have reached the present one. @param run - as recorded */
  addUnresolved (run: Run): void {
    this.#unresolved.add(run, this.#unresolvedStateOf(WORKER_RESTARTED, { mayArrive: false, loss: this.#lossOf(run.instanceId, undefined, WORKER_RESTARTED) }))
  }

  /** Gives up the runs of a lifetime, but for those that may be on the next one. @param link - to that lifetime @param reason - why it is over */
  loseRunsOfLink (link: WorkerLink, reason: string): void {
    const { instanceId } = link.instance
    const runs = [...link.runs.values()]
    const inDoubt = new Set(runs.filter((run) => mayRunOnNextLifetime(run, link, reason)))
    const loss = this.#lossOf(instanceId, link, reason)
    for (const run of inDoubt) this.#unresolved.add(run, this.#unresolvedStateOf(reason, { mayArrive: run.phase === 'starting', loss }))
    this.loseRuns(instanceId, link, runs.filter((run) => !inDoubt.has(run)), reason)
  }

  /**
   * @param instanceId - of a lifetime
   * @param link - to it, `undefined` if it was never met
   * @param runs - of it
   * @param reason - why they are lost
   */
  loseRuns (instanceId: string, link: WorkerLink | undefined, runs: readonly Run[], reason: string): void {
    if (runs.length === 0) return
    const loss = this.#lossOf(instanceId, link, reason)
    this.#options.onWorkerLost({ ...loss, runs })
    for (const run of runs) this.#loseRun(run, loss, reason, runs.filter(({ task }) => task.job !== run.task.job).length)
  }

  /**
   * Settles what was in doubt by the report of a worker's present lifetime. What may still arrive there is stopped, which keeps it from
   * starting.
   *
   * @param link - to that lifetime
   * @param report - its answer
   * @param askedMs - monotonic, when it was asked
   */
  resolve (link: WorkerLink, report: HoldReport, askedMs: number): void {
    if (this.#unresolved.isEmpty) return
    const { reported: there, mayStillArrive: arriving, lost } = this.#unresolved.resolve(link, report, askedMs)
    for (const run of [...there, ...arriving.map((each) => each.run)]) {
      run.instanceId = link.instance.instanceId
      run.lastListedMs = -Infinity
      link.runs.set(runKey(run), run)
      if (run.phase !== 'stopping') run.phase = 'unconfirmed'
      this.#options.onMoved(run)
    }
    // Whether those were started by the former lifetime is not known: they may have been.
    this.#reportWorkerLosses(arriving)
    for (const { run } of arriving) void link.stop(run)
    this.#loseUnresolved(lost)
  }

  /** Gives up runs in doubt that no lease allows any more. @param nowMs - monotonic */
  loseExpired (nowMs: number): void {
    this.#loseUnresolved(this.#unresolved.takeExpired(nowMs))
  }

  #loseUnresolved (lost: readonly UnresolvedRun[]): void {
    this.#reportWorkerLosses(lost)
    for (const { run, doubt } of lost) this.#loseRun(run, doubt.loss, WORKER_RESTARTED)
  }

  /** Tells of lifetimes that ended under runs which were in doubt, once each. */
  #reportWorkerLosses (settled: readonly UnresolvedRun[]): void {
    for (const instanceId of new Set(settled.map(({ doubt }) => doubt.loss.instanceId))) {
      const ofLifetime = settled.filter(({ doubt }) => doubt.loss.instanceId === instanceId)
      for (const { doubt: { loss } } of ofLifetime.slice(0, 1)) this.#options.onWorkerLost({ ...loss, runs: ofLifetime.map(({ run }) => run) })
    }
  }

  #unresolvedStateOf (reason: string, known: Pick<UnresolvedState, 'mayArrive' | 'loss'>): UnresolvedState {
    const { clock, leases } = this.#options
    const sinceMs = clock.monotonicMs()
    // By the former lifetime's clock, a start may name a longer lease than the next one grants.
    const lastsMs = reason === MACHINE_GONE ? ORDERS_IN_FLIGHT_MS : leases.longestWorkerLeaseMs
    return { ...known, sinceMs, untilMs: sinceMs + lastsMs }
  }

  #lossOf (instanceId: string, link: WorkerLink | undefined, reason: string): Omit<WorkerLoss, 'runs'> {
    const nowMs = this.#options.clock.monotonicMs()
    const silentMs = link?.silentForMs(nowMs)
    return {
      instanceId,
      lastAnswerMs: silentMs === undefined ? undefined : nowMs - silentMs,
      rack: link?.instance.labels.at(-1),
      availabilityZone: link?.instance.availabilityZone,
      isPlanned: link !== undefined && this.#isEndPlanned(link, nowMs),
      isSilent: reason === LEASES_EXPIRED || reason === PREVIOUS_LEASES_EXPIRED
    }
  }

  /** Whether it was to end: it drained, its machine was being emptied, or it went on answering without a registration. */
  #isEndPlanned (link: WorkerLink, nowMs: number): boolean {
    const isLeaving = !link.isRegistered && link.isAnswering(nowMs)
    return isLeaving || link.instance.state === 'draining' || this.#options.isVacating(link.instance.machineId)
  }

  #loseRun (run: Run, { lastAnswerMs: heardMs }: Omit<WorkerLoss, 'runs'>, reason: string, runsOfOtherJobs = 0): void {
    const { clock, tookOverMs, onLost } = this.#options
    const nowMs = clock.monotonicMs()
    const placedAgoMs = run.placedMs === undefined ? undefined : Math.round(nowMs - run.placedMs)
    onLost(run, { reason, silentMs: Math.round(nowMs - (heardMs ?? tookOverMs)), placedAgoMs, runsOfOtherJobs })
  }
}

/** Whether an order to start a run may have reached the next lifetime of its worker. */
function mayRunOnNextLifetime (run: Run, link: WorkerLink, reason: string): boolean {
  if (run.phase === 'recording' || link.hasConfirmed(run)) return false
  if (reason === WORKER_RESTARTED) return true
  // While its machine was down there was no next lifetime for the orders of former holders.
  return reason === MACHINE_GONE && run.phase !== 'unconfirmed' && bornMsOf(run.instanceId) !== undefined
}
