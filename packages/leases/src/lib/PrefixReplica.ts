/**
 * A local replica of all keys with a given prefix, kept up to date by a watch.
 *
 * A watch may be interrupted, miss events, or ask for changes that the store no longer keeps; then the prefix is listed again. Lists are
 * linearizable, so a key never goes back to an older value. Routine lists run beside the watch, which goes on to bring changes however long they take.
 *
 * @module
 */
import { backOff, delay, type Clock } from '@quillscale/utils'
import type { KeyValue, KeyValueStore, PlatformError } from '@quillscale/ports'

/** The changes since the previous call, with each key at most once. @public */
export interface PrefixChange {
  readonly changed: readonly KeyValue[]
  readonly removed: readonly string[]
}

/** Options of a {@link PrefixReplica}. @public */
export interface PrefixReplicaOptions {
  readonly store: KeyValueStore
  readonly prefix: string
  readonly clock: Clock
  /** The timeout of one watch, which is also how long a silent connection goes unnoticed. */
  readonly watchMs: number
  /** How often the prefix is listed again, in case a watch missed an event. */
  readonly relistMs: number
  /** The delay between a watch that returned events and the next one, so that a burst of changes costs one call; 0 by default. */
  readonly spacingMs?: number
  /** Called with each change, and once after the first list even if that is empty. */
  readonly onChange: (change: PrefixChange) => void
  /** Called with the error when the store stops responding, and with `undefined` when it responds again. */
  readonly onContactChange?: (error: PlatformError | undefined) => void
}

/** Keeps the retry delay below a second, so that the replica catches up soon after the store is back. */
const MAX_BACK_OFF_EXPONENT = 2

/** Replicates all keys with a prefix by listing and watching them. @public */
export class PrefixReplica {
  readonly items = new Map<string, KeyValue>()
  readonly #options: PrefixReplicaOptions
  #revision = 0
  /** Revision that the last list reflects; events up to it are older than what is known. */
  #listedRevision = 0
  #isListed = false
  #isRelisting = false
  /** Revisions at which keys were removed while a list is under way, which may still have them. */
  readonly #removedRevisions = new Map<string, number>()
  #lastWatchHadEvents = false
  #isInContact = true
  #inContactSinceMs = 0
  #confirmedAtMs = -Infinity
  #lastRelistMs = -Infinity

  /** @param options - the prefix to replicate, the timing and the callbacks */
  constructor (options: PrefixReplicaOptions) {
    this.#options = options
  }

  /** Whether the prefix has been listed at least once. */
  get isListed (): boolean {
    return this.#isListed
  }

  /** @param nowMs - the current monotonic time @returns how far the replica may lag behind the store */
  ageMs (nowMs: number): number {
    return nowMs - this.#confirmedAtMs
  }

  /** @param nowMs - the current monotonic time @returns for how long the store has responded without interruption, 0 while it does not respond */
  reachableForMs (nowMs: number): number {
    return this.#isInContact && this.#isListed ? nowMs - this.#inContactSinceMs : 0
  }

  /** @param signal - stops the replication */
  async run (signal: AbortSignal): Promise<void> {
    let failures = 0
    let mustList = true
    while (!signal.aborted) {
      if (!mustList && this.#isRelistDue()) void this.#relist(signal)
      const error: PlatformError | undefined = await (mustList ? this.#list(signal, true) : this.#watch(signal))
      if (signal.aborted) return
      this.#updateContact(error)
      if (error === undefined && this.#lastWatchHadEvents && this.#options.spacingMs !== undefined) await delay(this.#options.spacingMs, signal)
      mustList = error !== undefined
      failures = error === undefined || error.kind === 'history-gone' ? 0 : failures + 1
      if (failures > 0) await backOff(Math.min(failures - 1, MAX_BACK_OFF_EXPONENT), signal)
    }
  }

  #isRelistDue (): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#isRelisting || nowMs - this.#lastRelistMs <= this.#options.relistMs) return false
    this.#lastRelistMs = nowMs
    return true
  }

  /** Lists the prefix beside the watch. A failure, as of a long list on a busy link, has no consequences. */
  async #relist (signal: AbortSignal): Promise<void> {
    this.#isRelisting = true
    await this.#list(signal, false)
    this.#isRelisting = false
  }

  /** @param signal - stops the replication @param isRestart - whether the watch is to continue from this list */
  async #list (signal: AbortSignal, isRestart: boolean): Promise<PlatformError | undefined> {
    const askedMs = this.#options.clock.monotonicMs()
    const listed = await this.#options.store.list(this.#options.prefix)
    if (listed.err) return listed.val
    if (signal.aborted) return undefined
    const { items, revision } = listed.val
    if (isRestart) this.#revision = revision
    // A list that was asked for before a restart may be older than what is known since.
    else if (revision < this.#listedRevision) return undefined
    const listedKeys = new Set(items.map(({ key }) => key))
    const changed = items.filter(({ key, modRevision }) => modRevision > Math.max(this.items.get(key)?.modRevision ?? 0, this.#removedRevisions.get(key) ?? 0))
    // A key that a watch has brought since the list was read is not missing from it.
    const removed = [...this.items.values()].filter(({ key, modRevision }) => !listedKeys.has(key) && modRevision <= revision).map(({ key }) => key)
    this.#apply(changed, removed)
    this.#listedRevision = revision
    this.#removedRevisions.clear()
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, askedMs)
    this.#lastRelistMs = Math.max(this.#lastRelistMs, askedMs)
    const isFirstList = !this.#isListed
    this.#isListed = true
    if (isFirstList || changed.length + removed.length > 0) this.#options.onChange({ changed, removed })
    return undefined
  }

  async #watch (signal: AbortSignal): Promise<PlatformError | undefined> {
    const askedMs = this.#options.clock.monotonicMs()
    const watched = await this.#options.store.watch(this.#options.prefix, this.#revision, this.#options.watchMs)
    if (watched.err) return watched.val
    if (signal.aborted) return undefined
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, askedMs)
    const last = new Map<string, KeyValue | undefined>()
    for (const { key, value, modRevision } of watched.val.events) {
      if (modRevision <= Math.max(this.items.get(key)?.modRevision ?? 0, this.#listedRevision)) continue
      last.set(key, value === undefined ? undefined : { key, value, modRevision })
      if (value === undefined && this.#isRelisting) this.#removedRevisions.set(key, modRevision)
    }
    const changed = [...last.values()].filter((item) => item !== undefined)
    this.#lastWatchHadEvents = watched.val.events.length > 0
    const removed = [...last].filter(([key, item]) => item === undefined && this.items.has(key)).map(([key]) => key)
    this.#apply(changed, removed)
    this.#revision = Math.max(this.#revision, watched.val.revision)
    if (changed.length + removed.length > 0) this.#options.onChange({ changed, removed })
    return undefined
  }

  #apply (changed: readonly KeyValue[], removed: readonly string[]): void {
    for (const key of removed) this.items.delete(key)
    for (const item of changed) this.items.set(item.key, item)
  }

  #updateContact (error: PlatformError | undefined): void {
    const isInContact = error === undefined || error.kind === 'history-gone'
    if (isInContact && (!this.#isInContact || this.#inContactSinceMs === 0)) this.#inContactSinceMs = this.#options.clock.monotonicMs()
    if (isInContact !== this.#isInContact) this.#options.onContactChange?.(isInContact ? undefined : error)
    this.#isInContact = isInContact
  }
}
