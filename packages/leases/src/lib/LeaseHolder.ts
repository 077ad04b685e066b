/**
 * Holds one lease of the platform, and knows when it no longer may act under it.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore, PlatformError } from '@quillscale/ports'

/** How a lease is held. @public */
export interface LeaseHolderOptions {
  readonly key: string
  /** Written under the key with a number behind it, so that operators see who holds it. */
  readonly value: string
  readonly ttlMs: number
  readonly store: KeyValueStore
  readonly clock: Clock
  /** Whether it is worth trying now: without it every entry host would ask the platform all the time. */
  readonly mayAcquire: () => boolean
  /** Called when it becomes held and when it is lost. */
  readonly onChange?: (isHeld: boolean) => void
  /** Called with the fencing token when the lease is taken, with `undefined` once it is over for good; not when a grant pauses. */
  readonly onTenureChange?: (fencingToken: number | undefined) => void
  /** Called when the store did not do what was asked. */
  readonly onStoreError?: (what: string, error: PlatformError) => void
}

/** A right to act, to be checked right before each act. @public */
export interface LeaseGrant {
  /** Grows with each holder; the platform refuses acts with an older one. */
  readonly fencingToken: number
}

/** Share of the lease that is used: the rest covers a store whose clock runs ahead of this host's. */
const USABLE_TTL_RATIO = 0.9
/** Renewals in each lease, so that one lost answer does not end it. */
const RENEWALS_PER_TTL = 4
/** Looks at a vacant duty in each lease, besides those that {@link LeaseHolder.retryNow} asks for. */
const ATTEMPTS_PER_TTL = 6

/** Takes, renews and gives up one lease. @public */
export class LeaseHolder {
  readonly #options: LeaseHolderOptions
  #leaseId: string | undefined
  #fencingToken = 0
  /** By the most that may have passed, from before the renewal was sent: a pause of this process counts against it, and a suspension of its host. */
  #validUntilMs = -Infinity
  #wasHeld = false
  #tries = 0
  #endWait: () => void = () => {}

  /** @param options - which lease and how */
  constructor (options: LeaseHolderOptions) {
    this.#options = options
  }

  /**
   * Tells whether an act may be done now.
   *
   * @param nowMs - the present time, by the most that may have passed
   * @returns the grant, `undefined` when the lease is not held or may have lapsed
   */
  grantAt (nowMs: number): LeaseGrant | undefined {
    return nowMs < this.#validUntilMs ? { fencingToken: this.#fencingToken } : undefined
  }

  /** @param signal - ends the task, and gives the lease up */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#leaseId === undefined) await this.#tryAcquire()
      else void this.#renew(this.#leaseId)
      this.#notifyChange()
      await this.#waitForNextCycle(signal)
    }
    await this.release()
  }

  /** Looks at once whether the lease can be taken; for callers that saw it become vacant. */
  retryNow (): void {
    if (this.#leaseId === undefined) this.#endWait()
  }

  /** Gives the lease up, so that another may take it at once. */
  async release (): Promise<void> {
    const leaseId = this.#leaseId
    this.#handleLost()
    this.#notifyChange()
    if (leaseId === undefined) return
    const revocation = await this.#options.store.revokeLease(leaseId)
    if (revocation.err) this.#options.onStoreError?.('the lease could not be ended and will lapse', revocation.val)
  }

  async #waitForNextCycle (signal: AbortSignal): Promise<void> {
    const pauseMs = this.#options.ttlMs / (this.#leaseId === undefined ? ATTEMPTS_PER_TTL : RENEWALS_PER_TTL)
    const waitController = new AbortController()
    this.#endWait = () => waitController.abort()
    const stop = (): void => waitController.abort()
    signal.addEventListener('abort', stop, { once: true })
    await delay(signal.aborted ? 0 : pauseMs * (0.8 + Math.random() * 0.4), waitController.signal)
    signal.removeEventListener('abort', stop)
  }

  async #tryAcquire (): Promise<void> {
    const { store, clock, key, ttlMs, mayAcquire } = this.#options
    if (!mayAcquire()) return
    const startedMs = clock.latestMs()
    const lease = await store.grantLease(ttlMs)
    if (lease.err) {
      this.#options.onStoreError?.('no lease was granted', lease.val)
      return
    }
    // Each try writes another value: a key of an earlier try is not taken for this one's.
    const value = `${this.#options.value}#${++this.#tries}`
    const swap = await store.compareAndSwap({ key, expectedModRevision: 0, value, leaseId: lease.val })
    if (swap.ok && swap.val.swapped) {
      this.#handleAcquired(lease.val, swap.val.modRevision, startedMs)
      return
    }
    // A lost answer is resolved by reading: the key names this process, or the lease is ended.
    const current = swap.err ? await store.get(key) : undefined
    const isOwnValue = current?.ok === true && current.val?.value === value
    if (isOwnValue && current.val !== undefined) this.#handleAcquired(lease.val, current.val.modRevision, startedMs)
    else await store.revokeLease(lease.val)
  }

  /** Not waited for: one that gets no answer must not hold up the next. */
  async #renew (leaseId: string): Promise<void> {
    const startedMs = this.#options.clock.latestMs()
    const renewed = await this.#options.store.renewLease(leaseId)
    // It may have been given up meanwhile.
    if (this.#leaseId !== leaseId) return
    if (renewed.ok && renewed.val) this.#validUntilMs = Math.max(this.#validUntilMs, startedMs + this.#options.ttlMs * USABLE_TTL_RATIO)
    else if (renewed.ok) this.#handleLost()
    // Without an answer the lease is kept: the grant ends by itself, and comes back if the lease turns out to have waited.
    else this.#options.onStoreError?.('the lease was not renewed', renewed.val)
    this.#notifyChange()
  }

  #handleAcquired (leaseId: string, fencingToken: number, startedMs: number): void {
    this.#leaseId = leaseId
    this.#fencingToken = fencingToken
    this.#validUntilMs = startedMs + this.#options.ttlMs * USABLE_TTL_RATIO
    this.#options.onTenureChange?.(fencingToken)
  }

  #handleLost (): void {
    const wasHolder = this.#leaseId !== undefined
    this.#leaseId = undefined
    this.#validUntilMs = -Infinity
    if (wasHolder) this.#options.onTenureChange?.(undefined)
  }

  #notifyChange (): void {
    const isHeld = this.grantAt(this.#options.clock.latestMs()) !== undefined
    if (isHeld !== this.#wasHeld) this.#options.onChange?.(isHeld)
    this.#wasHeld = isHeld
  }
}
