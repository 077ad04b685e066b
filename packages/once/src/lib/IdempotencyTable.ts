/**
 * Remembers at one entry host which keys ran, and decides whether a request may run.
 *
 * @module
 */
import type { IdempotencyKey } from './IdempotencyKey.js'

/** An answer that is kept for retries. @public */
export interface CachedResponse {
  readonly statusCode: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
}

/** What is known of a key. `answered` without an answer: it ran, but its answer was too large to keep. @public */
export type KeyRecord =
  | { readonly state: 'running' }
  | { readonly state: 'answered', readonly answer: CachedResponse | undefined }
  | { readonly state: 'unknown' }

interface Entry { record: KeyRecord, readonly fingerprint: string, readonly createdMs: number, readonly shard: number, waiters: Array<() => void> }

/** An entry as it is handed to another owner. @public */
export interface HandoverEntry {
  readonly key: string
  readonly fingerprint: string
  readonly createdMs: number
  readonly shard: number
  readonly record: KeyRecord
}

/** What a request with a key may do. @public */
export type ClaimResult = 'run' | 'running' | 'answered' | 'unknown' | 'mismatch' | 'too-old' | 'not-yet-valid' | 'full' | 'not-owner'

/** Bounds of the table. @public */
export interface IdempotencyTableOptions {
  /** How long after its creation a key can be used; 600000 by default. */
  readonly retentionMs: number
  /** How far any two clocks may differ; 2000 by default. */
  readonly clockSkewMs: number
  /** Keys that are remembered at most; 50000 by default. */
  readonly maxKeys: number
  /** Bytes of answers that are kept at most; 16 MB by default. */
  readonly maxAnswerBytes: number
  /** A larger answer is not kept; 65536 by default. */
  readonly maxOneAnswerBytes: number
}

/** The documented defaults. @public */
export const IDEMPOTENCY_TABLE_DEFAULTS: IdempotencyTableOptions = {
  retentionMs: 600_000, clockSkewMs: 2000, maxKeys: 50_000, maxAnswerBytes: 16 * 1024 * 1024, maxOneAnswerBytes: 65_536
}

/** The keys of one entry host. @public */
export class IdempotencyTable {
  readonly #entries = new Map<string, Entry>()
  /** From when on each owned shard's table is complete. */
  readonly #completeSinceMs = new Map<number, number>()
  readonly #options: IdempotencyTableOptions
  #answerBytes = 0

  /** @param options - bounds, the defaults without them */
  constructor (options: Partial<IdempotencyTableOptions> = {}) {
    this.#options = { ...IDEMPOTENCY_TABLE_DEFAULTS, ...options }
  }

  /** How many keys are remembered. */
  get size (): number {
    return this.#entries.size
  }

