/**
 * Tells whether the room of a service is still growing. Machines follow demand with a delay, so a shortage of room says little before they are
 * there.
 *
 * @module
 */

/** Longer than machines take to follow demand. */
const WINDOW_MS = 3000
/** Room that varies by less than this, as machines are maintained and come back, is not growing. */
const GROWTH_FACTOR = 1.1

interface Sample { readonly atMs: number, readonly cpuMillis: number }

/** Keeps the recent room of one service. @public */
export class RoomGrowth {
  #samples: Sample[] = []

  /**
   * Records the present room.
   *
   * @param cpuMillis - capacity of the available workers that lasting runs leave, in thousandths of a core
   * @param nowMs - monotonic
   * @returns whether it has been observed for long enough, and has hardly grown meanwhile
   */
  isSettled (cpuMillis: number, nowMs: number): boolean {
    this.#samples.push({ atMs: nowMs, cpuMillis })
    while (this.#samples[1] !== undefined && nowMs - this.#samples[1].atMs >= WINDOW_MS) this.#samples.shift()
    const [oldest] = this.#samples
    return oldest !== undefined && nowMs - oldest.atMs >= WINDOW_MS && cpuMillis <= oldest.cpuMillis * GROWTH_FACTOR
  }
}
