/**
 * Computes the next state of a placed job from the report on its run.
 *
 * @module
 */
import type { TaskReport } from '@quillscale/ports'
import type { Job } from './JobsDocument.js'

/** Number of hosts on which a job must fail before it is given up. By then the cause is the job, not the workers. @public */
export const MAX_FAILED_HOSTS = 3

/**
 * Number of consecutive runs that must be lost with their worker before a job is given up. A job that crashes every worker on which it
 * starts is never reported as failed, so without this limit it would crash one worker after another. Two losses may be a coincidence, and
 * an unresponsive worker tells little about the cause, so the limit is higher than {@link MAX_FAILED_HOSTS}.
 *
 * @public
 */
export const MAX_LOST_RUNS = 5
/** A run that is still reported this long after its start does not crash its worker by starting, and resets the count of lost runs. */
const STABLE_RUN_MS = 30_000

/** Report on the current run of a job. `silent` means that the worker does not respond, `refused` that it refused to start the run. @public */
export type RunReport = Pick<TaskReport, 'state' | 'checkpoint' | 'detail'> | { readonly state: 'silent' | 'refused' }

/** Times that are needed to evaluate a report. @public */
export interface ReportTiming {
  /** Current Unix time. */
  readonly nowMs: number
  /** Time for which a task keeps running without renewal of its lease. */
  readonly leaseMs: number
  /** Unix time of the last report of the worker on the run, or of the takeover by the current zone holder if that is later. */
  readonly lastAnswerMs: number
}

type ReportHandler = (job: Job, report: RunReport, reportTiming: ReportTiming) => Job

const changeState = (job: Job, nowMs: number, changes: Partial<Job>): Job => ({ ...job, sinceMs: nowMs, ...changes })

function requeue (job: Job, nowMs: number, reason: string, changes: Partial<Job> = {}): Job {
  return changeState(job, nowMs, { state: 'queued', hostId: undefined, reason, ...changes })
}

function handleFailedRun (job: Job, report: RunReport, nowMs: number): Job {
  const detail = 'detail' in report ? report.detail : undefined
  const failedOn = [...new Set([...job.failedOn, ...(job.hostId === undefined ? [] : [job.hostId])])]
  if (job.atMostOnce) return changeState(job, nowMs, { state: 'failed', failedOn, reason: detail ?? 'its run failed' })
  if (failedOn.length >= MAX_FAILED_HOSTS) return changeState(job, nowMs, { state: 'failed', failedOn, reason: `it failed on ${failedOn.length} hosts: ${detail ?? ''}` })
  return requeue(job, nowMs, detail ?? 'its run failed', { failedOn })
}

/**
 * Handles a run that may have been carried out. Nothing changes until it is certain that the run is over. Then an at-most-once job ends
 * as `lost`, and any other job is queued again, or fails after too many lost runs in a row.
 */
function handleLostRun (job: Job, nowMs: number, isRunOver: boolean): Job {
  if (!isRunOver) return job
  if (job.atMostOnce) return changeState(job, nowMs, { state: 'lost', reason: 'whether it ran is not known, and it may not run twice' })
  const lostRuns = job.lostRuns + 1
  if (lostRuns >= MAX_LOST_RUNS) return changeState(job, nowMs, { state: 'failed', lostRuns, reason: `its worker was lost ${lostRuns} times in a row soon after its start` })
  return requeue(job, nowMs, 'its worker was lost', { lostRuns })
}

const REPORT_HANDLERS: Record<RunReport['state'], ReportHandler> = {
  running: (job, report, { nowMs }) => {
    const checkpoint = 'checkpoint' in report ? report.checkpoint ?? job.checkpoint : job.checkpoint
    const lostRuns = job.state === 'running' && nowMs - job.sinceMs >= STABLE_RUN_MS ? 0 : job.lostRuns
    const isChanged = job.state !== 'running' || checkpoint !== job.checkpoint || lostRuns !== job.lostRuns
    return isChanged ? { ...job, state: 'running', sinceMs: job.state === 'running' ? job.sinceMs : nowMs, checkpoint, lostRuns } : job
  },
  done: (job, _report, { nowMs }) => changeState(job, nowMs, { state: 'done', reason: undefined }),
  failed: (job, report, { nowMs }) => handleFailedRun(job, report, nowMs),
  // The worker confirms that the run did not start.
  refused: (job, _report, { nowMs }) => requeue(job, nowMs, 'its worker refused it'),
  // While the job is starting, the worker may not have received the start request yet.
  'unknown-task': (job, _report, { nowMs, leaseMs }) => handleLostRun(job, nowMs, job.state === 'running' || nowMs - job.sinceMs >= leaseMs),
  // An unresponsive worker keeps the run going until the last renewed lease expires.
  silent: (job, _report, { nowMs, leaseMs, lastAnswerMs }) => handleLostRun(job, nowMs, nowMs - Math.max(lastAnswerMs, job.sinceMs) >= leaseMs)
}

/**
 * Applies the report on its current run to a placed job.
 *
 * @param job - a job that is starting or running
 * @param report - the report on its current run
 * @param reportTiming - the times that are needed to evaluate the report
 * @returns the updated job, or the same object if nothing changed
 * @public
 */
export function applyRunReport (job: Job, report: RunReport, reportTiming: ReportTiming): Job {
  return REPORT_HANDLERS[report.state](job, report, reportTiming)
}
