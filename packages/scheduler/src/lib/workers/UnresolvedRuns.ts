/**
 * Runs whose start may have reached the next lifetime of their worker.
 *
 * An order names the worker, not the lifetime: one that is under way as the worker starts again is carried out by the new lifetime. Such a
 * run is not placed elsewhere until the new lifetime has said what it runs, or any lease there is surely over.
 *
 * @module
 */
import { workerIdOf, type HoldReport } from '@quillscale/ports'
import type { Run } from '@quillscale/policy'
import type { WorkerLoss } from '../jobs/CrashTracker.js'
import { runKey, type WorkerLink } from './WorkerLink.js'

/** What is known of a run in doubt. @public */
export interface UnresolvedState {
  /** Monotonic; a report that was asked for before tells nothing. */
  readonly sinceMs: number
  /** Monotonic; from then on it runs nowhere. */
  readonly untilMs: number
  /** An order to start it may still be on its way. */
  readonly mayArrive: boolean
  /** The end of its lifetime, to be held against its task if it did run there. */
  readonly loss: Omit<WorkerLoss, 'runs'>
}

/** A run, and what was in doubt about it. @public */
export interface UnresolvedRun { readonly run: Run, readonly doubt: UnresolvedState }

/** What a new lifetime's report shows of runs in doubt. @public */
export interface ResolvedRuns {
  /** Listed there. */
  readonly reported: readonly Run[]
  /** Not listed, and may still arrive. */
  readonly mayStillArrive: readonly UnresolvedRun[]
  /** Ended with the former lifetime. */
  readonly lost: readonly UnresolvedRun[]
}

/** The runs. @public */
export class UnresolvedRuns {
  readonly #stateByRun = new Map<Run, UnresolvedState>()

  /** Whether nothing is in doubt, as mostly. */
  get isEmpty (): boolean {
    return this.#stateByRun.size === 0
  }

  /** @param run - of a lifetime that is over @param doubt - what is known of it */
  add (run: Run, doubt: UnresolvedState): void {
    this.#stateByRun.set(run, doubt)
  }

  /** @param instanceId - any @returns whether runs of that lifetime are in doubt */
  has (instanceId: string): boolean {
    return [...this.#stateByRun.keys()].some((run) => run.instanceId === instanceId)
  }

  /** @param link - of a lifetime @param report - its answer @param askedMs - monotonic, when it was asked @returns what became of runs in doubt */
  resolve (link: WorkerLink, report: HoldReport, askedMs: number): ResolvedRuns {
    const there: Run[] = []
    const arriving: UnresolvedRun[] = []
    const lost: UnresolvedRun[] = []
    const workerId = workerIdOf(link.instance.instanceId)
    const listed = new Set([...report.running, ...report.ended].map(runKey))
    for (const [run, doubt] of this.#openRuns()) {
      if (workerIdOf(run.instanceId) !== workerId || run.instanceId === link.instance.instanceId || askedMs < doubt.sinceMs) continue
      if (listed.has(runKey(run))) there.push(run)
      else if (report.hasMoreEnds) continue
      else if (doubt.mayArrive) arriving.push({ run, doubt })
      else lost.push({ run, doubt })
      this.#stateByRun.delete(run)
    }
    return { reported: there, mayStillArrive: arriving, lost }
  }

  /** @param nowMs - monotonic @returns the runs that by now run nowhere */
  takeExpired (nowMs: number): UnresolvedRun[] {
    const lost = this.#openRuns().filter(([, { untilMs }]) => nowMs >= untilMs).map(([run, doubt]) => ({ run, doubt }))
    for (const { run } of lost) this.#stateByRun.delete(run)
    return lost
  }

  /** Those that were closed meanwhile are forgotten. */
  #openRuns (): Array<[Run, UnresolvedState]> {
    for (const run of this.#stateByRun.keys()) if (!run.task.runs.includes(run)) this.#stateByRun.delete(run)
    return [...this.#stateByRun]
  }
}
