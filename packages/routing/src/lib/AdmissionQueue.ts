/**
 * Decides which waiting request of a service goes next, and which is refused.
 *
 * @module
 */
import type { RequestClass } from '@quillscale/model'

/** What the decision needs to know of a request. @public */
export interface AdmissionRequest {
  readonly tenant: string
  readonly priority: RequestClass['priority']
  readonly weight: number
  /** On the same clock as `nowMs`. */
  readonly deadlineMs: number
}

/** Why a request was refused without being run. @public */
export type RefusalReason = 'overloaded' | 'deadline-not-run'

/** A waiting request. @public */
export interface QueuedRequest<T> {
  readonly request: AdmissionRequest
  readonly item: T
  readonly enqueuedMs: number
}

/** Limits of one service's queue. @public */
export interface AdmissionOptions {
  /** Requests that may wait; 256 by default. */
  readonly maxQueued: number
  /** One of this many picks goes to the lowest waiting priority, so that it is not starved for ever; 32 by default. */
  readonly lowestPriorityEvery: number
}

/** The documented defaults. @public */
export const ADMISSION_DEFAULTS: AdmissionOptions = { maxQueued: 256, lowestPriorityEvery: 32 }

const PRIORITIES: ReadonlyArray<RequestClass['priority']> = ['urgent', 'normal', 'batch']
const SMOOTHING = 0.05
const MIN_COST_MS = 0.05
/** Times vary: a request is let in only when it can take this many times the usual one. */
const SERVICE_TIME_MARGIN = 3

interface TenantQueue<T> { readonly tenant: string, readonly waiting: Array<QueuedRequest<T>> }
interface TenantShare { virtualTimeMs: number, costMs: number, lastUsedMs: number }
const SHARE_RETENTION_MS = 60_000

/**
 * Requests of one service that wait at one entry host: urgent before normal before batch, and within a priority each
 * tenant by its weight, measured in the slot time it used rather than in requests.
 *
 * @public
 */
export class AdmissionQueue<T> {
  readonly #options: AdmissionOptions
  readonly #queues = new Map<RequestClass['priority'], Map<string, TenantQueue<T>>>(PRIORITIES.map((priority) => [priority, new Map()]))
  readonly #shares = new Map<string, TenantShare>()
  #length = 0
  #pickCount = 0
  #virtualTimeMs = 0
  /** Estimated slot time of one request. */
  #serviceTimeMs = 0
  #lastSweepMs = 0

  /** @param options - limits, the defaults without them */
  constructor (options: Partial<AdmissionOptions> = {}) {
    this.#options = { ...ADMISSION_DEFAULTS, ...options }
  }

  /** How many requests wait. */
  get length (): number {
    return this.#length
  }

  /** Estimated slot time of one request, 0 before the first. */
  get serviceTimeMs (): number {
    return this.#serviceTimeMs
  }

