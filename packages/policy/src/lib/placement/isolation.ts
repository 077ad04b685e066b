/**
 * Keeps tasks that may end their worker apart from other jobs, and other jobs from them.
 *
 * What it buys: one such task ends what else runs on its first worker, up to 18 runs on the smallest machines, and then nothing but its
 * own job; and the second crash tells whose fault it was. What it costs: an innocent job that was on a worker which crashed waits for an
 * empty worker, {@link ISOLATION_WAIT_MS} at most, and leaves the rest of that worker unused while its tasks are fresh.
 *
 * @module
 */
import { isCrashSuspect } from '../jobs/crashes.js'
import { stepOf, type Job, type Task } from '../jobs/JobState.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'

/** Most workers are empty of what does not last within a second or two; the users allow a task 3 s until it runs, where there is room. */
export const ISOLATION_WAIT_MS = 1500
/** Share of the workers that are left to suspected jobs at most; at least one is. */
const MAX_RESERVED_SHARE = 0.5
/** Tasks that last do not make room by themselves. */
const LASTING_RUN_COST = 100

/** @param room - of a worker @param job - any @returns how many runs of other jobs are there */
export function countRunsOfOtherJobs (room: WorkerRoom, job: Job): number {
  let count = 0
  for (const [other, runs] of room.runsByJob) if (other !== job) count += runs
  return count
}

/** @param task - to be placed @param group - its step @param room - of a worker @returns whether no crash there would end runs of others */
export function allowsIsolation (task: Task, group: PlacementGroup, room: WorkerRoom): boolean {
  if (room.reservedFor !== undefined && room.reservedFor !== task.job) return false
  return !isCrashSuspect(task) || group.mayShareWorker === true || countRunsOfOtherJobs(room, task.job) === 0
}

/**
 * Chooses for each suspected job that waits a worker which gets nothing else, the emptiest.
 *
 * @param groups - that wait
 * @param rooms - of the workers
 */
export function reserveForSuspects (groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[]): void {
  const jobs = new Set(groups.flatMap(({ tasks }) => tasks.filter(isCrashSuspect).map(({ job }) => job)))
  let left = Math.max(1, Math.floor(rooms.length * MAX_RESERVED_SHARE)) - rooms.filter(({ reservedFor: leftTo }) => leftTo !== undefined).length
  for (const job of jobs) {
    if (left <= 0) return
    if (rooms.some((room) => room.reservedFor === job)) continue
    const open = rooms.filter(({ reservedFor: leftTo }) => leftTo === undefined)
    if (open.length === 0) return
    const emptiest = open.reduce((best, room) => isolationCost(room, job) < isolationCost(best, job) ? room : best)
    emptiest.reservedFor = job
    left--
  }
}

function isolationCost (room: WorkerRoom, job: Job): number {
  return countRunsOfOtherJobs(room, job) + LASTING_RUN_COST * room.lastingRuns
}

/** @param tasks - of one step @returns the suspected ones first: others that find no room end the step's turn */
export function orderSuspectsFirst (tasks: readonly Task[]): readonly Task[] {
  if (!tasks.some(isCrashSuspect)) return tasks
  return [...tasks.filter(isCrashSuspect), ...tasks.filter((task) => !isCrashSuspect(task))]
}

/** Counts a run for or against the worker's isolation. @param room - its worker's @param task - whose run @param sign - placed, or taken back */
export function adjustRunCounts (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const runs = (room.runsByJob.get(task.job) ?? 0) + sign
  if (runs > 0) room.runsByJob.set(task.job, runs)
  else room.runsByJob.delete(task.job)
  if (stepOf(task).isLasting) room.lastingRuns += sign
}
