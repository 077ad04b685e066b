/**
 * Keeps the advice that was given on steps, and asks for more, one call at a time.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { PlacementAdvice } from '@quillscale/ports'
import type { Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** What the book works with. @public */
export interface PlacementAdviceCacheOptions {
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  /** Called when there is new advice. */
  readonly onAdvice: () => void
}

/** Advice this close to its end is not used: a start takes a while to arrive. */
const VALIDITY_MARGIN_MS = 500
/** More are not asked about in one call: its cost grows with each. */
const MAX_WORKERS = 30
/** Calls that wait for their turn; further ones are asked for again in a later round. */
const MAX_PENDING = 32
/** Steps remembered. */
const MAX_CACHED_STEPS = 2000

interface Advice { readonly tickets: ReadonlyMap<string, string>, readonly validUntilMs: number }

/** The book. @public */
export class PlacementAdviceCache {
  readonly #options: PlacementAdviceCacheOptions
  readonly #adviceByStep = new Map<string, Advice>()
  readonly #pending = new Set<string>()
  #lastCall: Promise<void> = Promise.resolve()
  #isClosed = false

  /** @param options - what it works with */
  constructor (options: PlacementAdviceCacheOptions) {
    this.#options = options
  }

  /**
   * Gives the workers that may run a step, and asks for them if there is no valid advice.
   *
   * @param task - of the step
   * @param instanceIds - workers that could run it, the best first
   * @param nowMs - monotonic
   * @returns the ticket for each, `undefined` until there is advice
   */
  ticketsFor (task: Task, instanceIds: readonly string[], nowMs: number): ReadonlyMap<string, string> | undefined {
    const { stepKey } = task
    const known = this.#adviceByStep.get(stepKey)
    if (known !== undefined && nowMs < known.validUntilMs) return known.tickets
    if (this.#pending.size < MAX_PENDING && !this.#pending.has(stepKey) && instanceIds.length > 0) this.#request(stepKey, instanceIds.slice(0, MAX_WORKERS))
    return undefined
  }

  /** @param task - whose ticket was refused */
  invalidate (task: Task): void {
    this.#adviceByStep.delete(task.stepKey)
  }

  /** Asks nothing more. */
  close (): void {
    this.#isClosed = true
  }

  #request (stepKey: string, instanceIds: readonly string[]): void {
    this.#pending.add(stepKey)
    this.#lastCall = this.#lastCall.then(async () => {
      if (this.#isClosed) return
      const askedMs = this.#options.clock.monotonicMs()
      const advice = await this.#options.advice.advise(stepKey, instanceIds)
      this.#pending.delete(stepKey)
      if (advice.err) {
        this.#options.log.info({ stepKey, error: advice.val }, 'no advice')
        return
      }
      const { workers, validMs } = advice.val
      const tickets = new Map(workers.map(({ instanceId, ticket }) => [instanceId, ticket]))
      this.#adviceByStep.set(stepKey, { tickets, validUntilMs: askedMs + validMs - VALIDITY_MARGIN_MS })
      const oldest = this.#adviceByStep.keys().next()
      if (this.#adviceByStep.size > MAX_CACHED_STEPS && oldest.done !== true) this.#adviceByStep.delete(oldest.value)
      this.#options.onAdvice()
    })
  }
}
