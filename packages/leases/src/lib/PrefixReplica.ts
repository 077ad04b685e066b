/**
 * A copy of all keys below a prefix, kept current by a watch.
 *
 * A watch may be cut, hear nothing, or find its history gone; then the prefix is listed anew. Lists are linearizable, so a key
 * never goes back to an older value.
 *
 * @module
 */
import { backOff, delay, type Clock } from '@quillscale/utils'
import type { KeyValue, KeyValueStore, PlatformError } from '@quillscale/ports'

/** What changed since the last call, each key once. @public */
export interface PrefixChange {
  readonly changed: readonly KeyValue[]
  readonly removed: readonly string[]
}

/** How a prefix is followed. @public */
export interface PrefixReplicaOptions {
  readonly store: KeyValueStore
  readonly prefix: string
  readonly clock: Clock
  /** How long one watch waits: a connection that went silent is noticed that much later. */
  readonly watchMs: number
  /** The prefix is listed again after this long, in case a watch missed something. */
  readonly relistMs: number
  /** The least time from one answer to the next watch: changes that come close together cost one call; 0 by default. */
  readonly spacingMs?: number
  /** Called with each change; also once after the first list, even if it is empty. */
  readonly onChange: (change: PrefixChange) => void
  /** Called when the store does not answer, and with `undefined` when it does again. */
  readonly onContactChange?: (error: PlatformError | undefined) => void
}

/** Pauses stay below a second, so that a copy is current again soon after the store is back. */
const MAX_BACK_OFF_EXPONENT = 2

/** The copy. @public */
export class PrefixReplica {
  readonly items = new Map<string, KeyValue>()
  readonly #options: PrefixReplicaOptions
  #revision = 0
  #isListed = false
  #lastWatchHadEvents = false
  #isInContact = true
  #inContactSinceMs = 0
  #confirmedAtMs = -Infinity
  #lastRelistMs = -Infinity

  /** @param options - what is followed and how */
  constructor (options: PrefixReplicaOptions) {
    this.#options = options
  }

  /** Whether the prefix was listed at least once. */
  get isListed (): boolean {
    return this.#isListed
  }

  /** @param nowMs - the present monotonic time @returns how old the copy may be */
  ageMs (nowMs: number): number {
    return nowMs - this.#confirmedAtMs
  }

  /** @param nowMs - the present monotonic time @returns for how long the store has answered without a break, 0 while it does not */
  reachableForMs (nowMs: number): number {
    return this.#isInContact && this.#isListed ? nowMs - this.#inContactSinceMs : 0
  }

  /** @param signal - ends the task */
  async run (signal: AbortSignal): Promise<void> {
    let failures = 0
    let mustList = true
    while (!signal.aborted) {
      const isRoutine: boolean = !mustList && this.#isRelistDue()
      const error: PlatformError | undefined = await (mustList || isRoutine ? this.#list(signal) : this.#watch(signal))
      if (signal.aborted) return
      this.#updateContact(error)
      if (error === undefined && this.#lastWatchHadEvents && this.#options.spacingMs !== undefined) await delay(this.#options.spacingMs, signal)
      // A routine list that fails, as a long one may on a busy link, does not end the watch.
      mustList = error !== undefined && !isRoutine
      failures = error === undefined || error.kind === 'history-gone' ? 0 : failures + 1
      if (failures > 0) await backOff(Math.min(failures - 1, MAX_BACK_OFF_EXPONENT), signal)
    }
  }

  #isRelistDue (): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs - this.#lastRelistMs <= this.#options.relistMs) return false
    this.#lastRelistMs = nowMs
    return true
  }

  async #list (signal: AbortSignal): Promise<PlatformError | undefined> {
    const askedMs = this.#options.clock.monotonicMs()
    const listed = await this.#options.store.list(this.#options.prefix)
    if (listed.err) return listed.val
    if (signal.aborted) return undefined
    const { items, revision } = listed.val
    const listedKeys = new Set(items.map(({ key }) => key))
    const changed = items.filter(({ key, modRevision }) => (this.items.get(key)?.modRevision ?? 0) < modRevision)
    const removed = [...this.items.keys()].filter((key) => !listedKeys.has(key))
    this.#apply(changed, removed)
    this.#revision = revision
    this.#confirmedAtMs = askedMs
    this.#lastRelistMs = askedMs
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
    this.#confirmedAtMs = askedMs
    const last = new Map<string, KeyValue | undefined>()
    for (const { key, value, modRevision } of watched.val.events) {
      if ((this.items.get(key)?.modRevision ?? 0) < modRevision) last.set(key, value === undefined ? undefined : { key, value, modRevision })
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
