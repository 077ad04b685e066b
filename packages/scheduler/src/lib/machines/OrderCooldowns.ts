/**
 * Keeps holders from ordering one machine close to each other.
 *
 * For some time after a holder's last order no other may order that machine. What is left of each pause is handed on, so that it
 * neither ends early, when a holder in between ordered nothing, nor begins anew with each holder.
 *
 * @module
 */

/** An order without an answer may be carried out this much later; it is given up after 1.5 s. */
const LATE_ORDER_MS = 1500

/** A machine that a next holder must not order yet. @public */
export interface OrderCooldown {
  readonly machineId: string
  /** What was left when it was written down. */
  readonly remainingMs: number
}

/** The pauses that one holder knows of. @public */
export class OrderCooldowns {
  readonly #pauseMs: () => number
  /** When this holder's last order to a machine was over, monotonic; not yet, where it is infinite. */
  readonly #ordered = new Map<string, number>()
  /** Until when a former holder's order counts, monotonic. */
  readonly #formerUntil = new Map<string, number>()

  /** Until when any machine may have a former holder's order, monotonic. */
  #allUntilMs = -Infinity

  /** @param pauseMs - how long no other holder may order a machine after an order */
  constructor (pauseMs: () => number) {
    this.#pauseMs = pauseMs
  }

  /** @param pauses - as a former holder wrote them @param allLeftMs - what is left for any machine @param nowMs - monotonic, not before the take-over */
  restore (pauses: readonly OrderCooldown[], allLeftMs: number, nowMs: number): void {
    this.#allUntilMs = nowMs + Math.min(allLeftMs, this.#pauseMs() + LATE_ORDER_MS)
    for (const { machineId, remainingMs } of pauses) this.#formerUntil.set(machineId, nowMs + Math.min(remainingMs, this.#pauseMs() + LATE_ORDER_MS))
  }

  /** An order is about to be written down and sent: until it is over, all of the pause is left. @param machineId - whose */
  beginOrder (machineId: string): void {
    this.#ordered.set(machineId, Infinity)
  }

  /** @param machineId - whose order was answered, or given up @param nowMs - monotonic */
  endOrder (machineId: string, nowMs: number): void {
    this.#ordered.set(machineId, nowMs)
  }

  /** @param machineId - any @param nowMs - monotonic @returns whether a former holder's order is too recent for one of this holder */
  isCoolingDown (machineId: string, nowMs: number): boolean {
    return nowMs < Math.max(this.#allUntilMs, this.#formerUntil.get(machineId) ?? -Infinity)
  }

  /** @param nowMs - monotonic @returns for how long any machine may have a former holder's order that nobody wrote down */
  globalRemainingMs (nowMs: number): number {
    return Math.max(0, Math.ceil(this.#allUntilMs - nowMs))
  }

  /** @param nowMs - monotonic @returns what a next holder must wait for, each machine once; what is over is forgotten */
  left (nowMs: number): OrderCooldown[] {
    const pauseMs = this.#pauseMs()
    for (const [machineId, untilMs] of this.#formerUntil) if (untilMs <= nowMs) this.#formerUntil.delete(machineId)
    for (const [machineId, orderedMs] of this.#ordered) if (orderedMs + pauseMs <= nowMs) this.#ordered.delete(machineId)
    return [...new Set([...this.#formerUntil.keys(), ...this.#ordered.keys()])].map((machineId) => {
      const untilMs = Math.max(this.#formerUntil.get(machineId) ?? -Infinity, (this.#ordered.get(machineId) ?? -Infinity) + pauseMs)
      return { machineId, remainingMs: Math.min(pauseMs + LATE_ORDER_MS, Math.ceil(untilMs - nowMs)) }
    })
  }
}
