/**
 * Reserves workers for tasks that find no room now.
 *
 * A reservation keeps other tasks from a worker, so it is made only where the task can run once the finite runs there have ended. Lasting runs, which do
 * not end by themselves, and earlier reservations are taken as permanent: what they leave is the reservable capacity of a worker.
 *
 * @module
 */
import { isCrashSuspect } from '../jobs/crashes.js'
import { stepOf, type Job, type Task } from '../jobs/JobState.js'
import type { Resources } from '../quotas/resources.js'
import { countRunsOfOtherJobs } from './isolation.js'
import { countFitting, fits, freeShareOf, isSuitable, meetsConditions } from './suitability.js'
import { countWaiting, type PlacementGroup, type WorkerRoom } from './WorkerRoom.js'

/** Largest share of workers reserved for suspect jobs; at least one may be. */
const MAX_RESERVED_SHARE = 0.5
/** Cost of a lasting run, which does not end by itself. */
const LASTING_RUN_COST = 100

/**
 * Reserves the emptiest worker that can run one of its suspect tasks for each waiting suspect job.
 *
 * @param groups - waiting steps
 * @param rooms - available workers
 */
export function reserveForSuspects (groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[]): void {
  const groupsByJob = new Map<Job, PlacementGroup[]>()
  for (const group of groups) {
    const job = group.tasks.find(isCrashSuspect)?.job
    if (job !== undefined) groupsByJob.set(job, [...(groupsByJob.get(job) ?? []), group])
  }
  let left = Math.max(1, Math.floor(rooms.length * MAX_RESERVED_SHARE)) - rooms.filter(({ reservedFor }) => reservedFor !== undefined).length
  for (const [job, own] of groupsByJob) {
    if (left <= 0) return
    if (rooms.some((room) => room.reservedFor === job)) continue
    const open = rooms.filter(({ reservedFor }) => reservedFor === undefined)
    const usable = open.filter((room) => own.some((group) => canRunSuspect(group, room, open)))
    if (usable.length === 0) continue
    const emptiest = usable.reduce((best, room) => isolationCost(room, job) < isolationCost(best, job) ? room : best)
    emptiest.reservedFor = job
    left--
  }
}

/** Tells whether a suspect task can run on a worker; of a gang, whether all members can run at once as well. */
function canRunSuspect (group: PlacementGroup, room: WorkerRoom, rooms: readonly WorkerRoom[]): boolean {
  const suspect = group.tasks.find(isCrashSuspect) as Task
  const step = stepOf(suspect)
  if (!meetsConditions(suspect, group, room) || !fits(step, room.reservable)) return false
  if (!step.isGang) return true
  return countPlaces(suspect, group, rooms, ({ reservable }) => reservable) >= countWaiting(group)
}

/**
 * Counts the tasks of a step that can run at once.
 *
 * @param task - a task of the step
 * @param group - the step
 * @param rooms - available workers
 * @param freeOf - the capacity of a worker that the step may take
 * @returns the number of tasks, infinite if they need nothing
 */
export function countPlaces (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[], freeOf: (room: WorkerRoom) => Resources): number {
  const step = stepOf(task)
  return rooms.reduce((places, room) => {
    const fitting = meetsConditions(task, group, room) ? countFitting(step, freeOf(room)) : 0
    return places + (step.maxPerWorker === 0 ? fitting : Math.min(fitting, step.maxPerWorker))
  }, 0)
}

function isolationCost (room: WorkerRoom, job: Job): number {
  return countRunsOfOtherJobs(room, job) + LASTING_RUN_COST * room.lastingRuns
}

/**
 * Finds the worker on which to reserve capacity for a lasting task, so that less important tasks do not use it up piecemeal.
 *
 * @param task - a task that fits nowhere now
 * @param group - its step
 * @param rooms - available workers
 * @returns the worker that has most of what the task needs, among those that can run it once their finite runs have ended; `undefined` if none can
 */
export function findReservableRoom (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
  const step = stepOf(task)
  const usable = rooms.filter((room) => fits(step, room.reservable) && isSuitable(task, group, room))
  return usable.reduce<WorkerRoom | undefined>((best, room) => best === undefined || freeShareOf(step, room) > freeShareOf(step, best) ? room : best, undefined)
}
