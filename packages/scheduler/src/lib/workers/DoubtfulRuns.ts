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
export interface Doubt {
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
export interface DoubtfulRun { readonly run: Run, readonly doubt: Doubt }

/** What a new lifetime's report shows of runs in doubt. @public */
export interface SettledRuns {
  /** Listed there. */
  readonly there: readonly Run[]
  /** Not listed, and may still arrive. */
  readonly arriving: readonly DoubtfulRun[]
  /** Ended with the former lifetime. */
  readonly lost: readonly DoubtfulRun[]
}

/** The runs. @public */
export class DoubtfulRuns {
  readonly #doubts = new Map<Run, Doubt>()

  /** Whether nothing is in doubt, as mostly. */
  get isEmpty (): boolean {
    return this.#doubts.size === 0
  }

  /** @param run - of a lifetime that is over @param doubt - what is known of it */
  add (run: Run, doubt: Doubt): void {
    this.#doubts.set(run, doubt)
  }

  /** @param instanceId - any @returns whether runs of that lifetime are in doubt */
  has (instanceId: string): boolean {
    return [...this.#doubts.keys()].some((run) => run.instanceId === instanceId)
  }

  /** @param link - of a lifetime @param report - its answer @param askedMs - monotonic, when it was asked @returns what became of runs in doubt */
  settle (link: WorkerLink, report: HoldReport, askedMs: number): SettledRuns {
    const there: Run[] = []
    const arriving: DoubtfulRun[] = []
    const lost: DoubtfulRun[] = []
    const workerId = workerIdOf(link.instance.instanceId)
    const listed = new Set([...report.running, ...report.ended].map(runKey))
    for (const [run, doubt] of this.#open()) {
      if (workerIdOf(run.instanceId) !== workerId || run.instanceId === link.instance.instanceId || askedMs < doubt.sinceMs) continue
      if (listed.has(runKey(run))) there.push(run)
      else if (report.hasMoreEnds) continue
      else if (doubt.mayArrive) arriving.push({ run, doubt })
      else lost.push({ run, doubt })
      this.#doubts.delete(run)
    }
    return { there, arriving, lost }
  }

  /** @param nowMs - monotonic @returns the runs that by now run nowhere */
  takeOverdue (nowMs: number): DoubtfulRun[] {
    const lost = this.#open().filter(([, { untilMs }]) => nowMs >= untilMs).map(([run, doubt]) => ({ run, doubt }))
    for (const { run } of lost) this.#doubts.delete(run)
    return lost
  }

  /** Those that were closed meanwhile are forgotten. */
  #open (): Array<[Run, Doubt]> {
    for (const run of this.#doubts.keys()) if (!run.task.runs.includes(run)) this.#doubts.delete(run)
    return [...this.#doubts]
  }
}
