/**
 * Measures for how long the process of the soak stands still, and with it the stand-ins of the store and the workers, and all callers.
 *
 * @module
 */

/** Time without a beat that counts as a stall; many times what a busy event loop takes for one turn. */
const STALL_MS = 1000

/** Tracks the beats of the event loop. @public */
export class StallMonitor {
  #lastBeatMs: number
  #longestMs = 0

  /** @param nowMs - the current monotonic time */
  constructor (nowMs: number) {
    this.#lastBeatMs = nowMs
  }

  /** Duration of the longest stall, 0 if there was none. */
  get longestMs (): number {
    return this.#longestMs
  }

  /** Called regularly by a timer. @param nowMs - the current monotonic time */
  beat (nowMs: number): void {
    const gapMs = nowMs - this.#lastBeatMs
    if (gapMs > STALL_MS) this.#longestMs = Math.max(this.#longestMs, gapMs)
    this.#lastBeatMs = nowMs
  }
}