  /** The shards this entry host owns. */
  get ownedShards (): number[] {
    return [...this.#completeSinceMs.keys()]
  }

  /**
   * Starts to own a shard.
   *
   * @param shard - which
   * @param completeSinceMs - keys made before may have run elsewhere; the previous owner's value after a full handover
   */
  addShard (shard: number, completeSinceMs: number): void {
    if (!this.#completeSinceMs.has(shard)) this.#completeSinceMs.set(shard, completeSinceMs)
  }

  /** @param shard - which @returns whether a request with a key of it runs now */
  hasRunningRequest (shard: number): boolean {
    return [...this.#entries.values()].some((entry) => entry.shard === shard && entry.record.state === 'running')
  }

  /** @param shard - which is owned no longer @returns its entries and completeness for the next owner */
  releaseShard (shard: number): { completeSinceMs: number, entries: HandoverEntry[] } | undefined {
    const completeSinceMs = this.#completeSinceMs.get(shard)
    if (completeSinceMs === undefined) return undefined
    this.#completeSinceMs.delete(shard)
    const entries: HandoverEntry[] = []
    for (const [key, entry] of this.#entries) {
      if (entry.shard !== shard) continue
      entries.push({ key, fingerprint: entry.fingerprint, createdMs: entry.createdMs, shard, record: toHandoverRecord(entry.record) })
    }
    return { completeSinceMs, entries }
  }

  /** @param entries - what the previous owner remembers */
  importEntries (entries: readonly HandoverEntry[]): void {
    for (const { key, record, ...rest } of entries) {
      if (this.#entries.has(key)) continue
      this.#entries.set(key, { ...rest, record, waiters: [] })
      this.#answerBytes += cachedBytesOf(record)
    }
  }

  /**
   * Decides whether a request may run, and notes it if so.
   *
   * @param key - its key
   * @param fingerprint - sums up the request, to refuse a key that is used for another one
   * @param nowMs - the present time since 1970
   * @returns what it may do
   */
  claim (key: IdempotencyKey, fingerprint: string, nowMs: number): ClaimResult {
    this.#evictExpired(nowMs)
    const entry = this.#entries.get(key.text)
    if (entry !== undefined) return entry.fingerprint === fingerprint ? entry.record.state : 'mismatch'
    const refusal = this.#rejectByAge(key, nowMs)
    if (refusal !== undefined) return refusal
    if (this.#entries.size >= this.#options.maxKeys) return 'full'
    this.#entries.set(key.text, { record: { state: 'running' }, fingerprint, createdMs: key.createdMs, shard: key.form === 'timed' ? key.shard : -1, waiters: [] })
    return 'run'
  }

  /**
   * Notes how a claimed request ended.
   *
   * @param key - its key
   * @param end - its answer; `not-run` frees the key for another try; `unknown` keeps it from ever running again
   */
  finish (key: IdempotencyKey, end: CachedResponse | 'not-run' | 'unknown' | 'answered-not-kept'): void {
    const entry = this.#entries.get(key.text)
    if (entry === undefined) return
    if (end === 'not-run') this.#entries.delete(key.text)
    else entry.record = this.#toRecord(end)
    for (const wake of entry.waiters.splice(0)) wake()
  }

  /** @param key - a key @returns what is known of it */
  record (key: IdempotencyKey): KeyRecord | undefined {
    return this.#entries.get(key.text)?.record
  }

  /** @param key - a running key @param timeoutMs - how long to wait @returns once it ended or the time passed */
  waitUntilEnded (key: IdempotencyKey, timeoutMs: number): Promise<void> {
    const entry = this.#entries.get(key.text)
    if (entry?.record.state !== 'running') return Promise.resolve()
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs)
      entry.waiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** A key is fresh only if no earlier owner can have seen it and no entry for it can have been forgotten. */
  #rejectByAge (key: IdempotencyKey, nowMs: number): ClaimResult | undefined {
    const { clockSkewMs, retentionMs } = this.#options
    if (key.createdMs > nowMs + clockSkewMs) return 'not-yet-valid'
    if (key.createdMs < nowMs - retentionMs) return 'too-old'
    if (key.form === 'minted') return undefined
    const completeSinceMs = this.#completeSinceMs.get(key.shard)
    if (completeSinceMs === undefined) return 'not-owner'
    // An earlier owner accepted keys up to its clock plus the skew; its clock may be ahead by the skew again.
    if (key.createdMs <= completeSinceMs + 2 * clockSkewMs) return 'unknown'
    return undefined
  }

  #toRecord (end: CachedResponse | 'unknown' | 'answered-not-kept'): KeyRecord {
    if (end === 'unknown') return { state: 'unknown' }
    const isKept = end !== 'answered-not-kept' && end.body.length <= this.#options.maxOneAnswerBytes &&
      this.#answerBytes + end.body.length <= this.#options.maxAnswerBytes
    if (!isKept) return { state: 'answered', answer: undefined }
    this.#answerBytes += end.body.length
    return { state: 'answered', answer: end }
  }

  /** Entries go in the order they came; one that still runs stops the sweep until it ends. */
  #evictExpired (nowMs: number): void {
    const keptMs = this.#options.retentionMs + 2 * this.#options.clockSkewMs
    for (const [text, entry] of this.#entries) {
      if (entry.createdMs > nowMs - keptMs || entry.record.state === 'running') return
      this.#answerBytes -= cachedBytesOf(entry.record)
      this.#entries.delete(text)
    }
  }
}

function cachedBytesOf (record: KeyRecord): number {
  return record.state === 'answered' ? record.answer?.body.length ?? 0 : 0
}

/** What still runs at the old owner has an unknown end for the new one. */
function toHandoverRecord (record: KeyRecord): KeyRecord {
  return record.state === 'running' ? { state: 'unknown' } : record
}
