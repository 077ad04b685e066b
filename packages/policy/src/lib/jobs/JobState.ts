/**
 * In-memory state of jobs, tasks and runs in the scheduler of a service.
 *
 * @module
 */
import type { RunRef } from '@quillscale/ports'
import type { CrashRecord } from './CrashRecord.js'
import type { JobSpec, StepSpec } from './JobSpec.js'
import { NumberRanges } from './NumberRanges.js'

/** Status of a job as reported to clients. @public */
export type JobStatus = 'queued' | 'running' | 'succeeded' | 'failed' | 'cancelled'

/**
 * Phase of a run. `recording`: being written to the store; `starting`: the start order is unanswered; `running`; `stopping`;
 * `unconfirmed`: placed by a previous holder, and the worker has not been asked yet.
 *
 * @public
 */
export type RunPhase = 'recording' | 'starting' | 'running' | 'stopping' | 'unconfirmed'

/** One run of a task on one worker. @public */
export interface Run extends RunRef {
  readonly task: Task
  /** Lifetime of the worker; replaced by the worker's next lifetime if the start order turns out to have reached that one. */
  instanceId: string
  readonly ticket?: string | undefined
  phase: RunPhase
  /** Monotonic; when it was placed, `undefined` if a previous holder placed it. */
  readonly placedMs: number | undefined
  /** Monotonic; when the worker confirmed the start. */
  startedMs: number | undefined
  /** Reading of the worker's clock when it was placed or, once confirmed, started; known for lasting tasks, and handed on to the next holder. */
  workerClockStartMs?: number | undefined
  /** Monotonic; when it started under a previous holder, derived from `workerClockStartMs` once the worker has listed it. */
  previousStartMs?: number | undefined
  /** Monotonic; when the worker confirmed the stop. */
  stopConfirmedMs: number | undefined
  /** The worker may still act on a start order. */
  isUncertain: boolean
  /** A previous holder recorded that it is to be stopped. */
  shouldStop: boolean
  /** Monotonic; when the worker last listed it. */
  lastListedMs: number
  /** Monotonic; the latest time at which a report that listed it was requested. */
  listedAskedMs?: number | undefined
  /** Last reported progress; `progressMs` is when it last grew. */
  percent: number
  progressMs: number
  /** Pace requested from the worker, in percent of full speed. */
  pacePercent: number
  /** Last reported tail latency or CPU usage. */
  load: number
}

/** A task of a job. @public */
export interface Task {
  readonly job: Job
  readonly stepIndex: number
  /** Index of the scheduled run of the job, 0 without a schedule. */
  readonly occurrence: number
  readonly index: number
  readonly key: string
  /** JOB.OCCURRENCE.STEP, the prefix shared by all tasks of the step. */
  readonly stepKey: string
  isDone: boolean
  /** It is not started any more, because it crashes its workers; other tasks of its job go on. */
  isGivenUp: boolean
  lastRunNumber: number
  failures: number
  /** Worker losses that the task may have caused. */
  crashes: CrashRecord
  checkpoint: string
  readonly runs: Run[]
  /** Worker lifetimes on which it failed or stalled. */
  readonly avoidedInstances: Set<string>
  /** Monotonic; since when it has been ready for placement. */
  waitingSinceMs: number | undefined
}

/** Why a job failed: one of its tasks failed too often, or crashed the workers that started it. @public */
export interface JobFailure {
  readonly reason: 'attempts' | 'crashes'
  readonly taskKey: string
}

/** A job with the state of its tasks. @public */
export interface Job {
  readonly spec: JobSpec
  /** Tasks by occurrence, then by step, of the occurrences that have begun and are not done, as far as they were needed so far; see `jobTasks.ts`. */
  readonly occurrences: Map<number, Task[][]>
  /** Occurrences of which every task is done and no run is left. */
  readonly doneOccurrences: NumberRanges
  status: JobStatus
  /** Its account was beyond its share of jobs when it was submitted, so that others go first. */
  isOverShare: boolean
  /** An older version recorded the progress of all its tasks as one value, and it stays so. */
  isRecordedWhole: boolean
  /** Set for a failed job, except where an older software version ended it. */
  failure: JobFailure | undefined
  /** Wall clock; when it ended. */
  endedMs: number | undefined
}

/** @param spec - the accepted specification @returns a job of which nothing has run @public */
export function createJob (spec: JobSpec): Job {
  return {
    spec, occurrences: new Map(), doneOccurrences: new NumberRanges(), status: 'queued', isOverShare: false, isRecordedWhole: false, failure: undefined, endedMs: undefined
  }
}

/** @param job - a job or its status @returns whether it has ended @public */
export const hasEnded = (job: Pick<Job, 'status'>): boolean => job.status === 'succeeded' || job.status === 'failed' || job.status === 'cancelled'

/** @param task - a task @returns the specification of its step @public */
export const stepOf = (task: Task): StepSpec => task.job.spec.steps[task.stepIndex] as StepSpec

/** @param job - a job @returns how many times its steps run @public */
export const occurrenceCount = (job: Job): number => job.spec.schedule?.runs ?? 1

/** @param job - a job @param occurrence - index of the occurrence @returns when it is due on the wall clock @public */
export function dueMs (job: Job, occurrence: number): number {
  const { schedule, submittedMs } = job.spec
  return schedule === undefined ? submittedMs : schedule.firstRunMs + occurrence * schedule.intervalMs
}

/** @param spec - a job @returns the number of tasks of all its steps @public */
export const tasksPerOccurrence = ({ steps }: JobSpec): number => steps.reduce((sum, { taskCount }) => sum + taskCount, 0)

/** @param task - a task @returns its position among all tasks of its job, by occurrence, step and index @public */
export function taskOrdinal ({ job: { spec }, occurrence, stepIndex, index }: Task): number {
  const before = spec.steps.slice(0, stepIndex).reduce((sum, { taskCount }) => sum + taskCount, 0)
  return occurrence * tasksPerOccurrence(spec) + before + index
}

/** @param task - a task @returns whether it may be started, now or later @public */
export const isOpen = ({ isDone, isGivenUp }: Task): boolean => !isDone && !isGivenUp
