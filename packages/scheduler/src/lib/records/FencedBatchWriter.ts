/**
 * Writes the records of a duty's holder in batches, one transaction at a time.
 *
 * Each transaction is conditional on the revision of the duty key, the fencing token, so that a deposed holder cannot write. It also
 * replaces the sequence number that the previous transaction left under the chain key. So a transaction whose answer was lost can be
 * sent again: it neither takes effect twice nor overwrites a newer one.
 *
 * A record that the store will never accept holds up no others: its batch is sent again record by record, and it is left out until its value changes.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import { MAX_TRANSACTION_ENTRIES, type KeyValue, type KeyValueStore, type PlatformError, type RevisionCondition, type Transaction } from '@quillscale/ports'

/** Options of {@link FencedBatchWriter}. @public */
export interface FencedBatchWriterOptions {
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly dutyKey: string
  /** Revision of the duty key since this holder took it: the fencing token. */
  readonly dutyRevision: number
  /** Key of the number of the last transaction. */
  readonly chainKey: string
  /** Revision of the chain key before the first transaction, 0 if it does not exist. */
  readonly chainRevision: number
  /** Duty revision of the holder that wrote last, if any did. */
  readonly previousDutyRevision?: number | undefined
  /** Called when another holder has taken over: this writer will write nothing more. */
  readonly onDeposed: () => void
  /** Called for each failed attempt. */
  readonly onStoreError: (error: PlatformError, transactionNumber: number) => void
  /** Called for each record that the store refuses as it is, with its size. */
  readonly onRefused?: (key: string, chars: number, error: PlatformError | undefined) => void
  /** Keep records out of the store that another party's record forbids; without them, a transaction depends on the duty alone. */
  readonly guards?: readonly WriteGuard[]
  /** Called for each transaction that took effect, with its number of records and its latency. */
  readonly onCommit?: (entries: number, latencyMs: number) => void
}

/** Records of other parties on which depends what a transaction may record. @public */
export interface WriteGuard {
  /** Returns the conditions under which the next transaction takes effect; called when it is built. */
  readonly conditions: () => readonly RevisionCondition[]
  /**
   * Called with the records of the conditions that did not hold. What they forbid must be withdrawn before this returns: the records are
   * then encoded again, or were written by an earlier attempt and would be acted on.
   */
  readonly onConflict: (items: readonly KeyValue[]) => void
}

/** The conditions of one guard on the transaction that is being sent. */
interface GuardedConditions { readonly guard: WriteGuard, readonly conditions: readonly RevisionCondition[] }

/** Encodes the value of a key when its transaction is built; `undefined` removes the key. @public */
export type RecordEncoder = () => string | undefined

/** Entries of each transaction besides the records: two conditions and the put of the chain key. */
const OVERHEAD_ENTRIES = 3
/** A tenth of what a 7 Mbit/s link, the slowest in use, carries within the call timeout of 0.9 s: the link has other traffic too. */
const MAX_BATCH_BYTES = 64 * 1024
/** How long records that nobody waits for are held back, so that later ones join their batch. */
const BATCH_DELAY_MS = 50
/** Minimum time from one transaction to the next: four schedulers then use at most two thirds of 400 writes/s, the rate of the smallest supported store. */
const MIN_TRANSACTION_INTERVAL_MS = 15
const INITIAL_BACKOFF_MS = 60
const MAX_BACKOFF_MS = 500

/**
 * Reads the duty revision from the value of a chain key.
 *
 * @param chainValue - the value of the chain key, `undefined` if it does not exist
 * @returns the duty revision of the holder that wrote it
 * @public
 */
export function readDutyRevision (chainValue: string | undefined): number | undefined {
  return chainValue === undefined ? undefined : Number(chainValue.split('.')[0])
}

/** A caller of {@link FencedBatchWriter.flushed}, and the sequence number up to which it waits. */
interface FlushWaiter { readonly sequence: number, readonly resolve: (isDurable: boolean) => void }
/** A record of the transaction that is being sent. */
interface EncodedRecord extends PendingRecord { readonly key: string, readonly value: string | undefined }
/** A record that is not yet part of a transaction. */
interface PendingRecord { readonly sequence: number, readonly source: RecordEncoder }

