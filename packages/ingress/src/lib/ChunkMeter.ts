/**
 * Limits the processor time that small chunks of bodies take: each costs about as much as a large one.
 *
 * @module
 */

/** A chunk below this size counts as small. */
const SMALL_CHUNK_BYTES = 256
const MS_PER_S = 1000
/** A body with up to so many small chunks is never too expensive. */
const ORDINARY_SMALL_CHUNKS = 1000

/** The bounds of a {@link ChunkMeter}, in small chunks of all bodies. @public */
export interface ChunkLimits {
  /** What may come at once. */
  readonly burst: number
  readonly perSecond: number
  /** What may come beyond that and is made up for by reading later. */
  readonly maxDebt: number
}

/** The burst is more than the largest body has. The debt is that of some ten connections: each adds the chunks of one read of 64 KB before it pauses. */
const DEFAULT_LIMITS: ChunkLimits = { burst: 300_000, perSecond: 50_000, maxDebt: 120_000 }

/**
 * Counts a chunk of one body.
 *
 * @param bytes - its size
 * @param nowMs - monotonic time
 * @returns how long it takes until all chunks so far are made up for, in ms; infinite if there are too many
 * @public
 */
export type ChunkCounter = (bytes: number, nowMs: number) => number

/** Counts the small chunks of all bodies. @public */
export class ChunkMeter {
  readonly #limits: ChunkLimits
  /** Small chunks that may come; negative while some have to be made up for. */
  #left: number
  #countedMs = Infinity

  /** @param limits - the bounds */
  constructor (limits: ChunkLimits = DEFAULT_LIMITS) {
    this.#limits = limits
    this.#left = limits.burst
  }

  /** Creates the counter of one body. @returns the counter */
  countBody (): ChunkCounter {
    let smallChunks = 0
    return (bytes, nowMs) => {
      if (bytes >= SMALL_CHUNK_BYTES) return 0
      smallChunks++
      const pauseMs = this.#count(nowMs)
      return smallChunks > ORDINARY_SMALL_CHUNKS ? pauseMs : 0
    }
  }

  /** Counts a small chunk. @returns the time until all that have come so far are made up for; infinite if there are too many */
  #count (nowMs: number): number {
    const { burst, perSecond, maxDebt } = this.#limits
    const refill = Math.max(0, nowMs - this.#countedMs) / MS_PER_S * perSecond
    this.#countedMs = nowMs
    this.#left = Math.max(-maxDebt, Math.min(burst, this.#left + refill) - 1)
    if (this.#left >= 0) return 0
    return this.#left === -maxDebt ? Infinity : -this.#left / perSecond * MS_PER_S
  }
}
