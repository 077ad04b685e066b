/**
 * Decides what to stop on a worker that is to be emptied.
 *
 * @module
 */
import { stepOf, type Run, type Task } from './JobState.js'

/** A task that neither lasts nor saves its progress may finish; after this it is stopped. The longest tasks of the users' sheets run 4.2 s. */
const FINISH_MS = 4500
/** A lasting task is at work when its percent is this. */
const AT_WORK_PERCENT = 100

/** @param task - that lasts @returns whether a worker has reported it at work @public */
export function isAtWork (task: Task): boolean {
  return task.runs.some((run) => run.phase === 'running' && run.percent >= AT_WORK_PERCENT)
}

/**
 * Tells whether a lasting task may be taken away now.
 *
 * @param task - that lasts
 * @param step - all tasks of its step
 * @returns whether so few others are away that its step's bound holds
 * @public
 */
export function mayBeAway (task: Task, step: readonly Task[]): boolean {
  const { maxAway } = stepOf(task)
  if (maxAway === undefined || !isAtWork(task)) return true
  const othersAway = step.filter((other) => other !== task && !isAtWork(other)).length
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
export function planVacate (runs: readonly Run[], sinceMs: number, nowMs: number): Run[] {
  const touchedSteps = new Set<readonly Task[]>()
  return runs.filter((run) => {
    if (run.phase !== 'running') return false
    const step = stepOf(run.task)
    if (!step.isLasting) return step.isCheckpointing || nowMs - sinceMs > FINISH_MS
    const tasks = run.task.job.times.get(run.task.time)?.[run.task.stepIndex] ?? []
    if (touchedSteps.has(tasks) || !mayBeAway(run.task, tasks)) return false
    touchedSteps.add(tasks)
    return true
  })
}
