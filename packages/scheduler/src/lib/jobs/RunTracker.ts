/**
 * Updates the state of runs from their start to their end, using the reports and answers of workers.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { HoldReport, RunOrderError, RunReport } from '@quillscale/ports'
import { hasEnded, hasSurvivedUntil, type Job, type JobId, planPaces, type Run, EARLY_LOSS_MS, START_SURVIVAL_MS, stepOf, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { clearCrashRecord } from './clearCrashRecord.js'
import type { LossEvidence, JobRegistry } from './JobRegistry.js'
import { runKey, type WorkerLink } from '../workers/WorkerLink.js'

/** Dependencies of a {@link RunTracker}. @public */
export interface RunTrackerOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly registry: JobRegistry
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Returns whether the runs of a job are left alone because its progress record cannot be decoded. */
  readonly isSetAside: (jobId: JobId) => boolean
  /** Called for each job that left the queue, or whose progress record has to be written. */
  readonly onChanged: (job: Job, tasks?: readonly Task[]) => void
  /** Called when a worker refused the ticket of a run. */
  readonly onTicketRefused: (run: Run) => void
  readonly count: (name: string, label?: string) => void
  /** Called for each applied report with the time that it took. */
  readonly onReportApplied?: (tookMs: number) => void
}

/** How long a worker gets no new starts after it refused one because it lacks room or is unhealthy; longer if it did not answer. */
const REFUSAL_BACKOFF_MS = 300
const UNANSWERED_BACKOFF_MS = 900
/** Errors after which the next start there would most likely fail as well. */
const REFUSALS: ReadonlySet<RunOrderError['kind']> = new Set(['unhealthy', 'no-room', 'not-sent'])
/** A start this long after its placement is recorded, so that the next holder does not overestimate how long the run has gone on. */
const LATE_START_MS = 1000
const NOT_LISTED: LossEvidence = { reason: 'its worker does not list it', silentMs: 0 }

/** Reconciles the recorded runs of each worker with the runs that the worker reports. @public */
export class RunTracker {
  readonly #options: RunTrackerOptions

  /** @param options - dependencies */
  constructor (options: RunTrackerOptions) {
    this.#options = options
  }

  /**
   * Applies a report of a worker: closes runs that ended, updates listed ones, and stops runs that have no record.
   *
   * @param link - the link to the worker
   * @param report - the runs that ended, and the ones still running
   * @param askedMs - monotonic time at which the report was requested
   */
  applyReport (link: WorkerLink, report: HoldReport, askedMs: number): void {
    const { registry, log, clock, isSetAside, onReportApplied } = this.#options
    const startedMs = clock.monotonicMs()
    for (const end of report.ended) registry.recordEndReport(link, end)
    const running = new Map(report.running.map((run) => [runKey(run), run]))
    for (const [key, run] of [...link.runs]) {
      const listedRun = running.get(key)
      if (listedRun !== undefined) this.#updateListedRun(link, run, listedRun, askedMs)
      else if (!report.hasMoreEnds) this.#closeUnlistedRun(run, askedMs)
    }
    for (const [key, listedRun] of running) {
      if (link.runs.has(key) || isSetAside(jobIdOfTask(listedRun.taskKey))) continue
      // Placements are recorded before starts are sent, so this run was closed before. It is stopped once more.
      log.warn({ taskKey: listedRun.taskKey, runNumber: listedRun.runNumber, instanceId: link.instance.instanceId }, 'stopping a run that the worker lists but that has no record')
      void link.stopUnrecorded(listedRun)
    }
    for (const { run, percent } of planPaces([...link.runs.values()])) void this.#pace(link, run, percent)
    onReportApplied?.(clock.monotonicMs() - startedMs)
  }

  /**
   * Marks a run as running.
   *
   * @param run - the run whose start was confirmed
   */
  started (run: Run): void {
    if (run.phase !== 'starting') return
    run.phase = 'running'
    this.#markJobRunning(run)
    run.startedMs = run.progressMs = this.#options.clock.monotonicMs()
    this.#updateWorkerClockStart(run, run.startedMs)
    this.#options.count('runs_started')
    this.#watchStart(run)
  }

  /**
   * Handles a start that failed or whose outcome is unknown: pauses further starts on the worker if needed, and stops or closes the run.
   *
   * @param link - the link to the worker
   * @param run - the run that did not start; it may have started if `run.isUncertain`
   * @param error - why the start failed
   */
  handleStartFailure (link: WorkerLink, run: Run, error: RunOrderError): void {
    const { log, clock, registry, linkOf, count, onTicketRefused } = this.#options
    const { taskKey, runNumber, instanceId, isUncertain } = run
    log.info({ taskKey, runNumber, instanceId, error, isUncertain }, 'run not started')
    count('starts_refused', error.kind)
    const nowMs = clock.monotonicMs()
    if (REFUSALS.has(error.kind)) link.refusingUntilMs = nowMs + REFUSAL_BACKOFF_MS
    if (error.kind === 'unknown-effect') link.refusingUntilMs = nowMs + UNANSWERED_BACKOFF_MS
    if (error.kind === 'no-ticket') onTicketRefused(run)
    // The run may have moved to the next lifetime, or wait until that one has reported: then it is no longer this link's to stop.
    if (isUncertain && linkOf(run) !== link) return
    if (isUncertain) void link.stop(run)
    else registry.closeRun(run, 'not-started')
  }

