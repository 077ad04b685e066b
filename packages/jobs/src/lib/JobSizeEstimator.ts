/**
 * Estimates the actual size of jobs of each kind from their reported usage, which lags behind.
 *
 * @module
 */

/** Settings of {@link JobSizeEstimator}. @public */
export interface JobSizeEstimatorOptions {
  /** Number of samples at which the observed size has the same weight as the declared one; 5 by default. */
  readonly halfWeightSamples: number
  /** Maximum factor by which an estimate may differ from the declared size, in either direction; 8 by default. */
  readonly maxFactor: number
}

/** Default settings, as documented. @public */
export const JOB_SIZE_ESTIMATOR_DEFAULTS: JobSizeEstimatorOptions = { halfWeightSamples: 5, maxFactor: 8 }
const MAX_KINDS = 2000
const MAX_LOG_STEP = 0.2

interface KindEstimate { factor: number, samples: number }

/**
 * Estimates job sizes by team and kind. One sample moves the logarithm of an estimate by at most 0.2, about a fifth of its value,
 * so a single outlier doesn't distort the estimates of a team.
 *
 * @public
 */
export class JobSizeEstimator {
  readonly #kinds = new Map<string, KindEstimate>()
  readonly #options: JobSizeEstimatorOptions

  /** @param options - settings that differ from {@link JOB_SIZE_ESTIMATOR_DEFAULTS} */
  constructor (options: Partial<JobSizeEstimatorOptions> = {}) {
    this.#options = { ...JOB_SIZE_ESTIMATOR_DEFAULTS, ...options }
  }

  /**
   * Adds the measured usage of a job.
   *
   * @param team - the team that submitted the job
   * @param kind - the kind of the job
   * @param declaredSlots - the slots that the job was declared to need
   * @param usedSlots - the slots that it used
   */
  addSample (team: string, kind: string, declaredSlots: number, usedSlots: number): void {
    const key = `${team}/${kind}`
    const learned = this.#kinds.get(key) ?? { factor: 1, samples: 0 }
    const { maxFactor } = this.#options
    const observedFactor = Math.min(maxFactor, Math.max(1 / maxFactor, usedSlots / declaredSlots))
    // The step is logarithmic, so that double and half the usage weigh the same, and clipped, so that one outlier counts little.
    const step = Math.max(-MAX_LOG_STEP, Math.min(MAX_LOG_STEP, Math.log(observedFactor / learned.factor)))
    learned.factor *= Math.exp(step)
    learned.samples++
    this.#kinds.set(key, learned)
    const oldest = this.#kinds.keys().next()
    if (this.#kinds.size > MAX_KINDS && oldest.done !== true) this.#kinds.delete(oldest.value)
  }

  /**
   * Estimates how many slots a job needs.
   *
   * @param team - the team that submitted the job
   * @param kind - the kind of the job
   * @param declaredSlots - the slots that the job is declared to need
   * @returns the declared size, shifted towards the observed size as samples accumulate; at least one slot
   */
  estimate (team: string, kind: string, declaredSlots: number): number {
    const learned = this.#kinds.get(`${team}/${kind}`)
    if (learned === undefined) return declaredSlots
    const sampleWeight = learned.samples / (learned.samples + this.#options.halfWeightSamples)
    return Math.max(1, Math.round(declaredSlots * learned.factor ** sampleWeight))
  }
}
