/**
 * What placing decides about: workers with the room that is left on them, and steps whose tasks wait.
 *
 * @module
 */
import type { WorkerCapacity } from '@quillscale/ports'
import type { Job, Task } from '../jobs/JobState.js'

/** A worker as the decision sees it; the room is used up as tasks are placed. @public */
export interface WorkerRoom {
  readonly instanceId: string
  readonly labels: readonly string[]
  readonly capacity: WorkerCapacity
  /** What is left of the capacity. */
  cpuMillis: number
  memoryMb: number
  gpus: number
  /** Lasting tasks there that must answer in time. */
  latencySensitiveTasks: number
  fillers: number
  /** Runs of each step there, by {@link Task.stepKey}. */
  readonly runsByStep: Map<string, number>
  /** Runs of each job there. */
  readonly runsByJob: Map<Job, number>
  /** Runs of tasks that last. */
  lastingRuns: number
  /** The job that this worker is left to, since a task of it may end the worker. */
  reservedFor: Job | undefined
}

/** Tasks of one step whose turn has come, in the order of their importance. @public */
export interface PlacementGroup {
  readonly tasks: readonly Task[]
  /** With advice: the workers that may run it, with the ticket for each; without, every worker may. */
  readonly tickets?: ReadonlyMap<string, string> | undefined
  /** Whether room is kept for it on a worker when it does not fit anywhere. */
  readonly mayReserve: boolean
  /** Whether tasks that may end their worker have waited long enough for one without other jobs. */
  readonly mayShareWorker?: boolean
}
