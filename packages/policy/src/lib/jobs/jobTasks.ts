/**
 * Creates the tasks of jobs as they are needed, and tells which of them are left.
 *
 * A step of a large job has thousands of tasks that wait for their turn. They are created from the first on, when they are placed, and tasks that are done
 * are not looked at again: what a holder keeps, and what a placement round or the end of a run costs, does not grow with the size of the jobs that wait.
 *
 * @module
 */
import { createCrashRecord } from './CrashRecord.js'
import type { StepSpec } from './JobSpec.js'
import { dueMs, isOpen, occurrenceCount, stepOf, tasksPerOccurrence, type Job, type Task } from './JobState.js'

/** Index of the first task of a step that is not done. Tasks stay done, so it only grows. */
const firstUnfinishedIndexes = new WeakMap<readonly Task[], number>()
/** Index of the first occurrence of a job that is not done. */
const firstUnfinishedOccurrences = new WeakMap<Job, number>()

/**
 * Returns the tasks of an occurrence that were created so far.
 *
 * @param job - a job
 * @param occurrence - index of the occurrence
 * @returns the first tasks of each step
 * @public
 */
export function createdTasksOf (job: Job, occurrence: number): Task[][] {
  const known = job.occurrences.get(occurrence)
  if (known !== undefined) return known
  const steps: Task[][] = job.spec.steps.map(() => [])
  job.occurrences.set(occurrence, steps)
  return steps
}

/**
 * Creates tasks of a step.
 *
 * @param job - a job
 * @param occurrence - index of the occurrence
 * @param stepIndex - index of the step
 * @param count - the number of tasks that the step has afterwards, at most those of its specification
 * @returns the tasks of the step
 * @public
 */
export function createTasks (job: Job, occurrence: number, stepIndex: number, count: number): Task[] {
  const tasks = createdTasksOf(job, occurrence)[stepIndex] ?? []
  const most = Math.min(count, job.spec.steps[stepIndex]?.taskCount ?? 0)
  while (tasks.length < most) tasks.push(createTask(job, stepIndex, occurrence, tasks.length))
  return tasks
}

/** @param task - a task of a gang that was placed, now or before @returns all members of the gang @public */
export const gangOf = ({ job, occurrence, stepIndex }: Task): readonly Task[] => createTasks(job, occurrence, stepIndex, Infinity)

/** @param job - a job @param occurrence - index of the occurrence @returns all of its tasks by step @public */
export function tasksOf (job: Job, occurrence: number): Task[][] {
  return job.spec.steps.map(({ taskCount }, stepIndex) => createTasks(job, occurrence, stepIndex, taskCount))
}

function createTask (job: Job, stepIndex: number, occurrence: number, index: number): Task {
  const stepKey = `${job.spec.jobId}.${occurrence}.${stepIndex}`
  const key = `${stepKey}.${index}`
  return {
    job,
    stepIndex,
    occurrence,
    index,
    key,
    stepKey,
    isDone: false,
    isGivenUp: false,
    lastRunNumber: 0,
    failures: 0,
    crashes: createCrashRecord(),
    checkpoint: '',
    runs: [],
    avoidedInstances: new Set(),
    waitingSinceMs: undefined
  }
}

/** @param job - a job @param taskKey - JOB.OCCURRENCE.STEP.INDEX @returns the task @public */
export function findTask (job: Job, taskKey: string): Task | undefined {
  const [, occurrence, step, index] = taskKey.split('.')
  const isTime = Number.isInteger(Number(occurrence)) && Number(occurrence) >= 0 && Number(occurrence) < occurrenceCount(job)
  if (!isTime) return undefined
  return createTasks(job, Number(occurrence), Number(step), Number(index) + 1)[Number(index)]
}

/**
 * Tells whether a job has tasks that may be started, now or later, in certain steps.
 *
 * @param job - a job
 * @param isIncluded - whether a step is included
 * @returns true if it has; tasks that were not created yet count
 * @public
 */
export function hasOpenTask (job: Job, isIncluded: (step: StepSpec) => boolean): boolean {
  return job.spec.steps.some((step, stepIndex) => isIncluded(step) &&
    (job.occurrences.size < occurrenceCount(job) || [...job.occurrences.values()].some((steps) => countOpen(steps[stepIndex] ?? [], step.taskCount) > 0)))
}

/** @param job - a job @returns all tasks created so far @public */
export function allTasks (job: Job): Task[] {
  return [...job.occurrences.values()].flat(2)
}

