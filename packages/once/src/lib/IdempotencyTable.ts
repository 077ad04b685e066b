/**
 * Records which idempotency keys have run at one entry host, and decides whether a request may run.
 *
 * @module
 */
import type { IdempotencyKey } from './IdempotencyKey.js'

/** Response that is cached to answer retries of its request. @public */
export interface CachedResponse {
  readonly statusCode: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
}

/**
 * State of a key. `answered` without an answer means that the request ran, but its response wasn't cached, for example because it was too large.
 * `unknown` means that the request may have run.
 *
 * @public
 */
export type KeyRecord =
  | { readonly state: 'running' }
  | { readonly state: 'answered', readonly answer: CachedResponse | undefined }
  | { readonly state: 'unknown' }

interface Entry { record: KeyRecord, readonly fingerprint: string, readonly createdMs: number, readonly shard: number, waiters: Array<() => void> }

/** Entry of the table as it is sent to the new owner of its shard. @public */
export interface HandoverEntry {
  readonly key: string
  readonly fingerprint: string
  readonly createdMs: number
  readonly shard: number
  readonly record: KeyRecord
}

/**
 * Outcome of a claim. The request may run only after `run`. `running` and `answered` tell the state of an earlier request with the same
 * key, `unknown` means that one may have run here or at a previous owner, and the others are reasons for refusal.
 *
 * @public
 */
export type ClaimResult = 'run' | 'running' | 'answered' | 'unknown' | 'mismatch' | 'too-old' | 'not-yet-valid' | 'full' | 'not-owner'

/** Limits of the table. @public */
export interface IdempotencyTableOptions {
  /** Time for which a key is valid after its creation; 600000 by default. */
  readonly retentionMs: number
  /** Maximum difference between any two clocks; 2000 by default. */
  readonly clockSkewMs: number
  /** Maximum number of recorded keys; 50000 by default. */
  readonly maxKeys: number
  /** Maximum total size of the cached response bodies; 16 MB by default. */
  readonly maxAnswerBytes: number
  /** Maximum size of one cached response body; larger ones are not cached. 65536 by default. */
  readonly maxOneAnswerBytes: number
}

/** Default limits, as documented. @public */
export const IDEMPOTENCY_TABLE_DEFAULTS: IdempotencyTableOptions = {
  retentionMs: 600_000, clockSkewMs: 2000, maxKeys: 50_000, maxAnswerBytes: 16 * 1024 * 1024, maxOneAnswerBytes: 65_536
}

/**
 * Table of the idempotency keys of one entry host. It grants a request its run only if no request with the same key can have run before,
 * here or at a previous owner of the key's shard.
 *
 * @public
 */
export class IdempotencyTable {
  readonly #entries = new Map<string, Entry>()
  /** For each owned shard, the time since which the table holds every key that has run. */
  readonly #completeSinceMs = new Map<number, number>()
  readonly #options: IdempotencyTableOptions
  #answerBytes = 0

  /** @param options - limits that differ from {@link IDEMPOTENCY_TABLE_DEFAULTS} */
  constructor (options: Partial<IdempotencyTableOptions> = {}) {
    this.#options = { ...IDEMPOTENCY_TABLE_DEFAULTS, ...options }
  }

  /** Number of recorded keys. */
  get size (): number {
    return this.#entries.size
  }

