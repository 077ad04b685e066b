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
import { decodeJson, delay, type Clock } from '@quillscale/utils'
import type { KeyValue, KeyValueStore } from '@quillscale/ports'
import * as z from 'zod'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { EventLog } from '../duties/EventLog.js'
import { leaseTimerKey, leaseTimerPrefix, silentWorkersKey } from '../records/storeKeys.js'
import { MAX_CLOCK_DRIFT_RATIO } from './WorkerClock.js'

const recordSchema = z.object({
  /** The holder that wrote it. Where another one has written anything since, it may have extended leases without looking here. */
  fencingToken: z.number(),
  /** The longest lease that holders may have given until then. */
  leaseMs: z.number(),
  /** Each with the name of its timer. */
  workers: z.array(z.object({ instanceId: z.string(), timer: z.string() }))
})

type SilenceRecord = z.infer<typeof recordSchema>

/** What the record works with. @public */
export interface SilentWorkersOptions {
  readonly service: string
  readonly fencingToken: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** The shortest lease that the store grants. */
  readonly minTtlMs: () => number
  /** The longest lease that any holder may have given, this one among them. */
  readonly longestLeaseMs: () => number
  /** After how long all leases of a worker are surely over, as far as is known at that time, monotonic. */
  readonly leasesLeftMs: (instanceId: string, nowMs: number) => number
  /** Writes under the duty. */
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
  /** Resolves once all that was put is durable; false if it never will be. */
  readonly flushed: () => Promise<boolean>
  /** Whether a worker is, or may be, dealt with: entries of others are left out of the record. */
  readonly isTracked: (instanceId: string) => boolean
  /** Called when a timer of a former holder is over. */
  readonly onTimerExpired: () => void
}

/** How often the timers of former holders are looked at, while any runs; the wait for leases takes some seconds. */
const TIMER_POLL_INTERVAL_MS = 400
/** After a timer that came to nothing: rounds come every few ms, and a store that refuses is left alone so long. */
const TIMER_RETRY_DELAY_MS = 500

/** The record. @public */
export class SilentWorkers {
  readonly #options: SilentWorkersOptions
  /** What is to stand in the store: timers by worker. */
  readonly #timers = new Map<string, string>()
  /** Workers that may stand in the store now. */
  readonly #recorded = new Set<string>()
  /** Those whose timers former holders made. */
  readonly #inherited = new Set<string>()
  /** Timers of former holders that are over. */
  readonly #expiredTimers = new Set<string>()
  #previousLeaseMs: number | undefined
  /** As the record last said, or is about to. */
  #writtenLeaseMs = 0
  #timersCreated = 0
  #nextTimerMs = -Infinity
  #pendingRecording: Promise<void> | undefined

  /** @param options - what it works with */
  constructor (options: SilentWorkersOptions) {
    this.#options = options
  }

  /**
   * Takes over what a former holder wrote, and writes it down as this holder's.
   *
   * @param item - the record, if there is one; one that cannot be read is not believed
   * @param formerToken - of the holder that wrote anything last
   */
  restore (item: KeyValue | undefined, formerToken: number | undefined): void {
    // Nobody has ever held the duty: there are no leases.
    if (formerToken === undefined) this.#previousLeaseMs = 0
    const record = item === undefined ? undefined : this.#options.records.read(item, (text) => decodeJson(recordSchema, text))
    if (record !== undefined && record.fencingToken === formerToken) this.#adoptRecord(record)
    const { service, log } = this.#options
    const isBelieved = this.#previousLeaseMs !== undefined
    const workers = record?.workers ?? []
    if (workers.length > 0) log.info({ service, isBelieved, formerToken, workers: workers.slice(0, MAX_LOGGED_WORKERS), count: workers.length }, 'silent workers taken over')
    this.#put(false)
  }