/** Batches records and writes them under the fencing token of a duty. @public */
export class FencedBatchWriter {
  readonly #options: FencedBatchWriterOptions
  readonly #pending = new Map<string, PendingRecord>()
  #waiters: FlushWaiter[] = []
  /** Chain values of rejected transactions of which an attempt without an answer may still take effect. */
  readonly #rejectedChainValues = new Set<string>()
  /** Values that the store refused, by key; they are not sent again. */
  readonly #refusedValues = new Map<string, string>()
  /** Keys of a refused batch, which are sent one at a time. */
  readonly #suspectKeys = new Set<string>()
  #lastRefusal: PlatformError | undefined
  /** Callers of {@link FencedBatchWriter.revisionAbove} that wait for the next transaction. */
  readonly #revisionWaiters: Array<() => void> = []
  #lastSequence = 0
  #inFlightSequence = Infinity
  #chainRevision: number
  /** The latest revision at which this holder certainly had the duty. The chain key may have been written by a later holder before it was first read. */
  #ownRevision: number
  #transactionNumber = 0
  #isClosed = false
  #isUrgent = false
  #wakeLoop: () => void = () => {}

  /** @param options - the store, the duty and the chain key to write under */
  constructor (options: FencedBatchWriterOptions) {
    this.#options = options
    this.#chainRevision = options.chainRevision
    this.#ownRevision = options.dutyRevision
  }

  /** Duty revision of the holder that wrote last before this one. */
  get previousDutyRevision (): number | undefined {
    return this.#options.previousDutyRevision
  }

  /**
   * Schedules a key to be written.
   *
   * @param key - key to write; a pending write of the same key is replaced
   * @param source - encodes the value when the transaction is built
   * @param isUrgent - whether to write it without the batch delay, as something waits for it
   */
  put (key: string, source: RecordEncoder, isUrgent = false): void {
    const sequence = this.#pending.get(key)?.sequence ?? ++this.#lastSequence
    this.#pending.set(key, { sequence, source })
    if (isUrgent) this.#isUrgent = true
    this.#wakeLoop()
  }