  /** Shards that this entry host owns. */
  get ownedShards (): number[] {
    return [...this.#completeSinceMs.keys()]
  }

  /**
   * Starts owning a shard.
   *
   * @param shard - the shard
   * @param completeSinceMs - keys created before this time may have run elsewhere; after a complete handover, the value of the previous owner
   */
  addShard (shard: number, completeSinceMs: number): void {
    if (!this.#completeSinceMs.has(shard)) this.#completeSinceMs.set(shard, completeSinceMs)
  }

  /**
   * Tells whether any request with a key of a shard is running.
   *
   * @param shard - the shard
   * @returns whether such a request is running
   */
  hasRunningRequest (shard: number): boolean {
    return [...this.#entries.values()].some((entry) => entry.shard === shard && entry.record.state === 'running')
  }

  /**
   * Stops owning a shard. Its entries stay in the table until they expire.
   *
   * @param shard - the shard
   * @returns the entries and `completeSinceMs` for the new owner, or `undefined` if this entry host didn't own the shard
   */
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

  /**
   * Adds the entries of a previous owner; keys that are already recorded keep their entry.
   *
   * @param entries - the entries from the handover
   */
  importEntries (entries: readonly HandoverEntry[]): void {
    for (const { key, record, ...rest } of entries) {
      if (this.#entries.has(key)) continue
      this.#entries.set(key, { ...rest, record, waiters: [] })
      this.#answerBytes += cachedBytesOf(record)
    }
  }

  /**
   * Decides whether a request may run, and if so records its key as running.
   *
   * @param key - the key of the request
   * @param fingerprint - a digest of the request, to refuse a key that is reused for a different request
   * @param nowMs - the current Unix time
   * @returns `run` if the request may run, otherwise why it may not
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
   * Records how a claimed request ended.
   *
   * @param key - the key of the request
   * @param end - the response; or `not-run`, which frees the key for a retry; or `unknown`, after which the key can never run again;
   *   or `answered-not-kept`, if the request ran and its response can't be cached
   */
  finish (key: IdempotencyKey, end: CachedResponse | 'not-run' | 'unknown' | 'answered-not-kept'): void {
    const entry = this.#entries.get(key.text)
    if (entry === undefined) return
    if (end === 'not-run') this.#entries.delete(key.text)
    else entry.record = this.#toRecord(end)
    for (const resolveWaiter of entry.waiters.splice(0)) resolveWaiter()
  }

  /**
   * Looks up the state of a key.
   *
   * @param key - the key
   * @returns its state, or `undefined` if the key is not recorded
   */
  record (key: IdempotencyKey): KeyRecord | undefined {
    return this.#entries.get(key.text)?.record
  }

  /**
   * Waits until the running request of a key has ended.
   *
   * @param key - the key
   * @param timeoutMs - the maximum time to wait
   * @returns a promise that resolves when the request has ended or the time is up, and at once if no request is running
   */
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

  /** Refuses an unrecorded key unless no previous owner can have accepted it and no entry for it can have been evicted. */
  #rejectByAge (key: IdempotencyKey, nowMs: number): ClaimResult | undefined {
    const { clockSkewMs, retentionMs } = this.#options
    if (key.createdMs > nowMs + clockSkewMs) return 'not-yet-valid'
    if (key.createdMs < nowMs - retentionMs) return 'too-old'
    if (key.form === 'minted') return undefined
    const completeSinceMs = this.#completeSinceMs.get(key.shard)
    if (completeSinceMs === undefined) return 'not-owner'
    // The previous owner accepted keys created up to its clock plus the skew, and its clock may be ahead of this one by another skew.
    if (key.createdMs <= completeSinceMs + 2 * clockSkewMs) return 'unknown'
    return undefined
  }

  #toRecord (end: CachedResponse | 'unknown' | 'answered-not-kept'): KeyRecord {
    if (end === 'unknown') return { state: 'unknown' }
    const isCached = end !== 'answered-not-kept' && end.body.length <= this.#options.maxOneAnswerBytes &&
      this.#answerBytes + end.body.length <= this.#options.maxAnswerBytes
    if (!isCached) return { state: 'answered', answer: undefined }
    this.#answerBytes += end.body.length
    return { state: 'answered', answer: end }
  }

  /** Evicts expired entries in insertion order. An unexpired or running entry stops the sweep, so later entries stay until it can be evicted. */
  #evictExpired (nowMs: number): void {
    const maxAgeMs = this.#options.retentionMs + 2 * this.#options.clockSkewMs
    for (const [text, entry] of this.#entries) {
      if (entry.createdMs > nowMs - maxAgeMs || entry.record.state === 'running') return
      this.#answerBytes -= cachedBytesOf(entry.record)
      this.#entries.delete(text)
    }
  }
}

function cachedBytesOf (record: KeyRecord): number {
  return record.state === 'answered' ? record.answer?.body.length ?? 0 : 0
}

/** Converts a record for the handover. A request still running at the previous owner becomes `unknown`, as the new owner can't learn how it ends. */
function toHandoverRecord (record: KeyRecord): KeyRecord {
  return record.state === 'running' ? { state: 'unknown' } : record
}
