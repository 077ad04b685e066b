/**
 * Decides whether a task ends the workers that start it, and when it is given up.
 *
 * The fault it answers: a task that ends each worker within milliseconds of its start never fails by any worker's report, so that attempts
 * do not bound it. One such task was started 117 times in a minute, and what ran beside it ended with each worker.
 *
 * Every worker that may have ended under a task counts, by points: in full where it ended unplanned and by itself, half where something
 * else is as likely the cause, not at all where it was to end, or another job turned out to be the cause, and it had lived on under the task
 * for a while. So no task is started more than five times that way, twice after the third worker at most, whatever was taken for the cause; and a
 * task that only stood by is not given up for what took its rack or zone away twice.
 *
 * @module
 */
import { createCrashRecord } from './CrashRecord.js'
import { stepOf, type Run, type Task } from './JobState.js'

/**
 * How a worker ended under a task. `crash`: unplanned and by itself; `shared`: others that had nothing in common with it ended at the same
 * time nearby; `beside`: a task of another job, suspected before, had just begun there; `silent`: its leases are over, and nobody knows why
 * it does not answer; `unclear`: it was to end, but was not heard of since the task began; `cleared`: another job turned out to be the cause.
 *
 * @public
 */
export type WorkerLossKind = 'crash' | 'shared' | 'beside' | 'silent' | 'unclear' | 'cleared'

/** What each counts. @public */
export const CRASH_POINTS: Readonly<Record<WorkerLossKind, number>> = { crash: 2, shared: 1, beside: 1, silent: 1, unclear: 1, cleared: 0 }

/** The third crash, or the fifth end of a doubtful cause: the users allow two more starts after three crashes. */
const GIVE_UP_POINTS = 5
/** The second crash is enough where both workers ended soon after the start, and the task's job was alone on the second. */
const CERTAIN_GIVE_UP_POINTS = 4
/** From the first crash on a task is placed apart from other jobs, and gets no copies; so is one whose worker ended soon after its start. */
const SUSPECT_POINTS = 2
/** Crashing tasks end their worker some 10 ms after their start, and that is known 90 to 350 ms later. @public */
export const EARLY_LOSS_MS = 500
/** One that lasts, and is still at work after so long, does not end the workers that start it. */
const SURVIVAL_MS = 3000
/** Before a task is given up: others of a rack or zone that lost power are known to be gone within this time. */
const GIVE_UP_DELAY_MS = 300

/** @param task - any @returns whether it may end the workers that start it @public */
export const isCrashSuspect = ({ crashes }: Task): boolean => crashes.points >= SUSPECT_POINTS || crashes.hasEarlyLoss

/** @param run - any @param nowMs - monotonic @returns whether its worker may yet end of it, so that no other job should be there @public */
export const mayCrashWorker = (run: Run, nowMs: number): boolean => isCrashSuspect(run.task) && !hasSurvived(run, nowMs)

/** `wait`: what took the worker away is not known yet, and the task is not placed meanwhile. @public */
export type PlacementDecision = 'place' | 'wait' | 'give-up'

/** @param task - that is not running @param nowMs - monotonic @returns what to do with it @public */
export function decidePlacement ({ crashes: { points, isLastLossCertain, hasOnlyEarlyLosses, lastLossMs } }: Task, nowMs: number): PlacementDecision {
  if (points < (isLastLossCertain && hasOnlyEarlyLosses ? CERTAIN_GIVE_UP_POINTS : GIVE_UP_POINTS)) return 'place'
  return lastLossMs !== undefined && nowMs - lastLossMs < GIVE_UP_DELAY_MS ? 'wait' : 'give-up'
}

/**
 * Clears a task that lasts once it has been at work for long: over weeks, each of them outlives more than three workers.
 *
 * @param run - that its worker lists
 * @param nowMs - monotonic
 * @returns whether anything was held against it
 * @public
 */
export function clearCrashRecordIfSurvived (run: Run, nowMs: number): boolean {
  const { task } = run
  if (task.crashes.points === 0 || !stepOf(task).isLasting || !hasSurvived(run, nowMs)) return false
  task.crashes = createCrashRecord()
  return true
}

function hasSurvived ({ startedMs }: Run, nowMs: number): boolean {
  return startedMs !== undefined && nowMs - startedMs >= SURVIVAL_MS
}