  /**
   * Waits until all records put so far are durable, apart from those that the store refuses.
   *
   * @param keys - keys of the records that the caller depends on
   * @returns true once they are durable, false if the store refuses one of them or this writer is closed before that
   */
  async flushed (keys: readonly string[] = []): Promise<boolean> {
    if (this.#isClosed) return false
    const isDurable = this.#oldestPending() === Infinity ||
      await new Promise<boolean>((resolve) => this.#waiters.push({ sequence: this.#lastSequence, resolve }))
    return isDurable && !keys.some((key) => this.#refusedValues.has(key))
  }

  /**
   * Waits for a revision of the store at which this holder still had the duty, so that the fencing token of each later holder is above it. Without records
   * to write, a transaction of its own yields one.
   *
   * @param revision - the revision to exceed
   * @returns the newer one; never resolves once this writer is closed
   */
  async revisionAbove (revision: number): Promise<number> {
    while (this.#ownRevision <= revision) {
      this.#isUrgent = true
      await new Promise<void>((resolve) => {
        this.#revisionWaiters.push(resolve)
        this.#wakeLoop()
      })
    }
    return this.#ownRevision
  }

  /**
   * Waits for {@link FencedBatchWriter.flushed}, but no longer than a timeout.
   *
   * @param timeoutMs - the timeout
   */
  async flushWithin (timeoutMs: number): Promise<void> {
    await Promise.race([this.flushed(), delay(timeoutMs)])
  }

  /** Stops writing; pending records are dropped. */
  close (): void {
    this.#isClosed = true
    for (const { resolve } of this.#waiters.splice(0)) resolve(false)
    this.#wakeLoop()
  }

  /** Writes batches until closed. */
  async run (): Promise<void> {
    while (!this.#isClosed) {
      if (this.#pending.size === 0 && this.#revisionWaiters.length === 0) {
        await new Promise<void>((resolve) => { this.#wakeLoop = resolve })
        continue
      }
      if (!this.#isUrgent) await this.#waitForMore()
      this.#isUrgent = false
      const startedMs = this.#options.clock.monotonicMs()
      await this.#commitBatch()
      // The records that did not fit into the batch may be urgent.
      if (this.#pending.size > 0) this.#isUrgent = true
      const tookMs = this.#options.clock.monotonicMs() - startedMs
      if (tookMs < MIN_TRANSACTION_INTERVAL_MS) await delay(MIN_TRANSACTION_INTERVAL_MS - tookMs)
    }
  }

  /** Waits for the batch delay, or until an urgent record is put or the writer is closed. */
  #waitForMore (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, BATCH_DELAY_MS)
      this.#wakeLoop = () => {
        if (!this.#isUrgent && !this.#isClosed) return
        clearTimeout(timer)
        resolve()
      }
    })
  }

  async #commitBatch (): Promise<void> {
    const guarded = (this.#options.guards ?? []).map((guard) => ({ guard, conditions: guard.conditions() }))
    const conditions = guarded.flatMap((each) => each.conditions)
    const batch = this.#nextBatch(conditions.length)
    if (batch.length === 0 && this.#revisionWaiters.length === 0) return this.#resolveWaiters()
    this.#inFlightSequence = Math.min(...batch.map(({ sequence }) => sequence))
    const transaction = this.#buildTransaction(batch, conditions, ++this.#transactionNumber)
    const startedMs = this.#options.clock.monotonicMs()
    const outcome = await this.#send(transaction, guarded)
    if (outcome === 'rejected') this.#restore(batch)
    if (outcome === 'refused') this.#isolate(batch)
    this.#inFlightSequence = Infinity
    if (outcome !== 'durable') return
    for (const { key } of batch) {
      this.#suspectKeys.delete(key)
      this.#refusedValues.delete(key)
    }
    this.#options.onCommit?.(batch.length, this.#options.clock.monotonicMs() - startedMs)
    this.#resolveWaiters()
    for (const resolve of this.#revisionWaiters.splice(0)) resolve()
  }

  /** Makes the records of a rejected transaction pending again, before all others, so that they are encoded anew. */
  #restore (batch: readonly EncodedRecord[]): void {
    const newer = [...this.#pending]
    this.#pending.clear()
    for (const { key, source, sequence } of batch) this.#pending.set(key, { source, sequence })
    for (const [key, { source, sequence }] of newer) this.#pending.set(key, { source, sequence: this.#pending.get(key)?.sequence ?? sequence })
  }

  /** After a refused transaction, sends its records one at a time; a record that is refused alone is left out. */
  #isolate (batch: readonly EncodedRecord[]): void {
    if (batch.length > 1) {
      for (const { key } of batch) this.#suspectKeys.add(key)
      return this.#restore(batch)
    }
    for (const { key, value = '' } of batch) {
      this.#suspectKeys.delete(key)
      this.#refusedValues.set(key, value)
      this.#options.onRefused?.(key, value.length, this.#lastRefusal)
    }
    this.#inFlightSequence = Infinity
    this.#resolveWaiters()
  }

  /** Takes the oldest records, up to the limits of a transaction in entries and bytes; at least one, unless the store refuses all. */
  #nextBatch (additionalConditions: number): EncodedRecord[] {
    const batch: EncodedRecord[] = []
    let bytes = 0
    const refused: string[] = []
    for (const [key, { sequence, source }] of this.#pending) {
      if (batch.length > 0 && this.#suspectKeys.has(key)) break
      const value = source()
      if (value !== undefined && this.#refusedValues.get(key) === value) {
        refused.push(key)
        continue
      }
      bytes += value?.length ?? 0
      if (batch.length > 0 && (bytes > MAX_BATCH_BYTES || batch.length >= MAX_TRANSACTION_ENTRIES - OVERHEAD_ENTRIES - additionalConditions)) break
      batch.push({ key, value, sequence, source })
      if (this.#suspectKeys.has(key)) break
    }
    for (const key of refused) this.#pending.delete(key)
    for (const { key } of batch) this.#pending.delete(key)
    return batch
  }

  #buildTransaction (batch: readonly EncodedRecord[], conditions: readonly RevisionCondition[], number: number): Transaction {
    const { dutyKey, dutyRevision, chainKey } = this.#options
    return {
      conditions: [{ key: dutyKey, modRevision: dutyRevision }, { key: chainKey, modRevision: this.#chainRevision }, ...conditions],
      puts: [{ key: chainKey, value: this.#chainValue(number) }, ...batch.flatMap(({ key, value }) => value === undefined ? [] : [{ key, value }])],
      removals: batch.flatMap(({ key, value }) => value === undefined ? [key] : [])
    }
  }

  #chainValue (number: number): string {
    return `${this.#options.dutyRevision}.${number}`
  }

  /**
   * Sends a transaction until its outcome is known. A conflict is a success if the chain key shows that an earlier attempt took effect. If
   * only conditions of guards conflict, nothing was written. If the chain key shows that an attempt of a transaction rejected before took effect
   * late, the records are written again on top of it. Any other conflict means that another holder has taken over.
   *
   * @param transaction - the transaction
   * @param guarded - the guards and their part of its conditions
   * @returns `durable` if it took effect, `rejected` if its records must be encoded and sent again, `refused` if the store will never accept it,
   *   `deposed` if nothing more may be written
   */
  async #send (transaction: Transaction, guarded: readonly GuardedConditions[]): Promise<'durable' | 'rejected' | 'refused' | 'deposed'> {
    const { store, onStoreError, onDeposed } = this.#options
    for (let backoffMs = INITIAL_BACKOFF_MS; !this.#isClosed; backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)) {
      const outcome = await store.transact(transaction)
      if (outcome.err) {
        if (outcome.val.kind === 'refused') {
          this.#rejectedChainValues.add(this.#chainValue(this.#transactionNumber))
          this.#lastRefusal = outcome.val
          return 'refused'
        }
        onStoreError(outcome.val, this.#transactionNumber)
        await delay(backoffMs)
        continue
      }
      if (outcome.val.committed) return this.#settle(outcome.val.modRevision)
      const resolved = this.#resolveConflict(outcome.val.current, guarded)
      if (resolved !== 'deposed') return resolved
      this.close()
      onDeposed()
    }
    return 'deposed'
  }

  #resolveConflict (current: readonly KeyValue[], guarded: readonly GuardedConditions[]): 'durable' | 'rejected' | 'deposed' {
    const { chainKey, dutyKey, dutyRevision } = this.#options
    if (!current.some(({ key, modRevision }) => key === dutyKey && modRevision === dutyRevision)) return 'deposed'
    const chain = current.find(({ key }) => key === chainKey)
    let isForbidden = false
    for (const { guard, conditions } of guarded) {
      const forbidding = current.filter((item) => conditions.some(({ key, modRevision }) => key === item.key && modRevision !== item.modRevision))
      if (forbidding.length === 0) continue
      // Records that took effect before are withdrawn too: their answer may come long after the forbidding record was written.
      guard.onConflict(forbidding)
      isForbidden = true
    }
    if (chain?.value === this.#chainValue(this.#transactionNumber)) return this.#settle(chain.modRevision)
    const isUnchanged = (chain?.modRevision ?? 0) === this.#chainRevision
    if (isUnchanged && isForbidden) {
      this.#rejectedChainValues.add(this.#chainValue(this.#transactionNumber))
      return 'rejected'
    }
    if (chain === undefined || !this.#rejectedChainValues.has(chain.value)) return 'deposed'
    this.#chainRevision = chain.modRevision
    return 'rejected'
  }

  #settle (chainRevision: number): 'durable' {
    this.#chainRevision = this.#ownRevision = chainRevision
    this.#rejectedChainValues.clear()
    return 'durable'
  }

  #oldestPending (): number {
    const first = this.#pending.values().next()
    return Math.min(this.#inFlightSequence, first.done === true ? Infinity : first.value.sequence)
  }

  #resolveWaiters (): void {
    const oldest = this.#oldestPending()
    const done = this.#waiters.filter(({ sequence }) => sequence < oldest)
    this.#waiters = this.#waiters.filter(({ sequence }) => sequence >= oldest)
    for (const { resolve } of done) resolve(true)
  }
}
