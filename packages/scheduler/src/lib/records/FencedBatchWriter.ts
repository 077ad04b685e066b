/**
 * Writes a scheduler's records in batches, one transaction at a time.
 *
 * Each transaction carries the duty's revision, so that a deposed scheduler cannot write, and replaces the number of the one
 * before, so that one whose answer was lost can be sent again without taking effect twice or over a newer one.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import { MAX_TRANSACTION_ENTRIES, type KeyValueStore, type PlatformError, type Transaction } from '@quillscale/ports'

/** What a commit log writes under. @public */
export interface FencedBatchWriterOptions {
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly dutyKey: string
  readonly dutyRevision: number
  readonly chainKey: string
  readonly chainRevision: number
  /** Of the holder that wrote last, if any did. */
  readonly previousDutyRevision?: number | undefined
  /** Called when another holder has taken over: nothing of this log will be written any more. */
  readonly onDeposed: () => void
  /** Called for each try that failed. */
  readonly onStoreError: (error: PlatformError, transactionNumber: number) => void
  /** Called for each transaction that took effect. */
  readonly onCommit?: (entries: number, latencyMs: number) => void
}

/** A value to be written, encoded when its transaction is made; `undefined` removes the key. @public */
export type RecordEncoder = () => string | undefined

/** Two conditions and the chain's own put. */
const BOOKKEEPING_ENTRIES = 3
/** A tenth of what the slowest of the users' links, 7 Mbit/s, carries before a call is given up (0.9 s), as the link has other work too. */
const MAX_BATCH_BYTES = 64 * 1024
/** What nobody waits for is written this much later, together with what comes meanwhile. */
const PATIENT_MS = 50
/** Between transactions: four schedulers at this pace stay within two thirds of 400 writes a second, the smallest store served. */
const MIN_SPACING_MS = 15
const RETRY_FIRST_MS = 60
const RETRY_MAX_MS = 500

/** @param chainValue - as a log writes it with each transaction @returns the duty's revision of that log @public */
export function readDutyRevision (chainValue: string | undefined): number | undefined {
  return chainValue === undefined ? undefined : Number(chainValue.split('.')[0])
}

interface Waiter { readonly sequence: number, readonly resolve: (isDurable: boolean) => void }
interface Encoded { readonly key: string, readonly value: string | undefined, readonly sequence: number }
interface Dirty { readonly sequence: number, readonly source: RecordEncoder }

/** The log. @public */
export class FencedBatchWriter {
  readonly #options: FencedBatchWriterOptions
  readonly #dirty = new Map<string, Dirty>()
  readonly #waiters: Waiter[] = []
  #sequence = 0
  #inFlightSequence = Infinity
  #chainRevision: number
  #number = 0
  #isClosed = false
  #isUrgent = false
  #wake: () => void = () => {}

  /** @param options - where and under which duty */
  constructor (options: FencedBatchWriterOptions) {
    this.#options = options
    this.#chainRevision = options.chainRevision
  }

  /** The duty's revision under which anything was written last, before this log. */
  get previousDutyRevision (): number | undefined {
    return this.#options.previousDutyRevision
  }

  /** @param key - to be written soon @param source - gives its value then @param isUrgent - whether something waits for it */
  put (key: string, source: RecordEncoder, isUrgent = false): void {
    const sequence = this.#dirty.get(key)?.sequence ?? ++this.#sequence
    this.#dirty.set(key, { sequence, source })
    if (isUrgent) this.#isUrgent = true
    this.#wake()
  }

