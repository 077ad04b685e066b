/**
 * Caches placement advice per step and requests missing advice, one call at a time.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { PlacementAdvice } from '@quillscale/ports'
import type { Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** Dependencies of a {@link PlacementAdviceCache}. @public */
export interface PlacementAdviceCacheOptions {
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  /** Called when new advice has arrived. */
  readonly onAdvice: () => void
}

/** Advice is treated as expired this long before its end, because a start order takes a while to reach the worker. */
const VALIDITY_MARGIN_MS = 500
/** Limit of the workers in one call, whose cost grows with each of them. */
const MAX_WORKERS = 30
/** Limit of queued calls; requests beyond it are dropped and repeated in a later scheduling round. */
const MAX_PENDING = 32
const MAX_CACHED_STEPS = 2000

interface Advice { readonly tickets: ReadonlyMap<string, string>, readonly validUntilMs: number }

/** Caches placement advice for steps until it expires. @public */
export class PlacementAdviceCache {
  readonly #options: PlacementAdviceCacheOptions
  readonly #adviceByStep = new Map<string, Advice>()
  readonly #pending = new Set<string>()
  #lastCall: Promise<void> = Promise.resolve()
  #isClosed = false

  /** @param options - dependencies of the cache */
  constructor (options: PlacementAdviceCacheOptions) {
    this.#options = options
  }

  /**
   * Returns the tickets of the workers that may run a step, and requests advice if no valid advice is cached.
   *
   * @param task - a task of the step
   * @param instanceIds - workers that could run the task, best first
   * @param nowMs - monotonic time
   * @returns the ticket per worker, or `undefined` while there is no valid advice
   */
  ticketsFor (task: Task, instanceIds: readonly string[], nowMs: number): ReadonlyMap<string, string> | undefined {
    const { stepKey } = task
    const cached = this.#adviceByStep.get(stepKey)
    if (cached !== undefined && nowMs < cached.validUntilMs) return cached.tickets
    if (this.#pending.size < MAX_PENDING && !this.#pending.has(stepKey) && instanceIds.length > 0) this.#request(stepKey, instanceIds.slice(0, MAX_WORKERS))
    return undefined
  }

  /** Removes the cached advice of a step. @param task - the task whose ticket was refused */
  invalidate (task: Task): void {
    this.#adviceByStep.delete(task.stepKey)
  }

  /** Stops requesting advice. */
  close (): void {
    this.#isClosed = true
  }

  #request (stepKey: string, instanceIds: readonly string[]): void {
    this.#pending.add(stepKey)
    this.#lastCall = this.#lastCall.then(async () => {
      if (this.#isClosed) return
      const requestedMs = this.#options.clock.monotonicMs()
      const advice = await this.#options.advice.advise(stepKey, instanceIds)
      this.#pending.delete(stepKey)
      if (advice.err) {
        this.#options.log.info({ stepKey, error: advice.val }, 'placement advice could not be fetched')
        return
      }
      const { workers, validMs } = advice.val
      const tickets = new Map(workers.map(({ instanceId, ticket }) => [instanceId, ticket]))
      this.#adviceByStep.set(stepKey, { tickets, validUntilMs: requestedMs + validMs - VALIDITY_MARGIN_MS })
      const oldest = this.#adviceByStep.keys().next()
      if (this.#adviceByStep.size > MAX_CACHED_STEPS && oldest.done !== true) this.#adviceByStep.delete(oldest.value)
      this.#options.onAdvice()
    })
  }
}
