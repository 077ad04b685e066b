/**
 * Learns from lagging usage how large jobs of a kind really are.
 *
 * @module
 */

/** How estimates follow. @public */
export interface JobSizeEstimatorOptions {
  /** Samples until what was observed counts as much as what was declared; 5 by default. */
  readonly halfWeightSamples: number
  /** The largest factor by which an estimate may differ from the declaration, in either direction; 8 by default. */
  readonly maxFactor: number
}

/** The documented defaults. @public */
export const JOB_SIZE_ESTIMATOR_DEFAULTS: JobSizeEstimatorOptions = { halfWeightSamples: 5, maxFactor: 8 }
const MAX_KINDS = 2000
const MAX_LOG_STEP = 0.2

interface KindEstimate { factor: number, samples: number }

/** Sizes by team and kind. One odd job moves an estimate by at most a fifth, so no team is held to one bad guess. @public */
export class JobSizeEstimator {
  readonly #kinds = new Map<string, KindEstimate>()
  readonly #options: JobSizeEstimatorOptions

  /** @param options - how estimates follow, the defaults without them */
  constructor (options: Partial<JobSizeEstimatorOptions> = {}) {
    this.#options = { ...JOB_SIZE_ESTIMATOR_DEFAULTS, ...options }
  }

  /**
   * Notes what a job used.
   *
   * @param team - whose
   * @param kind - of job
   * @param declaredSlots - what it was said to need
   * @param usedSlots - what it was seen to use
   */
  addSample (team: string, kind: string, declaredSlots: number, usedSlots: number): void {
    const key = `${team}/${kind}`
    const known = this.#kinds.get(key) ?? { factor: 1, samples: 0 }
    const { maxFactor } = this.#options
    const observed = Math.min(maxFactor, Math.max(1 / maxFactor, usedSlots / declaredSlots))
    // In logarithms, so that twice as much and half as much weigh the same; a clipped step, so that one outlier counts little.
    const step = Math.max(-MAX_LOG_STEP, Math.min(MAX_LOG_STEP, Math.log(observed / known.factor)))
    known.factor *= Math.exp(step)
    known.samples++
    this.#kinds.set(key, known)
    const oldest = this.#kinds.keys().next()
    if (this.#kinds.size > MAX_KINDS && oldest.done !== true) this.#kinds.delete(oldest.value)
  }

  /**
   * Estimates how many slots a job needs.
   *
   * @param team - whose
   * @param kind - of job
   * @param declaredSlots - what it is said to need
   * @returns between the declaration and what was observed, by how much was observed; at least one slot
   */
  estimate (team: string, kind: string, declaredSlots: number): number {
    const known = this.#kinds.get(`${team}/${kind}`)
    if (known === undefined) return declaredSlots
    const trust = known.samples / (known.samples + this.#options.halfWeightSamples)
    return Math.max(1, Math.round(declaredSlots * known.factor ** trust))
  }
}
