/**
 * Progress records of a job: what the next duty holder needs to continue the job, and what clients are told about it.
 *
 * A small job has one record. The tasks of a larger one are in further records, each of some tasks, so that every value stays well below the size that
 * the store accepts, and a change writes only the records of the tasks that changed.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import {
  createCrashRecord, createdTasksIn, findTask, jobOwnerSchema, occurrenceCount, rangesBetween, retireOccurrence, taskKeyOf, taskOrdinal, tasksPerOccurrence,
  type Job, type Run, type Task, type TaskRange
} from '@quillscale/policy'

/** Tasks of one record. With the longest checkpoints, a 7 Mbit/s link, the slowest in use, carries a record in half of the call timeout. */
export const TASKS_PER_RECORD = 64
/** A longer checkpoint is not kept: the task then continues from the one before. */
const MAX_CHECKPOINT_BYTES = 4000

const runProgressSchema = z.object({
  runNumber: z.number(),
  instanceId: z.string(),
  isStopping: z.boolean().optional(),
  /** Reading of the worker's clock at the start; missing for tasks that are not lasting, and in records of older versions. */
  workerClockStartMs: z.number().optional()
})
type RunProgress = z.infer<typeof runProgressSchema>

const taskProgressSchema = z.object({
  key: z.string(),
  isDone: z.boolean().optional(),
  /** It ended the workers that started it, and is not started any more while others of its job go on. */
  isGivenUp: z.boolean().optional(),
  lastRunNumber: z.number(),
  failures: z.number().optional(),
  crashPoints: z.number().optional(),
  checkpoint: z.string().optional(),
  runs: z.array(runProgressSchema).optional()
})
type TaskProgress = z.infer<typeof taskProgressSchema>

const storedSchema = z.object({
  status: z.enum(['queued', 'running', 'succeeded', 'failed', 'cancelled']),
  endedMs: z.number().optional(),
  /** Why the job failed. */
  failure: z.object({ reason: z.enum(['attempts', 'crashes']), taskKey: z.string() }).optional(),
  /** The only client account that may access the job; `undefined` if every account may. */
  owner: jobOwnerSchema.optional(),
  /** Missing in the first record of a job whose tasks are in further records. Versions that read only one record set such a job aside. */
  tasks: z.array(taskProgressSchema).optional(),
  hasParts: z.literal(true).optional()
})
const progressSchema = storedSchema
  .refine(({ tasks, hasParts }) => tasks !== undefined || hasParts === true, { path: ['tasks'] })
  .transform(({ tasks = [], ...rest }) => ({ ...rest, tasks }))

type StoredProgress = z.infer<typeof storedSchema>
/** Progress of a job, or of some of its tasks. @public */
export type JobProgress = z.infer<typeof progressSchema>

/** @param job - a job @returns the number of further records that its tasks take; 0 if they are in its only record @public */
export function countParts (job: Job): number {
  const tasks = tasksPerOccurrence(job.spec) * occurrenceCount(job)
  return tasks <= TASKS_PER_RECORD || job.isRecordedWhole ? 0 : Math.ceil(tasks / TASKS_PER_RECORD)
}

/** @param task - a task of a job with further records @returns the index of the record that it is in @public */
export const partOf = (task: Task): number => Math.floor(taskOrdinal(task) / TASKS_PER_RECORD)

/**
 * Encodes the progress of a job. Tasks that were never placed are omitted; so are, once the job has ended, tasks without runs.
 *
 * @param job - the job to encode
 * @returns the only record, or the first one without tasks, as text
 * @public
 */
export function encodeProgress (job: Job): string {
  const hasParts = countParts(job) > 0
  const progress: StoredProgress = {
    status: job.status,
    endedMs: job.endedMs,
    failure: job.failure,
    owner: job.spec.isPublic ? undefined : job.spec.owner,
    tasks: hasParts ? undefined : encodeTasks(job, 0, Infinity),
    hasParts: hasParts || undefined
  }
  return JSON.stringify(progress)
}

/**
 * Encodes some tasks of a job.
 *
 * @param job - a job with further records
 * @param part - index of the record
 * @returns the record as text, `undefined` if no task has anything to keep
 * @public
 */
export function encodePart (job: Job, part: number): string | undefined {
  const tasks = encodeTasks(job, part * TASKS_PER_RECORD, (part + 1) * TASKS_PER_RECORD)
  const progress: StoredProgress = { status: job.status, tasks }
  return tasks.length === 0 ? undefined : JSON.stringify(progress)
}

