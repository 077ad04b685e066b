/**
 * Joins the decisions of one service: which request goes next, to which target, and when a slot is borrowed.
 *
 * @module
 */
import { QuillscaleError, type HostId, type RequestClass } from '@quillscale/model'
import { AdmissionQueue, type AdmissionRequest, type QueuedRequest } from './AdmissionQueue.js'
import type { CallerConnection } from './CallerConnection.js'
import { chooseTarget } from './chooseTarget.js'
import { DemandEstimator } from './DemandEstimator.js'
import { RetryBudget } from './RetryBudget.js'
import { TargetState, type TargetAddress, type TargetResult } from './TargetState.js'

/** A slot of a target that a request holds. @public */
export interface HeldSlot {
  readonly state: TargetState
  readonly acquiredMs: number
}

/** Asks for a slot. @public */
export interface SlotRequest extends AdmissionRequest {
  /** Targets that this request tried already. */
  readonly excludedHostIds: ReadonlySet<HostId>
  /** Ends the wait when the caller is gone. */
  readonly caller?: CallerConnection | undefined
}

interface Waiter { request: SlotRequest, resolve: (slot: HeldSlot) => void, reject: (error: QuillscaleError) => void }

/** How one service is routed. @public */
export interface ServiceRouterOptions {
  readonly maxQueued?: number
  readonly nowMs: () => number
  readonly random: () => number
  /** Whether another entry host may lend slots; without it a service with no target of its own refuses at once. */
  readonly canBorrow?: () => boolean
  /** Called when requests wait and no slot is free, at most every `borrowPauseMs`. */
  readonly onSlotShortage?: (wanted: number) => void
}

const MIN_SHORTAGE_REPORT_INTERVAL_MS = 20
const MAX_SLOT_RELEASE_DELAY_MS = 2000
const DEFAULT_RETRY_AFTER_MS = 1000

/** Routes the requests of one service at one entry host. @public */
export class ServiceRouter {
  readonly retryBudget = new RetryBudget()
  readonly demand = new DemandEstimator()
  readonly #targets = new Map<HostId, TargetState>()
  readonly #queue: AdmissionQueue<Waiter>
  readonly #options: ServiceRouterOptions
  #states: TargetState[] = []
  #lastShortageMs = -Infinity

  /** @param options - limits and time */
  constructor (options: ServiceRouterOptions) {
    this.#options = options
    this.#queue = new AdmissionQueue(options.maxQueued === undefined ? {} : { maxQueued: options.maxQueued })
  }

  /** The targets it knows. */
  get targets (): readonly TargetState[] {
    return this.#states
  }

  /** How many requests wait. */
  get queued (): number {
    return this.#queue.length
  }

  /** Slots that are free and not needed here. */
  get spareSlots (): number {
    return this.#queue.length > 0 ? 0 : this.#states.reduce((sum, state) => sum + state.lendableSlots, 0)
  }

  /** Slots this entry host may use. */
  get usableSlots (): number {
    return this.#states.reduce((sum, state) => sum + (state.isLeaving ? 0 : state.usableSlots), 0)
  }

  /**
   * Sets the targets; known ones keep what was learned of them.
   *
   * @param targets - those in reach
   * @param share - this entry host's slots of each
   */
  setTargets (targets: ReadonlyArray<TargetAddress & { isLeaving: boolean }>, share: (target: TargetAddress) => number): void {
    const wanted = new Set(targets.map(({ hostId }) => hostId))
    for (const [hostId, state] of this.#targets) {
      if (!wanted.has(hostId) && state.borrowedSlots === 0) this.#targets.delete(hostId)
      else if (!wanted.has(hostId)) state.allottedSlots = 0
    }
    for (const { isLeaving, ...target } of targets) {
      const state = this.#stateOf(target)
      state.allottedSlots = share(target)
      state.isLeaving = isLeaving
    }
    this.#states = [...this.#targets.values()]
    this.dispatch()
  }

