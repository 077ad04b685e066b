/**
 * Progress of a job as it is kept: what a next holder needs to go on, and what clients are told.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import { allTasks, createCrashRecord, findTask, jobOwnerSchema, type Job, type Run } from '@quillscale/policy'

const runProgressSchema = z.object({ runNumber: z.number(), instanceId: z.string(), isStopping: z.boolean().optional() })
type RunProgress = z.infer<typeof runProgressSchema>

const taskProgressSchema = z.object({
  key: z.string(),
  isDone: z.boolean().optional(),
  lastRunNumber: z.number(),
  failures: z.number().optional(),
  crashPoints: z.number().optional(),
  checkpoint: z.string().optional(),
  runs: z.array(runProgressSchema).optional()
})

const progressSchema = z.object({
  status: z.enum(['queued', 'running', 'succeeded', 'failed', 'cancelled']),
  endedMs: z.number().optional(),
  /** Of a job that failed. */
  failure: z.object({ reason: z.enum(['attempts', 'crashes']), taskKey: z.string() }).optional(),
  /** Who alone may ask for it; `undefined` if everybody may. */
  owner: jobOwnerSchema.optional(),
  tasks: z.array(taskProgressSchema)
})

/** Progress of a job. @public */
export type JobProgress = z.infer<typeof progressSchema>

/** @param job - any @returns its progress as text; an ended job's tasks are left out @public */
export function encodeProgress (job: Job): string {
  const touched = allTasks(job).filter(({ lastRunNumber }) => lastRunNumber > 0)
  const isEnded = job.endedMs !== undefined
  const progress: JobProgress = {
    status: job.status,
    endedMs: job.endedMs,
    failure: job.failure,
    owner: job.spec.isPublic ? undefined : job.spec.owner,
    tasks: touched.filter(({ runs }) => !isEnded || runs.length > 0).map((task) => ({
      key: task.key,
      isDone: task.isDone || undefined,
      lastRunNumber: task.lastRunNumber,
      failures: task.failures === 0 ? undefined : task.failures,
      crashPoints: task.crashes.points === 0 ? undefined : task.crashes.points,
      checkpoint: task.checkpoint === '' ? undefined : task.checkpoint,
      runs: task.runs.length === 0 ? undefined : task.runs.map(encodeRun)
    }))
  }
  return JSON.stringify(progress)
}

/** A stop that a former holder wrote down is handed on until the run is over. */
function encodeRun ({ runNumber, instanceId, phase, shouldStop: isToStop }: Run): RunProgress {
  const isStopping = phase === 'stopping' || isToStop
  return { runNumber, instanceId, isStopping: isStopping || undefined }
}

/** @param text - as kept @returns the progress, or why it cannot be read @public */
export const decodeProgress = (text: string): Result<JobProgress, DecodeProblem> => decodeJson(progressSchema, text)

/**
 * Takes over what an earlier holder recorded.
 *
 * @param job - as accepted
 * @param progress - as kept
 * @param nowMs - the present monotonic time
 * @returns its runs that may be going on
 * @public
 */
export function restoreProgress (job: Job, progress: JobProgress, nowMs: number): Run[] {
  job.status = progress.status
  job.endedMs = progress.endedMs
  job.failure = progress.failure
  const restored: Run[] = []
  for (const kept of progress.tasks) {
    const task = findTask(job, kept.key)
    if (task === undefined) continue
    task.isDone = kept.isDone ?? false
    task.lastRunNumber = kept.lastRunNumber
    task.failures = kept.failures ?? 0
    task.crashes = createCrashRecord(kept.crashPoints)
    task.checkpoint = kept.checkpoint ?? ''
    for (const { runNumber, instanceId, isStopping } of kept.runs ?? []) {
      const run: Run = {
        task,
        taskKey: kept.key,
        runNumber,
        instanceId,
        phase: 'unconfirmed',
        placedMs: undefined,
        startedMs: undefined,
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