  /**
   * Stops a run that is no longer needed, in whichever phase it is.
   *
   * @param run - the run to stop
   */
  stopRun (run: Run): void {
    if (run.phase === 'recording') return this.#options.registry.closeRun(run, 'not-started')
    if (run.phase !== 'stopping') void this.#options.linkOf(run)?.stop(run)
  }

  #updateListedRun (link: WorkerLink, run: Run, { percent, load, checkpoint }: RunReport, askedMs: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (run.phase === 'unconfirmed') run.previousStartMs = previousStartMsOf(link, run, nowMs)
    if (run.phase === 'unconfirmed' || run.phase === 'starting') {
      if (run.phase === 'starting') this.#updateWorkerClockStart(run, nowMs)
      run.phase = 'running'
      this.#markJobRunning(run)
      run.startedMs = nowMs
      if (hasEnded(run.task.job) || run.task.isDone || run.shouldStop) this.stopRun(run)
    }
    if (percent > run.percent) run.progressMs = nowMs
    run.lastListedMs = nowMs
    // A report that waited for an end may arrive after one that was requested later.
    run.listedAskedMs = Math.max(run.listedAskedMs ?? -Infinity, askedMs)
    run.percent = percent
    run.load = load
    if (hasSurvivedUntil(run, askedMs)) clearCrashRecord(run, askedMs, this.#options)
    if (checkpoint !== '') this.#options.registry.keepCheckpoint(run, checkpoint)
  }

  /** Asks the worker of a charged task for early reports, since it may be lost for another reason at any time after the start. */
  #watchStart (run: Run): void {
    if (run.task.crashes.points === 0) return
    const link = this.#options.linkOf(run)
    link?.pollAfter(START_SURVIVAL_MS)
    if (stepOf(run.task).isLasting) link?.pollAfter(EARLY_LOSS_MS)
  }

  /** Replaces the time of placement by that of the start. Only a start long after its placement is worth a write of its own. */
  #updateWorkerClockStart (run: Run, startedMs: number): void {
    const placedClockMs = run.workerClockStartMs
    if (placedClockMs === undefined) return
    run.workerClockStartMs = this.#options.linkOf(run)?.clock.latestMs(startedMs) ?? placedClockMs
    if (run.workerClockStartMs - placedClockMs > LATE_START_MS) this.#options.onChanged(run.task.job, [run.task])
  }

  /** Closes a run that the worker does not list, once that proves that the run never started, was stopped, or is lost. */
  #closeUnlistedRun (run: Run, askedMs: number): void {
    const { registry } = this.#options
    if (run.phase === 'unconfirmed') registry.closeRun(run, 'not-started')
    else if (run.phase === 'stopping' && run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= askedMs) registry.closeRun(run, 'stopped')
    else if (run.phase === 'running' && run.startedMs !== undefined && run.startedMs < askedMs) registry.closeRun(run, 'lost', { evidence: NOT_LISTED })
  }

  async #pace (link: WorkerLink, run: Run, percent: number): Promise<void> {
    const previousPercent = run.pacePercent
    run.pacePercent = percent
    const isPaced = await link.pace(run, percent)
    if (!isPaced) run.pacePercent = previousPercent
    this.#options.log.info({ taskKey: run.taskKey, instanceId: run.instanceId, previousPercent, percent, isPaced }, 'pace change sent to filler run')
  }

  /** Marks a job as running once a worker has started one of its runs. A placement alone is not enough, as its start may still fail. */
  #markJobRunning ({ taskKey, instanceId, task }: Run): void {
    const { job } = task
    const { registry, log, onChanged } = this.#options
    if (!registry.markBegun(job)) return
    // The end of a finite job follows soon, and has a line of its own.
    if (stepOf(task).isLasting) log.info({ jobId: job.spec.jobId, taskKey, instanceId, recordVersion: job.spec.configurationVersion }, 'job started')
    onChanged(job, [])
  }
}

/** Derives when a run of a previous holder started. The worker's clock is the only one that holders have in common. */
function previousStartMsOf ({ clock }: WorkerLink, { workerClockStartMs }: Run, nowMs: number): number | undefined {
  const elapsedMs = workerClockStartMs === undefined ? undefined : clock.elapsedSinceMs(workerClockStartMs, nowMs)
  return elapsedMs === undefined ? undefined : nowMs - elapsedMs
}

const jobIdOfTask = (taskKey: string): JobId => (taskKey.split('.')[0] ?? '') as JobId
