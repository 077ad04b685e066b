/**
 * Limits how many stops a duty holder sends at once: a cancelled job, a lowered limit or a drained zone may stop thousands of runs.
 *
 * @module
 */
import type { Job, OrderWindow } from '@quillscale/policy'

/** Gives the stops that are to be sent their turn, the jobs in rotation. */
export class StopSlots {
  readonly #window: OrderWindow
  /** Stops that wait for their turn, by job; the job that had the last turn comes last. */
  readonly #waiting = new Map<Job, Set<() => void>>()
  #inUse = 0

  /** @param window - tells how many stops may be sent at once */
  constructor (window: OrderWindow) {
    this.#window = window
  }

  /**
   * Sends a stop in its turn.
   *
   * @param job - the job of the run to stop
   * @param send - sends the stop, and resolves once it is answered or given up
   * @returns what `send` resolves to
   */
  async use<T> (job: Job, send: () => Promise<T>): Promise<T> {
    if (this.#inUse < this.#window.size) this.#inUse++
    else await this.#turnOf(job)
    try {
      return await send()
    } finally {
      this.#inUse--
      this.#callNext()
    }
  }

  #turnOf (job: Job): Promise<void> {
    this.#window.recordFull()
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(job) ?? new Set()
      this.#waiting.set(job, waiting.add(resolve))
    })
  }

  #callNext (): void {
    for (const [job, waiting] of this.#waiting) {
      if (this.#inUse >= this.#window.size) return
      this.#waiting.delete(job)
      const [call] = waiting
      if (call === undefined) continue
      waiting.delete(call)
      if (waiting.size > 0) this.#waiting.set(job, waiting)
      this.#inUse++
      call()
    }
  }
}
