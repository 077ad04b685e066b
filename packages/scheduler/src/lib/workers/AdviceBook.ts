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
export interface AdviceBookOptions {
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  /** Called when there is new advice. */
  readonly onAdvice: () => void
}

/** Advice this close to its end is not used: a start takes a while to arrive. */
const VALIDITY_MARGIN_MS = 500
/** More are not asked about in one call: its cost grows with each. */
const MAX_WORKERS_ASKED = 30
/** Calls that wait for their turn; further ones are asked for again in a later round. */
const MAX_QUEUED = 32
/** Steps remembered. */
const MAX_STEPS = 2000

interface Advice { readonly tickets: ReadonlyMap<string, string>, readonly validUntilMs: number }

/** The book. @public */
export class AdviceBook {
  readonly #options: AdviceBookOptions
  readonly #known = new Map<string, Advice>()
  readonly #asking = new Set<string>()
  #turn: Promise<void> = Promise.resolve()
  #isClosed = false

  /** @param options - what it works with */
  constructor (options: AdviceBookOptions) {
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
    const known = this.#known.get(stepKey)
    if (known !== undefined && nowMs < known.validUntilMs) return known.tickets
    if (this.#asking.size < MAX_QUEUED && !this.#asking.has(stepKey) && instanceIds.length > 0) this.#ask(stepKey, instanceIds.slice(0, MAX_WORKERS_ASKED))
    return undefined
  }

  /** @param task - whose ticket was refused */
  forget (task: Task): void {
    this.#known.delete(task.stepKey)
  }

  /** Asks nothing more. */
  close (): void {
    this.#isClosed = true
  }

  #ask (stepKey: string, instanceIds: readonly string[]): void {
    this.#asking.add(stepKey)
    this.#turn = this.#turn.then(async () => {
      if (this.#isClosed) return
      const askedMs = this.#options.clock.monotonicMs()
      const advice = await this.#options.advice.advise(stepKey, instanceIds)
      this.#asking.delete(stepKey)
      if (advice.err) {
        this.#options.log.info({ stepKey, error: advice.val }, 'no advice')
        return
      }
      const { workers, validMs } = advice.val
      const tickets = new Map(workers.map(({ instanceId, ticket }) => [instanceId, ticket]))
      this.#known.set(stepKey, { tickets, validUntilMs: askedMs + validMs - VALIDITY_MARGIN_MS })
      const oldest = this.#known.keys().next()
      if (this.#known.size > MAX_STEPS && oldest.done !== true) this.#known.delete(oldest.value)
      this.#options.onAdvice()
    })
  }
}
