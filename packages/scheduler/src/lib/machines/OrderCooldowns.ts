/**
 * Keeps two holders of the machine duty from ordering the same machine shortly after each other.
 *
 * After a holder's last order for a machine, no other holder may order it during a cooldown. Each holder passes the remaining time on to
 * the next. So a cooldown neither ends early when a holder in between ordered nothing, nor restarts with each holder.
 *
 * @module
 */

/** An unanswered order may still be executed until it times out after 1.5 s. */
const ORDER_TIMEOUT_MS = 1500

/** A machine that the next holder must not order yet. @public */
export interface OrderCooldown {
  readonly machineId: string
  /** Remaining time when the cooldown was saved. */
  readonly remainingMs: number
}

/** Tracks the cooldowns that one holder took over from previous holders and those that its own orders cause for the next. @public */
export class OrderCooldowns {
  readonly #cooldownMs: () => number
  /** By machine, the monotonic time when this holder's last order completed; infinite while the order is in progress. */
  readonly #lastOrderMs = new Map<string, number>()
  /** By machine, the monotonic time when the cooldown after a previous holder's order ends. */
  readonly #inheritedEndMs = new Map<string, number>()

  /** Monotonic time until which every machine is in a cooldown, because a previous holder's orders are unknown. */
  #globalEndMs = -Infinity

  /** @param cooldownMs - how long after an order no other holder may order the machine */
  constructor (cooldownMs: () => number) {
    this.#cooldownMs = cooldownMs
  }

  /**
   * Takes over the cooldowns of the previous holder.
   *
   * @param previous - its cooldowns, as it saved them
   * @param globalRemainingMs - remaining cooldown of all machines
   * @param nowMs - monotonic time, not before the takeover
   */
  restore (previous: readonly OrderCooldown[], globalRemainingMs: number, nowMs: number): void {
    this.#globalEndMs = nowMs + Math.min(globalRemainingMs, this.#cooldownMs() + ORDER_TIMEOUT_MS)
    for (const { machineId, remainingMs } of previous) this.#inheritedEndMs.set(machineId, nowMs + Math.min(remainingMs, this.#cooldownMs() + ORDER_TIMEOUT_MS))
  }

  /**
   * Marks an order as in progress, before it is saved and sent. Until it completes, the whole cooldown remains.
   *
   * @param machineId - the machine to order
   */
  beginOrder (machineId: string): void {
    this.#lastOrderMs.set(machineId, Infinity)
  }

  /** Starts the cooldown of an order that was answered, or was not sent after all. @param machineId - the ordered machine @param nowMs - monotonic time */
  endOrder (machineId: string, nowMs: number): void {
    this.#lastOrderMs.set(machineId, nowMs)
  }

  /** @param machineId - a machine @param nowMs - monotonic time @returns whether a previous holder's order is too recent for this holder to order it */
  isCoolingDown (machineId: string, nowMs: number): boolean {
    return nowMs < Math.max(this.#globalEndMs, this.#inheritedEndMs.get(machineId) ?? -Infinity)
  }

  /** @param nowMs - monotonic time @returns the remaining cooldown of all machines, for orders of previous holders that were not recorded */
  globalRemainingMs (nowMs: number): number {
    return Math.max(0, Math.ceil(this.#globalEndMs - nowMs))
  }

  /** Deletes expired cooldowns. @param nowMs - monotonic time @returns the cooldowns that the next holder must respect, one for each machine */
  left (nowMs: number): OrderCooldown[] {
    const cooldownMs = this.#cooldownMs()
    for (const [machineId, endMs] of this.#inheritedEndMs) if (endMs <= nowMs) this.#inheritedEndMs.delete(machineId)
    for (const [machineId, orderedMs] of this.#lastOrderMs) if (orderedMs + cooldownMs <= nowMs) this.#lastOrderMs.delete(machineId)
    return [...new Set([...this.#inheritedEndMs.keys(), ...this.#lastOrderMs.keys()])].map((machineId) => {
      const endMs = Math.max(this.#inheritedEndMs.get(machineId) ?? -Infinity, (this.#lastOrderMs.get(machineId) ?? -Infinity) + cooldownMs)
      return { machineId, remainingMs: Math.min(cooldownMs + ORDER_TIMEOUT_MS, Math.ceil(endMs - nowMs)) }
    })
  }
}
