/**
 * Estimates run times of tasks by image from finished runs, since clients' guesses are far off.
 *
 * @module
 */
import type { StepSpec } from './JobSpec.js'

/** Smoothing factor of the moving average: about the last ten runs count. */
const SAMPLE_WEIGHT = 0.15
/** Used for a step without an estimate or samples; about the mean over the tasks of all services. */
const DEFAULT_RUN_MS = 1000
/** Images kept; the oldest are dropped beyond this. */
const MAX_IMAGES = 2000

interface Estimate { meanMs: number, samples: number }

/** Keeps a moving average of the run time of each image. @public */
export class RunTimeEstimator {
  readonly #images = new Map<string, Estimate>()

  /** @param step - the step whose task ended `done` @param tookMs - time since its start */
  addSample (step: StepSpec, tookMs: number): void {
    if (step.image === '' || step.isLasting) return
    const estimate = this.#images.get(step.image)
    if (estimate === undefined) {
      this.#images.set(step.image, { meanMs: tookMs, samples: 1 })
      const oldest = this.#images.keys().next()
      if (this.#images.size > MAX_IMAGES && oldest.done !== true) this.#images.delete(oldest.value)
      return
    }
    estimate.samples++
    estimate.meanMs += (tookMs - estimate.meanMs) * Math.max(SAMPLE_WEIGHT, 1 / estimate.samples)
  }

  /** @param step - a step @returns the expected run time of one of its tasks */
  expectedMs (step: StepSpec): number {
    return this.#images.get(step.image)?.meanMs ?? (step.estimateMs > 0 ? step.estimateMs : DEFAULT_RUN_MS)
  }

  /** @param step - a step @returns whether its expected run time comes from runs of its image */
  hasSamples (step: StepSpec): boolean {
    return this.#images.has(step.image)
  }
}
