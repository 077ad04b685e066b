/**
 * Wraps a key-value store and tracks whether it answers, so that requests can be refused at once while it does not.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { CompareAndSwap, KeyValue, KeyValueStore, PlatformError, SwapOutcome, Transaction, TransactionOutcome, WatchEvents } from '@quillscale/ports'

/**
 * The store counts as unresponsive after this many independent failures in a row. Calls that were in flight together may all be lost
 * with their connections while new connections work, so they count as one failure. A failed call is independent if it began after the
 * previous failure was noticed. A call that failed again on a new connection reaches the threshold alone.
 */
const FAILURE_THRESHOLD = 2
/** The store must also have given no answer for this long; watches answer at least once a second. */
const UNRESPONSIVE_AFTER_MS = 800

/** A key-value store that tracks whether the wrapped store answers. @public */
export class MonitoredStore implements KeyValueStore {
  readonly #store: KeyValueStore
  readonly #clock: Clock
  #lastAnswerMs: number
  #consecutiveFailures = 0
  #startedCalls = 0
  /** Number of calls that had begun when the last independent failure was noticed. */
  #startedCallsAtFailure = 0

  /**
   * @param store - the wrapped store
   * @param clock - source of the current time
   */
  constructor (store: KeyValueStore, clock: Clock) {
    this.#store = store
    this.#clock = clock
    this.#lastAnswerMs = clock.monotonicMs()
  }

  /**
   * Tells whether calls are likely to fail now.
   *
   * @param nowMs - the current monotonic time
   * @returns whether the store has failed repeatedly and not answered lately
   */
  isUnresponsive (nowMs: number): boolean {
    return this.#consecutiveFailures >= FAILURE_THRESHOLD && nowMs - this.#lastAnswerMs > UNRESPONSIVE_AFTER_MS
  }

  get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    return this.#monitor(this.#store.get(key))
  }

  list (prefix: string): Promise<Result<{ readonly items: readonly KeyValue[], readonly revision: number }, PlatformError>> {
    return this.#monitor(this.#store.list(prefix))
  }

  compareAndSwap (swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>> {
    return this.#monitor(this.#store.compareAndSwap(swap))
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.#monitor(this.#store.transact(transaction))
  }

  watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    return this.#monitor(this.#store.watch(prefix, afterRevision, timeoutMs))
  }

  grantLease (ttlMs: number): Promise<Result<string, PlatformError>> {
    return this.#monitor(this.#store.grantLease(ttlMs))
  }

  renewLease (leaseId: string): Promise<Result<boolean, PlatformError>> {
    return this.#monitor(this.#store.renewLease(leaseId))
  }

  revokeLease (leaseId: string): Promise<Result<void, PlatformError>> {
    return this.#monitor(this.#store.revokeLease(leaseId))
  }

  /** Awaits a call and updates the state of the store; an answer that the history is gone is an answer too. */
  async #monitor<T> (call: Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const number = ++this.#startedCalls
    const result = await call
    if (result.ok || result.val.kind === 'history-gone') {
      this.#consecutiveFailures = 0
      this.#lastAnswerMs = this.#clock.monotonicMs()
    } else this.#recordFailure(number, result.val)
    return result
  }

  #recordFailure (number: number, { wasRetried }: PlatformError): void {
    const isIndependent = this.#consecutiveFailures === 0 || number > this.#startedCallsAtFailure
    if (isIndependent) {
      this.#consecutiveFailures++
      this.#startedCallsAtFailure = this.#startedCalls
    }
    if (wasRetried === true) this.#consecutiveFailures = Math.max(this.#consecutiveFailures, FAILURE_THRESHOLD)
  }
}
