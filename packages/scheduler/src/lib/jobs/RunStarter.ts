/**
 * Sends what was decided to workers, once it is durable: starts of runs, and stops that a next holder has to know of.
 *
 * @module
 */
import { type Job, type Run, stepOf, stillFits } from '@quillscale/policy'
import type { WorkerLink } from '../workers/WorkerLink.js'
import type { JobRegistry } from './JobRegistry.js'

/** What the starter works with. @public */
export interface RunStarterOptions {
  readonly registry: JobRegistry
  /** Resolves with true once all that was decided so far is durable, with false if it never will be. */
  readonly whenFlushed: () => Promise<boolean>
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Stops a run of which nobody need know before. */
  readonly stopRun: (run: Run) => void
  /** Called for each job whose progress is to be written at once. */
  readonly onChanged: (job: Job) => void
}

/** The starter. @public */
export class RunStarter {
  readonly #options: RunStarterOptions

  /** @param options - what it works with */
  constructor (options: RunStarterOptions) {
    this.#options = options
  }

  /** Starts runs once their placement is durable. @param runs - in phase `recording` */
  async start (runs: readonly Run[]): Promise<void> {
    const { registry: book, whenFlushed: flushed, linkOf } = this.#options
    if (!await flushed()) return
    for (const run of runs) {
      const link = linkOf(run)
      const isWanted = run.phase === 'recording' && run.task.runs.includes(run)
      if (!isWanted) continue
      if (link?.takesWork !== true || !stillFits(link, run)) {
        book.closeRun(run, 'not-started')
        continue
      }
      run.phase = 'starting'
      const { task } = run
      const checkpoint = stepOf(task).isCheckpointing && task.checkpoint !== '' ? task.checkpoint : undefined
      void link.startRun(run, task.job.spec.command, checkpoint)
    }
  }

  /**
   * Stops a run so that its machine becomes empty. Where only so many tasks of a step may be away, that is written down first:
   * the worker goes on listing the run until it is over, and a next holder would take another task of the step away meanwhile.
   *
   * @param run - to be taken away
   */
  async evict (run: Run): Promise<void> {
    const { stopRun: discard, whenFlushed: flushed, linkOf, onChanged } = this.#options
    if (stepOf(run.task).maxAway === undefined) return discard(run)
    run.phase = 'stopping'
    onChanged(run.task.job)
    if (await flushed()) await linkOf(run)?.stop(run)
  }
}