/** @param job - a job @param from - first position @param to - position after the last @returns the tasks created so far at these positions @public */
export function tasksInRange (job: Job, from: number, to: number): Task[] {
  const each = tasksPerOccurrence(job.spec)
  const tasks: Task[] = []
  for (let occurrence = Math.floor(from / each); occurrence < occurrenceCount(job) && occurrence * each < to; occurrence++) {
    let start = occurrence * each
    const steps = job.occurrences.get(occurrence)
    job.spec.steps.forEach(({ taskCount }, stepIndex) => {
      if (start < to && start + taskCount > from) tasks.push(...steps?.[stepIndex]?.slice(Math.max(0, from - start), Math.max(0, to - start)) ?? [])
      start += taskCount
    })
  }
  return tasks
}

/** Tasks of a step that are created when they are placed. @public */
export interface FurtherTasks {
  /** How many tasks of the step are not created yet. */
  readonly count: number
  /** Creates the next one and adds it to the tasks of the group. @returns the task, `undefined` if there is none left */
  readonly create: () => Task | undefined
}

/** @param tasks - the created tasks of a step, at least one @returns the number of its tasks that were not created yet @public */
export const uncreatedCount = (tasks: readonly Task[]): number => tasks[0] === undefined ? 0 : stepOf(tasks[0]).taskCount - tasks.length

/** @param tasks - the created tasks of a step @returns the index of the first one that is not done, or the number of tasks @public */
export function firstUnfinishedIndex (tasks: readonly Task[]): number {
  let index = firstUnfinishedIndexes.get(tasks) ?? 0
  while (tasks[index]?.isDone === true) index++
  firstUnfinishedIndexes.set(tasks, index)
  return index
}

/**
 * Counts the tasks of a step that satisfy a condition which no task that is done satisfies.
 *
 * @param tasks - the created tasks of the step, at least one; further ones are counted
 * @param isCounted - the condition
 * @returns the number of tasks
 * @public
 */
export function countUnfinished (tasks: readonly Task[], isCounted: (task: Task) => boolean): number {
  let count = uncreatedCount(tasks)
  for (let index = firstUnfinishedIndex(tasks); index < tasks.length; index++) if (isCounted(tasks[index] as Task)) count++
  return count
}

/** @param tasks - the created tasks of a step @param taskCount - number of all its tasks @returns how many may be started, now or later @public */
export const countOpen = (tasks: readonly Task[], taskCount: number): number => tasks.length === 0 ? taskCount : countUnfinished(tasks, isOpen)

/** @param job - a job @param occurrence - index of an occurrence @param stepIndex - index of a step @returns whether all tasks of the step are done @public */
export function isStepDone (job: Job, occurrence: number, stepIndex: number): boolean {
  const tasks = job.occurrences.get(occurrence)?.[stepIndex]
  return tasks !== undefined && tasks.length === job.spec.steps[stepIndex]?.taskCount && firstUnfinishedIndex(tasks) === tasks.length
}

function isOccurrenceDone (job: Job, occurrence: number): boolean {
  return job.spec.steps.every((_, stepIndex) => isStepDone(job, occurrence, stepIndex))
}

/** Returns the index of the first occurrence that is not done, or the number of occurrences. */
function firstUnfinishedOccurrence (job: Job): number {
  let occurrence = firstUnfinishedOccurrences.get(job) ?? 0
  while (occurrence < occurrenceCount(job) && isOccurrenceDone(job, occurrence)) occurrence++
  firstUnfinishedOccurrences.set(job, occurrence)
  return occurrence
}

/**
 * Lists the unfinished steps that are due and whose dependencies are done.
 *
 * @param job - a job that has not ended
 * @param wallMs - current wall-clock time
 * @returns their created tasks, at least one of each, step by step
 * @public
 */
export function listReadySteps (job: Job, wallMs: number): Task[][] {
  const ready: Task[][] = []
  const isDue = (occurrence: number): boolean => job.spec.schedule === undefined || dueMs(job, occurrence) <= wallMs
  for (let occurrence = firstUnfinishedOccurrence(job); occurrence < occurrenceCount(job) && isDue(occurrence); occurrence++) {
    createdTasksOf(job, occurrence)
    job.spec.steps.forEach(({ dependsOn }, stepIndex) => {
      const isReady = dependsOn.every((earlier) => isStepDone(job, occurrence, earlier)) && !isStepDone(job, occurrence, stepIndex)
      if (isReady) ready.push(createTasks(job, occurrence, stepIndex, 1))
    })
  }
  return ready
}

/** @param job - a job @returns whether every task of every occurrence has ended `done` @public */
export const isJobDone = (job: Job): boolean => firstUnfinishedOccurrence(job) === occurrenceCount(job)
