/**
 * Creates the tasks of jobs as they are needed, and tells which of them are left.
 *
 * A step of a large job has thousands of tasks that wait for their turn. They are created from the first on, when they are placed, and tasks that are done
 * are not looked at again: what a holder keeps, and what a placement round or the end of a run costs, does not grow with the size of the jobs that wait. The
 * same holds for the occurrences of a scheduled job: those that have not begun are all alike, and those that are done need no tasks.
 *
 * @module
 */
import { createCrashRecord } from './CrashRecord.js'
import type { StepSpec } from './JobSpec.js'
import { dueMs, isOpen, occurrenceCount, stepOf, tasksPerOccurrence, type Job, type Task } from './JobState.js'

/** A step of one occurrence of a job. @public */
export interface StepOfOccurrence { readonly job: Job, readonly occurrence: number, readonly stepIndex: number }

/** Index of the first task of a step that is not done. Tasks stay done, so it only grows. */
const firstUnfinishedIndexes = new WeakMap<readonly Task[], number>()

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

const stepKeyOf = ({ spec: { jobId } }: Job, occurrence: number, stepIndex: number): string => `${jobId}.${occurrence}.${stepIndex}`

/** @param job - a job @param occurrence - index @param stepIndex - index @param index - index in the step @returns the key of the task @public */
export const taskKeyOf = (job: Job, occurrence: number, stepIndex: number, index: number): string => `${stepKeyOf(job, occurrence, stepIndex)}.${index}`

