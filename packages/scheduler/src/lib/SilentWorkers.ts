/**
 * Remembers, over changes of the holder, since when workers with runs have been silent.
 *
 * A holder that never reached a worker must wait until every lease that former holders gave there is over. Counted from its own
 * take-over alone, that wait would begin anew with each holder, and a series of take-overs would never let it end. So a holder
 * writes down which workers it cannot reach, each with a timer: a key of the store under a lease that lasts as long as the
 * worker's leases still may. A next holder waits for the timer only.
 *
 * What keeps it true: no lease is extended on a worker that may stand in the record. One that answers again is taken out first, and
 * that is durable before its leases are extended.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { KeyValueStore } from '@quillscale/ports'
import { z } from 'zod'
import type { RecordSource } from './CommitLog.js'
import type { EventLog } from './EventLog.js'
import { leaseTimerKey, silentWorkersKey } from './storeKeys.js'
import { CLOCK_DRIFT_SHARE } from './WorkerClock.js'

/** A worker with the name of its timer. */
const recordSchema = z.array(z.object({ instanceId: z.string(), timer: z.string() }))

/** A worker that does not answer. @public */
export interface SilentWorker {
  readonly instanceId: string
  /** @param nowMs - monotonic @returns after how long all its leases are surely over */
  readonly leasesLeftMs: (nowMs: number) => number
}

/** What the record works with. @public */
export interface SilentWorkersOptions {
  readonly service: string
  readonly fencingToken: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  /** The shortest lease that the store grants. */
  readonly minTtlMs: () => number
  /** Writes under the duty. */
  readonly put: (key: string, source: RecordSource, isUrgent: boolean) => void
  /** Resolves once all that was put is durable; false if it never will be. */
  readonly flushed: () => Promise<boolean>
  /** Whether a worker is still dealt with: entries of others are left out of the record. */
  readonly isKnown: (instanceId: string) => boolean
  /** Whether a key of the service's inbox is there; `undefined` before the first list. */
  readonly isInInbox: (key: string) => boolean | undefined
}

/** The record. @public */
export class SilentWorkers {
  readonly #options: SilentWorkersOptions
  /** What is to stand in the store: timers by worker. */
  readonly #timers = new Map<string, string>()
  /** Workers that may stand in the store now. */
  readonly #noted = new Set<string>()
  /** Those whose timers former holders made: their keys were there before this holder first listed the inbox. */
  readonly #inherited = new Set<string>()
  #timersMade = 0
  #noting: Promise<void> | undefined

  /** @param options - what it works with */
  constructor (options: SilentWorkersOptions) {
    this.#options = options
  }

  /** @param text - as a former holder wrote it */
  restore (text: string): void {
    for (const { instanceId, timer } of recordSchema.parse(JSON.parse(text))) {
      this.#timers.set(instanceId, timer)
      this.#noted.add(instanceId)
      this.#inherited.add(instanceId)
    }
  }

  /** @param instanceId - any @returns whether it may stand in the record: its leases must not be extended then */
  isNoted (instanceId: string): boolean {
    return this.#noted.has(instanceId)
  }

  /** @param instanceId - of a worker that never answered this holder @returns whether a former holder's timer shows that its leases are over */
  areLeasesOver (instanceId: string): boolean {
    const timer = this.#timers.get(instanceId)
    if (timer === undefined || !this.#inherited.has(instanceId)) return false
    return this.#options.isInInbox(leaseTimerKey(this.#options.service, timer)) === false
  }

  /**
   * Writes workers down, once each, with one timer for all that are new; one call at a time, while others do nothing.
   *
   * @param silent - those that do not answer now
   * @returns once that is durable, or was given up
   */
  async note (silent: readonly SilentWorker[]): Promise<void> {
    const found = silent.filter(({ instanceId }) => !this.#noted.has(instanceId))
    if (found.length === 0 || this.#noting !== undefined) return
    this.#noting = this.#note(found)
    await this.#noting
    this.#noting = undefined
  }

  /** Resolves once a call of {@link note} under way is over. */
  async idle (): Promise<void> {
    await this.#noting
  }

  /**
   * Takes a worker that answers out of the record.
   *
   * @param instanceId - whose
   * @returns once its leases may be extended; false if this holder may not write any more
   */
  async clear (instanceId: string): Promise<boolean> {
    if (!this.#noted.has(instanceId)) return true
    if (this.#timers.delete(instanceId)) this.#put()
    const isDurable = await this.#options.flushed()
    if (isDurable) {
      this.#noted.delete(instanceId)
      this.#inherited.delete(instanceId)
    }
    return isDurable
  }

  async #note (found: readonly SilentWorker[]): Promise<void> {
    const { clock, log, service } = this.#options
    const askedMs = clock.monotonicMs()
    const ttlMs = this.#ttlMs(found, askedMs)
    const timer = await this.#startTimer(ttlMs)
    if (timer === undefined) return
    const nowMs = clock.monotonicMs()
    // One that answered meanwhile may have been given a longer lease than the timer covers.
    const covered = found.filter(({ instanceId, leasesLeftMs }) => !this.#noted.has(instanceId) && nowMs + leasesLeftMs(nowMs) <= askedMs + ttlMs)
    for (const { instanceId } of covered) {
      this.#timers.set(instanceId, timer)
      this.#noted.add(instanceId)
    }
    if (covered.length === 0) return
    this.#put()
    log.info({ service, instanceIds: covered.map(({ instanceId }) => instanceId), leasesLeftMs: Math.round(ttlMs) }, 'silent workers written down')
    await this.#options.flushed()
  }

  /** The store's clock may differ as much as a worker's. */
  #ttlMs (found: readonly SilentWorker[], nowMs: number): number {
    const leftMs = Math.max(...found.map(({ leasesLeftMs }) => leasesLeftMs(nowMs)))
    return Math.max(this.#options.minTtlMs(), Math.ceil(leftMs * (1 + CLOCK_DRIFT_SHARE)))
  }

  /** It is there before the record names it. @returns its name, `undefined` if the store did not answer: a next round tries again */
  async #startTimer (ttlMs: number): Promise<string | undefined> {
    const { store, log, service, fencingToken } = this.#options
    const lease = await store.grantLease(ttlMs)
    if (lease.err) {
      log.warn({ service, error: lease.val }, 'no timer for silent workers')
      return undefined
    }
    const timer = `${fencingToken}-${++this.#timersMade}`
    const made = await store.transact({ conditions: [], puts: [{ key: leaseTimerKey(service, timer), value: '', leaseId: lease.val }], removals: [] })
    if (made.ok && made.val.committed) return timer
    log.warn({ service, error: made.err ? made.val : 'the lease is over' }, 'no timer for silent workers')
    return undefined
  }

  #put (): void {
    const { service, put, isKnown } = this.#options
    put(silentWorkersKey(service), () => {
      const entries = [...this.#timers].filter(([instanceId]) => isKnown(instanceId)).map(([instanceId, timer]) => ({ instanceId, timer }))
      return entries.length === 0 ? undefined : JSON.stringify(entries)
    }, true)
  }
}
