/**
 * Caches placement advice per step and requests missing advice, one call at a time.
 *
 * A call names only some workers. As long as a step waits, the others are asked about in further calls, whatever was answered for the first ones. Steps
 * take turns, so that none waits for ever behind those that are asked about again.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { PlacementAdvice } from '@quillscale/ports'
import type { Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { StepAdvice } from './StepAdvice.js'

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
/** While a step with tickets still waits, other workers are asked about at this interval. */
const FURTHER_CALL_MS = 500
/** Pause after a call that failed; the service refuses calls while too many wait. */
const RETRY_PAUSE_MS = 100
/** A step that has not wanted advice for so long does not wait any more. */
const WAITING_MS = 2000
/** A step that has not wanted advice for so long is forgotten. */
const FORGET_MS = 60_000
/** Limit of the cached advice for single workers; steps that have wanted none for the longest time are dropped first. */
const MAX_CACHED_WORKERS = 60_000

/** A step that wants advice. */
interface WaitingStep {
  readonly advice: StepAdvice
  /** Workers that could run the step, best first. */
  instanceIds: readonly string[]
  wantedMs: number
  /** Position in the last scheduling round, in which more urgent steps come first. */
  order: number
  askedMs: number
}

/** Caches placement advice for steps until it expires. @public */
export class PlacementAdviceCache {
  readonly #options: PlacementAdviceCacheOptions
  /** Ordered by the time at which they last wanted advice; the latest comes last. */
  readonly #steps = new Map<string, WaitingStep>()
  #cachedWorkers = 0
  #lastOrder = 0
  #isAsking = false
  #isClosed = false

  /** @param options - dependencies of the cache */
  constructor (options: PlacementAdviceCacheOptions) {
    this.#options = options
  }

  /**
   * Returns the tickets of the workers that may run a step, and requests further advice.
   *
   * @param task - a task of the step
   * @param instanceIds - workers that could run the task, best first
   * @param nowMs - monotonic time
   * @returns the ticket per worker, or `undefined` while there is no valid advice
   */
  ticketsFor (task: Task, instanceIds: readonly string[], nowMs: number): ReadonlyMap<string, string> | undefined {
    const { stepKey } = task
    const step = this.#steps.get(stepKey) ?? { advice: new StepAdvice(), instanceIds, wantedMs: nowMs, order: 0, askedMs: -Infinity }
    this.#steps.delete(stepKey)
    this.#steps.set(stepKey, step)
    Object.assign(step, { instanceIds, wantedMs: nowMs, order: ++this.#lastOrder })
    this.#askAfterRound()
    this.#dropOldSteps(nowMs)
    const tickets = step.advice.ticketsAt(nowMs)
    return tickets.size === 0 && step.advice.isMissingFor(instanceIds, nowMs) ? undefined : tickets
  }

  /** Drops a ticket that its worker refused. @param task - a task of the step @param instanceId - the worker */
  invalidate (task: Task, instanceId: string): void {
    this.#steps.get(task.stepKey)?.advice.expire(instanceId, this.#options.clock.monotonicMs())
  }

  /** Number of steps with advice, or that have wanted some lately. */
  get size (): number {
    return this.#steps.size
  }

  /** Stops requesting advice. */
  close (): void {
    this.#isClosed = true
  }

  /** Makes calls once all steps of the present scheduling round are known. */
  #askAfterRound (): void {
    if (this.#isAsking) return
    this.#isAsking = true
    queueMicrotask(() => { void this.#askWhileWanted() })
  }

  async #askWhileWanted (): Promise<void> {
    for (let call = this.#nextCall(); call !== undefined && !this.#isClosed; call = this.#nextCall()) {
      if (!await this.#ask(call)) await delay(RETRY_PAUSE_MS)
    }
    this.#isAsking = false
  }

  /** Selects the step that was asked about least recently, of several the most urgent one. */
  #nextCall (): AdviceCall | undefined {
    const nowMs = this.#options.clock.monotonicMs()
    let next: AdviceCall | undefined
    for (const [stepKey, step] of this.#steps) {
      const { advice, instanceIds, wantedMs, order, askedMs } = step
      const isLater = next !== undefined && (askedMs === next.step.askedMs ? order > next.step.order : askedMs > next.step.askedMs)
      if (isLater || nowMs - wantedMs > WAITING_MS) continue
      if (advice.ticketsAt(nowMs).size > 0 && nowMs - askedMs < FURTHER_CALL_MS) continue
      const workers = advice.nextWorkers(instanceIds, MAX_WORKERS, nowMs)
      if (workers.length > 0) next = { stepKey, step, workers }
    }
    return next
  }

  async #ask ({ stepKey, step, workers }: AdviceCall): Promise<boolean> {
    const { clock, advice, log, onAdvice } = this.#options
    const requestedMs = clock.monotonicMs()
    step.askedMs = requestedMs
    const answer = await advice.advise(stepKey, workers)
    if (answer.err) {
      log.info({ stepKey, error: answer.val }, 'placement advice could not be fetched')
      return false
    }
    const tickets = new Map(answer.val.workers.map(({ instanceId, ticket }) => [instanceId, ticket]))
    const before = step.advice.size
    step.advice.add(workers, tickets, requestedMs + answer.val.validMs - VALIDITY_MARGIN_MS, clock.monotonicMs())
    if (this.#steps.get(stepKey) === step) this.#cachedWorkers += step.advice.size - before
    onAdvice()
    return true
  }

  #dropOldSteps (nowMs: number): void {
    for (const [stepKey, { advice, wantedMs }] of this.#steps) {
      if ((this.#cachedWorkers <= MAX_CACHED_WORKERS || this.#steps.size === 1) && nowMs - wantedMs < FORGET_MS) return
      this.#steps.delete(stepKey)
      this.#cachedWorkers -= advice.size
    }
  }
}

interface AdviceCall { readonly stepKey: string, readonly step: WaitingStep, readonly workers: readonly string[] }
