/**
 * Routes the requests of one service: which request runs next, on which target, and when slots are borrowed.
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

/** A slot of a target that a request occupies. @public */
export interface HeldSlot {
  readonly state: TargetState
  readonly acquiredMs: number
}

/** A request that needs a slot. @public */
export interface SlotRequest extends AdmissionRequest {
  /** Hosts of the targets that this request has already tried. */
  readonly excludedHostIds: ReadonlySet<HostId>
  /** Removes the request from the queue when its caller disconnects. */
  readonly caller?: CallerConnection | undefined
}

interface Waiter { request: SlotRequest, resolve: (slot: HeldSlot) => void, reject: (error: QuillscaleError) => void }

/** Settings and callbacks of a service's router. @public */
export interface ServiceRouterOptions {
  readonly maxQueued?: number
  readonly nowMs: () => number
  readonly random: () => number
  /** Whether another entry host may lend slots. If not, a request that has no target left to try is refused at once. */
  readonly canBorrow?: () => boolean
  /** Called with the number of queued requests when no slot is free for them, at most every 20 ms. */
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

  /** @param options - settings and callbacks */
  constructor (options: ServiceRouterOptions) {
    this.#options = options
    this.#queue = new AdmissionQueue(options.maxQueued === undefined ? {} : { maxQueued: options.maxQueued })
  }

  /** The targets of the service, including those on which slots are only borrowed. */
  get targets (): readonly TargetState[] {
    return this.#states
  }

  /** Number of queued requests. */
  get queued (): number {
    return this.#queue.length
  }

  /** Slots that may be lent to other entry hosts; none while requests are queued here. */
  get spareSlots (): number {
    return this.#queue.length > 0 ? 0 : this.#states.reduce((sum, state) => sum + state.lendableSlots, 0)
  }

  /** Slots that this entry host may use on targets that are not leaving. */
  get usableSlots (): number {
    return this.#states.reduce((sum, state) => sum + (state.isLeaving ? 0 : state.usableSlots), 0)
  }

  /**
   * Replaces the targets. Targets that remain keep their health estimates; removed ones stay while they have borrowed slots.
   *
   * @param targets - the reachable targets
   * @param share - returns how many of a target's slots this entry host may use
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

  /**
   * Looks up a target.
   *
   * @param hostId - host of the target
   * @returns the target's state, `undefined` if it is unknown
   */
  target (hostId: HostId): TargetState | undefined {
    return this.#targets.get(hostId)
  }

  /**
   * Adds slots that another entry host has lent, and starts queued requests on them.
   *
   * @param target - the target that the slots belong to
   * @param slots - number of borrowed slots
   */
  addBorrowedSlots (target: TargetAddress, slots: number): void {
    this.#stateOf(target).borrowedSlots += slots
    this.#states = [...this.#targets.values()]
    this.dispatch()
  }

  /**
   * Acquires a slot, queueing the request until one is free.
   *
   * @param request - the request that needs a slot
   * @returns the slot, which must be released with {@link release}
   * @throws QuillscaleError `no-target`, `overloaded`, `deadline-not-run` or `caller-gone`; in all cases the request has not been run
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
    if (!hasUntriedTarget && this.#options.canBorrow?.() !== true) return Promise.reject(new QuillscaleError('no-target', 'no target is left that the request could be sent to, and no slot can be borrowed', { retryAfterMs: DEFAULT_RETRY_AFTER_MS }))
    return this.#enqueue(request, nowMs)
  }

  /**
   * Releases a slot and records the result of its request.
   *
   * @param slot - the slot
   * @param request - the request that occupied it
   * @param result - result of the request at the target
   */
  release (slot: HeldSlot, request: SlotRequest, result: TargetResult | 'not-sent'): void {
    const nowMs = this.#options.nowMs()
    const tookMs = nowMs - slot.acquiredMs
    if (result === 'answered') this.#queue.recordCompletion(request, tookMs)
    if (result !== 'not-sent') slot.state.recordResult(result, tookMs, nowMs)
    if (result === 'refused' || (result === 'failed' && nowMs >= request.deadlineMs)) {
      // The target is full, or still runs a request whose deadline has passed. The slot is not free yet, and reusing it
      // at once would use up the retries of one request after the other.
      setTimeout(() => this.#freeSlot(slot), Math.min(MAX_SLOT_RELEASE_DELAY_MS, this.#queue.serviceTimeMs)).unref()
      return
    }
    this.#freeSlot(slot)
  }

  #freeSlot (slot: HeldSlot): void {
    slot.state.inFlight--
    this.dispatch()
  }