function createTask (job: Job, stepIndex: number, occurrence: number, index: number): Task {
  return {
    job,
    stepIndex,
    occurrence,
    index,
    key: taskKeyOf(job, occurrence, stepIndex, index),
    stepKey: stepKeyOf(job, occurrence, stepIndex),
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

/** @param job - a job @param taskKey - JOB.OCCURRENCE.STEP.INDEX @returns the task, `undefined` if its occurrence is done @public */
export function findTask (job: Job, taskKey: string): Task | undefined {
  const [, occurrence, step, index] = taskKey.split('.')
  const isTime = Number.isInteger(Number(occurrence)) && Number(occurrence) >= 0 && Number(occurrence) < occurrenceCount(job)
  if (!isTime || job.doneOccurrences.has(Number(occurrence))) return undefined
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
  const hasUnbegun = job.occurrences.size + job.doneOccurrences.size < occurrenceCount(job)
  const begun = [...job.occurrences.values()]
  return job.spec.steps.some((step, stepIndex) =>
    isIncluded(step) && (hasUnbegun || begun.some((steps) => countOpen(steps[stepIndex] ?? [], step.taskCount) > 0)))
}

/** @param job - a job @returns all tasks created so far @public */
export function allTasks (job: Job): Task[] {
  return [...job.occurrences.values()].flat(2)
}

/** Tasks of a step whose positions in the job follow each other. @public */
export interface TaskRange { readonly occurrence: number, readonly stepIndex: number, readonly fromIndex: number, readonly toIndex: number }

/** @param job - a job @param from - first position @param to - position after the last @returns the tasks at these positions, step by step @public */
export function rangesBetween (job: Job, from: number, to: number): TaskRange[] {
  const each = tasksPerOccurrence(job.spec)
  const ranges: TaskRange[] = []
  for (let occurrence = Math.floor(from / each); occurrence < occurrenceCount(job) && occurrence * each < to; occurrence++) {
    let start = occurrence * each
    job.spec.steps.forEach(({ taskCount }, stepIndex) => {
      const range = { occurrence, stepIndex, fromIndex: Math.max(0, from - start), toIndex: Math.min(taskCount, to - start) }
      if (range.fromIndex < range.toIndex) ranges.push(range)
      start += taskCount
    })
  }
  return ranges
}

/** @param job - a job @param range - some of its tasks @returns those that were created and belong to no occurrence that is done @public */
export const createdTasksIn = (job: Job, { occurrence, stepIndex, fromIndex, toIndex }: TaskRange): Task[] =>
  job.occurrences.get(occurrence)?.[stepIndex]?.slice(fromIndex, toIndex) ?? []

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

const countIn = (tasks: readonly Task[], taskCount: number, isCounted: (task: Task) => boolean): number =>
  tasks.length === 0 ? taskCount : countUnfinished(tasks, isCounted)

/** @param tasks - the created tasks of a step @param taskCount - number of all its tasks @returns how many may be started, now or later @public */
export const countOpen = (tasks: readonly Task[], taskCount: number): number => countIn(tasks, taskCount, isOpen)

/**
 * Returns a function that tells which steps of an occurrence are done. The occurrence is looked up once for all of them.
 *
 * @param job - a job
 * @param occurrence - index of an occurrence
 * @returns a function of the index of a step: whether all of its tasks are done
 */
export function doneStepsOf (job: Job, occurrence: number): (stepIndex: number) => boolean {
  if (job.doneOccurrences.has(occurrence)) return () => true
  const steps = job.occurrences.get(occurrence)
  return (stepIndex) => {
    const tasks = steps?.[stepIndex]
    return tasks !== undefined && tasks.length === job.spec.steps[stepIndex]?.taskCount && firstUnfinishedIndex(tasks) === tasks.length
  }
}

function isOccurrenceDone (job: Job, occurrence: number): boolean {
  const isDone = doneStepsOf(job, occurrence)
  return job.spec.steps.every((_, stepIndex) => isDone(stepIndex))
}

/**
 * Drops the tasks of an occurrence once all are done and no run of them is left.
 *
 * @param job - a job
 * @param occurrence - index of an occurrence that has begun
 * @returns whether it is done, with runs or without
 * @public
 */
export function retireOccurrence (job: Job, occurrence: number): boolean {
  if (!isOccurrenceDone(job, occurrence)) return false
  const steps = job.occurrences.get(occurrence)
  if (steps === undefined || steps.some((tasks) => tasks.some(({ runs }) => runs.length > 0))) return true
  job.occurrences.delete(occurrence)
  job.doneOccurrences.add(occurrence)
  return true
}

/** @param job - a job @param wallMs - current wall-clock time @returns how many of its occurrences are due, which are the first ones @public */
export function countDue (job: Job, wallMs: number): number {
  const { schedule } = job.spec
  if (schedule === undefined) return 1
  if (dueMs(job, 0) > wallMs) return 0
  return schedule.intervalMs <= 0 ? schedule.runs : Math.min(schedule.runs, Math.floor((wallMs - schedule.firstRunMs) / schedule.intervalMs) + 1)
}

/**
 * Lists due occurrences that have begun. Those that turn out to be done are retired and left out.
 *
 * @param job - a job
 * @param due - number of its due occurrences
 * @param select - selects some of them to visit; all if left out
 * @returns the selected ones that are not done
 */
export function listBegun (job: Job, due: number, select: (begun: number[]) => number[] = (begun) => begun): number[] {
  const begun = [...job.occurrences.keys()].filter((occurrence) => occurrence < due).sort((a, b) => a - b)
  return select(begun).filter((occurrence) => !retireOccurrence(job, occurrence))
}

/**
 * Finds an occurrence that has not begun.
 *
 * @param job - a job
 * @param from - first occurrence to consider
 * @param to - occurrence after the last to consider
 * @param isNew - whether an occurrence with tasks has not begun all the same
 * @returns the first one, `to` if there is none
 * @public
 */
export function nextUnbegun (job: Job, from: number, to: number, isNew: (occurrence: number) => boolean = () => false): number {
  let occurrence = from
  while (occurrence < to) {
    const next = job.doneOccurrences.endOf(occurrence)
    if (next === occurrence && (!job.occurrences.has(occurrence) || isNew(occurrence))) return occurrence
    occurrence = Math.max(next, occurrence + 1)
  }
  return to
}

/**
 * Counts occurrences that have not begun.
 *
 * @param job - a job
 * @param from - first occurrence to consider
 * @param to - occurrence after the last to consider
 * @returns how many there are
 * @public
 */
export function countUnbegun (job: Job, from: number, to: number): number {
  let begun = 0
  for (const occurrence of job.occurrences.keys()) if (occurrence >= from && occurrence < to) begun++
  return Math.max(0, to - from) - begun - job.doneOccurrences.countBetween(from, to)
}

/** @param job - a job @param occurrence - an occurrence that is due @returns indices of its unfinished steps whose dependencies are done @public */
export function readyStepsOf (job: Job, occurrence: number): number[] {
  const ready: number[] = []
  const isDone = doneStepsOf(job, occurrence)
  job.spec.steps.forEach(({ dependsOn }, stepIndex) => {
    if (dependsOn.every(isDone) && !isDone(stepIndex)) ready.push(stepIndex)
  })
  return ready
}

/** Tasks of a ready step. @public */
export interface ReadyTasks extends StepOfOccurrence {
  /** How many are counted, over all occurrences for which the step stands. */
  readonly count: number
}

/**
 * Counts the tasks of the steps that are ready. A step of the first occurrence that has not begun stands for the same step of all others.
 *
 * @param job - a job that has not ended
 * @param wallMs - current wall-clock time
 * @param isCounted - whether a task counts; tasks that were not created yet do, and no task that is done may
 * @returns the steps in order of their occurrences
 * @public
 */
export function countReadyTasks (job: Job, wallMs: number, isCounted: (task: Task) => boolean): ReadyTasks[] {
  const due = countDue(job, wallMs)
  const begun = listBegun(job, due)
  const counts = begun.flatMap((occurrence) => readyStepsOf(job, occurrence).map((stepIndex) =>
    ({ job, occurrence, stepIndex, count: countIn(job.occurrences.get(occurrence)?.[stepIndex] ?? [], taskCountOf(job, stepIndex), isCounted) })))
  const unbegun = countUnbegun(job, 0, due)
  const occurrence = unbegun === 0 ? due : nextUnbegun(job, 0, due)
  if (occurrence === due) return counts
  const alike = readyStepsOf(job, occurrence).map((stepIndex) => ({ job, occurrence, stepIndex, count: unbegun * taskCountOf(job, stepIndex) }))
  const after = counts.findIndex((each) => each.occurrence > occurrence)
  return after < 0 ? [...counts, ...alike] : [...counts.slice(0, after), ...alike, ...counts.slice(after)]
}

const taskCountOf = (job: Job, stepIndex: number): number => job.spec.steps[stepIndex]?.taskCount ?? 0

/** @param job - a job @returns whether every task of every occurrence has ended `done` @public */
export const isJobDone = (job: Job): boolean => job.occurrences.size + job.doneOccurrences.size === occurrenceCount(job) &&
  [...job.occurrences.keys()].every((occurrence) => isOccurrenceDone(job, occurrence))
