/**
 * A key-value service whose answers are watched, so that requests need not wait for one that does not answer.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { CompareAndSwap, KeyValue, KeyValueStore, PlatformError, SwapOutcome, Transaction, TransactionOutcome, WatchEvents } from '@quillscale/ports'

/**
 * So many failures that no one cause explains must have come in a row, and no answer for so long; watches answer at least each
 * second. Calls that were under way together may all be lost with the connections they were on while new ones work: they count
 * as one. A call that began after the last failure was noticed is another; so is one that was asked again on a new connection.
 */
const FAILURES_IN_ROW = 2
const SILENT_MS = 800

/** The service, watched. @public */
export class MonitoredStore implements KeyValueStore {
  readonly #store: KeyValueStore
  readonly #clock: Clock
  #answeredMs: number
  #failures = 0
  #begun = 0
  /** How many calls had begun when the last failure was noticed. */
  #begunAtFailure = 0

  /** @param store - what is called @param clock - the present time */
  constructor (store: KeyValueStore, clock: Clock) {
    this.#store = store
    this.#clock = clock
    this.#answeredMs = clock.monotonicMs()
  }

  /** @param nowMs - monotonic @returns whether calls are likely to fail now */
  isUnresponsive (nowMs: number): boolean {
    return this.#failures >= FAILURES_IN_ROW && nowMs - this.#answeredMs > SILENT_MS
  }

  get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    return this.#note(this.#store.get(key))
  }

  list (prefix: string): Promise<Result<{ readonly items: readonly KeyValue[], readonly revision: number }, PlatformError>> {
    return this.#note(this.#store.list(prefix))
  }

  compareAndSwap (swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>> {
    return this.#note(this.#store.compareAndSwap(swap))
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.#note(this.#store.transact(transaction))
  }

  watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    return this.#note(this.#store.watch(prefix, afterRevision, timeoutMs))
  }

  grantLease (ttlMs: number): Promise<Result<string, PlatformError>> {
    return this.#note(this.#store.grantLease(ttlMs))
  }

  renewLease (leaseId: string): Promise<Result<boolean, PlatformError>> {
    return this.#note(this.#store.renewLease(leaseId))
  }

  revokeLease (leaseId: string): Promise<Result<void, PlatformError>> {
    return this.#note(this.#store.revokeLease(leaseId))
  }

  async #note<T> (call: Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const number = ++this.#begun
    const result = await call
    if (result.ok || result.val.kind === 'history-gone') {
      this.#failures = 0
      this.#answeredMs = this.#clock.monotonicMs()
    } else this.#noteFailure(number, result.val)
    return result
  }

  #noteFailure (number: number, { isAskedAgain }: PlatformError): void {
    const isAnother = this.#failures === 0 || number > this.#begunAtFailure
    if (isAnother) {
      this.#failures++
      this.#begunAtFailure = this.#begun
    }
    if (isAskedAgain === true) this.#failures = Math.max(this.#failures, FAILURES_IN_ROW)
  }
}
