/**
 * Interface to the platform's key-value store: reads, compare-and-swap, transactions, leases and long-poll watches.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'

/** A key with its value and the revision of its last change. @public */
export interface KeyValue {
  readonly key: string
  /** A value that is not valid UTF-8 is returned as the empty string, which is never a valid record. */
  readonly value: string
  /** The store's revision at the last change of the key; it increases with every write to the store. */
  readonly modRevision: number
}

/**
 * Why a call failed. `unknown-effect`: no response came, and a write may have taken effect or may still do so seconds later. `unavailable`:
 * the call had no effect. `refused`: it had none, and the store will never accept it as it is, for example because a value is too large.
 * `history-gone`: the store no longer keeps the changes that a watch asked for, so the caller has to list the keys again.
 *
 * @public
 */
export interface PlatformError {
  readonly kind: 'unknown-effect' | 'unavailable' | 'refused' | 'history-gone'
  readonly detail: string
  /** Whether the call was repeated on a connection opened later, and got no response there either. */
  readonly wasRetried?: boolean
}

/** A write that takes effect only if the key has not changed since it was read. @public */
export interface CompareAndSwap {
  readonly key: string
  /** The expected `modRevision`; 0 expects that the key does not exist. */
  readonly expectedModRevision: number
  /** The new value, at most 1 MB; `undefined` deletes the key. */
  readonly value: string | undefined
  /** The lease that the key is attached to; the key is deleted when the lease ends. */
  readonly leaseId?: string | undefined
}

/** The outcome of a compare-and-swap; if it did not take effect, `current` is the present entry of the key. @public */
export type SwapOutcome =
  | { readonly swapped: true, readonly modRevision: number }
  | { readonly swapped: false, readonly current: KeyValue | undefined }

/** The expected `modRevision` of a key; 0 expects that the key does not exist. @public */
export interface RevisionCondition { readonly key: string, readonly modRevision: number }

/** An atomic, conditional write of several keys. @public */
export interface Transaction {
  readonly conditions: readonly RevisionCondition[]
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string | undefined }>
  readonly removals: readonly string[]
}

/** The most conditions, puts and removals in one transaction, taken together: the smallest limit among the supported platforms. @public */
export const MAX_TRANSACTION_ENTRIES = 32

/** The outcome of a transaction; if a condition did not hold, `current` has the present entries of those condition keys that exist. @public */
export type TransactionOutcome =
  | { readonly committed: true, readonly modRevision: number }
  | { readonly committed: false, readonly current: readonly KeyValue[] }

/** The changes after a revision; `value` is `undefined` for a deleted key. @public */
export interface WatchEvents {
  readonly events: ReadonlyArray<{ readonly key: string, readonly value: string | undefined, readonly modRevision: number }>
  /** The revision after which the next watch continues. */
  readonly revision: number
}

/** The platform's key-value store. Every call counts against the store's call quota; a waiting watch counts as one call. @public */
export interface KeyValueStore {
  /** @param key - the key @returns its entry, `undefined` if the key does not exist */
  get(key: string): Promise<Result<KeyValue | undefined, PlatformError>>
  /** @param prefix - the key prefix @returns all entries with this prefix and the revision at which they were read */
  list(prefix: string): Promise<Result<{ readonly items: readonly KeyValue[], readonly revision: number }, PlatformError>>
  /** @param swap - the write and its condition @returns whether it took effect */
  compareAndSwap(swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>>
  /** @param transaction - the writes and their conditions @returns whether they took effect */
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>
  /**
   * Waits for changes of keys with a prefix.
   *
   * @param prefix - the key prefix
   * @param afterRevision - only changes after this revision are returned
   * @param timeoutMs - the longest time to wait
   * @returns the changes; none if the timeout passed
   */
  watch(prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>>
  /** @param ttlMs - how long the lease lasts without renewal @returns the id of the lease */
  grantLease(ttlMs: number): Promise<Result<string, PlatformError>>
  /** @param leaseId - the lease to renew @returns false if it has expired */
  renewLease(leaseId: string): Promise<Result<boolean, PlatformError>>
  /** @param leaseId - the lease to end; the keys attached to it are deleted */
  revokeLease(leaseId: string): Promise<Result<void, PlatformError>>
}
