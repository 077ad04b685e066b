/**
 * Tells which steps the workers of a service could run if they were empty.
 *
 * @module
 */
import type { StepSpec } from '../jobs/JobSpec.js'
import { fitsWithin, least, type Resources } from '../quotas/resources.js'
import { countFitting, demandOf, hasRequiredLabel } from './suitability.js'
import type { WorkerView } from './WorkerView.js'

/** Checks steps against the whole capacity of all workers of a service, available or not. @public */
export class CapacityCheck {
  readonly #workerViews: readonly WorkerView[]
  /** What every worker has. */
  readonly #common: Resources | undefined
  readonly #resultByDemand = new Map<string, boolean>()

  /** @param workerViews - workers of the service */
  constructor (workerViews: readonly WorkerView[]) {
    this.#workerViews = workerViews
    const capacities = workerViews.map(({ instance }) => instance.capacity)
    this.#common = capacities.length === 0 ? undefined : capacities.reduce(least)
  }

  /**
   * Tells whether a step can ever run on the present workers.
   *
   * @param step - the step
   * @returns false if no worker has the label and capacity that a task needs, or if a gang needs more than all workers together have
   */
  canRun (step: StepSpec): boolean {
    const isOrdinary = !step.isGang && step.requiredLabel === ''
    if (isOrdinary && this.#common !== undefined && fitsWithin(demandOf(step), this.#common)) return true
    const { cpuMillis, memoryMb, gpus } = demandOf(step)
    const key = `${cpuMillis} ${memoryMb} ${gpus} ${step.isGang ? step.taskCount : 1} ${step.maxPerWorker} ${step.requiredLabel}`
    const known = this.#resultByDemand.get(key)
    if (known !== undefined) return known
    const canRun = this.#hasPlaces(step, step.isGang ? step.taskCount : 1)
    this.#resultByDemand.set(key, canRun)
    return canRun
  }

  #hasPlaces (step: StepSpec, needed: number): boolean {
    let places = 0
    for (const { instance: { capacity, labels } } of this.#workerViews) {
      if (!hasRequiredLabel(step, labels)) continue
      const fitting = countFitting(step, capacity)
      places += step.maxPerWorker === 0 ? fitting : Math.min(fitting, step.maxPerWorker)
      if (places >= needed) return true
    }
    return false
  }
}
