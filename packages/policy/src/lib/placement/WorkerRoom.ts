/**
 * Inputs of placement: workers with their remaining capacity, and steps with waiting tasks.
 *
 * @module
 */
import type { WorkerCapacity } from '@quillscale/ports'
import type { Job, Task } from '../jobs/JobState.js'
import type { FurtherTasks } from '../jobs/jobTasks.js'
import type { StepRank } from '../jobs/rankStep.js'
import type { Resources } from '../quotas/resources.js'

/** A worker with its remaining capacity, which shrinks as tasks are placed. @public */
export interface WorkerRoom {
  readonly instanceId: string
  readonly labels: readonly string[]
  readonly capacity: WorkerCapacity
  /** Whether it is still slow after its start. */
  readonly isCold: boolean
  /** Remaining capacity. */
  cpuMillis: number
  memoryMb: number
  gpus: number
  /** Capacity without lasting runs and reservations: what is free at the latest when the finite runs have ended. */
  reservable: Resources
  /** Lasting tasks on the worker with a latency target. */
  latencySensitiveTasks: number
  fillers: number
  /** Number of runs of each step on the worker, by {@link Task.stepKey}. */
  readonly runsByStep: Map<string, number>
  /** Number of runs of each job on the worker. */
  readonly runsByJob: Map<Job, number>
  /** Number of runs of lasting tasks. */
  lastingRuns: number
  /** Job for which this worker is reserved, since one of its tasks may crash the worker. */
  reservedFor: Job | undefined
}

/** Waiting tasks of one ready step. @public */
export interface PlacementGroup {
  /** Those that were created already, at least one. */
  readonly tasks: readonly Task[]
  /** Those that are created when their turn comes, after the others; `undefined` if there are none. */
  readonly further?: FurtherTasks | undefined
  /** Position of the step among those that wait; needed only with {@link next}. */
  readonly rank?: StepRank
  /** Returns the same step of the next occurrence, whose turn comes once all tasks of this one are placed; `undefined` if there is none. */
  readonly next?: (() => PlacementGroup | undefined) | undefined
  /** Tasks of the same step in later occurrences that {@link next} leads to. */
  readonly laterTasks?: number
  /** Tickets of the workers that may run the step; `undefined` if every worker may. */
  readonly tickets?: ReadonlyMap<string, string> | undefined
  /** Whether capacity is reserved on a worker if a task does not fit anywhere. */
  readonly mayReserve: boolean
  /** Whether somebody waits for its tasks, so that they prefer warm workers. */
  readonly isUrgent?: boolean
  /** Whether suspect tasks have waited long enough to share a worker with other jobs. */
  readonly mayShareWorker?: boolean
}

/** @param group - a step @returns how many of its tasks wait, whether they were created already or not @public */
export const countWaiting = ({ tasks, further }: Pick<PlacementGroup, 'tasks' | 'further'>): number => tasks.length + (further?.count ?? 0)