  /**
   * Estimates how long a request would wait.
   *
   * @param priority - its priority
   * @param slots - how many slots the service has here
   * @returns the wait behind everything of its priority and above
   */
  estimateWaitMs (priority: RequestClass['priority'], slots: number): number {
    let ahead = 0
    for (const level of PRIORITIES) {
      for (const queue of this.#queues.get(level)?.values() ?? []) ahead += queue.waiting.length
      if (level === priority) break
    }
    return slots > 0 ? (ahead + 1) * this.#serviceTimeMs / slots : 0
  }

  /**
   * Takes a request in, or decides who must go.
   *
   * @param request - what the decision needs to know
   * @param item - handed back with the decision
   * @param slots - how many slots the service has here
   * @param nowMs - the present time
   * @returns the request that is refused, the new one or a waiting one in its place; `undefined` when none is
   */
  enqueue (request: AdmissionRequest, item: T, slots: number, nowMs: number): { refused: QueuedRequest<T>, reason: RefusalReason } | undefined {
    const arriving: QueuedRequest<T> = { request, item, enqueuedMs: nowMs }
    const ownQueue = this.#queueFor(request)
    const fairWaitMs = this.#fairWaitMs(request, ownQueue, slots)
    if (nowMs + fairWaitMs + SERVICE_TIME_MARGIN * this.#serviceTimeMs > request.deadlineMs) return { refused: arriving, reason: 'overloaded' }
    ownQueue.waiting.push(arriving)
    this.#length++
    if (this.#length <= this.#options.maxQueued) return undefined
    return { refused: this.#evict(), reason: 'overloaded' }
  }

  /**
   * Picks the request that goes next.
   *
   * @param nowMs - the present time
   * @returns the request to run and those that can no longer meet their deadline
   */
  dequeue (nowMs: number): { next: QueuedRequest<T> | undefined, expired: Array<QueuedRequest<T>> } {
    const expired: Array<QueuedRequest<T>> = []
    for (;;) {
      const level = this.#pickLevel()
      if (level === undefined) return { next: undefined, expired }
      const queue = this.#pickTenant(level)
      const waiting = queue.waiting.shift() as QueuedRequest<T>
      this.#removeIfEmpty(level, queue)
      this.#length--
      if (nowMs + this.#serviceTimeMs > waiting.request.deadlineMs) {
        expired.push(waiting)
        continue
      }
      this.#charge(waiting.request, nowMs)
      return { next: waiting, expired }
    }
  }

  /**
   * Notes that a request could not be started or was given up by its caller while it waited.
   *
   * @param isMatch - tells which
   * @returns the removed requests
   */
  removeMatching (isMatch: (item: T) => boolean): Array<QueuedRequest<T>> {
    const removed: Array<QueuedRequest<T>> = []
    for (const level of this.#queues.values()) {
      for (const queue of [...level.values()]) {
        const leaving = queue.waiting.filter(({ item }) => isMatch(item))
        if (leaving.length === 0) continue
        queue.waiting.splice(0, queue.waiting.length, ...queue.waiting.filter(({ item }) => !isMatch(item)))
        removed.push(...leaving)
        this.#removeIfEmpty(level, queue)
      }
    }
    this.#length -= removed.length
    return removed
  }

  /** @param request - a request that runs without having waited @param nowMs - the present time */
  chargeUnqueued (request: AdmissionRequest, nowMs: number): void {
    this.#charge(request, nowMs)
  }

  /**
   * Corrects a tenant's charge by what its request really used.
   *
   * @param request - the finished request
   * @param tookMs - its slot time
   */
  recordCompletion (request: AdmissionRequest, tookMs: number): void {
    this.#serviceTimeMs = this.#serviceTimeMs === 0 ? tookMs : this.#serviceTimeMs + SMOOTHING * (tookMs - this.#serviceTimeMs)
    const share = this.#shares.get(request.tenant)
    if (share === undefined) return
    share.virtualTimeMs += (tookMs - share.costMs) / request.weight
    share.costMs += 0.2 * (tookMs - share.costMs)
  }

  /** A tenant waits behind its own requests at its share of the slots, not behind everybody's. */
  #fairWaitMs (request: AdmissionRequest, ownQueue: TenantQueue<T>, slots: number): number {
    const overallMs = this.estimateWaitMs(request.priority, slots)
    const tenants = Math.max(1, this.#queues.get(request.priority)?.size ?? 1)
    const costMs = this.#shares.get(request.tenant)?.costMs ?? this.#serviceTimeMs
    const ownMs = slots > 0 ? (ownQueue.waiting.length + 1) * costMs * tenants / slots : 0
    return Math.min(overallMs, ownMs)
  }

  #queueFor (request: AdmissionRequest): TenantQueue<T> {
    const level = this.#queues.get(request.priority) as Map<string, TenantQueue<T>>
    const existing = level.get(request.tenant)
    if (existing !== undefined) return existing
    const created: TenantQueue<T> = { tenant: request.tenant, waiting: [] }
    level.set(request.tenant, created)
    this.#shareOf(request.tenant)
    return created
  }

  /** A tenant that comes back starts at the present virtual time: what it did not use it does not save up. */
  #shareOf (tenant: string): TenantShare {
    const existing = this.#shares.get(tenant)
    if (existing !== undefined) {
      existing.virtualTimeMs = Math.max(existing.virtualTimeMs, this.#virtualTimeMs)
      return existing
    }
    const created: TenantShare = { virtualTimeMs: this.#virtualTimeMs, costMs: this.#serviceTimeMs, lastUsedMs: 0 }
    this.#shares.set(tenant, created)
    return created
  }

  #charge (request: AdmissionRequest, nowMs: number): void {
    const share = this.#shareOf(request.tenant)
    this.#virtualTimeMs = Math.max(this.#virtualTimeMs, share.virtualTimeMs)
    share.virtualTimeMs += Math.max(share.costMs, MIN_COST_MS) / request.weight
    share.lastUsedMs = nowMs
    this.#removeIdleShares(nowMs)
  }

  #removeIdleShares (nowMs: number): void {
    if (nowMs - this.#lastSweepMs < SHARE_RETENTION_MS) return
    this.#lastSweepMs = nowMs
    for (const [tenant, share] of this.#shares) if (nowMs - share.lastUsedMs > SHARE_RETENTION_MS) this.#shares.delete(tenant)
  }

  #pickLevel (): Map<string, TenantQueue<T>> | undefined {
    const waiting = PRIORITIES.map((priority) => this.#queues.get(priority) as Map<string, TenantQueue<T>>).filter((level) => level.size > 0)
    const hasQueued = waiting.filter((level) => [...level.values()].some((queue) => queue.waiting.length > 0))
    this.#pickCount++
    return this.#pickCount % this.#options.lowestPriorityEvery === 0 ? hasQueued.at(-1) : hasQueued[0]
  }

  #pickTenant (level: Map<string, TenantQueue<T>>): TenantQueue<T> {
    let best: TenantQueue<T> | undefined
    for (const queue of level.values()) {
      if (queue.waiting.length === 0) continue
      if (best === undefined || this.#shareOf(queue.tenant).virtualTimeMs < this.#shareOf(best.tenant).virtualTimeMs) best = queue
    }
    return best as TenantQueue<T>
  }

  /** The newest request of the tenant with most requests in the lowest priority goes. */
  #evict (): QueuedRequest<T> {
    const level = [...PRIORITIES].reverse().map((priority) => this.#queues.get(priority) as Map<string, TenantQueue<T>>)
      .find((queues) => [...queues.values()].some((queue) => queue.waiting.length > 0)) as Map<string, TenantQueue<T>>
    const longest = [...level.values()].reduce((a, b) => b.waiting.length > a.waiting.length ? b : a)
    const refused = longest.waiting.pop() as QueuedRequest<T>
    this.#removeIfEmpty(level, longest)
    this.#length--
    return refused
  }

  #removeIfEmpty (level: Map<string, TenantQueue<T>>, queue: TenantQueue<T>): void {
    if (queue.waiting.length === 0) level.delete(queue.tenant)
  }
}
