/**
 * The platform's key-value service as this system uses it: single keys, compare-and-swap, leases, long-poll watches.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'

/** A value with the revision of its last change. @public */
export interface KeyValue {
  readonly key: string
  /** Bytes that are no UTF-8 text come as the empty text, which is no record of ours. */
  readonly value: string
  /** Grows with each write to the service. */
  readonly modRevision: number
}

/**
 * Why a call failed. `unknown-effect`: no answer came, a write may have taken effect, now or seconds later. `unavailable`:
 * nothing was done. `history-gone`: a watch asked for changes that the service no longer keeps; list again.
 *
 * @public
 */
export interface PlatformError {
  readonly kind: 'unknown-effect' | 'unavailable' | 'history-gone'
  readonly detail: string
  /** Whether it was asked once more, on a connection opened later, and that was not answered either. */
  readonly wasRetried?: boolean
}

/** A write that happens only when the key was not changed meanwhile. @public */
export interface CompareAndSwap {
  readonly key: string
  /** The expected `modRevision`; 0 expects that the key does not exist. */
  readonly expectedModRevision: number
  /** The new value, at most 1 MB; `undefined` deletes the key. */
  readonly value: string | undefined
  /** The key goes when this lease ends. */
  readonly leaseId?: string | undefined
}

/** What became of a compare-and-swap. @public */
export type SwapOutcome =
  | { readonly swapped: true, readonly modRevision: number }
  | { readonly swapped: false, readonly current: KeyValue | undefined }

/** A write of several keys that happens whole or not at all. @public */
export interface Transaction {
  /** What must hold: each key's `modRevision`; 0 expects that the key does not exist. */
  readonly conditions: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string | undefined }>
  readonly removals: readonly string[]
}

/** The most conditions, puts and removals together in one transaction: the smallest limit among the platforms served. @public */
export const MAX_TRANSACTION_ENTRIES = 32

/** What became of a transaction; when its conditions did not hold, `current` has the keys among them that exist. @public */
export type TransactionOutcome =
  | { readonly committed: true, readonly modRevision: number }
  | { readonly committed: false, readonly current: readonly KeyValue[] }

/** The changes since a revision; `value` is `undefined` for a deleted key. @public */
export interface WatchEvents {
  readonly events: ReadonlyArray<{ readonly key: string, readonly value: string | undefined, readonly modRevision: number }>
  /** Where the next watch continues. */
  readonly revision: number
}

/** The platform's key-value service. Every call counts against its quota, a waiting watch as one. @public */
export interface KeyValueStore {
  /** @param key - its name @returns its value, `undefined` when there is none */
  get(key: string): Promise<Result<KeyValue | undefined, PlatformError>>
  /** @param prefix - the start of the keys @returns all keys below it and the revision they are from */
  list(prefix: string): Promise<Result<{ readonly items: readonly KeyValue[], readonly revision: number }, PlatformError>>
  /** @param swap - the write @returns whether it took effect */
  compareAndSwap(swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>>
  /** @param transaction - the writes and their conditions @returns whether they took effect */
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>
  /**
   * Waits for changes below a prefix.
   *
   * @param prefix - the start of the keys
   * @param afterRevision - changes up to this one are known
   * @param timeoutMs - how long to wait at most
   * @returns the changes, none when the time passed
   */
  watch(prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>>
  /** @param ttlMs - how long it lasts without renewal @returns the lease's id */
  grantLease(ttlMs: number): Promise<Result<string, PlatformError>>
  /** @param leaseId - the lease @returns false when it has lapsed */
  renewLease(leaseId: string): Promise<Result<boolean, PlatformError>>
  /** @param leaseId - the lease to end; its keys go */
  revokeLease(leaseId: string): Promise<Result<void, PlatformError>>
}
