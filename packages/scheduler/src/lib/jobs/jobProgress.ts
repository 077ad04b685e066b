/**
 * Progress record of a job: what the next duty holder needs to continue the job, and what clients are told about it.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import { allTasks, createCrashRecord, findTask, jobOwnerSchema, type Job, type Run } from '@quillscale/policy'

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

const progressSchema = z.object({
  status: z.enum(['queued', 'running', 'succeeded', 'failed', 'cancelled']),
  endedMs: z.number().optional(),
  /** Why the job failed. */
  failure: z.object({ reason: z.enum(['attempts', 'crashes']), taskKey: z.string() }).optional(),
  /** The only client account that may access the job; `undefined` if every account may. */
  owner: jobOwnerSchema.optional(),
  tasks: z.array(taskProgressSchema)
})

/** Progress record of a job. @public */
export type JobProgress = z.infer<typeof progressSchema>

/**
 * Encodes the progress of a job. Tasks that were never placed are omitted; so are, once the job has ended, tasks without runs.
 *
 * @param job - the job to encode
 * @returns the progress record as text
 * @public
 */
export function encodeProgress (job: Job): string {
  const placedTasks = allTasks(job).filter(({ lastRunNumber }) => lastRunNumber > 0)
  const isEnded = job.endedMs !== undefined
  const progress: JobProgress = {
    status: job.status,
    endedMs: job.endedMs,
    failure: job.failure,
    owner: job.spec.isPublic ? undefined : job.spec.owner,
    tasks: placedTasks.filter(({ runs }) => !isEnded || runs.length > 0).map((task) => ({
      key: task.key,
      isDone: task.isDone || undefined,
      isGivenUp: task.isGivenUp || undefined,
      lastRunNumber: task.lastRunNumber,
      failures: task.failures === 0 ? undefined : task.failures,
      crashPoints: task.crashes.points === 0 ? undefined : task.crashes.points,
      checkpoint: task.checkpoint === '' ? undefined : task.checkpoint,
      runs: task.runs.length === 0 ? undefined : task.runs.map(encodeRun)
    }))
  }
  return JSON.stringify(progress)
}

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
  }
  return restored
}
