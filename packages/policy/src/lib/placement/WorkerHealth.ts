/**
 * Judges a worker by how the runs on it end, so that one that fails or stalls everything gets no more work for a while.
 *
 * @module
 */

/** Different jobs that must fail on it in a row: a single bad job fails on every worker. */
const MIN_FAILED_JOBS = 2
/** First time apart; twice as long each further time. Workers that fail what they start do so for 5 to 8 seconds. */
const FIRST_QUARANTINE_MS = 2000
const MAX_QUARANTINE_MS = 8000

/** One worker's record. @public */
export class WorkerHealth {
  readonly #failedJobs = new Set<string>()
  #quarantinedUntilMs = -Infinity
  #nextQuarantineMs = FIRST_QUARANTINE_MS

  /** A run ended `done` there. */
  succeeded (): void {
    this.#failedJobs.clear()
    this.#nextQuarantineMs = FIRST_QUARANTINE_MS
    this.#quarantinedUntilMs = -Infinity
  }

  /**
   * A run failed there.
   *
   * @param jobId - whose
   * @param failedElsewhere - the job has failed on other workers too, so that it says little about this one
   * @param nowMs - monotonic
   * @returns whether the worker is set apart by it
   */
  failed (jobId: string, failedElsewhere: boolean, nowMs: number): boolean {
    if (failedElsewhere) return false
    this.#failedJobs.add(jobId)
    if (this.#failedJobs.size < MIN_FAILED_JOBS) return false
    this.quarantine(nowMs)
    return true
  }

  /** @param nowMs - monotonic; no work for a while from now on */
  quarantine (nowMs: number): void {
    this.#failedJobs.clear()
    this.#quarantinedUntilMs = nowMs + this.#nextQuarantineMs
    this.#nextQuarantineMs = Math.min(MAX_QUARANTINE_MS, this.#nextQuarantineMs * 2)
  }

  /** @param nowMs - monotonic @returns whether it gets no work */
  isQuarantined (nowMs: number): boolean {
    return nowMs < this.#quarantinedUntilMs
  }
}
