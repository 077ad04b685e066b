/**
 * Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
 *
 * @module
 */

/** Limits of a retry budget. @public */
export interface RetryBudgetOptions {
  /** Average number of retries allowed per request; 0.1 by default. */
  readonly ratio: number
  /** Maximum number of unused retries that accumulate; 10 by default. */
  readonly maxSaved: number
}

/** Default limits. @public */
export const RETRY_BUDGET_DEFAULTS: RetryBudgetOptions = { ratio: 0.1, maxSaved: 10 }

/** A token bucket that first attempts fill and retries drain. @public */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  #tokens: number

  /** @param options - limits that override the defaults */
  constructor (options: Partial<RetryBudgetOptions> = {}) {
    this.#options = { ...RETRY_BUDGET_DEFAULTS, ...options }
    this.#tokens = this.#options.maxSaved
  }

  /** Credits the budget for the first attempt of a request. */
  earn (): void {
    this.#tokens = Math.min(this.#options.maxSaved, this.#tokens + this.#options.ratio)
  }

  /**
   * Takes a token for one retry, if there is one.
   *
   * @returns whether the retry may be sent
   */
  trySpend (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
