/**
 * Decides which queued request of a service runs next, and which requests are refused.
 *
 * @module
 */
import type { RequestClass } from '@quillscale/model'

/** Properties of a request that admission depends on. @public */
export interface AdmissionRequest {
  readonly tenant: string
  readonly priority: RequestClass['priority']
  readonly weight: number
  /** Deadline on the same clock as `nowMs`. */
  readonly deadlineMs: number
}

/** Reason why a request was refused without being run. @public */
export type RefusalReason = 'overloaded' | 'deadline-not-run'

/** A request in the queue. @public */
export interface QueuedRequest<T> {
  readonly request: AdmissionRequest
  readonly item: T
  readonly enqueuedMs: number
}

/** Limits of one service's queue. @public */
export interface AdmissionOptions {
  /** Maximum number of queued requests; 256 by default. */
  readonly maxQueued: number
  /** Every n-th pick takes the lowest priority that has queued requests, so that it is not starved; 32 by default. */
  readonly lowestPriorityEvery: number
}

/** Default limits. @public */
export const ADMISSION_DEFAULTS: AdmissionOptions = { maxQueued: 256, lowestPriorityEvery: 32 }

const PRIORITIES: ReadonlyArray<RequestClass['priority']> = ['urgent', 'normal', 'batch']
const SMOOTHING = 0.05
const MIN_COST_MS = 0.05
/** Slot times vary, so a request is admitted only if this many times the estimated slot time remains after its estimated wait. */
const SERVICE_TIME_MARGIN = 3

interface TenantQueue<T> { readonly tenant: string, readonly waiting: Array<QueuedRequest<T>> }
interface TenantShare { virtualTimeMs: number, costMs: number, lastUsedMs: number }
const SHARE_RETENTION_MS = 60_000

/**
 * Queues the requests of one service at one entry host. Urgent requests run before normal ones and those before batch.
 * Within a priority, tenants share the slots by weighted fair queueing, measured in slot time rather than in requests.
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
  /** Moving average of the slot time of one request. */
  #serviceTimeMs = 0
  #lastCleanupMs = 0

  /** @param options - limits that override the defaults */
  constructor (options: Partial<AdmissionOptions> = {}) {
    this.#options = { ...ADMISSION_DEFAULTS, ...options }
  }

  /** Number of queued requests. */
  get length (): number {
    return this.#length
  }

  /** Estimated slot time of one request; 0 before the first completion. */
  get serviceTimeMs (): number {
    return this.#serviceTimeMs
  }

  /**
   * Estimates how long a request would be queued.
   *
   * @param priority - priority of the request
   * @param slots - slots of the service that this entry host may use
   * @returns the wait behind all queued requests of the same or a higher priority
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
   * Adds a request to the queue, unless it would miss its deadline, and evicts a request if the queue is full.
   *
   * @param request - properties that the decision depends on
   * @param item - returned with the request when it is dequeued or refused
   * @param slots - slots of the service that this entry host may use
   * @param nowMs - the current time
   * @returns the refused request, which is either the new or a queued one; `undefined` if none is refused
   */
  enqueue (request: AdmissionRequest, item: T, slots: number, nowMs: number): { refused: QueuedRequest<T>, reason: RefusalReason } | undefined {
    const added: QueuedRequest<T> = { request, item, enqueuedMs: nowMs }
    const ownQueue = this.#queueFor(request)
    const fairWaitMs = this.#fairWaitMs(request, ownQueue, slots)
    if (nowMs + fairWaitMs + SERVICE_TIME_MARGIN * this.#serviceTimeMs > request.deadlineMs) return { refused: added, reason: 'overloaded' }
    ownQueue.waiting.push(added)
    this.#length++
    if (this.#length <= this.#options.maxQueued) return undefined
    return { refused: this.#evict(), reason: 'overloaded' }
  }

  /**
   * Removes the request that runs next.
   *
   * @param nowMs - the current time
   * @returns the request to run, and the removed requests that can no longer meet their deadline
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
   * Removes queued requests, for example those whose caller has disconnected or whose deadline has become unreachable.
   *
   * @param isMatch - selects the requests to remove
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

  /**
   * Charges a tenant for a request that runs without having been queued.
   *
   * @param request - the request
   * @param nowMs - the current time
   */
  chargeUnqueued (request: AdmissionRequest, nowMs: number): void {
    this.#charge(request, nowMs)
  }

  /**
   * Updates the estimated slot time, and corrects the tenant's charge by the slot time that its request really used.
   *
   * @param request - the finished request
   * @param tookMs - slot time of the request
   */
  recordCompletion (request: AdmissionRequest, tookMs: number): void {
    this.#serviceTimeMs = this.#serviceTimeMs === 0 ? tookMs : this.#serviceTimeMs + SMOOTHING * (tookMs - this.#serviceTimeMs)
    const share = this.#shares.get(request.tenant)
    if (share === undefined) return
    share.virtualTimeMs += (tookMs - share.costMs) / request.weight
    share.costMs += 0.2 * (tookMs - share.costMs)
  }

  /** Estimates the wait behind the tenant's own requests at its share of the slots, at most the wait behind all requests. */
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

  /** Returns a tenant's share. A returning tenant starts at the current virtual time, so unused share doesn't accumulate. */
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
    if (nowMs - this.#lastCleanupMs < SHARE_RETENTION_MS) return
    this.#lastCleanupMs = nowMs
    for (const [tenant, share] of this.#shares) if (nowMs - share.lastUsedMs > SHARE_RETENTION_MS) this.#shares.delete(tenant)
  }

  #pickLevel (): Map<string, TenantQueue<T>> | undefined {
    const waiting = PRIORITIES.map((priority) => this.#queues.get(priority) as Map<string, TenantQueue<T>>).filter((level) => level.size > 0)
    const nonEmptyLevels = waiting.filter((level) => [...level.values()].some((queue) => queue.waiting.length > 0))
    this.#pickCount++
    return this.#pickCount % this.#options.lowestPriorityEvery === 0 ? nonEmptyLevels.at(-1) : nonEmptyLevels[0]
  }

  #pickTenant (level: Map<string, TenantQueue<T>>): TenantQueue<T> {
    let best: TenantQueue<T> | undefined
    for (const queue of level.values()) {
      if (queue.waiting.length === 0) continue
      if (best === undefined || this.#shareOf(queue.tenant).virtualTimeMs < this.#shareOf(best.tenant).virtualTimeMs) best = queue
    }
    return best as TenantQueue<T>
  }

  /** Removes the newest request of the tenant that has the most requests in the lowest queued priority. */
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
