/**
 * Watches the operators' configuration and their other requests in the store. A configuration is never replaced by an older version.
 *
 * @module
 */
import { delay, type Result } from '@quillscale/utils'
import type { FleetConfiguration, KeyValue, RevisionCondition } from '@quillscale/ports'
import { PrefixReplica } from '@quillscale/leases'
import { CallRetrier } from './CallRetrier.js'
import type { MonitoredStore } from './MonitoredStore.js'
import { OperatorRequests, type OperatorRequestsOptions } from './OperatorRequests.js'
import type { RecordProblem } from './RecordReader.js'

/** Options of {@link ConfigurationWatcher}. @public */
export interface ConfigurationWatcherOptions extends Omit<OperatorRequestsOptions, 'ageMs'> {
  readonly store: MonitoredStore
  /** Prefix of the records that operators write. */
  readonly prefix: string
  /** The key of the configuration. */
  readonly configurationKey: string
  readonly decodeConfiguration: (text: string) => Result<FleetConfiguration, RecordProblem>
  /** Called when the configuration or the other requests may have changed. */
  readonly onChange: () => void
}

/** Duration of one watch call. A new version must be in force within 2 s of being written; a dead connection is noticed in half that time. */
const WATCH_TIMEOUT_MS = 1000
/** Events that a watch missed are found within this time. */
const RELIST_INTERVAL_MS = 5000
/** Longest record that serves as a condition: 44 KB on the wire, 50 ms on a link of 7 Mbit/s. */
const MAX_CONDITION_LENGTH = 32 * 1024
/** Bounds of the reads for jobs that wait for a version. */
const READ_TIMEOUT_MS = 1000
const READ_SPACING_MS = 100

/** Holds the current configuration and the other open requests of operators. @public */
export class ConfigurationWatcher {
  /** Requests besides the configuration. */
  readonly requests: OperatorRequests
  #configuration: FleetConfiguration | undefined
  /** The newest record that was read; revision 0 if there is none. */
  #record = { modRevision: 0, length: 0 }
  readonly #options: ConfigurationWatcherOptions
  readonly #replica: PrefixReplica
  readonly #calls: CallRetrier
  #pendingCheck: Promise<void> | undefined
  /** When the last transaction of {@link ConfigurationWatcher.confirm} was sent. */
  #lastCheckMs = -Infinity
  /** When the last check or conflicting transaction that was answered was sent (monotonic). */
  #lastAnsweredMs = -Infinity

  /** @param options - the records to watch and how to decode them */
  constructor (options: ConfigurationWatcherOptions) {
    this.#options = options
    const { store, clock, log, prefix } = options
    this.#calls = new CallRetrier(options)
    this.requests = new OperatorRequests({ ...options, ageMs: (nowMs) => this.#replica.ageMs(nowMs) })
    this.#replica = new PrefixReplica({
      store,
      clock,
      prefix,
      watchMs: WATCH_TIMEOUT_MS,
      relistMs: RELIST_INTERVAL_MS,
      onChange: (change) => {
        for (const item of change.changed) if (item.key === options.configurationKey) this.#applyConfiguration(item)
        this.requests.applyChange(change)
        options.onChange()
      },
      onContactChange: (error) => log.warn({ prefix, error }, error === undefined ? 'store answers again' : 'store does not answer')
    })
  }

  /** The newest configuration that was read, `undefined` before the first. */
  get current (): FleetConfiguration | undefined {
    return this.#configuration
  }

