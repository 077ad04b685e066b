/**
 * What is known of a worker's steady clock, which may run slow, and of the leases that end by it.
 *
 * @module
 */

/** A worker's clock may run this much slow against ours; from the users' protocol page. @public */
export const MAX_CLOCK_DRIFT_RATIO = 0.02

/** Answers may be read late, after others. */
const LATE_READING_TOLERANCE_MS = 1000

/** Bounds of one worker's clock. @public */
export class WorkerClock {
  #readingMs: number | undefined
  #readingTakenMs = 0
  #latestLeaseEndMs = -Infinity

  /** @param clockMs - as the worker answered @param nowMs - monotonic, when the answer was here */
  addReading (clockMs: number, nowMs: number): void {
    if (this.#readingMs !== undefined && clockMs < this.#earliestMs(nowMs)) return
    this.#readingMs = clockMs
    this.#readingTakenMs = nowMs
  }

  /** Whether a lease was ever made by it. */
  get hasGrantedLease (): boolean {
    return this.#latestLeaseEndMs > -Infinity
  }

  /** Whether it was ever read. */
  get isKnown (): boolean {
    return this.#readingMs !== undefined
  }

  /**
   * Makes the end of a lease, and remembers it as the latest that the worker may hold.
   *
   * @param leaseMs - how long from now, at most
   * @param nowMs - monotonic
   * @returns a time on the worker's clock, in whole ms; `undefined` while the clock was never read
   */
  extendLease (leaseMs: number, nowMs: number): number | undefined {
    if (this.#readingMs === undefined) return undefined
    const endMs = Math.floor(this.#earliestMs(nowMs) + leaseMs)
    this.#latestLeaseEndMs = Math.max(this.#latestLeaseEndMs, endMs)
    return endMs
  }

  /** @param nowMs - monotonic @param slackMs - for what is still being stopped @returns after how long all leases that were made by it have surely ended */
  leasesLeftMs (nowMs: number, slackMs: number): number {
    if (!this.hasGrantedLease) return 0
    return Math.max(0, (this.#latestLeaseEndMs + slackMs - this.#earliestMs(nowMs)) / (1 - MAX_CLOCK_DRIFT_RATIO))
  }

  /** @param clockMs - as in an answer @param nowMs - monotonic, when it was here @returns whether it is this clock's, not the one of another lifetime */
  isPlausibleReading (clockMs: number, nowMs: number): boolean {
    if (this.#readingMs === undefined) return false
    const latestMs = this.#readingMs + nowMs - this.#readingTakenMs
    return clockMs >= this.#earliestMs(nowMs) - LATE_READING_TOLERANCE_MS && clockMs <= latestMs + LATE_READING_TOLERANCE_MS
  }

  /** The least that the clock shows now. */
  #earliestMs (nowMs: number): number {
    return (this.#readingMs ?? 0) + (nowMs - this.#readingTakenMs) * (1 - MAX_CLOCK_DRIFT_RATIO)
  }
}
