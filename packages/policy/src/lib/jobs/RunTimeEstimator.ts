/**
 * Learns how long tasks of an image run: clients' guesses are far off.
 *
 * @module
 */
import type { StepSpec } from './JobSpec.js'

/** Weight of a new sample: about the last ten runs count. */
const SAMPLE_WEIGHT = 0.15
/** A step without a guess and without samples; about the mean of the tasks of all services known so far, in ms. */
const DEFAULT_RUN_MS = 1000
/** Images remembered; the oldest are forgotten. */
const MAX_IMAGES = 2000

interface Estimate { meanMs: number, samples: number }

/** Run times by image. @public */
export class RunTimeEstimator {
  readonly #images = new Map<string, Estimate>()

  /** @param step - whose task ended `done` @param tookMs - from its start */
  addSample (step: StepSpec, tookMs: number): void {
    if (step.image === '' || step.isLasting) return
    const known = this.#images.get(step.image)
    if (known === undefined) {
      this.#images.set(step.image, { meanMs: tookMs, samples: 1 })
      const oldest = this.#images.keys().next()
      if (this.#images.size > MAX_IMAGES && oldest.done !== true) this.#images.delete(oldest.value)
      return
    }
    known.samples++
    known.meanMs += (tookMs - known.meanMs) * Math.max(SAMPLE_WEIGHT, 1 / known.samples)
  }

  /** @param step - any @returns how long one of its tasks is expected to run */
  expectedMs (step: StepSpec): number {
    return this.#images.get(step.image)?.meanMs ?? (step.estimateMs > 0 ? step.estimateMs : DEFAULT_RUN_MS)
  }

  /** @param step - any @returns whether the expectation rests on runs of its image */
  hasSamples (step: StepSpec): boolean {
    return this.#images.has(step.image)
  }
}
