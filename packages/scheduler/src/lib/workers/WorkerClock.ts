/**
 * Estimates a worker's monotonic clock, which may run slow, and tracks the leases that end by it.
 *
 * @module
 */

/** The users' protocol allows a worker's clock to run slower than the scheduler's by up to this ratio. @public */
export const MAX_CLOCK_DRIFT_RATIO = 0.02

/** Responses may be processed late and out of order. */
const LATE_READING_TOLERANCE_MS = 1000

/** Estimates the current reading of one worker's clock, from below and above. @public */
export class WorkerClock {
  #readingMs: number | undefined
  #readingTakenMs = 0
  #latestLeaseEndMs = -Infinity

  /** Adds a clock reading. @param clockMs - reading from a response of the worker @param nowMs - monotonic time when the response arrived */
  addReading (clockMs: number, nowMs: number): void {
    if (this.#readingMs !== undefined && clockMs < this.#earliestMs(nowMs)) return
    this.#readingMs = clockMs
    this.#readingTakenMs = nowMs
  }

  /** Whether a lease has ever been granted by this clock. */
  get hasGrantedLease (): boolean {
    return this.#latestLeaseEndMs > -Infinity
  }

  /** Whether there is any reading of the clock. */
  get isKnown (): boolean {
    return this.#readingMs !== undefined
  }

  /**
   * Computes the end of a lease and remembers the latest end that the worker may have been given.
   *
   * @param leaseMs - longest duration from now
   * @param nowMs - monotonic time
   * @returns a time on the worker's clock, in whole ms; `undefined` while there is no reading of it
   */
  extendLease (leaseMs: number, nowMs: number): number | undefined {
    if (this.#readingMs === undefined) return undefined
    const endMs = Math.floor(this.#earliestMs(nowMs) + leaseMs)
    this.#latestLeaseEndMs = Math.max(this.#latestLeaseEndMs, endMs)
    return endMs
  }

  /**
   * Computes the time until all leases granted by this clock have surely expired.
   *
   * @param nowMs - monotonic time
   * @param slackMs - extra time for runs that are still being stopped
   * @returns the remaining time, 0 if there is no lease
   */
  leasesLeftMs (nowMs: number, slackMs: number): number {
    if (!this.hasGrantedLease) return 0
    return Math.max(0, (this.#latestLeaseEndMs + slackMs - this.#earliestMs(nowMs)) / (1 - MAX_CLOCK_DRIFT_RATIO))
  }

  /**
   * Tells whether a reading can be of this clock rather than of another lifetime's.
   *
   * @param clockMs - reading from a response
   * @param nowMs - monotonic time when the response arrived
   * @returns whether the reading lies within the bounds
   */
  isPlausibleReading (clockMs: number, nowMs: number): boolean {
    if (this.#readingMs === undefined) return false
    const latestMs = this.#readingMs + nowMs - this.#readingTakenMs
    return clockMs >= this.#earliestMs(nowMs) - LATE_READING_TOLERANCE_MS && clockMs <= latestMs + LATE_READING_TOLERANCE_MS
  }

  /** Returns the highest value that the clock may show. @param nowMs - monotonic time @returns whole ms, `undefined` while there is no reading of it */
  latestMs (nowMs: number): number | undefined {
    return this.#readingMs === undefined ? undefined : Math.ceil(this.#readingMs + nowMs - this.#readingTakenMs)
  }

  /**
   * Computes the least time since the clock showed a value.
   *
   * @param clockMs - a time on the worker's clock
   * @param nowMs - monotonic time
   * @returns the elapsed time, `undefined` if unknown: there is no reading, or the clock has not reached the value
   */
  elapsedSinceMs (clockMs: number, nowMs: number): number | undefined {
    const elapsedMs = this.#earliestMs(nowMs) - clockMs
    return this.#readingMs === undefined || elapsedMs < 0 ? undefined : elapsedMs
  }

  /** Returns the lowest value that the clock may show now. */
  #earliestMs (nowMs: number): number {
    return (this.#readingMs ?? 0) + (nowMs - this.#readingTakenMs) * (1 - MAX_CLOCK_DRIFT_RATIO)
  }
}
