/**
 * Adapts how many orders to workers may be under way to the rate at which this host gets them through.
 *
 * By Little's law, an order waits for as long as it takes to get through all others that are under way. A fixed number of them is therefore a short wait on a
 * fast host, and longer than the time limit of a call on a slow one. The window holds the wait instead.
 *
 * @module
 */

/** Mean time from handing an order over for sending to its answer at which the window stays as it is; a fraction of the time limit of such a call. */
const TARGET_WAIT_MS = 150
const INITIAL_SIZE = 8
/** A host on which even so few orders wait for longer is slow for another reason than their number. */
const MIN_SIZE = 8
const MAX_SIZE = 1000
/** The window changes at most by this factor for each window of answers. */
const MAX_CHANGE = 4

/**
 * Limits the orders of a duty holder that are under way: the starts that wait for their record or for their answer, and, apart from them, the stops that wait
 * for their answer.
 *
 * @public
 */
export class OrderWindow {
  #size = INITIAL_SIZE
  #answers = 0
  #waitedMs = 0
  /** Whether orders had to wait since the last change because the window was full. */
  #wasFull = false

  /** The number of starts, and of stops, that may be under way. */
  get size (): number {
    return this.#size
  }

  /** Records that an order had to wait because the window was full. */
  recordFull (): void {
    this.#wasFull = true
  }

  /**
   * Records the outcome of an order, and resizes the window once it has been used up.
   *
   * @param waitedMs - time from handing the order over for sending until its answer, or until it was given up
   */
  recordAnswer (waitedMs: number): void {
    this.#answers++
    this.#waitedMs += waitedMs
    if (this.#answers < this.#size) return
    const factor = TARGET_WAIT_MS * this.#answers / Math.max(1, this.#waitedMs)
    // A window that has not been full says nothing about how a larger one would do.
    if (factor < 1 || this.#wasFull) this.#resize(Math.min(MAX_CHANGE, Math.max(1 / MAX_CHANGE, factor)))
    this.#answers = this.#waitedMs = 0
    this.#wasFull = false
  }

  #resize (factor: number): void {
    this.#size = Math.min(MAX_SIZE, Math.max(MIN_SIZE, Math.round(this.#size * factor)))
  }
}
