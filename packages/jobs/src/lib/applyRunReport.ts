/**
 * Decides what a worker's report makes of a job.
 *
 * @module
 */
import type { TaskReport } from '@quillscale/ports'
import type { Job } from './JobsDocument.js'

/** Hosts that a job must fail on before it is given up: it is then the job, not the workers. @public */
export const MAX_FAILED_HOSTS = 3

/**
 * Runs in a row that may be lost with their worker. A job that ends each worker which starts it never fails by a worker's report; without a
 * bound it takes one worker after the other. Twice may be chance, and silence says little of the cause, so it is more than the failed ones.
 *
 * @public
 */
export const MAX_LOST_RUNS = 5
/** A run that was still reported so long after it began is not one that ends its worker by its start. */
const STABLE_RUN_MS = 30_000

/** What is known of the present run. `silent`: the worker does not answer. @public */
export type RunReport = Pick<TaskReport, 'state' | 'checkpoint' | 'detail'> | { readonly state: 'silent' | 'refused' }

/** When a report is judged. @public */
export interface ReportTiming {
  /** The present time since 1970. */
  readonly nowMs: number
  /** How long a task goes on without renewal. */
  readonly leaseMs: number
  /** When the worker last told of the run, or the present holder took over. */
  readonly lastAnswerMs: number
}

type ReportHandler = (job: Job, report: RunReport, clock: ReportTiming) => Job

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

/** A run that may have happened: it ends as `lost` if it may not happen twice, else it waits again once its lease is over. */
function handleLostRun (job: Job, nowMs: number, isOver: boolean): Job {
  if (!isOver) return job
  if (job.atMostOnce) return changeState(job, nowMs, { state: 'lost', reason: 'whether it ran is not known, and it may not run twice' })
  const lostRuns = job.lostRuns + 1
  if (lostRuns >= MAX_LOST_RUNS) return changeState(job, nowMs, { state: 'failed', lostRuns, reason: `its worker was lost ${lostRuns} times in a row soon after its start` })
  return requeue(job, nowMs, 'its worker was lost', { lostRuns })
}

const REPORT_HANDLERS: Record<RunReport['state'], ReportHandler> = {
  running: (job, report, { nowMs }) => {
    const checkpoint = 'checkpoint' in report ? report.checkpoint ?? job.checkpoint : job.checkpoint
    const lostRuns = job.state === 'running' && nowMs - job.sinceMs >= STABLE_RUN_MS ? 0 : job.lostRuns
    const isNews = job.state !== 'running' || checkpoint !== job.checkpoint || lostRuns !== job.lostRuns
    return isNews ? { ...job, state: 'running', sinceMs: job.state === 'running' ? job.sinceMs : nowMs, checkpoint, lostRuns } : job
  },
  done: (job, _report, { nowMs }) => changeState(job, nowMs, { state: 'done', reason: undefined }),
  failed: (job, report, { nowMs }) => handleFailedRun(job, report, nowMs),
  // The worker says that it did not run.
  refused: (job, _report, { nowMs }) => requeue(job, nowMs, 'its worker refused it'),
  // While it starts, the order may still be on its way.
  'unknown-task': (job, _report, { nowMs, leaseMs }) => handleLostRun(job, nowMs, job.state === 'running' || nowMs - job.sinceMs >= leaseMs),
  // A silent worker goes on until the lease that was last renewed is over.
  silent: (job, _report, { nowMs, leaseMs, lastAnswerMs }) => handleLostRun(job, nowMs, nowMs - Math.max(lastAnswerMs, job.sinceMs) >= leaseMs)
}

/**
 * Decides what becomes of a placed job.
 *
 * @param job - starting or running
 * @param report - of its worker
 * @param clock - when
 * @returns the job as it is now, the same one when nothing changed
 * @public
 */
export function applyRunReport (job: Job, report: RunReport, clock: ReportTiming): Job {
  return REPORT_HANDLERS[report.state](job, report, clock)
}
