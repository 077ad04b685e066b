/**
 * Keeps tasks that may end their worker apart from other jobs, and other jobs from them.
 *
 * What it buys: one such task ends what else runs on its first worker, up to 18 runs on the smallest machines, and then nothing but its
 * own job; and the second crash tells whose fault it was. What it costs: an innocent job that was on a worker which crashed waits for an
 * empty worker, {@link ISOLATION_WAIT_MS} at most, and leaves the rest of that worker unused while its tasks are fresh.
 *
 * @module
 */
import { isSuspect } from '../jobs/crashes.js'
import { stepOf, type Job, type Task } from '../jobs/JobState.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'

/** Most workers are empty of what does not last within a second or two; the users allow a task 3 s until it runs, where there is room. */
export const ISOLATION_WAIT_MS = 1500
/** Share of the workers that are left to suspected jobs at most; at least one is. */
const MOST_LEFT_SHARE = 0.5
/** Tasks that last do not make room by themselves. */
const LASTING_IN_THE_WAY = 100

/** @param room - of a worker @param job - any @returns how many runs of other jobs are there */
export function runsOfOthers (room: WorkerRoom, job: Job): number {
  let count = 0
  for (const [other, runs] of room.runsByJob) if (other !== job) count += runs
  return count
}

/** @param task - to be placed @param group - its step @param room - of a worker @returns whether no crash there would end runs of others */
export function isIsolated (task: Task, group: PlacementGroup, room: WorkerRoom): boolean {
  if (room.leftTo !== undefined && room.leftTo !== task.job) return false
  return !isSuspect(task) || group.mayShareWorker === true || runsOfOthers(room, task.job) === 0
}

/**
 * Chooses for each suspected job that waits a worker which gets nothing else, the emptiest.
 *
 * @param groups - that wait
 * @param rooms - of the workers
 */
export function leaveRooms (groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[]): void {
  const jobs = new Set(groups.flatMap(({ tasks }) => tasks.filter(isSuspect).map(({ job }) => job)))
  let left = Math.max(1, Math.floor(rooms.length * MOST_LEFT_SHARE)) - rooms.filter(({ leftTo }) => leftTo !== undefined).length
  for (const job of jobs) {
    if (left <= 0) return
    if (rooms.some((room) => room.leftTo === job)) continue
    const open = rooms.filter(({ leftTo }) => leftTo === undefined)
    if (open.length === 0) return
    const emptiest = open.reduce((best, room) => inTheWay(room, job) < inTheWay(best, job) ? room : best)
    emptiest.leftTo = job
    left--
  }
}

function inTheWay (room: WorkerRoom, job: Job): number {
  return runsOfOthers(room, job) + LASTING_IN_THE_WAY * room.lastingRuns
}

/** @param tasks - of one step @returns the suspected ones first: others that find no room end the step's turn */
export function suspectsFirst (tasks: readonly Task[]): readonly Task[] {
  if (!tasks.some(isSuspect)) return tasks
  return [...tasks.filter(isSuspect), ...tasks.filter((task) => !isSuspect(task))]
}

/** Counts a run for or against the worker's isolation. @param room - its worker's @param task - whose run @param sign - placed, or taken back */
export function countRun (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const runs = (room.runsByJob.get(task.job) ?? 0) + sign
  if (runs > 0) room.runsByJob.set(task.job, runs)
  else room.runsByJob.delete(task.job)
  if (stepOf(task).isLasting) room.lastingRuns += sign
}
