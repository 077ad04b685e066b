/**
 * Records workers that are silent while they have runs, so that the record survives a change of the duty's holder.
 *
 * A holder that never reached a worker must wait until every lease that previous holders granted there has expired. If the wait counted
 * from its own takeover alone, it would restart with each holder, and a series of takeovers would never let it end. So a holder records
 * the workers that it cannot reach, each with a timer: a key of the store under a lease that lasts as long as the worker's leases may.
 * The next holder waits for the timer only.
 *
 * Invariant: no lease is extended on a worker that may be in the record. A worker that answers again is removed first, and its leases
 * are extended only after the removal is durable.
 *
 * @module
 */
import { decodeJson, delay, type Clock, largestOf } from '@quillscale/utils'
import type { KeyValue, KeyValueStore } from '@quillscale/ports'
import * as z from 'zod'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { EventLog } from '../duties/EventLog.js'
import { leaseTimerKey, leaseTimerPrefix, silentWorkersKey } from '../records/storeKeys.js'
import { MAX_CLOCK_DRIFT_RATIO } from './WorkerClock.js'

const recordSchema = z.object({
  /** Token of the holder that wrote the record. A different holder that wrote anything later may have extended leases without reading the record. */
  fencingToken: z.number(),
  /** The longest lease that any holder may have granted by then. */
  leaseMs: z.number(),
  /** The silent workers, each with the name of its timer. */
  workers: z.array(z.object({ instanceId: z.string(), timer: z.string() }))
})

type SilenceRecord = z.infer<typeof recordSchema>

/** Dependencies of {@link SilentWorkers}. @public */
export interface SilentWorkersOptions {
  readonly service: string
  readonly fencingToken: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** The shortest lease that the store grants. */
  readonly minTtlMs: () => number
  /** The longest lease that any holder, including this one, may have granted. */
  readonly longestLeaseMs: () => number
  /** Returns the time until all leases of a worker have expired, as far as is known at the given monotonic time. */
  readonly leasesLeftMs: (instanceId: string, nowMs: number) => number
  /** Writes a record to the store, protected by the duty. */
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
  /** Resolves to true once all earlier writes are durable, to false if they never will be. */
  readonly flushed: () => Promise<boolean>
  /** Whether a worker may still have runs; other workers are left out of the record. */
  readonly isTracked: (instanceId: string) => boolean
  /** Called when a timer of a previous holder has expired. */
  readonly onTimerExpired: () => void
}

/** Polling interval for timers of previous holders; the wait for leases takes several seconds. */
const TIMER_POLL_INTERVAL_MS = 400
/** Pause after a failed attempt: scheduling rounds come every few ms, too often to retry on a store that refuses writes. */
const TIMER_RETRY_DELAY_MS = 500

/** Maintains the record of silent workers and polls the timers of previous holders. @public */
export class SilentWorkers {
  readonly #options: SilentWorkersOptions
  /** Intended content of the record: timer names by worker. */
  readonly #timers = new Map<string, string>()
  /** Workers that may be in the stored record. */
  readonly #recorded = new Set<string>()
  /** Workers whose timers were created by previous holders. */
  readonly #inherited = new Set<string>()
  /** Expired timers of previous holders. */
  readonly #expiredTimers = new Set<string>()
  #previousLeaseMs: number | undefined
  /** Lease duration in the last record written or about to be written. */
  #writtenLeaseMs = 0
  #timersCreated = 0
  #nextTimerMs = -Infinity
  #pendingRecording: Promise<void> | undefined

  /** @param options - dependencies of the record */
  constructor (options: SilentWorkersOptions) {
    this.#options = options
  }

