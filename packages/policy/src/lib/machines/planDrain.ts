/**
 * Decides which runs to stop on a worker that is being drained.
 *
 * @module
 */
import { stepOf, type Run, type Task } from '../jobs/JobState.js'
import { uncreatedCount } from '../jobs/jobTasks.js'

/** Time that tasks get to finish before they are stopped, unless they are lasting or checkpointing; the longest declared tasks run 4.2 s. */
const FINISH_TIMEOUT_MS = 4500
/** Progress at which a lasting task is ready. */
const READY_PERCENT = 100
/** Older reports are ignored; workers are polled at least every second. */
const REPORT_VALID_MS = 1600

/** @param task - a lasting task @param nowMs - monotonic @returns whether a worker has recently reported it as ready @public */
export function isReportedReady (task: Task, nowMs: number): boolean {
  return task.runs.some((run) => run.phase === 'running' && run.percent >= READY_PERCENT && nowMs - run.lastListedMs < REPORT_VALID_MS)
}

/**
 * Decides whether a lasting task may be stopped now, by the disruption budget (`maxAway`) of its step.
 *
 * @param task - a lasting task
 * @param step - the created tasks of its step
 * @param nowMs - monotonic
 * @returns whether few enough other tasks of the step are unavailable
 * @public
 */
export function isDisruptionAllowed (task: Task, step: readonly Task[], nowMs: number): boolean {
  const { maxAway } = stepOf(task)
  return maxAway === undefined || countOthersAway(task, step, nowMs) < maxAway
}

/**
 * @param task - a lasting task
 * @param step - the created tasks of its step; those that never started are away as well
 * @param nowMs - monotonic
 * @returns how many of the other tasks are not known to be ready
 * @public
 */
export function countOthersAway (task: Task, step: readonly Task[], nowMs: number): number {
  return step.filter((other) => other !== task && !isReportedReady(other, nowMs)).length + uncreatedCount(step)
}

/**
 * Chooses the runs to stop now.
 *
 * @param runs - runs on the worker
 * @param sinceMs - monotonic, when the drain began
 * @param nowMs - monotonic
 * @returns the runs to stop; of lasting tasks one at a time per step
 * @public
 */
export function planDrain (runs: readonly Run[], sinceMs: number, nowMs: number): Run[] {
  const finiteRuns = runs.filter((run) => {
    const step = stepOf(run.task)
    return run.phase === 'running' && !step.isLasting && (step.isCheckpointing || nowMs - sinceMs > FINISH_TIMEOUT_MS)
  })
  return [...finiteRuns, ...planLeavingWorkerDrain(runs, nowMs)]
}

/**
 * Chooses the runs to stop now on a worker that will end at an unknown time: lasting tasks move away, others may finish.
 *
 * @param runs - runs on the worker
 * @param nowMs - monotonic
 * @returns runs of lasting tasks to stop, one at a time per step
 * @public
 */
export function planLeavingWorkerDrain (runs: readonly Run[], nowMs: number): Run[] {
  const disruptedSteps = new Set<readonly Task[]>()
  return runs.filter((run) => {
    if (run.phase !== 'running' || !stepOf(run.task).isLasting) return false
    const tasks = run.task.job.occurrences.get(run.task.occurrence)?.[run.task.stepIndex] ?? []
    if (disruptedSteps.has(tasks) || !isDisruptionAllowed(run.task, tasks, nowMs)) return false
    disruptedSteps.add(tasks)
    return true
  })
}
