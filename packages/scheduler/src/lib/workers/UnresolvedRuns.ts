/**
 * Tracks runs whose start order may have reached the next lifetime of their worker.
 *
 * An order names the worker, not the lifetime, so an order that is in flight while the worker restarts is carried out by the next lifetime.
 * Such a run is not placed elsewhere until the next lifetime has reported what it runs, or every lease it may hold has expired.
 *
 * @module
 */
import { workerIdOf, type HoldReport } from '@quillscale/ports'
import type { Run } from '@quillscale/policy'
import type { WorkerLoss } from '../jobs/CrashTracker.js'
import { runKey, type WorkerLink } from './WorkerLink.js'

/** What is known about an unresolved run. @public */
export interface UnresolvedState {
  /** Monotonic time; reports requested earlier say nothing about the run. */
  readonly sinceMs: number
  /** Monotonic time from which the run cannot be running anywhere. */
  readonly untilMs: number
  /** Whether an order to start the run may still be in flight. */
  readonly mayArrive: boolean
  /** Whether the end of the previous lifetime has been counted for the run's task. */
  readonly isLossReported?: boolean
  /** The end of the previous lifetime; counts as a crash under the run's task if the run was on that lifetime. */
  readonly loss: Omit<WorkerLoss, 'runs'>
}

/** A run with its unresolved state. @public */
export interface UnresolvedRun { readonly run: Run, readonly runState: UnresolvedState }

/** Unresolved runs, sorted by what the report of the next lifetime shows about them. @public */
export interface ResolvedRuns {
  /** The next lifetime lists the run. */
  readonly reported: readonly Run[]
  /** Not listed, but the start order may still arrive. */
  readonly mayStillArrive: readonly UnresolvedRun[]
  /** Ended with the previous lifetime. */
  readonly lost: readonly UnresolvedRun[]
}

/** Holds the runs of ended lifetimes until it is known whether the next lifetime runs them. @public */
export class UnresolvedRuns {
  readonly #stateByRun = new Map<Run, UnresolvedState>()

  /** Whether no run is unresolved, which is the usual case. */
  get isEmpty (): boolean {
    return this.#stateByRun.size === 0
  }

  /** Adds a run. @param run - a run of an ended lifetime @param runState - what is known about it */
  add (run: Run, runState: UnresolvedState): void {
    this.#stateByRun.set(run, runState)
  }

  /** Tells whether a lifetime has unresolved runs. @param instanceId - id of the lifetime @returns true if it has any */
  has (instanceId: string): boolean {
    return [...this.#stateByRun.keys()].some((run) => run.instanceId === instanceId)
  }

  /**
   * Resolves runs by the report of their worker's current lifetime.
   *
   * @param link - link to the current lifetime
   * @param report - its report
   * @param askedMs - monotonic time when the report was requested
   * @returns the resolved runs
   */
  resolve (link: WorkerLink, report: HoldReport, askedMs: number): ResolvedRuns {
    const reported: Run[] = []
    const mayStillArrive: UnresolvedRun[] = []
    const lost: UnresolvedRun[] = []
    const workerId = workerIdOf(link.instance.instanceId)
    const listed = new Set([...report.running, ...report.ended].map(runKey))
    for (const [run, runState] of this.#openRuns()) {
      if (workerIdOf(run.instanceId) !== workerId || run.instanceId === link.instance.instanceId || askedMs < runState.sinceMs) continue
      if (listed.has(runKey(run))) reported.push(run)
      else if (report.hasMoreEnds) continue
      else if (runState.mayArrive) mayStillArrive.push({ run, runState })
      else lost.push({ run, runState })
      this.#stateByRun.delete(run)
    }
    return { reported, mayStillArrive, lost }
  }

  /** Removes the runs that can no longer be running anywhere. @param nowMs - monotonic time @returns the removed runs */
  takeExpired (nowMs: number): UnresolvedRun[] {
    const lost = this.#openRuns().filter(([, { untilMs }]) => nowMs >= untilMs).map(([run, runState]) => ({ run, runState }))
    for (const { run } of lost) this.#stateByRun.delete(run)
    return lost
  }

  /** Returns the unresolved runs, after dropping those that have been closed meanwhile. */
  #openRuns (): Array<[Run, UnresolvedState]> {
    for (const run of this.#stateByRun.keys()) if (!run.task.runs.includes(run)) this.#stateByRun.delete(run)
    return [...this.#stateByRun]
  }
}