  /**
   * The condition under which a transaction takes effect only while no other configuration has been written than the one that was read last. A record
   * that cannot be decoded counts as read: it leaves {@link ConfigurationWatcher.current} in force. `undefined` for a large record: the store returns
   * the whole record to each transaction whose condition does not hold, which narrow links do not bear. {@link ConfigurationWatcher.confirm} takes its
   * place.
   */
  get condition (): RevisionCondition | undefined {
    const { modRevision, length } = this.#record
    return length > MAX_CONDITION_LENGTH ? undefined : { key: this.#options.configurationKey, modRevision }
  }

  /**
   * Takes over the record that the store returned because {@link ConfigurationWatcher.condition} did not hold.
   *
   * @param record - the record, `undefined` if it was deleted
   * @param askedMs - monotonic time at which the transaction was sent
   */
  acceptConflict (record: KeyValue | undefined, askedMs: number): void {
    if (record === undefined) this.#record = { modRevision: 0, length: 0 }
    else this.#applyConfiguration(record)
    this.#lastAnsweredMs = Math.max(this.#lastAnsweredMs, askedMs)
  }

  /**
   * Computes how stale the configuration may be.
   *
   * @param nowMs - the current monotonic time
   * @returns the time since the last confirmed state
   */
  ageMs (nowMs: number): number {
    return Math.min(this.#replica.ageMs(nowMs), nowMs - this.#lastAnsweredMs)
  }

  /**
   * Computes how stale the operators' requests may be. Unlike the configuration, they are not read again on demand.
   *
   * @param nowMs - the current monotonic time
   * @returns the time since the last confirmed state
   */
  requestsAgeMs (nowMs: number): number {
    return this.#replica.ageMs(nowMs)
  }

  /**
   * Watches the records until aborted.
   *
   * @param signal - ends the watch
   */
  run (signal: AbortSignal): Promise<void> {
    return this.#replica.run(signal)
  }

  /**
   * Reads the configuration again if it is older than a version that is known to exist.
   *
   * @param version - the version, as recorded by a host that knew it
   * @param nowMs - the current monotonic time
   * @returns whether that version or a newer one is known now
   */
  async requireVersion (version: number, nowMs: number): Promise<boolean> {
    if (!this.#isKnown(version)) await this.#pendingCheck
    if (!this.#isKnown(version)) await this.confirm(nowMs, nowMs + READ_TIMEOUT_MS, READ_SPACING_MS)
    return this.#isKnown(version)
  }

  #isKnown (version: number): boolean {
    return this.#configuration !== undefined && this.#configuration.version >= version
  }

  /**
   * Makes sure that the configuration is at least as new as the one that the store held at a time. One transaction without a write serves all callers who
   * wait for it, and the store returns the record only if it has changed.
   *
   * @param sinceMs - monotonic time, not after the current one
   * @param deadlineMs - monotonic time at which the caller stops waiting
   * @param spacingMs - least time between the starts of two transactions; callers that come sooner wait
   * @returns whether the store answered
   */
  async confirm (sinceMs: number, deadlineMs: number, spacingMs = 0): Promise<boolean> {
    // A check that began before `sinceMs` proves nothing to this caller.
    if (!this.isConfirmedSince(sinceMs)) await this.#pendingCheck
    const spacingLeftMs = this.#lastCheckMs + spacingMs - this.#options.clock.monotonicMs()
    if (!this.isConfirmedSince(sinceMs) && spacingLeftMs > 0) await delay(Math.ceil(spacingLeftMs))
    if (this.isConfirmedSince(sinceMs)) return true
    if (this.#options.clock.monotonicMs() >= deadlineMs) return false
    this.#pendingCheck ??= this.#check(deadlineMs).finally(() => { this.#pendingCheck = undefined })
    await this.#pendingCheck
    return this.isConfirmedSince(sinceMs)
  }

  /**
   * Tells whether the configuration is at least as new as the one that the store held at a time.
   *
   * @param sinceMs - monotonic time, not after the current one
   * @returns whether a read that began at that time or later was answered
   */
  isConfirmedSince (sinceMs: number): boolean {
    return this.#lastAnsweredMs >= sinceMs
  }

  async #check (deadlineMs: number): Promise<void> {
    const { store, clock, log, configurationKey: key } = this.#options
    let askedMs = this.#lastCheckMs = clock.monotonicMs()
    const { result } = await this.#calls.retry(deadlineMs, () => {
      askedMs = clock.monotonicMs()
      return store.transact({ conditions: [{ key, modRevision: this.#record.modRevision }], puts: [], removals: [] })
    })
    if (result.err) log.warn({ error: result.val }, 'configuration refresh failed')
    else if (result.val.committed) this.#lastAnsweredMs = Math.max(this.#lastAnsweredMs, askedMs)
    else this.acceptConflict(result.val.current.find((item) => item.key === key), askedMs)
  }

  /** Puts a configuration into force if it is valid and newer than the current one. */
  #applyConfiguration (item: KeyValue): void {
    const { decodeConfiguration, records, log } = this.#options
    if (item.modRevision > this.#record.modRevision) this.#record = { modRevision: item.modRevision, length: item.value.length }
    // A malformed configuration leaves the current one in force.
    const next = records.read(item, decodeConfiguration)
    if (next === undefined || (this.#configuration !== undefined && next.version <= this.#configuration.version)) return
    log.info({ version: next.version, before: this.#configuration?.version, revision: item.modRevision, queues: next.queues.length, services: next.services.length }, 'configuration in force')
    this.#configuration = next
  }
}