  /** @returns true once all that was put so far is durable, false if it never will be by this log */
  flushed (): Promise<boolean> {
    if (this.#isClosed) return Promise.resolve(false)
    if (this.#oldestPending() === Infinity) return Promise.resolve(true)
    return new Promise((resolve) => this.#waiters.push({ sequence: this.#sequence, resolve }))
  }

  /** @param timeoutMs - the longest that the caller waits for {@link flushed} */
  async flushWithin (timeoutMs: number): Promise<void> {
    await Promise.race([this.flushed(), delay(timeoutMs)])
  }

  /** Writes nothing more. */
  close (): void {
    this.#isClosed = true
    for (const { resolve } of this.#waiters.splice(0)) resolve(false)
    this.#wake()
  }

  /** Writes until closed. */
  async run (): Promise<void> {
    while (!this.#isClosed) {
      if (this.#dirty.size === 0) {
        await new Promise<void>((resolve) => { this.#wake = resolve })
        continue
      }
      if (!this.#isUrgent) await this.#bePatient()
      this.#isUrgent = false
      const startedMs = this.#options.clock.monotonicMs()
      await this.#commitBatch()
      // What did not fit may have been urgent.
      if (this.#dirty.size > 0) this.#isUrgent = true
      const tookMs = this.#options.clock.monotonicMs() - startedMs
      if (tookMs < MIN_SPACING_MS) await delay(MIN_SPACING_MS - tookMs)
    }
  }

  /** Waits a while, or until something urgent is put. */
  #bePatient (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, PATIENT_MS)
      this.#wake = () => {
        if (!this.#isUrgent && !this.#isClosed) return
        clearTimeout(timer)
        resolve()
      }
    })
  }

  async #commitBatch (): Promise<void> {
    const batch = this.#takeBatch()
    this.#inFlightSequence = Math.min(...batch.map(({ sequence }) => sequence))
    const transaction = this.#transactionOf(batch, ++this.#number)
    const startedMs = this.#options.clock.monotonicMs()
    const isDurable = await this.#send(transaction)
    this.#inFlightSequence = Infinity
    if (!isDurable) return
    this.#options.onCommit?.(batch.length, this.#options.clock.monotonicMs() - startedMs)
    this.#release()
  }

  /** The oldest records, as many as one transaction holds and a slow link carries in time; at least one. */
  #takeBatch (): Encoded[] {
    const batch: Encoded[] = []
    let bytes = 0
    for (const [key, { sequence, source }] of this.#dirty) {
      const value = source()
      bytes += value?.length ?? 0
      if (batch.length > 0 && (bytes > MAX_BATCH_BYTES || batch.length >= MAX_TRANSACTION_ENTRIES - BOOKKEEPING_ENTRIES)) break
      batch.push({ key, value, sequence })
    }
    for (const { key } of batch) this.#dirty.delete(key)
    return batch
  }

  #transactionOf (batch: readonly Encoded[], number: number): Transaction {
    const { dutyKey, dutyRevision, chainKey } = this.#options
    return {
      conditions: [{ key: dutyKey, modRevision: dutyRevision }, { key: chainKey, modRevision: this.#chainRevision }],
      puts: [{ key: chainKey, value: this.#chainValue(number) }, ...batch.flatMap(({ key, value }) => value === undefined ? [] : [{ key, value }])],
      removals: batch.flatMap(({ key, value }) => value === undefined ? [key] : [])
    }
  }

  #chainValue (number: number): string {
    return `${this.#options.dutyRevision}.${number}`
  }

  /** Sends until it is known to have taken effect, by this try or an earlier one, or never to do so. */
  async #send (transaction: Transaction): Promise<boolean> {
    const { store, chainKey, dutyKey, dutyRevision, onStoreError, onDeposed } = this.#options
    for (let pauseMs = RETRY_FIRST_MS; !this.#isClosed; pauseMs = Math.min(RETRY_MAX_MS, pauseMs * 2)) {
      const outcome = await store.transact(transaction)
      if (outcome.err) {
        onStoreError(outcome.val, this.#number)
        await delay(pauseMs)
        continue
      }
      if (outcome.val.committed) {
        this.#chainRevision = outcome.val.modRevision
        return true
      }
      const isHolder = outcome.val.current.some(({ key, modRevision }) => key === dutyKey && modRevision === dutyRevision)
      const chain = outcome.val.current.find(({ key }) => key === chainKey)
      if (isHolder && chain?.value === this.#chainValue(this.#number)) {
        this.#chainRevision = chain.modRevision
        return true
      }
      this.close()
      onDeposed()
    }
    return false
  }

  #oldestPending (): number {
    const first = this.#dirty.values().next()
    return Math.min(this.#inFlightSequence, first.done === true ? Infinity : first.value.sequence)
  }

  #release (): void {
    const oldest = this.#oldestPending()
    const done = this.#waiters.filter(({ sequence }) => sequence < oldest)
    this.#waiters.splice(0, this.#waiters.length, ...this.#waiters.filter(({ sequence }) => sequence >= oldest))
    for (const { resolve } of done) resolve(true)
  }
}
