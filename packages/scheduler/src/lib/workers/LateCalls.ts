/**
 * Tracks calls to one lifetime of a worker that may yet be carried out by the next one.
 *
 * A call names the worker, not its lifetime, and a call without an answer may be carried out much later. A call that extends the lease names an end on the
 * clock of the lifetime that it is meant for; another lifetime, whose clock shows less, grants the longest lease that it accepts.
 *
 * @module
 */

/** A call without an answer is carried out within this time, or not at all. */
export const LATE_CALL_MS = 12_000

/** Outcome of a call: `answered` by either lifetime, `unanswered`, or `not-done` if it had no effect. @public */
export type LateCallOutcome = 'answered' | 'unanswered' | 'not-done'

/** Tracks the calls of one link that extend leases. @public */
export class LateCalls {
  readonly #pending = new Set<object>()
  /** Until when calls without an answer may be carried out. */
  #unansweredUntilMs = -Infinity
  /** Latest answer that no report of this lifetime has followed: another lifetime may have given it. */
  #answeredMs = -Infinity

  /** Adds a call that is being sent. @returns a handle for {@link LateCalls.end} */
  begin (): object {
    const call = {}
    this.#pending.add(call)
    return call
  }

  /**
   * Records the outcome of a call.
   *
   * @param call - the handle
   * @param outcome - its outcome
   * @param nowMs - monotonic time
   */
  end (call: object, outcome: LateCallOutcome, nowMs: number): void {
    this.#pending.delete(call)
    if (outcome === 'answered') this.#answeredMs = nowMs
    if (outcome === 'unanswered') this.#unansweredUntilMs = nowMs + LATE_CALL_MS
  }

  /** Settles the calls that were answered before a report which names this lifetime was requested. @param askedMs - monotonic time of the request */
  confirm (askedMs: number): void {
    if (this.#answeredMs <= askedMs) this.#answeredMs = -Infinity
  }

  /** @param nowMs - monotonic time @returns until when another lifetime may carry out a call, `-Infinity` if none can */
  mayArriveUntilMs (nowMs: number): number {
    return Math.max(this.#answeredMs, this.#unansweredUntilMs, this.#pending.size > 0 ? nowMs + LATE_CALL_MS : -Infinity)
  }
}
