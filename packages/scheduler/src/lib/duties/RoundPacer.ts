/**
 * Paces the placement rounds of a service: events request a round, and rounds that are requested close together are combined.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'

/** Minimum time between two placement rounds, so that tasks that end together are replaced together. */
const MIN_ROUND_INTERVAL_MS = 20
/** Pause after a round as a multiple of the time that the round took. It leaves the host of a large service time to poll workers and serve requests. */
const PAUSE_PER_ROUND_TIME = 2
/** Maximum time between two rounds, for events that request none: retries, expired waits and scheduled start times. */
const MAX_ROUND_WAIT_MS = 200

/** Calls a function when a round is requested, and at least at a regular interval. @public */
export class RoundPacer {
  readonly #clock: Clock
  readonly #onRound: (tookMs: number) => void
  #isRoundDue = false
  #endWait: () => void = () => {}

  /** @param clock - measures how long rounds take @param onRound - called after each round with the time that it took */
  constructor (clock: Clock, onRound: (tookMs: number) => void = () => {}) {
    this.#clock = clock
    this.#onRound = onRound
  }

  /** Requests a round; requests that come before it share it. */
  request (): void {
    this.#isRoundDue = true
    this.#endWait()
  }

  /**
   * Runs rounds until aborted.
   *
   * @param runRound - one round
   * @param signal - ends the rounds
   */
  async run (runRound: () => void, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#endWait(), { once: true })
    let spacingMs = MIN_ROUND_INTERVAL_MS
    while (!signal.aborted) {
      if (!this.#isRoundDue) await this.#waitForRequest()
      await delay(spacingMs, signal)
      this.#isRoundDue = false
      if (signal.aborted) return
      const startedMs = this.#clock.monotonicMs()
      runRound()
      const tookMs = this.#clock.monotonicMs() - startedMs
      this.#onRound(tookMs)
      spacingMs = Math.max(MIN_ROUND_INTERVAL_MS, tookMs * PAUSE_PER_ROUND_TIME)
    }
  }

  /** Waits until a round is requested, or until one is due without a request. */
  #waitForRequest (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_ROUND_WAIT_MS)
      this.#endWait = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}
