/**
 * Holds one lease of the platform's key-value store and tracks until when its holder may act.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore, PlatformError } from '@quillscale/ports'

/** Options of a {@link LeaseHolder}. @public */
export interface LeaseHolderOptions {
  readonly key: string
  /** The value of the key, to which an attempt number is appended, so that operators can see who holds the lease. */
  readonly value: string
  readonly ttlMs: number
  readonly store: KeyValueStore
  readonly clock: Clock
  /** Whether an attempt is worthwhile now; otherwise every entry host would poll the platform all the time. */
  readonly mayAcquire: () => boolean
  /** Called whenever the grant starts or stops being valid. */
  readonly onChange?: (isHeld: boolean) => void
  /** Called with the fencing token when the lease is acquired, and with `undefined` once it is lost for good, but not when the grant is only interrupted. */
  readonly onTenureChange?: (fencingToken: number | undefined) => void
  /** Called with a log message when a call to the store failed. */
  readonly onStoreError?: (message: string, error: PlatformError) => void
}

/** Permission to act as the lease's holder. Callers have to check it right before each action. @public */
export interface LeaseGrant {
  /** Increases with each holder; the platform refuses orders with an older token. */
  readonly fencingToken: number
}

/** The share of the lease duration for which the grant is valid; the rest covers a store whose clock runs faster than this host's. */
const USABLE_TTL_RATIO = 0.9
/** More than one renewal per lease duration, so that a single lost response does not end the lease. */
const RENEWALS_PER_TTL = 4
/** Attempts to acquire a vacant lease per lease duration, in addition to those that {@link LeaseHolder.retryNow} triggers. */
const ATTEMPTS_PER_TTL = 6

/** Acquires, renews and releases one lease. @public */
export class LeaseHolder {
  readonly #options: LeaseHolderOptions
  #leaseId: string | undefined
  #fencingToken = 0
  /**
   * When the grant ends, by `Clock.latestMs`. Measured from before the renewal was sent, so that pauses of this process and suspensions of its host
   * shorten the grant.
   */
  #validUntilMs = -Infinity
  #wasHeld = false
  #tries = 0
  #endWait: () => void = () => {}

  /** @param options - the lease and its callbacks */
  constructor (options: LeaseHolderOptions) {
    this.#options = options
  }

  /**
   * Returns the grant if the holder may act now.
   *
   * @param nowMs - the current time, by `Clock.latestMs`
   * @returns the grant, `undefined` if the lease is not held or may have expired
   */
  grantAt (nowMs: number): LeaseGrant | undefined {
    return nowMs < this.#validUntilMs ? { fencingToken: this.#fencingToken } : undefined
  }

  /** @param signal - stops the loop and releases the lease */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#leaseId === undefined) await this.#tryAcquire()
      else void this.#renew(this.#leaseId)
      this.#notifyChange()
      await this.#waitForNextCycle(signal)
    }
    await this.release()
  }

  /** Tries to acquire the lease immediately; for callers that saw it become vacant. */
  retryNow (): void {
    if (this.#leaseId === undefined) this.#endWait()
  }

  /** Releases the lease, so that another host can acquire it immediately. */
  async release (): Promise<void> {
    const leaseId = this.#leaseId
    this.#handleLost()
    this.#notifyChange()
    if (leaseId === undefined) return
    const revocation = await this.#options.store.revokeLease(leaseId)
    if (revocation.err) this.#options.onStoreError?.('the lease could not be revoked and will expire by itself', revocation.val)
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
      this.#options.onStoreError?.('the store did not grant a lease', lease.val)
      return
    }
    // Each attempt writes a different value, so that a key written by an earlier attempt is not mistaken for this one's.
    const value = `${this.#options.value}#${++this.#tries}`
    const swap = await store.compareAndSwap({ key, expectedModRevision: 0, value, leaseId: lease.val })
    if (swap.ok && swap.val.swapped) {
      this.#handleAcquired(lease.val, swap.val.modRevision, startedMs)
      return
    }
    // If the response was lost, reading the key shows whether this attempt's write took effect. If it did not, the lease is revoked.
    const current = swap.err ? await store.get(key) : undefined
    const isOwnValue = current?.ok === true && current.val?.value === value
    if (isOwnValue && current.val !== undefined) this.#handleAcquired(lease.val, current.val.modRevision, startedMs)
    else await store.revokeLease(lease.val)
  }

  /** Callers do not await this, because a renewal without a response must not delay the next one. */
  async #renew (leaseId: string): Promise<void> {
    const startedMs = this.#options.clock.latestMs()
    const renewed = await this.#options.store.renewLease(leaseId)
    // The lease may have been released in the meantime.
    if (this.#leaseId !== leaseId) return
    if (renewed.ok && renewed.val) this.#validUntilMs = Math.max(this.#validUntilMs, startedMs + this.#options.ttlMs * USABLE_TTL_RATIO)
    else if (renewed.ok) this.#handleLost()
    // Without a response the lease is kept: the grant runs out by itself, and becomes valid again if a later renewal shows that the lease still exists.
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
