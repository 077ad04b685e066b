/**
 * Follows runs from their start to their end, by what workers report and answer.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { HoldReport, RunOrderError, RunOrders } from '@quillscale/ports'
import { clearCrashRecordIfSurvived, hasEnded, type Job, type JobId, planPaces, type Run, stepOf } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { LossEvidence, JobRegistry } from './JobRegistry.js'
import { runKey, type WorkerLink } from '../workers/WorkerLink.js'

/** What the tracker works with. @public */
export interface RunTrackerOptions {
  readonly orders: RunOrders
  readonly fencingToken: number
  readonly clock: Clock
  readonly log: EventLog
  readonly registry: JobRegistry
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Whether a job's runs are left alone, since what was recorded of them cannot be read. */
  readonly isSetAside: (jobId: JobId) => boolean
  /** Called for each job that left the queue, or of which something was learned that is to be kept. */
  readonly onChanged: (job: Job) => void
  /** Called when a ticket was refused. */
  readonly onTicketRefused: (run: Run) => void
  readonly count: (name: string, label?: string) => void
}

/** A worker that refuses a start for want of room or health is left alone so long, one that does not answer longer. */
const REFUSAL_BACKOFF_MS = 300
const UNANSWERED_BACKOFF_MS = 900
const NOT_LISTED: LossEvidence = { reason: 'its worker does not list it', silentMs: 0 }

/** The tracker. @public */
export class RunTracker {
  readonly #options: RunTrackerOptions

  /** @param options - what it works with */
  constructor (options: RunTrackerOptions) {
    this.#options = options
  }

  /** @param link - whose report @param report - both lists @param askedMs - monotonic, when the worker was asked */
  applyReport (link: WorkerLink, report: HoldReport, askedMs: number): void {
    const { registry: book, clock, log, orders, fencingToken, isSetAside } = this.#options
    const nowMs = clock.monotonicMs()
    for (const end of report.ended) book.recordEndReport(link, end)
    const running = new Map(report.running.map((run) => [runKey(run), run]))
    for (const [key, run] of [...link.runs]) {
      const seen = running.get(key)
      if (seen !== undefined) this.#updateListedRun(run, seen.percent, seen.load, seen.checkpoint, nowMs)
      else if (!report.hasMoreEnds) this.#closeUnlistedRun(run, askedMs)
    }
    for (const [key, seen] of running) {
      if (link.runs.has(key) || isSetAside(jobIdOfTask(seen.taskKey))) continue
      // Placements are written before starts, so this is a run that was given up; it is stopped again.
      log.warn({ taskKey: seen.taskKey, runNumber: seen.runNumber, instanceId: link.instance.instanceId }, 'a run that is not recorded is stopped')
      void orders.stop(link.instance, seen, fencingToken)
    }
    for (const { run, percent } of planPaces([...link.runs.values()])) void this.#pace(link, run, percent)
  }

  /** @param run - whose start was confirmed */
  started (run: Run): void {
    if (run.phase !== 'starting') return
    run.phase = 'running'
    this.#markJobRunning(run.task.job)
    run.startedMs = run.progressMs = this.#options.clock.monotonicMs()
    this.#options.count('runs_started')
  }

  /** @param link - of the worker @param run - that did not start, or may have @param error - why */
  handleStartFailure (link: WorkerLink, run: Run, error: RunOrderError): void {
    const { log, clock, registry: book, count, onTicketRefused: onNoTicket } = this.#options
    const { taskKey, runNumber, instanceId, isUncertain } = run
    log.info({ taskKey, runNumber, instanceId, error, isUncertain }, 'run not started')
    count('starts_refused', error.kind)
    const nowMs = clock.monotonicMs()
    if (error.kind === 'unhealthy' || error.kind === 'no-room') link.refusingUntilMs = nowMs + REFUSAL_BACKOFF_MS
    if (error.kind === 'unknown-effect') link.refusingUntilMs = nowMs + UNANSWERED_BACKOFF_MS
    if (error.kind === 'no-ticket') onNoTicket(run)
    if (isUncertain) void link.stop(run)
    else book.closeRun(run, 'not-started')
  }

  /** Stops a run that is not needed any more, whatever is known of it. @param run - any */
  stopRun (run: Run): void {
    if (run.phase === 'recording') return this.#options.registry.closeRun(run, 'not-started')
    if (run.phase !== 'stopping') void this.#options.linkOf(run)?.stop(run)
  }

  #updateListedRun (run: Run, percent: number, load: number, checkpoint: string, nowMs: number): void {
    if (run.phase === 'unconfirmed' || run.phase === 'starting') {
      run.phase = 'running'
      this.#markJobRunning(run.task.job)
      run.startedMs = nowMs
      if (hasEnded(run.task.job) || run.task.isDone || run.shouldStop) this.stopRun(run)
    }
    if (percent > run.percent) run.progressMs = nowMs
    run.lastListedMs = nowMs
    run.percent = percent
    run.load = load
    if (clearCrashRecordIfSurvived(run, nowMs)) this.#options.onChanged(run.task.job)
    if (checkpoint !== '' && stepOf(run.task).isCheckpointing) run.task.checkpoint = checkpoint
  }

  /** A run that the worker does not list: never started, or over and stopped. */
  #closeUnlistedRun (run: Run, askedMs: number): void {
    const { registry: book } = this.#options
    if (run.phase === 'unconfirmed') book.closeRun(run, 'not-started')
    else if (run.phase === 'stopping' && run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= askedMs) book.closeRun(run, 'stopped')
    else if (run.phase === 'running' && run.startedMs !== undefined && run.startedMs < askedMs) book.closeRun(run, 'lost', { evidence: NOT_LISTED })
  }

  async #pace (link: WorkerLink, run: Run, percent: number): Promise<void> {
    const before = run.pacePercent
    run.pacePercent = percent
    const isPaced = await link.pace(run, percent)
    if (!isPaced) run.pacePercent = before
    this.#options.log.info({ taskKey: run.taskKey, instanceId: run.instanceId, before, percent, isPaced }, 'filling task paced')
  }

  /** A job waits until a worker has begun with it: placements may come to nothing. */
  #markJobRunning (job: Job): void {
    if (job.status !== 'queued') return
    job.status = 'running'
    this.#options.onChanged(job)
  }
}

const jobIdOfTask = (taskKey: string): JobId => (taskKey.split('.')[0] ?? '') as JobId
