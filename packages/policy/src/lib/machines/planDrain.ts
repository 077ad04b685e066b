/**
 * Decides what to stop on a worker that is to be emptied.
 *
 * @module
 */
import { stepOf, type Run, type Task } from '../jobs/JobState.js'

/** A task that neither lasts nor saves its progress may finish; after this it is stopped. The longest tasks that are declared run 4.2 s. */
const FINISH_TIMEOUT_MS = 4500
/** A lasting task is at work when its percent is this. */
const READY_PERCENT = 100
/** A report that is older says nothing: workers are asked at least each second. */
const REPORT_VALID_MS = 1600

/** @param task - that lasts @param nowMs - monotonic @returns whether a worker has lately reported it at work @public */
export function isReportedReady (task: Task, nowMs: number): boolean {
  return task.runs.some((run) => run.phase === 'running' && run.percent >= READY_PERCENT && nowMs - run.lastListedMs < REPORT_VALID_MS)
}

/**
 * Tells whether a lasting task may be taken away now.
 *
 * @param task - that lasts
 * @param step - all tasks of its step
 * @param nowMs - monotonic
 * @returns whether so few others are away that its step's bound holds
 * @public
 */
export function isDisruptionAllowed (task: Task, step: readonly Task[], nowMs: number): boolean {
  const { maxAway } = stepOf(task)
  if (maxAway === undefined) return true
  const othersAway = step.filter((other) => other !== task && !isReportedReady(other, nowMs)).length
  return othersAway < maxAway
}

/**
 * Chooses the runs to stop now.
 *
 * @param runs - on the worker
 * @param sinceMs - monotonic, when emptying began
 * @param nowMs - monotonic
 * @returns those to stop; lasting tasks one at a time within each step
 * @public
 */
export function planDrain (runs: readonly Run[], sinceMs: number, nowMs: number): Run[] {
  const passing = runs.filter((run) => {
    const step = stepOf(run.task)
    return run.phase === 'running' && !step.isLasting && (step.isCheckpointing || nowMs - sinceMs > FINISH_TIMEOUT_MS)
  })
  return [...passing, ...planLeavingWorkerDrain(runs, nowMs)]
}

/**
 * Chooses the runs to stop now on a worker that is about to end, at a time that nobody knows: those that last move, the others
 * may finish.
 *
 * @param runs - on the worker
 * @param nowMs - monotonic
 * @returns lasting tasks to stop, one at a time within each step
 * @public
 */
export function planLeavingWorkerDrain (runs: readonly Run[], nowMs: number): Run[] {
  const touchedSteps = new Set<readonly Task[]>()
  return runs.filter((run) => {
    if (run.phase !== 'running' || !stepOf(run.task).isLasting) return false
    const tasks = run.task.job.occurrences.get(run.task.occurrence)?.[run.task.stepIndex] ?? []
    if (touchedSteps.has(tasks) || !isDisruptionAllowed(run.task, tasks, nowMs)) return false
    touchedSteps.add(tasks)
    return true
  })
}