  /** @param hostId - the target's host @returns what is known of it */
  target (hostId: HostId): TargetState | undefined {
    return this.#targets.get(hostId)
  }

  /** @param target - where a borrowed slot is @param slots - how many were lent by another entry host */
  addBorrowedSlots (target: TargetAddress, slots: number): void {
    this.#stateOf(target).borrowedSlots += slots
    this.#states = [...this.#targets.values()]
    this.dispatch()
  }

  /**
   * Waits for a slot.
   *
   * @param request - who wants it
   * @returns the slot, to be given back with {@link release}
   * @throws QuillscaleError `no-target`, `overloaded`, `deadline-not-run` or `caller-gone`, all truly not run
   */
  acquire (request: SlotRequest): Promise<HeldSlot> {
    const nowMs = this.#options.nowMs()
    if (this.#queue.length === 0) {
      const state = chooseTarget(this.#states, request.excludedHostIds, nowMs, this.#options.random)
      if (state !== undefined) {
        this.#queue.chargeUnqueued(request, nowMs)
        return Promise.resolve(this.#occupySlot(state, nowMs))
      }
    }
    const hasUntriedTarget = this.#states.some((state) => !state.isLeaving && !request.excludedHostIds.has(state.target.hostId))
    if (!hasUntriedTarget && this.#options.canBorrow?.() !== true) return Promise.reject(new QuillscaleError('no-target', 'no target of the service is in service', { retryAfterMs: DEFAULT_RETRY_AFTER_MS }))
    return this.#enqueue(request, nowMs)
  }

  /**
   * Gives a slot back.
   *
   * @param slot - the slot
   * @param request - who had it
   * @param result - what became of the request
   */
  release (slot: HeldSlot, request: SlotRequest, result: TargetResult | 'not-sent'): void {
    const nowMs = this.#options.nowMs()
    const tookMs = nowMs - slot.acquiredMs
    if (result === 'answered') this.#queue.recordCompletion(request, tookMs)
    if (result !== 'not-sent') slot.state.recordResult(result, tookMs, nowMs)
    if (result === 'refused' || (result === 'failed' && nowMs >= request.deadlineMs)) {
      // The target is full, or goes on with what nobody waits for: the slot is not free yet, and trying it at once would
      // burn the retries of one request after the other.
      setTimeout(() => this.#freeSlot(slot), Math.min(MAX_SLOT_RELEASE_DELAY_MS, this.#queue.serviceTimeMs)).unref()
      return
    }
    this.#freeSlot(slot)
  }

  #freeSlot (slot: HeldSlot): void {
    slot.state.inFlight--
    this.dispatch()
  }

  /** Starts waiting requests while slots are free. */
  dispatch (): void {
    const nowMs = this.#options.nowMs()
    while (this.#queue.length > 0) {
      const available = chooseTarget(this.#states, new Set(), nowMs, this.#options.random)
      if (available === undefined) break
      const { next, expired } = this.#queue.dequeue(nowMs)
      for (const waiting of expired) this.#refuse(waiting, 'deadline-not-run')
      if (next === undefined) break
      // A target that was tried before is better than none: it may have been full only then.
      const state = chooseTarget(this.#states, next.item.request.excludedHostIds, nowMs, this.#options.random) ?? available
      next.item.resolve(this.#occupySlot(state, nowMs))
    }
    this.#reportShortage(nowMs)
  }

  /** Notes how much is asked for; called now and then. */
  sampleDemand (): void {
    const inUse = this.#states.reduce((sum, state) => sum + state.inFlight, 0)
    this.demand.addSample(inUse + this.#queue.length, this.#options.nowMs())
  }

  /** Refuses what can no longer meet its deadline; called now and then, so that refusals don't wait for a slot. */
  refuseExpired (): void {
    const nowMs = this.#options.nowMs()
    const late = this.#queue.removeMatching(({ request }) => nowMs + this.#queue.serviceTimeMs > request.deadlineMs)
    for (const waiting of late) this.#refuse(waiting, 'deadline-not-run')
  }

  /**
   * Takes free slots out of this entry host's share for another one.
   *
   * @param wanted - how many
   * @returns which slots were lent
   */
  lendSlots (wanted: number): Array<{ target: TargetAddress, slots: number }> {
    const lent: Array<{ target: TargetAddress, slots: number }> = []
    let left = Math.min(wanted, Math.ceil(this.spareSlots / 2))
    const nowMs = this.#options.nowMs()
    for (const state of [...this.#states].sort((a, b) => b.freeSlots - a.freeSlots)) {
      const free = state.lendableSlots
      if (left <= 0 || free === 0 || state.isEjected(nowMs)) continue
      const slots = Math.min(left, Math.ceil(free / 2))
      state.lentSlots += slots
      left -= slots
      lent.push({ target: state.target, slots })
    }
    return lent
  }

  /** @param hostId - the target's host @param slots - how many slots came back */
  restoreLentSlots (hostId: HostId, slots: number): void {
    const state = this.#targets.get(hostId)
    if (state === undefined) return
    state.lentSlots = Math.max(0, state.lentSlots - slots)
    this.dispatch()
  }

  /** @param hostId - the target's host @param slots - how many borrowed slots are given up, at most those that are idle @returns how many were */
  returnBorrowedSlots (hostId: HostId, slots: number): number {
    const state = this.#targets.get(hostId)
    if (state === undefined) return slots
    const idle = Math.max(0, state.usableSlots - state.inFlight)
    const returnedSlots = Math.min(slots, idle, state.borrowedSlots)
    state.borrowedSlots -= returnedSlots
    return returnedSlots
  }

  #enqueue (request: SlotRequest, nowMs: number): Promise<HeldSlot> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = { request, resolve, reject }
      const decision = this.#queue.enqueue(request, waiter, this.usableSlots, nowMs)
      if (decision !== undefined) this.#refuse(decision.refused, decision.reason)
      request.caller?.addDisconnectListener(() => this.#removeAbandoned(waiter))
      this.#reportShortage(nowMs)
    })
  }

  #removeAbandoned (waiter: Waiter): void {
    const removed = this.#queue.removeMatching((item) => item === waiter)
    for (const { item } of removed) item.reject(new QuillscaleError('caller-gone', 'the caller left while its request waited', { outcome: 'not-run' }))
  }

  #refuse (waiting: QueuedRequest<Waiter>, reason: 'overloaded' | 'deadline-not-run'): void {
    const slots = this.usableSlots
    const waitMs = this.#queue.estimateWaitMs(waiting.request.priority, slots)
    const retryAfterMs = Math.max(DEFAULT_RETRY_AFTER_MS, Math.ceil(waitMs))
    waiting.item.reject(new QuillscaleError(reason, `${this.#queue.length} requests wait for ${slots} slots`, { retryAfterMs }))
  }

  #reportShortage (nowMs: number): void {
    if (this.#queue.length === 0 || nowMs - this.#lastShortageMs < MIN_SHORTAGE_REPORT_INTERVAL_MS) return
    this.#lastShortageMs = nowMs
    this.#options.onSlotShortage?.(this.#queue.length)
  }

  #occupySlot (state: TargetState, nowMs: number): HeldSlot {
    state.inFlight++
    return { state, acquiredMs: nowMs }
  }

  #stateOf (target: TargetAddress): TargetState {
    const existing = this.#targets.get(target.hostId)
    const isSameAddress = existing?.target.address === target.address && existing.target.port === target.port
    if (existing !== undefined && isSameAddress) return existing
    const created = new TargetState(target)
    this.#targets.set(target.hostId, created)
    return created
  }
}

/** @param classes - a service's classes @param name - the wanted one, `undefined` for the first @returns it, `undefined` when there is none @public */
export function findRequestClass (classes: readonly RequestClass[], name: string | undefined): RequestClass | undefined {
  return name === undefined ? classes[0] : classes.find((candidate) => candidate.name === name)
}
