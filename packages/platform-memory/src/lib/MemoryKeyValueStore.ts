/**
 * A key-value service inside the process, for a first try on one machine and for tests.
 *
 * @module
 */
import { Ok, systemClock, type Clock, type Result } from '@quillscale/utils'
import type { CompareAndSwap, KeyValue, KeyValueStore, PlatformError, SwapOutcome, Transaction, TransactionOutcome, WatchEvents } from '@quillscale/ports'

interface StoredValue { value: string, modRevision: number, leaseId?: string | undefined }
interface Lease { ttlMs: number, expiresAtMs: number }
interface StoreEvent { key: string, value: string | undefined, modRevision: number }
interface Waiter { prefix: string, wake: () => void }

/** The largest value, in bytes. @public */
export const MAX_VALUE_BYTES = 1024 * 1024
const MAX_EVENTS_KEPT = 10_000

/** A copy of all values, as a backup would hold it. @public */
export type StoreSnapshot = ReadonlyArray<{ key: string, value: string }>

/** Keeps everything in memory. @public */
export class MemoryKeyValueStore implements KeyValueStore {
  readonly #values = new Map<string, StoredValue>()
  readonly #leases = new Map<string, Lease>()
  readonly #waiters = new Set<Waiter>()
  readonly #clock: Clock
  #events: StoreEvent[] = []
  #revision = 1
  #oldestEventRevision = 1
  #nextLease = 1

  /** @param clock - decides when leases end */
  constructor (clock: Clock = systemClock) {
    this.#clock = clock
  }

  async get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    this.#expireLeases()
    return Ok(this.#read(key))
  }

  async list (prefix: string): Promise<Result<{ items: readonly KeyValue[], revision: number }, PlatformError>> {
    this.#expireLeases()
    const items = [...this.#values.keys()].filter((key) => key.startsWith(prefix)).sort().map((key) => this.#read(key) as KeyValue)
    return Ok({ items, revision: this.#revision })
  }

  async compareAndSwap (swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>> {
    const { key, value, leaseId, expectedModRevision: modRevision } = swap
    const outcome = this.#apply({
      conditions: [{ key, modRevision }],
      puts: value === undefined ? [] : [{ key, value, leaseId }],
      removals: value === undefined ? [key] : []
    })
    if (outcome.committed) return Ok({ swapped: true, modRevision: outcome.modRevision })
    return Ok({ swapped: false, current: outcome.current[0] })
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return Ok(this.#apply(transaction))
  }

  async watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    this.#expireLeases()
    if (this.#eventsAfter(prefix, afterRevision).length === 0) await this.#wait(prefix, timeoutMs)
    this.#expireLeases()
    return Ok({ events: this.#eventsAfter(prefix, afterRevision), revision: this.#revision })
  }

  async grantLease (ttlMs: number): Promise<Result<string, PlatformError>> {
    const leaseId = String(this.#nextLease++)
    this.#leases.set(leaseId, { ttlMs, expiresAtMs: this.#clock.monotonicMs() + ttlMs })
    this.#expireAfter(ttlMs)
    return Ok(leaseId)
  }

  async renewLease (leaseId: string): Promise<Result<boolean, PlatformError>> {
    this.#expireLeases()
    const lease = this.#leases.get(leaseId)
    if (lease === undefined) return Ok(false)
    lease.expiresAtMs = this.#clock.monotonicMs() + lease.ttlMs
    this.#expireAfter(lease.ttlMs)
    return Ok(true)
  }

  async revokeLease (leaseId: string): Promise<Result<void, PlatformError>> {
    this.#endLease(leaseId)
    return Ok(undefined)
  }

  /** @returns all values, as a backup would hold them */
  snapshot (): StoreSnapshot {
    return [...this.#values].filter(([, stored]) => stored.leaseId === undefined).map(([key, stored]) => ({ key, value: stored.value }))
  }

  /** @param snapshot - an older copy that replaces all values without a lease */
  restore (snapshot: StoreSnapshot): void {
    const restored = new Set(snapshot.map((item) => item.key))
    for (const [key, stored] of [...this.#values]) {
      if (stored.leaseId === undefined && !restored.has(key)) this.#write(key, undefined)
    }
    for (const { key, value } of snapshot) this.#write(key, value)
  }

  #apply ({ conditions, puts, removals }: Transaction): TransactionOutcome {
    this.#expireLeases()
    const holds = conditions.every(({ key, modRevision }) => (this.#read(key)?.modRevision ?? 0) === modRevision)
    const areFit = puts.every(({ value, leaseId }) => Buffer.byteLength(value) <= MAX_VALUE_BYTES && (leaseId === undefined || this.#leases.has(leaseId)))
    if (!holds || !areFit) return { committed: false, current: conditions.flatMap(({ key }) => this.#read(key) ?? []) }
    this.#revision++
    for (const { key, value, leaseId } of puts) this.#store(key, value, leaseId)
    for (const key of removals) this.#store(key, undefined)
    return { committed: true, modRevision: this.#revision }
  }

  #read (key: string): KeyValue | undefined {
    const stored = this.#values.get(key)
    return stored === undefined ? undefined : { key, value: stored.value, modRevision: stored.modRevision }
  }

  #write (key: string, value: string | undefined, leaseId?: string): void {
    this.#revision++
    this.#store(key, value, leaseId)
  }

  /** Writes under the present revision. */
  #store (key: string, value: string | undefined, leaseId?: string): void {
    if (value === undefined) this.#values.delete(key)
    else this.#values.set(key, { value, modRevision: this.#revision, leaseId })
    this.#events.push({ key, value, modRevision: this.#revision })
    if (this.#events.length > MAX_EVENTS_KEPT) {
      this.#events = this.#events.slice(MAX_EVENTS_KEPT / 2)
      this.#oldestEventRevision = this.#events[0]?.modRevision ?? this.#revision
    }
    for (const waiter of [...this.#waiters]) if (key.startsWith(waiter.prefix)) waiter.wake()
  }

  /** A watcher that is too far behind gets the present values instead of the events between. */
  #eventsAfter (prefix: string, afterRevision: number): StoreEvent[] {
    if (afterRevision + 1 >= this.#oldestEventRevision) {
      return this.#events.filter((event) => event.modRevision > afterRevision && event.key.startsWith(prefix))
    }
    return [...this.#values].filter(([key, stored]) => key.startsWith(prefix) && stored.modRevision > afterRevision)
      .map(([key, stored]) => ({ key, value: stored.value, modRevision: stored.modRevision }))
  }

  #wait (prefix: string, timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(waiter)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      timer.unref()
      const waiter: Waiter = { prefix, wake }
      this.#waiters.add(waiter)
    })
  }

  /** Watchers hear of keys that lapse, also while nobody calls. */
  #expireAfter (ttlMs: number): void {
    setTimeout(() => this.#expireLeases(), ttlMs + 1).unref()
  }

  #expireLeases (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const [leaseId, lease] of [...this.#leases]) if (lease.expiresAtMs <= nowMs) this.#endLease(leaseId)
  }

  #endLease (leaseId: string): void {
    this.#leases.delete(leaseId)
    for (const [key, stored] of [...this.#values]) if (stored.leaseId === leaseId) this.#write(key, undefined)
  }
}
