/**
 * Sends orders to workers once the decisions behind them are durable: starts of runs, and stops that the next duty holder must know about.
 *
 * @module
 */
import { gangOf, type Job, type Run, StartRoom, stepOf, type Task } from '@quillscale/policy'
import type { WorkerLink } from '../workers/WorkerLink.js'
import type { JobRegistry } from './JobRegistry.js'

/** Dependencies of a {@link RunStarter}. @public */
export interface RunStarterOptions {
  readonly registry: JobRegistry
  /** Resolves with `true` once all decisions made so far are durable, with `false` if they never will be. */
  readonly whenFlushed: () => Promise<boolean>
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Withdraws runs that may no longer start, and returns the others. */
  readonly withoutWithdrawn: (runs: readonly Run[]) => readonly Run[]
  /** Stops a run without recording the stop first. */
  readonly stopRun: (run: Run) => void
  /** Called for each job whose progress record has to be written at once. */
  readonly onChanged: (job: Job, tasks: readonly Task[]) => void
  /** Whether the store takes the records of a job. */
  readonly canRecord: (job: Job) => boolean
}

/** Starts placed runs, and stops runs to evict them from a machine. @public */
export class RunStarter {
  readonly #options: RunStarterOptions

  /** @param options - dependencies */
  constructor (options: RunStarterOptions) {
    this.#options = options
  }

  /**
   * Starts runs once their placement is durable.
   *
   * @param runs - runs in phase `recording`
   */
  async start (runs: readonly Run[]): Promise<void> {
    const { registry, whenFlushed, linkOf, withoutWithdrawn, canRecord } = this.#options
    if (!await whenFlushed()) return
    const rooms = new Map<WorkerLink, StartRoom>()
    for (const run of withoutWithdrawn(runs)) {
      const link = linkOf(run)
      const isWanted = run.phase === 'recording' && run.task.runs.includes(run)
      if (!isWanted) continue
      if (link?.acceptsRuns !== true || !canRecord(run.task.job) || !roomOf(link, rooms).take(run)) {
        registry.closeRun(run, 'not-started')
        continue
      }
      run.phase = 'starting'
      const { task } = run
      void link.startRun(run, task.job.spec.command, checkpointFor(task))
    }
  }

  /**
   * Stops a run so that its machine becomes empty. If the step limits how many of its tasks may be away (`maxAway`), the stop is recorded
   * first: the worker lists the run until it has ended, and the next duty holder would otherwise evict another task of the step meanwhile.
   *
   * @param run - the run to evict
   */
  async evict (run: Run): Promise<void> {
    const { stopRun, whenFlushed, linkOf, onChanged, canRecord } = this.#options
    if (stepOf(run.task).maxAway === undefined) return stopRun(run)
    run.phase = 'stopping'
    onChanged(run.task.job, [run.task])
    if (await whenFlushed() && canRecord(run.task.job)) await linkOf(run)?.stop(run)
  }
}

/** Returns the room of a worker for the runs that start now, computed once. */
function roomOf (link: WorkerLink, rooms: Map<WorkerLink, StartRoom>): StartRoom {
  const room = rooms.get(link) ?? new StartRoom(link)
  rooms.set(link, room)
  return room
}

/** Returns the checkpoint to start a task from. All members of a gang get the same one: they do not work together from different ones. */
function checkpointFor (task: Task): string | undefined {
  const { isCheckpointing, isGang } = stepOf(task)
  if (!isCheckpointing) return undefined
  const tasks = isGang ? gangOf(task) : [task]
  return tasks.find(({ checkpoint }) => checkpoint !== '')?.checkpoint
}