  /**
   * Restores the record of the previous holder and rewrites it as this holder's.
   *
   * @param item - the stored record, if there is one; an invalid record is ignored
   * @param previousToken - fencing token of the last holder that wrote anything
   */
  restore (item: KeyValue | undefined, previousToken: number | undefined): void {
    // No holder before this one, so there are no leases.
    if (previousToken === undefined) this.#previousLeaseMs = 0
    const record = item === undefined ? undefined : this.#options.records.read(item, (text) => decodeJson(recordSchema, text))
    if (record !== undefined && record.fencingToken === previousToken) this.#adoptRecord(record)
    const { service, log } = this.#options
    const isBelieved = this.#previousLeaseMs !== undefined
    const workers = record?.workers ?? []
    if (workers.length > 0) log.info({ service, isBelieved, formerToken: previousToken, workers: workers.slice(0, MAX_LOGGED_WORKERS), count: workers.length }, 'silent workers taken over')
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
   * Rewrites the record once the leases of previous holders have expired, so that the next holder waits only for this holder's leases:
   * 1.7 s less if those are 1.7 s shorter.
   */
  refreshLeaseMs (): void {
    if (this.#options.longestLeaseMs() < this.#writtenLeaseMs) this.#put(false)
  }

  /** The longest lease that previous holders may have granted, 0 if there are none, `undefined` if it was not recorded. */
  get previousLeaseMs (): number | undefined {
    return this.#previousLeaseMs
  }

  /** Polls the timers of previous holders until all have expired. @param signal - stops the polling */
  async watchTimers (signal: AbortSignal): Promise<void> {
    const { store, service, onTimerExpired } = this.#options
    while (!signal.aborted && this.#runningInheritedTimers().length > 0) {
      const listed = await store.list(leaseTimerPrefix(service))
      const running = listed.ok ? new Set(listed.val.items.map(({ key }) => key)) : undefined
      const expiredTimers = this.#runningInheritedTimers().filter((timer) => running?.has(leaseTimerKey(service, timer)) === false)
      for (const timer of expiredTimers) this.#expiredTimers.add(timer)
      if (expiredTimers.length > 0) onTimerExpired()
      await delay(TIMER_POLL_INTERVAL_MS, signal)
    }
  }

  /** Tells whether a worker may be in the record, so that its leases must not be extended. @param instanceId - id of its lifetime */
  isRecorded (instanceId: string): boolean {
    return this.#recorded.has(instanceId)
  }

  /** Tells whether a timer shows that the leases of previous holders have expired on a worker. @param instanceId - id of its lifetime */
  havePreviousLeasesExpired (instanceId: string): boolean {
    return this.#inherited.has(instanceId) && this.#expiredTimers.has(this.#timers.get(instanceId) ?? '')
  }

  /**
   * Records workers that are not yet recorded, with one timer for all of them. Calls made while another one is in progress do nothing.
   *
   * @param instanceIds - ids of workers that do not answer
   * @returns a promise that resolves once the record is durable or the attempt has failed
   */
  async recordSilent (instanceIds: readonly string[]): Promise<void> {
    const newIds = instanceIds.filter((instanceId) => !this.#recorded.has(instanceId))
    const isTooSoon = this.#options.clock.monotonicMs() < this.#nextTimerMs
    if (newIds.length === 0 || this.#pendingRecording !== undefined || isTooSoon) return
    this.#pendingRecording = this.#recordWithTimer(newIds).finally(() => { this.#pendingRecording = undefined })
    await this.#pendingRecording
  }

  /** Resolves once a pending call of {@link recordSilent} has ended. */
  async whenIdle (): Promise<void> {
    await this.#pendingRecording
  }

  /**
   * Removes a worker that answers again from the record.
   *
   * @param instanceId - id of the worker's lifetime
   * @returns a promise that resolves once the removal is durable, or can no longer become durable under this holder
   */
  async remove (instanceId: string): Promise<void> {
    if (!this.#recorded.has(instanceId)) return
    if (this.#timers.delete(instanceId)) this.#put(true)
    const isDurable = await this.#options.flushed()
    // The worker may have been recorded again meanwhile.
    if (!isDurable || this.#timers.has(instanceId)) return
    this.#recorded.delete(instanceId)
    this.#inherited.delete(instanceId)
  }

  #runningInheritedTimers (): string[] {
    const timers = [...this.#inherited].flatMap((instanceId) => this.#timers.get(instanceId) ?? [])
    return [...new Set(timers)].filter((timer) => !this.#expiredTimers.has(timer))
  }

  async #recordWithTimer (newIds: readonly string[]): Promise<void> {
    const { clock, log, service, leasesLeftMs } = this.#options
    const askedMs = clock.monotonicMs()
    const ttlMs = this.#ttlMs(newIds, askedMs)
    const timer = await this.#startTimer(ttlMs)
    const nowMs = clock.monotonicMs()
    this.#nextTimerMs = nowMs + TIMER_RETRY_DELAY_MS
    if (timer === undefined) return
    // A worker that answered meanwhile may have been granted a lease that outlasts the timer.
    const covered = newIds.filter((instanceId) => !this.#recorded.has(instanceId) && nowMs + leasesLeftMs(instanceId, nowMs) <= askedMs + ttlMs)
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

  /** Computes the duration of a timer; the store's clock may drift as much as a worker's. */
  #ttlMs (newIds: readonly string[], nowMs: number): number {
    const leftMs = largestOf(newIds.map((instanceId) => this.#options.leasesLeftMs(instanceId, nowMs)))
    return Math.max(this.#options.minTtlMs(), Math.ceil(leftMs * (1 + MAX_CLOCK_DRIFT_RATIO)))
  }

  /** Creates a timer, before the record refers to it. @returns its name, `undefined` on failure; a later round tries again */
  async #startTimer (ttlMs: number): Promise<string | undefined> {
    const { store, log, service, fencingToken } = this.#options
    const lease = await store.grantLease(ttlMs)
    if (lease.err) {
      log.warn({ service, error: lease.val }, 'timer for silent workers could not be created')
      return undefined
    }
    const timer = `${fencingToken}-${++this.#timersCreated}`
    const created = await store.transact({ conditions: [], puts: [{ key: leaseTimerKey(service, timer), value: '', leaseId: lease.val }], removals: [] })
    if (created.ok && created.val.committed) return timer
    log.warn({ service, error: created.err ? created.val : 'the lease has expired' }, 'timer for silent workers could not be created')
    return undefined
  }

  #put (isUrgent: boolean): void {
    const { service, fencingToken, put, isTracked, longestLeaseMs } = this.#options
    this.#writtenLeaseMs = longestLeaseMs()
    put(silentWorkersKey(service), () => {
      const workers = [...this.#timers].filter(([instanceId]) => isTracked(instanceId)).map(([instanceId, timer]) => ({ instanceId, timer }))
      this.#writtenLeaseMs = longestLeaseMs()
      const record: SilenceRecord = { fencingToken, leaseMs: this.#writtenLeaseMs, workers }
      return JSON.stringify(record)
    }, isUrgent)
  }
}

/** Limit of the workers named in one log line. */
const MAX_LOGGED_WORKERS = 20
