/**
 * Estimates the peak number of slots that a service needs, and the typical error of that estimate.
 *
 * @module
 */

/** Settings of the demand estimate. @public */
export interface DemandOptions {
  /** Time in which a past peak decays to half; 600000 by default. */
  readonly halfLifeMs: number
  /** Weight of a new sample in the moving average of the error; 0.02 by default. */
  readonly errorSmoothing: number
}

/** Default settings. @public */
export const DEMAND_DEFAULTS: DemandOptions = { halfLifeMs: 600_000, errorSmoothing: 0.02 }

/** Estimates the demand for one service at one entry host as a decaying peak. @public */
export class DemandEstimator {
  readonly #options: DemandOptions
  #peakSlots = 0
  #errorShare = 0
  #lastMs: number | undefined

  /** @param options - settings that override the defaults */
  constructor (options: Partial<DemandOptions> = {}) {
    this.#options = { ...DEMAND_DEFAULTS, ...options }
  }

  /** Estimated peak demand in slots. */
  get slots (): number {
    return this.#peakSlots
  }

  /** Moving average of how far samples exceeded the estimate, relative to the estimate. */
  get relativeError (): number {
    return this.#errorShare
  }

  /**
   * Updates the estimate with the current demand.
   *
   * @param slots - slots in use plus queued requests
   * @param nowMs - the current time
   */
  addSample (slots: number, nowMs: number): void {
    const elapsedMs = this.#lastMs === undefined ? 0 : nowMs - this.#lastMs
    this.#lastMs = nowMs
    const decayed = this.#peakSlots * 0.5 ** (elapsedMs / this.#options.halfLifeMs)
    const excess = decayed > 0 ? Math.max(0, slots - decayed) / decayed : 0
    this.#errorShare += this.#options.errorSmoothing * (Math.min(1, excess) - this.#errorShare)
    this.#peakSlots = Math.max(slots, decayed)
  }
}
