/**
 * A set of whole numbers that takes as much memory as it has gaps.
 *
 * @module
 */

/** A set of whole numbers, kept as ranges. @public */
export class NumberRanges {
  /** First numbers of the ranges, ascending, and the numbers after their last ones. */
  readonly #starts: number[] = []
  readonly #ends: number[] = []
  #size = 0

  /** Count of the numbers. */
  get size (): number {
    return this.#size
  }

  /** @param number - a whole number @returns whether it is in the set */
  has (number: number): boolean {
    return this.endOf(number) > number
  }

  /** @param number - a whole number @returns the first number from it on that is not in the set */
  endOf (number: number): number {
    const at = this.#lastStartAt(number)
    return Math.max(number, this.#ends[at] ?? number)
  }

  /** @param from - a whole number @param to - another one @returns how many numbers from the first up to, but not including, the other are in the set */
  countBetween (from: number, to: number): number {
    let count = 0
    for (let at = Math.max(0, this.#lastStartAt(from)); at < this.#starts.length && (this.#starts[at] as number) < to; at++) {
      count += Math.max(0, Math.min(to, this.#ends[at] as number) - Math.max(from, this.#starts[at] as number))
    }
    return count
  }

  /** @param number - a whole number to add */
  add (number: number): void {
    if (this.has(number)) return
    this.#size++
    const before = this.#lastStartAt(number)
    const joinsBefore = this.#ends[before] === number
    const joinsAfter = this.#starts[before + 1] === number + 1
    if (joinsBefore && joinsAfter) {
      this.#ends[before] = this.#ends[before + 1] as number
      this.#starts.splice(before + 1, 1)
      this.#ends.splice(before + 1, 1)
    } else if (joinsBefore) this.#ends[before] = number + 1
    else if (joinsAfter) this.#starts[before + 1] = number
    else {
      this.#starts.splice(before + 1, 0, number)
      this.#ends.splice(before + 1, 0, number + 1)
    }
  }

  /** Returns the index of the last range that starts at a number or before it, -1 if none does. */
  #lastStartAt (number: number): number {
    let low = 0
    let high = this.#starts.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#starts[middle] as number) <= number) low = middle + 1
      else high = middle
    }
    return low - 1
  }
}