  #adoptRecord ({ leaseMs, workers }: SilenceRecord): void {
    this.#previousLeaseMs = leaseMs
    for (const { instanceId, timer } of workers) {
      this.#timers.set(instanceId, timer)
      this.#recorded.add(instanceId)
      this.#inherited.add(instanceId)
    }
  }

  /**
   * Once the leases of former holders are over the record says so: the next holder waits for leases of this one only, 1.7 s less where
   * those are 1.7 s shorter.
   */
  refreshLeaseMs (): void {
    if (this.#options.longestLeaseMs() < this.#writtenLeaseMs) this.#put(false)
  }

  /** The longest lease that former holders may have given, 0 if there are none, `undefined` if nobody wrote that down. */
  get previousLeaseMs (): number | undefined {
    return this.#previousLeaseMs
  }

  /** Looks at the timers of former holders until all are over. @param signal - ends that */
  async watchTimers (signal: AbortSignal): Promise<void> {
    const { store, service, onTimerExpired: onTimerOver } = this.#options
    while (!signal.aborted && this.#runningInheritedTimers().length > 0) {
      const listed = await store.list(leaseTimerPrefix(service))
      const running = listed.ok ? new Set(listed.val.items.map(({ key }) => key)) : undefined
      const over = this.#runningInheritedTimers().filter((timer) => running?.has(leaseTimerKey(service, timer)) === false)
      for (const timer of over) this.#expiredTimers.add(timer)
      if (over.length > 0) onTimerOver()
      await delay(TIMER_POLL_INTERVAL_MS, signal)
    }
  }

  /** @param instanceId - any @returns whether it may stand in the record: its leases must not be extended then */
  isRecorded (instanceId: string): boolean {
    return this.#recorded.has(instanceId)
  }

  /** @param instanceId - any @returns whether a timer shows that the leases which former holders gave there are over */
  havePreviousLeasesExpired (instanceId: string): boolean {
    return this.#inherited.has(instanceId) && this.#expiredTimers.has(this.#timers.get(instanceId) ?? '')
  }

  /**
   * Writes workers down, once each, with one timer for all that are new; one call at a time, while others do nothing.
   *
   * @param instanceIds - of workers that do not answer now
   * @returns once that is durable, or was given up
   */
  async recordSilent (instanceIds: readonly string[]): Promise<void> {
    const found = instanceIds.filter((instanceId) => !this.#recorded.has(instanceId))
    const isTooSoon = this.#options.clock.monotonicMs() < this.#nextTimerMs
    if (found.length === 0 || this.#pendingRecording !== undefined || isTooSoon) return
    this.#pendingRecording = this.#recordWithTimer(found).finally(() => { this.#pendingRecording = undefined })
    await this.#pendingRecording
  }

  /** Resolves once a call of {@link record} under way is over. */
  async whenIdle (): Promise<void> {
    await this.#pendingRecording
  }

  /**
   * Takes a worker that answers out of the record.
   *
   * @param instanceId - whose
   * @returns once that is durable, or never will be by this holder
   */
  async remove (instanceId: string): Promise<void> {
    if (!this.#recorded.has(instanceId)) return
    if (this.#timers.delete(instanceId)) this.#put(true)
    const isDurable = await this.#options.flushed()
    // It may have been written down anew meanwhile.
    if (!isDurable || this.#timers.has(instanceId)) return
    this.#recorded.delete(instanceId)
    this.#inherited.delete(instanceId)
  }

  #runningInheritedTimers (): string[] {
    const timers = [...this.#inherited].flatMap((instanceId) => this.#timers.get(instanceId) ?? [])
    return [...new Set(timers)].filter((timer) => !this.#expiredTimers.has(timer))
  }

  async #recordWithTimer (found: readonly string[]): Promise<void> {
    const { clock, log, service, leasesLeftMs } = this.#options
    const askedMs = clock.monotonicMs()
    const ttlMs = this.#ttlMs(found, askedMs)
    const timer = await this.#startTimer(ttlMs)
    const nowMs = clock.monotonicMs()
    this.#nextTimerMs = nowMs + TIMER_RETRY_DELAY_MS
    if (timer === undefined) return
    // One that answered meanwhile may have been given a longer lease than the timer covers.
    const covered = found.filter((instanceId) => !this.#recorded.has(instanceId) && nowMs + leasesLeftMs(instanceId, nowMs) <= askedMs + ttlMs)
    if (covered.length === 0) return
    this.#nextTimerMs = nowMs
    for (const instanceId of covered) {
      this.#timers.set(instanceId, timer)
      this.#recorded.add(instanceId)
    }
    this.#put(true)
    log.info({ service, instanceIds: covered.slice(0, MAX_LOGGED_WORKERS), count: covered.length, leasesLeftMs: Math.round(ttlMs) }, 'silent workers written down')
    await this.#options.flushed()
  }

  /** The store's clock may differ as much as a worker's. */
  #ttlMs (found: readonly string[], nowMs: number): number {
    const leftMs = Math.max(...found.map((instanceId) => this.#options.leasesLeftMs(instanceId, nowMs)))
    return Math.max(this.#options.minTtlMs(), Math.ceil(leftMs * (1 + MAX_CLOCK_DRIFT_RATIO)))
  }

  /** It is there before the record names it. @returns its name, `undefined` if the store did not answer: a later round tries again */
  async #startTimer (ttlMs: number): Promise<string | undefined> {
    const { store, log, service, fencingToken } = this.#options
    const lease = await store.grantLease(ttlMs)
    if (lease.err) {
      log.warn({ service, error: lease.val }, 'no timer for silent workers')
      return undefined
    }
    const timer = `${fencingToken}-${++this.#timersCreated}`
    const made = await store.transact({ conditions: [], puts: [{ key: leaseTimerKey(service, timer), value: '', leaseId: lease.val }], removals: [] })
    if (made.ok && made.val.committed) return timer
    log.warn({ service, error: made.err ? made.val : 'the lease is over' }, 'no timer for silent workers')
    return undefined
  }

  #put (isUrgent: boolean): void {
    const { service, fencingToken, put, isTracked: isKnown, longestLeaseMs } = this.#options
    this.#writtenLeaseMs = longestLeaseMs()
    put(silentWorkersKey(service), () => {
      const workers = [...this.#timers].filter(([instanceId]) => isKnown(instanceId)).map(([instanceId, timer]) => ({ instanceId, timer }))
      this.#writtenLeaseMs = longestLeaseMs()
      const record: SilenceRecord = { fencingToken, leaseMs: this.#writtenLeaseMs, workers }
      return JSON.stringify(record)
    }, isUrgent)
  }
}

/** Named in a line of the log at most. */
const MAX_LOGGED_WORKERS = 20
