/**
 * Reproducible pseudorandom numbers.
 *
 * @module
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { hash32 } from './rendezvous.js'

const RANGE = 0x1_0000_0000

/** Generates pseudorandom numbers; two instances with the same seed generate the same sequence. @public */
export class SeededRandom {
  readonly #generator: { next(): number }

  /** @param seed - any integer */
  constructor (seed: number) {
    // Hashes the seed, because sequences of small seeds would otherwise start with similar numbers.
    this.#generator = xoroshiro128plus(hash32(`seed ${seed}`))
  }

  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  next (): number {
    return (this.#generator.next() >>> 0) / RANGE
  }

  /**
   * @param bound - a positive integer
   * @returns an integer from 0 (inclusive) to the bound (exclusive)
   */
  integer (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /**
   * @param items - a non-empty array
   * @returns a random element
   */
  pick<T> (items: readonly T[]): T {
    return items[this.integer(items.length)] as T
  }

  /**
   * @param meanMs - the mean of the distribution
   * @returns an exponentially distributed duration
   */
  exponentialMs (meanMs: number): number {
    return -Math.log(1 - this.next()) * meanMs
  }
}
