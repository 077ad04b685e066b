/**
 * Calls the store for a client's request, and retries until the client stops waiting.
 *
 * @module
 */
import { delay, Err, type Clock, type Result } from '@quillscale/utils'
import type { PlatformError } from '@quillscale/ports'
import type { MonitoredStore } from './MonitoredStore.js'

/** Result of a call that may have been retried; `mayHaveEffect` is true if an attempt without an answer may have taken effect. @public */
export interface RetryResult<T> { readonly result: Result<T, PlatformError>, readonly mayHaveEffect: boolean, readonly tries: number }

/** Time left before the deadline of the client, so that the answer still arrives. */
const DEADLINE_MARGIN_MS = 150
/** How long a request is retried while the store rejects it without effect; an overload that lasts longer is unlikely to pass in time. */
const REFUSED_RETRY_LIMIT_MS = 400
const FIRST_RETRY_DELAY_MS = 40
/** After so many lost answers the request fails, since another host may do better. */
const MAX_LOST_ANSWERS = 2
const MAX_RETRY_DELAY_MS = 250

const STORE_UNRESPONSIVE: PlatformError = { kind: 'unavailable', detail: 'the store has not answered for a while and was not asked' }

/** Retries calls of the store within the deadline of a request. @public */
export class CallRetrier {
  readonly #store: Pick<MonitoredStore, 'isUnresponsive'>
  readonly #clock: Clock

  /** @param options - the store that is called, and the source of the current time */
  constructor ({ store, clock }: { readonly store: Pick<MonitoredStore, 'isUnresponsive'>, readonly clock: Clock }) {
    this.#store = store
    this.#clock = clock
  }

  /**
   * Calls the store and retries until it answers or time runs out. A store known to be unresponsive is not called: the request fails at once, so that
   * the client can retry on another host. After a lost answer the call is repeated once, then the request fails for the same reason.
   *
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param call - makes one attempt
   * @returns the last result
   */
  async retry<T> (deadlineMs: number, call: () => Promise<Result<T, PlatformError>>): Promise<RetryResult<T>> {
    const startMs = this.#clock.monotonicMs()
    if (this.#store.isUnresponsive(startMs)) return { result: Err(STORE_UNRESPONSIVE), mayHaveEffect: false, tries: 0 }
    let lost = 0
    let delayMs = FIRST_RETRY_DELAY_MS
    for (let tries = 1; ; tries++) {
      const result = await call()
      const mayHaveEffect = lost > 0
      if (result.ok) return { result, mayHaveEffect, tries }
      if (result.val.kind === 'unknown-effect') lost++
      const nowMs = this.#clock.monotonicMs()
      const lastRetryMs = deadlineMs - DEADLINE_MARGIN_MS
      const retryUntilMs = lost > 0 ? lastRetryMs : Math.min(startMs + REFUSED_RETRY_LIMIT_MS, lastRetryMs)
      const isLastTry = result.val.kind === 'refused' || lost >= MAX_LOST_ANSWERS || this.#store.isUnresponsive(nowMs) || nowMs + delayMs >= retryUntilMs
      if (isLastTry) return { result, mayHaveEffect: lost > 0, tries }
      await delay(delayMs)
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2)
    }
  }
}