  /** Starts queued requests while slots are free. */
  dispatch (): void {
    const nowMs = this.#options.nowMs()
    while (this.#queue.length > 0) {
      const available = chooseTarget(this.#states, new Set(), nowMs, this.#options.random)
      if (available === undefined) break
      const { next, expired } = this.#queue.dequeue(nowMs)
      for (const waiting of expired) this.#refuse(waiting, 'deadline-not-run')
      if (next === undefined) break
      // If only targets are left that the request has already tried, it uses one again: it may have been full only then.
      const state = chooseTarget(this.#states, next.item.request.excludedHostIds, nowMs, this.#options.random) ?? available
      next.item.resolve(this.#occupySlot(state, nowMs))
    }
    this.#reportShortage(nowMs)
  }

  /** Adds the current demand to the demand estimate; called periodically. */
  sampleDemand (): void {
    const inUse = this.#states.reduce((sum, state) => sum + state.inFlight, 0)
    this.demand.addSample(inUse + this.#queue.length, this.#options.nowMs())
  }

  /** Refuses queued requests that can no longer meet their deadline. Called periodically, so that refusals don't wait for a free slot. */
  refuseExpired (): void {
    const nowMs = this.#options.nowMs()
    const late = this.#queue.removeMatching(({ request }) => nowMs + this.#queue.serviceTimeMs > request.deadlineMs)
    for (const waiting of late) this.#refuse(waiting, 'deadline-not-run')
  }

  /**
   * Lends free slots to another entry host, at most half of the spare ones, rounded up.
   *
   * @param wanted - number of slots that the other entry host asks for
   * @returns the lent slots by target
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

  /**
   * Takes back lent slots and starts queued requests on them.
   *
   * @param hostId - host of the target
   * @param slots - number of returned slots
   */
  restoreLentSlots (hostId: HostId, slots: number): void {
    const state = this.#targets.get(hostId)
    if (state === undefined) return
    state.lentSlots = Math.max(0, state.lentSlots - slots)
    this.dispatch()
  }

  /**
   * Gives up borrowed slots, at most the idle ones.
   *
   * @param hostId - host of the target
   * @param slots - number of slots to give up
   * @returns how many were given up; all of them if the target is unknown
   */
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
    for (const { item } of removed) item.reject(new QuillscaleError('caller-gone', 'the caller disconnected while its request was queued', { outcome: 'not-run' }))
  }

  #refuse (waiting: QueuedRequest<Waiter>, reason: 'overloaded' | 'deadline-not-run'): void {
    const slots = this.usableSlots
    const waitMs = this.#queue.estimateWaitMs(waiting.request.priority, slots)
    const retryAfterMs = Math.max(DEFAULT_RETRY_AFTER_MS, Math.ceil(waitMs))
    waiting.item.reject(new QuillscaleError(reason, `request not run: ${this.#queue.length} other requests are queued for ${slots} slots`, { retryAfterMs }))
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

/**
 * Finds a request class of a service by name.
 *
 * @param classes - request classes of the service
 * @param name - name of the class; `undefined` for the first class
 * @returns the class, `undefined` if there is none of that name
 * @public
 */
export function findRequestClass (classes: readonly RequestClass[], name: string | undefined): RequestClass | undefined {
  return name === undefined ? classes[0] : classes.find((candidate) => candidate.name === name)
}
