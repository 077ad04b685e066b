/**
 * Jobs, tasks and runs as the scheduler of a service holds them in memory.
 *
 * @module
 */
import type { RunRef } from '@quillscale/ports'
import { createCrashRecord, type CrashRecord } from './CrashRecord.js'
import type { JobSpec, StepSpec } from './JobSpec.js'

/** What a job's clients are told. @public */
export type JobStatus = 'queued' | 'running' | 'succeeded' | 'failed' | 'cancelled'

/**
 * What is known of a run. `recording`: being written to the store; `starting`: ordered, not answered; `running`; `stopping`;
 * `unconfirmed`: placed by an earlier holder, the worker has not been asked yet.
 *
 * @public
 */
export type RunPhase = 'recording' | 'starting' | 'running' | 'stopping' | 'unconfirmed'

/** One run of a task on one worker. @public */
export interface Run extends RunRef {
  readonly task: Task
  /** The worker's lifetime; the next one of that worker where the order turned out to have reached that. */
  instanceId: string
  readonly ticket?: string | undefined
  phase: RunPhase
  /** Monotonic; when it was placed, `undefined` where an earlier holder did that. */
  readonly placedMs: number | undefined
  /** Monotonic; when the worker confirmed the start. */
  startedMs: number | undefined
  /** Monotonic; when the worker confirmed the stop. */
  stopConfirmedMs: number | undefined
  /** An order to start it may still be carried out. */
  isUncertain: boolean
  /** An earlier holder wrote down that it would be stopped. */
  shouldStop: boolean
  /** Monotonic; when the worker last listed it. */
  lastListedMs: number
  /** Last reported progress, and when it last grew. */
  percent: number
  progressMs: number
  /** The share at which it was told to work. */
  pacePercent: number
  /** Last reported tail of answer times or processor use. */
  load: number
}

/** A task of a job. @public */
export interface Task {
  readonly job: Job
  readonly stepIndex: number
  /** Which of the job's scheduled times, 0 without a schedule. */
  readonly occurrence: number
  readonly index: number
  readonly key: string
  /** JOB.TIME.STEP: what it shares with the other tasks of its step. */
  readonly stepKey: string
  isDone: boolean
  lastRunNumber: number
  failures: number
  /** Workers that may have ended because of it. */
  crashes: CrashRecord
  checkpoint: string
  readonly runs: Run[]
  /** Instances on which it failed or stood still. */
  readonly avoidedInstances: Set<string>
  /** Monotonic; since when it could have been placed. */
  waitingSinceMs: number | undefined
}

/** Why a job has failed: a task of it failed too often, or ended the workers that started it. @public */
export interface JobFailure {
  readonly reason: 'attempts' | 'crashes'
  readonly taskKey: string
}

/** A job. @public */
export interface Job {
  readonly spec: JobSpec
  /** By time, then by step. */
  readonly occurrences: Map<number, Task[][]>
  status: JobStatus
  /** Its account had sent more than its share of jobs when it came: others go first. */
  isOverShare: boolean
  /** Of one that failed, `undefined` where an older version ended it. */
  failure: JobFailure | undefined
  /** Wall clock; when it ended. */
  endedMs: number | undefined
}

/** @param spec - as accepted @returns the job before anything ran @public */
export function createJob (spec: JobSpec): Job {
  return { spec, occurrences: new Map(), status: 'queued', isOverShare: false, failure: undefined, endedMs: undefined }
}

/** @param job - any, or what is kept of it @returns whether nothing more is to be run @public */
export const hasEnded = (job: Pick<Job, 'status'>): boolean => job.status === 'succeeded' || job.status === 'failed' || job.status === 'cancelled'

/** @param task - any @returns its step @public */
export const stepOf = (task: Task): StepSpec => task.job.spec.steps[task.stepIndex] as StepSpec

/** @param job - any @returns how many times its steps run @public */
export const occurrenceCount = (job: Job): number => job.spec.schedule?.runs ?? 1

/** @param job - any @param time - from 0 @returns when it is due on the wall clock @public */
export function dueMs (job: Job, time: number): number {
  const { schedule, submittedMs } = job.spec
  return schedule === undefined ? submittedMs : schedule.firstRunMs + time * schedule.intervalMs
}

/** @param job - any @param time - from 0 @returns the tasks of that time by step, made when first asked for @public */
export function tasksOf (job: Job, time: number): Task[][] {
  const known = job.occurrences.get(time)
  if (known !== undefined) return known
  const steps = job.spec.steps.map((step, stepIndex) => Array.from({ length: step.taskCount }, (_, index) => createTask(job, stepIndex, time, index)))
  job.occurrences.set(time, steps)
  return steps
}

function createTask (job: Job, stepIndex: number, time: number, index: number): Task {
  const stepKey = `${job.spec.jobId}.${time}.${stepIndex}`
  const key = `${stepKey}.${index}`
  return {
    job,
    stepIndex,
    occurrence: time,
    index,
    key,
    stepKey,
    isDone: false,
    lastRunNumber: 0,
    failures: 0,
    crashes: createCrashRecord(),
    checkpoint: '',
    runs: [],
    avoidedInstances: new Set(),
    waitingSinceMs: undefined
  }
}

/** @param job - any @param taskKey - JOB.TIME.STEP.INDEX @returns the task @public */
export function findTask (job: Job, taskKey: string): Task | undefined {
  const [, time, step, index] = taskKey.split('.')
  const isTime = Number.isInteger(Number(time)) && Number(time) >= 0 && Number(time) < occurrenceCount(job)
  if (!isTime) return undefined
  return tasksOf(job, Number(time))[Number(step)]?.[Number(index)]
}

/** @param job - any @returns all tasks that were made so far @public */
export function allTasks (job: Job): Task[] {
  return [...job.occurrences.values()].flat(2)
}

/**
 * Lists the steps whose turn has come.
 *
 * @param job - that has not ended
 * @param wallMs - the present time of day
 * @returns their tasks, step by step
 * @public
 */
export function listReadySteps (job: Job, wallMs: number): Task[][] {
  const open: Task[][] = []
  for (let time = 0; time < occurrenceCount(job) && (job.spec.schedule === undefined || dueMs(job, time) <= wallMs); time++) {
    const steps = tasksOf(job, time)
    const isStepDone = steps.map((tasks) => tasks.every(({ isDone }) => isDone))
    steps.forEach((tasks, index) => {
      const isOpen = job.spec.steps[index]?.dependsOn.every((earlier) => isStepDone[earlier]) === true
      if (isOpen && isStepDone[index] !== true) open.push(tasks)
    })
  }
  return open
}

/** @param job - any @returns whether every task of every time has ended `done` @public */
export function isJobDone (job: Job): boolean {
  for (let time = 0; time < occurrenceCount(job); time++) {
    if (job.occurrences.get(time)?.every((tasks) => tasks.every(({ isDone }) => isDone)) !== true) return false
  }
  return true
}
