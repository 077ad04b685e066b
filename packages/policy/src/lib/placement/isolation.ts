/**
 * Isolates tasks that may crash their worker from other jobs.
 *
 * Without isolation, each crash ends all runs on the worker, up to 18 on the smallest machines. With it, only the first crash affects other jobs,
 * and the second identifies the culprit. The cost: an innocent job whose worker crashed waits for an empty worker, at most
 * {@link ISOLATION_WAIT_MS}, and leaves the rest of that worker unused until its tasks have survived their start.
 *
 * @module
 */
import { isCrashSuspect } from '../jobs/crashes.js'
import { stepOf, type Job, type Task } from '../jobs/JobState.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'

/** Most workers finish their short tasks within 1 to 2 s; users allow 3 s until a task runs if there is capacity. */
export const ISOLATION_WAIT_MS = 1500

/** @param room - a worker @param job - a job @returns the number of runs of other jobs on the worker */
export function countRunsOfOtherJobs (room: WorkerRoom, job: Job): number {
  let count = 0
  for (const [other, runs] of room.runsByJob) if (other !== job) count += runs
  return count
}

/** @param task - task to place @param group - its step @param room - a worker @returns whether isolation permits the placement */
export function allowsIsolation (task: Task, group: PlacementGroup, room: WorkerRoom): boolean {
  if (room.reservedFor !== undefined && room.reservedFor !== task.job) return false
  return !isCrashSuspect(task) || group.mayShareWorker === true || countRunsOfOtherJobs(room, task.job) === 0
}

/** @param tasks - tasks of one step @returns suspect tasks first, since placement of the step ends at the first other task that does not fit */
export function orderSuspectsFirst (tasks: readonly Task[]): readonly Task[] {
  if (!tasks.some(isCrashSuspect)) return tasks
  return [...tasks.filter(isCrashSuspect), ...tasks.filter((task) => !isCrashSuspect(task))]
}

/** Updates the run counts of a worker. @param room - the worker @param task - task of the run @param sign - 1 to add, -1 to remove */
export function adjustRunCounts (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const runs = (room.runsByJob.get(task.job) ?? 0) + sign
  if (runs > 0) room.runsByJob.set(task.job, runs)
  else room.runsByJob.delete(task.job)
  if (stepOf(task).isLasting) room.lastingRuns += sign
}
