/**
 * Tracks how runs on a worker end, and quarantines a worker that fails or stalls its runs.
 *
 * @module
 */

/** Number of distinct jobs that must fail in a row, since a single bad job fails on every worker. */
const MIN_FAILED_JOBS = 2
/** First quarantine; doubles each time. Faulty workers fail their runs for 5 to 8 seconds. */
const FIRST_QUARANTINE_MS = 2000
const MAX_QUARANTINE_MS = 8000

/** Health of one worker. @public */
export class WorkerHealth {
  readonly #failedJobs = new Set<string>()
  #quarantinedUntilMs = -Infinity
  #nextQuarantineMs = FIRST_QUARANTINE_MS

  /** Records a run that ended `done`, and lifts the quarantine. */
  succeeded (): void {
    this.#failedJobs.clear()
    this.#nextQuarantineMs = FIRST_QUARANTINE_MS
    this.#quarantinedUntilMs = -Infinity
  }

  /**
   * Records a failed run.
   *
   * @param jobId - job of the run
   * @param failedElsewhere - whether the job failed on other workers too, and thus says little about this one
   * @param nowMs - monotonic
   * @returns whether the worker is now quarantined
   */
  failed (jobId: string, failedElsewhere: boolean, nowMs: number): boolean {
    if (failedElsewhere) return false
    this.#failedJobs.add(jobId)
    if (this.#failedJobs.size < MIN_FAILED_JOBS) return false
    this.quarantine(nowMs)
    return true
  }

  /** Starts a quarantine. @param nowMs - monotonic */
  quarantine (nowMs: number): void {
    this.#failedJobs.clear()
    this.#quarantinedUntilMs = nowMs + this.#nextQuarantineMs
    this.#nextQuarantineMs = Math.min(MAX_QUARANTINE_MS, this.#nextQuarantineMs * 2)
  }

  /** @param nowMs - monotonic @returns whether the worker is quarantined and gets no work */
  isQuarantined (nowMs: number): boolean {
    return nowMs < this.#quarantinedUntilMs
  }
}
