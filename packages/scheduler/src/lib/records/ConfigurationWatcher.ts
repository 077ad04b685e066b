/**
 * Follows the operators' configuration and wave requests; a version once in force is never replaced by an older one.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { FleetConfiguration, KeyValue, WaveRequest } from '@quillscale/ports'
import { PrefixReplica } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'
import type { MonitoredStore } from './MonitoredStore.js'
import type { RecordProblem, RecordReader } from './RecordReader.js'

/** What the follower works with. @public */
export interface ConfigurationWatcherOptions {
  readonly store: MonitoredStore
  readonly clock: Clock
  readonly log: EventLog
  /** Below which the operators write. */
  readonly prefix: string
  /** The key of the configuration. */
  readonly configurationKey: string
  readonly records: RecordReader
  readonly decodeConfiguration: (text: string) => Result<FleetConfiguration, RecordProblem>
  /** `undefined` for keys that are no wave's. */
  readonly decodeWave: (item: KeyValue) => Result<WaveRequest, RecordProblem> | undefined
  /** Called when another version or other waves are in force. */
  readonly onChange: () => void
}

/** A version must be in force within 2 s of its writing: a silent connection is noticed in half of that. */
const WATCH_MS = 1000
/** What a watch missed is found after so long. */
const RELIST_MS = 5000

/** The follower. @public */
export class ConfigurationWatcher {
  readonly waves = new Map<string, WaveRequest>()
  #configuration: FleetConfiguration | undefined
  readonly #options: ConfigurationWatcherOptions
  readonly #replica: PrefixReplica
  #refreshing: Promise<boolean> | undefined
  /** Monotonic: when the last reading of its own began, and when the last one that was answered did. */
  #triedMs = -Infinity
  #readMs = -Infinity

  /** @param options - what it works with */
  constructor (options: ConfigurationWatcherOptions) {
    this.#options = options
    const { store, clock, log, prefix } = options
    this.#replica = new PrefixReplica({
      store,
      clock,
      prefix,
      watchMs: WATCH_MS,
      relistMs: RELIST_MS,
      onChange: ({ changed, removed }) => {
        for (const item of changed) this.#read(item)
        for (const key of removed) this.waves.delete(key)
        options.onChange()
      },
      onContact: (error) => log.warn({ prefix, error }, error === undefined ? 'store answers again' : 'store does not answer')
    })
  }

  /** The newest version seen, `undefined` before the first. */
  get current (): FleetConfiguration | undefined {
    return this.#configuration
  }

  /** @param nowMs - monotonic @returns how old the knowledge may be */
  ageMs (nowMs: number): number {
    return Math.min(this.#replica.ageMs(nowMs), nowMs - this.#readMs)
  }

  /** @param signal - ends the task */
  run (signal: AbortSignal): Promise<void> {
    return this.#replica.run(signal)
  }

  /**
   * Makes what is known no older than so much, if the store answers. Callers that come meanwhile share the reading, and none begins sooner
   * than so much after the last: however many callers ask for what there is not, the store is read a few times a second.
   *
   * @param nowMs - monotonic
   * @param maxAgeMs - how old it may be
   */
  async ensureFresh (nowMs: number, maxAgeMs: number): Promise<void> {
    // Callers are refused at once, not after a time-out.
    if (this.ageMs(nowMs) <= maxAgeMs || this.#options.store.isUnresponsive(nowMs)) return
    if (this.#refreshing === undefined && nowMs - this.#triedMs <= maxAgeMs) return
    if (this.#refreshing === undefined) this.#triedMs = nowMs
    const askedMs = this.#triedMs
    if (await this.refresh()) this.#readMs = askedMs
  }

  /** Reads the configuration now; callers that come meanwhile share the reading. @returns whether the store answered */
  refresh (): Promise<boolean> {
    this.#refreshing ??= this.#options.store.get(this.#options.configurationKey).then((read) => {
      this.#refreshing = undefined
      if (read.ok && read.val !== undefined) this.#read(read.val)
      else if (read.err) this.#options.log.warn({ error: read.val }, 'configuration not read again')
      return read.ok
    })
    return this.#refreshing
  }

  #read (item: KeyValue): void {
    if (item.key === this.#options.configurationKey) return this.#adopt(item)
    const { decodeWave, records, log } = this.#options
    const decoded = decodeWave(item)
    if (decoded === undefined) return
    const wave = records.read(item, () => decoded)
    if (wave === undefined) return
    this.waves.set(item.key, wave)
    log.info({ wave: wave.wave, machines: wave.machineIds.length, deadlineMs: wave.deadlineMs, maxAtOnce: wave.maxAtOnce, revision: item.modRevision }, 'wave requested')
  }

  #adopt (item: KeyValue): void {
    const { decodeConfiguration, records, log } = this.#options
    // One that cannot be read leaves the one in force.
    const next = records.read(item, decodeConfiguration)
    if (next === undefined || (this.#configuration !== undefined && next.version <= this.#configuration.version)) return
    log.info({ version: next.version, before: this.#configuration?.version, revision: item.modRevision, queues: next.queues.length, services: next.services.length }, 'configuration in force')
    this.#configuration = next
  }
}
