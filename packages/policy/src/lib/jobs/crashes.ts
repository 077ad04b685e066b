/**
 * Detects tasks that crash the workers that start them, and decides when to give up such a task.
 *
 * A task that crashes its worker within milliseconds is never reported as failed, so the limit on attempts does not bound it. One such task
 * was started 117 times in a minute, and every run beside it was lost with each worker.
 *
 * Each lost worker adds points to the tasks that may have crashed it: full points if it ended unexpectedly and alone, half if something else is as
 * likely the cause. A failed job stays failed, so a run that is known to have survived its start clears the points of a lasting task, which may lose
 * any number of workers over its life. A finite task may be too short for that; its losses during the run count unless workers that it did not run on
 * are lost at the same time. A task whose runs are never known to survive is started at most five times, and at most twice after the third crash,
 * under any number of duty holders.
 *
 * @module
 */
import { stepOf, type Run, type Task } from './JobState.js'

/**
 * How a worker was lost while a task ran on it. `crash`: unexpectedly and alone; `shared`: unrelated workers nearby were lost at the same time;
 * `beside`: a task of another job that was already suspect had just started there; `silent`: its leases expired and it does not answer, for an
 * unknown reason; `unclear`: it was due to end, but has not answered since the task started, or it never answered this duty holder, which does not
 * know how long the task had run; `cleared`: another job turned out to be the cause.
 *
 * @public
 */
export type WorkerLossKind = 'crash' | 'shared' | 'beside' | 'silent' | 'unclear' | 'cleared'

/** Points that each kind of loss adds to a task. @public */
export const CRASH_POINTS: Readonly<Record<WorkerLossKind, number>> = { crash: 2, shared: 1, beside: 1, silent: 1, unclear: 1, cleared: 0 }

/** Reached by the third crash while no other worker is lost, or the fifth loss of uncertain cause: users allow two more starts after three crashes. */
const GIVE_UP_POINTS = 5
/** Two crashes suffice if both came soon after the start, no other worker ended then for another cause, and only the task's job ran on the second worker. */
const CERTAIN_GIVE_UP_POINTS = 4
/** From the first crash on, or after one early loss, a task is isolated from other jobs and gets no speculative copies. */
const SUSPECT_POINTS = 2
/** A loss is early within this time of the start: a crash comes some 10 ms after it and is detected 90 to 350 ms later. @public */
export const EARLY_LOSS_MS = 500
/** A worker that answers a request sent this long after the start was not crashed by the start, if workers are being lost for other reasons. @public */
export const START_SURVIVAL_MS = 60
/** A run that is known to go on after this time does not crash its worker. Finite tasks may do so later in the run than by their start. */
const SURVIVAL_MS = { lasting: EARLY_LOSS_MS, finite: 3000 }
/** Wait before giving up a task: if a rack or zone lost power, its other workers are detected as lost within this time. */
const GIVE_UP_DELAY_MS = 300

/** @param task - a task @returns whether it may crash the workers that start it @public */
export const isCrashSuspect = ({ crashes }: Task): boolean => crashes.points >= SUSPECT_POINTS || crashes.hasEarlyLoss

/** @param run - a run @param nowMs - monotonic @returns whether it may still crash its worker, so that no other job should run there @public */
export const mayCrashWorker = (run: Run, nowMs: number): boolean => isCrashSuspect(run.task) && knownSurvivalMs(run, nowMs) < SURVIVAL_MS.finite

/** Whether a task may be placed. `wait`: the cause of its last worker loss is not known yet. @public */
export type PlacementDecision = 'place' | 'wait' | 'give-up'

/** @param task - a task without a run @param nowMs - monotonic @returns whether to place it, wait or give it up @public */
export function decidePlacement ({ crashes: { points, isLastLossCertain, hasOnlyAttributableLosses, lastLossMs } }: Task, nowMs: number): PlacementDecision {
  if (points < (isLastLossCertain && hasOnlyAttributableLosses ? CERTAIN_GIVE_UP_POINTS : GIVE_UP_POINTS)) return 'place'
  return lastLossMs !== undefined && nowMs - lastLossMs < GIVE_UP_DELAY_MS ? 'wait' : 'give-up'
}

/**
 * Tells whether a run went on for so long that its task does not crash workers.
 *
 * @param run - a run
 * @param aliveMs - monotonic time at which its worker is known to have been alive
 * @returns true if it did; false if its start was never confirmed
 * @public
 */
export function hasSurvivedUntil (run: Run, aliveMs: number): boolean {
  return knownSurvivalMs(run, aliveMs) >= (stepOf(run.task).isLasting ? SURVIVAL_MS.lasting : SURVIVAL_MS.finite)
}

/** @param run - a run @param aliveMs - monotonic @returns how long it went on after its confirmed start; `-Infinity` if that was never confirmed @public */
export function knownSurvivalMs ({ previousStartMs, startedMs }: Run, aliveMs: number): number {
  return startedMs === undefined ? -Infinity : aliveMs - (previousStartMs ?? startedMs)
}

/** @param run - a run @returns monotonic time of its start, also if a previous holder started it; of its placement while no start is confirmed @public */
export const startMsOf = ({ previousStartMs, startedMs, placedMs }: Run): number | undefined => previousStartMs ?? startedMs ?? placedMs