function encodeTasks (job: Job, from: number, to: number): TaskProgress[] {
  const isEnded = job.endedMs !== undefined
  return rangesBetween(job, from, to).flatMap((range) => {
    if (job.doneOccurrences.has(range.occurrence)) return isEnded ? [] : encodeDoneTasks(job, range)
    return createdTasksIn(job, range).filter(({ lastRunNumber, runs }) => lastRunNumber > 0 && (!isEnded || runs.length > 0)).map(encodeTask)
  })
}

/** Encodes tasks of an occurrence that is done. They are never started again, so the number of their last run does not matter. */
function encodeDoneTasks (job: Job, { occurrence, stepIndex, fromIndex, toIndex }: TaskRange): TaskProgress[] {
  const keyOf = (at: number): string => taskKeyOf(job, occurrence, stepIndex, fromIndex + at)
  return Array.from({ length: toIndex - fromIndex }, (_, at) => ({ key: keyOf(at), isDone: true, lastRunNumber: 1 }))
}

const encodeTask = (task: Task): TaskProgress => ({
  key: task.key,
  isDone: task.isDone || undefined,
  isGivenUp: task.isGivenUp || undefined,
  lastRunNumber: task.lastRunNumber,
  failures: task.failures === 0 ? undefined : task.failures,
  crashPoints: task.crashes.points === 0 ? undefined : task.crashes.points,
  checkpoint: task.checkpoint === '' ? undefined : task.checkpoint,
  runs: task.runs.length === 0 ? undefined : task.runs.map(encodeRun)
})

/** @param checkpoint - as reported by a worker @returns whether it can be kept in the records of its job @public */
export const isKeepableCheckpoint = (checkpoint: string): boolean => Buffer.byteLength(JSON.stringify(checkpoint)) <= MAX_CHECKPOINT_BYTES

/** Encodes a run. A stop that a previous duty holder recorded stays in the record until the run has ended. */
function encodeRun ({ runNumber, instanceId, phase, shouldStop, workerClockStartMs }: Run): RunProgress {
  const isStopping = phase === 'stopping' || shouldStop
  return { runNumber, instanceId, isStopping: isStopping || undefined, workerClockStartMs }
}

/**
 * Decodes a progress record.
 *
 * @param text - the record as stored
 * @returns the progress, or why it cannot be decoded
 * @public
 */
export const decodeProgress = (text: string): Result<JobProgress, DecodeProblem> => decodeJson(progressSchema, text)

/**
 * Joins the records of a job.
 *
 * @param records - decoded records of the job, of which the first may be missing
 * @returns its progress, `undefined` without any record
 * @public
 */
export function joinProgress (records: readonly JobProgress[]): JobProgress | undefined {
  const first = records.find(({ hasParts }) => hasParts === true) ?? records[0]
  return first === undefined ? undefined : { ...first, tasks: records.flatMap(({ tasks }) => tasks) }
}

/**
 * Restores the state of a job that a previous duty holder recorded.
 *
 * @param job - the job as accepted, without runs
 * @param progress - its progress record
 * @param nowMs - current monotonic time
 * @returns the restored runs, each of which may still be running
 * @public
 */
export function restoreProgress (job: Job, progress: JobProgress, nowMs: number): Run[] {
  job.status = progress.status
  job.endedMs = progress.endedMs
  job.failure = progress.failure
  const restored: Run[] = []
  for (const taskProgress of progress.tasks) {
    const task = findTask(job, taskProgress.key)
    if (task === undefined) continue
    task.isDone = taskProgress.isDone ?? false
    task.isGivenUp = taskProgress.isGivenUp ?? false
    task.lastRunNumber = taskProgress.lastRunNumber
    task.failures = taskProgress.failures ?? 0
    task.crashes = createCrashRecord(taskProgress.crashPoints)
    task.checkpoint = taskProgress.checkpoint ?? ''
    for (const { runNumber, instanceId, isStopping, workerClockStartMs } of taskProgress.runs ?? []) {
      const run: Run = {
        task,
        taskKey: taskProgress.key,
        runNumber,
        instanceId,
        phase: 'unconfirmed',
        placedMs: undefined,
        startedMs: undefined,
        workerClockStartMs,
        stopConfirmedMs: undefined,
        isUncertain: true,
        shouldStop: isStopping === true,
        lastListedMs: -Infinity,
        percent: 0,
        progressMs: nowMs,
        pacePercent: 100,
        load: 0
      }
      task.runs.push(run)
      restored.push(run)
    }
    if (task.isDone) retireOccurrence(job, task.occurrence)
  }
  return restored
}
