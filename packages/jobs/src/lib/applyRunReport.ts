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
/**
 * Number of lost runs that do not count towards {@link MAX_LOST_RUNS} before a job is given up nevertheless. Two jobs that crash their workers
 * some time after their start excuse each other, and would otherwise do so without end.
 */
const MAX_EXCUSED_LOST_RUNS = 15
/** A run that its worker lists this long after its start did not crash the worker by starting. */
const START_SURVIVAL_MS = 1000
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
  /** Unix time when the worker last listed this run; `undefined` if the current zone holder has never seen that. */
  readonly lastListedMs: number | undefined
  /** Whether other workers that did not run the job are lost at this time. */
  readonly areOthersLost: boolean
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
 * as `lost`, and any other job is queued again, or fails after too many lost runs in a row. A run that had survived its start is excused
 * if workers are being lost without the job: failing cannot be undone, and five such losses tell no more than one.
 */
function handleLostRun (job: Job, { nowMs, lastListedMs = -Infinity, areOthersLost }: ReportTiming, isRunOver: boolean): Job {
  if (!isRunOver) return job
  if (job.atMostOnce) return changeState(job, nowMs, { state: 'lost', reason: 'whether it ran is not known, and it may not run twice' })
  const isExcused = areOthersLost && lastListedMs - job.sinceMs >= START_SURVIVAL_MS
  const excusedLostRuns = (job.excusedLostRuns ?? 0) + (isExcused ? 1 : 0)
  const lostRuns = job.lostRuns + (isExcused ? 0 : 1)
  const changes = { lostRuns, excusedLostRuns: excusedLostRuns === 0 ? undefined : excusedLostRuns }
  const isGivenUp = lostRuns >= MAX_LOST_RUNS || excusedLostRuns >= MAX_EXCUSED_LOST_RUNS
  if (isGivenUp) return changeState(job, nowMs, { state: 'failed', ...changes, reason: `its worker was lost ${lostRuns + excusedLostRuns} times in a row soon after its start` })
  return requeue(job, nowMs, 'its worker was lost', changes)
}

const REPORT_HANDLERS: Record<RunReport['state'], ReportHandler> = {
  running: (job, report, { nowMs }) => {
    const checkpoint = 'checkpoint' in report ? report.checkpoint ?? job.checkpoint : job.checkpoint
    const isStable = job.state === 'running' && nowMs - job.sinceMs >= STABLE_RUN_MS
    const { lostRuns, excusedLostRuns } = isStable ? { lostRuns: 0, excusedLostRuns: undefined } : job
    const isChanged = job.state !== 'running' || checkpoint !== job.checkpoint || lostRuns !== job.lostRuns || excusedLostRuns !== job.excusedLostRuns
    return isChanged ? { ...job, state: 'running', sinceMs: job.state === 'running' ? job.sinceMs : nowMs, checkpoint, lostRuns, excusedLostRuns } : job
  },
  done: (job, _report, { nowMs }) => changeState(job, nowMs, { state: 'done', reason: undefined }),
  failed: (job, report, { nowMs }) => handleFailedRun(job, report, nowMs),
  // The worker confirms that the run did not start.
  refused: (job, _report, { nowMs }) => requeue(job, nowMs, 'its worker refused it'),
  // While the job is starting, the worker may not have received the start request yet.
  'unknown-task': (job, _report, timing) => handleLostRun(job, timing, job.state === 'running' || timing.nowMs - job.sinceMs >= timing.leaseMs),
  // An unresponsive worker keeps the run going until the last renewed lease expires.
  silent: (job, _report, timing) => handleLostRun(job, timing, timing.nowMs - Math.max(timing.lastAnswerMs, job.sinceMs) >= timing.leaseMs)
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
