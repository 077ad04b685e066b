/**
 * Estimates how many slots a service needs at its busy time, and how far off that estimate tends to be.
 *
 * @module
 */

/** How the estimate follows. @public */
export interface DemandOptions {
  /** In this time an old peak loses half of its height; 600000 by default. */
  readonly halfLifeMs: number
  /** Weight of a new error; 0.02 by default. */
  readonly errorSmoothing: number
}

/** The documented defaults. @public */
export const DEMAND_DEFAULTS: DemandOptions = { halfLifeMs: 600_000, errorSmoothing: 0.02 }

/** The demand for one service at one entry host. @public */
export class DemandEstimator {
  readonly #options: DemandOptions
  #peakSlots = 0
  #errorShare = 0
  #lastMs: number | undefined

  /** @param options - how it follows, the defaults without them */
  constructor (options: Partial<DemandOptions> = {}) {
    this.#options = { ...DEMAND_DEFAULTS, ...options }
  }

  /** Slots at the busy time. */
  get slots (): number {
    return this.#peakSlots
  }

  /** How far samples went beyond the estimate, as a share of it. */
  get relativeError (): number {
    return this.#errorShare
  }

  /**
   * Takes a sample.
   *
   * @param slots - in use and waited for
   * @param nowMs - the present time
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
