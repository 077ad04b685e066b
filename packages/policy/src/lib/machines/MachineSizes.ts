/**
 * Sizes of the machines of a service, and how many of them tasks fill.
 *
 * @module
 */
import { fitsWithin, mapResources, most, NO_RESOURCES, plus, type RESOURCE_KINDS, type Resources } from '../quotas/resources.js'

/** Assumed machine size for a service without available workers: the smallest machine in use, in thousandths of a core. */
const DEFAULT_MACHINE_MILLIS = 16_000
/** From this many tasks on, a machine loses less to the remainder that fits no further task than to the gaps that utilization allows for. */
const MANY_TASKS = 7

/** Computes the share of a machine that tasks take. @public */
export class MachineSizes {
  /** The mean of each resource. */
  readonly mean: Resources
  readonly #capacities: readonly Resources[]
  /** The largest amount of each resource. */
  readonly #largest: Resources
  readonly #placesByDemand = new Map<string, Resources>()

  /** @param capacities - capacities of the service's workers that count as capacity */
  constructor (capacities: readonly Resources[]) {
    this.#capacities = capacities
    const sum = capacities.reduce(plus, NO_RESOURCES)
    this.mean = capacities.length === 0 ? { ...NO_RESOURCES, cpuMillis: DEFAULT_MACHINE_MILLIS } : mapResources((kind) => sum[kind] / capacities.length)
    this.#largest = capacities.reduce(most, NO_RESOURCES)
  }

  /** @param each - demand of a task @returns whether it is within the largest amounts; further machines like those in use would not help another task */
  isWithinLargest (each: Resources): boolean {
    return fitsWithin(each, this.#largest)
  }

  /** @param each - demand of a task @returns the share of a machine's resources that it takes, by resource */
  sharesOf (each: Resources): Resources {
    return mapResources((kind) => each[kind] === 0 ? 0 : each[kind] / Math.max(1, this.mean[kind]))
  }

  /**
   * Computes the share of a machine that a task takes when only tasks like it run there; the rest of the machine fits no further one.
   *
   * @param each - demand of a task
   * @returns the share, by resource; 0 where so many tasks fit that {@link MachineSizes.sharesOf} tells enough
   */
  placesOf (each: Resources): Resources {
    const key = `${each.cpuMillis} ${each.memoryMb} ${each.gpus}`
    const places = this.#placesByDemand.get(key) ?? mapResources((kind) => this.#placeOf(kind, each[kind]))
    this.#placesByDemand.set(key, places)
    return places
  }

  #placeOf (kind: typeof RESOURCE_KINDS[number], amount: number): number {
    if (amount === 0 || this.mean[kind] / amount >= MANY_TASKS) return 0
    const places = this.#capacities.reduce((sum, capacity) => sum + Math.floor(capacity[kind] / amount), 0)
    return places === 0 ? 0 : this.#capacities.length / places
  }
}
