/**
 * Holds what operators have requested besides the configuration: maintenance waves, and evacuations of availability zones.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { EvacuationRequest, KeyValue, WaveRequest } from '@quillscale/ports'
import type { PrefixChange } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'
import type { RecordProblem, RecordReader } from './RecordReader.js'

/** Dependencies of {@link OperatorRequests}. @public */
export interface OperatorRequestsOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** Decodes a wave request; returns `undefined` for a key that does not belong to one. */
  readonly decodeWave: (item: KeyValue) => Result<WaveRequest, RecordProblem> | undefined
  /** Decodes an evacuation request; returns `undefined` for a key that does not belong to one. */
  readonly decodeEvacuation: (item: KeyValue) => Result<EvacuationRequest, RecordProblem> | undefined
  /** Returns the age of the watched records: how far they may lag behind the store. */
  readonly ageMs: (nowMs: number) => number
}

/** An evacuation that a rejected transaction revealed before the watch did. */
interface Finding { readonly request: EvacuationRequest, readonly foundMs: number }

/** Tracks the operators' open requests. @public */
export class OperatorRequests {
  /** Requested waves by key. */
  readonly waves = new Map<string, WaveRequest>()
  readonly #options: OperatorRequestsOptions
  /** Watched evacuations by key. */
  readonly #evacuations = new Map<string, EvacuationRequest>()
  /** By key; each is valid until the watch has caught up with it. */
  readonly #findings = new Map<string, Finding>()

  /** @param options - how to decode the requests */
  constructor (options: OperatorRequestsOptions) {
    this.#options = options
  }

  /** Applies watched changes of the operators' records; those of other kinds are ignored. @param change - the changes */
  applyChange ({ changed, removed }: PrefixChange): void {
    for (const item of changed) {
      this.#applyWave(item)
      this.#applyEvacuation(item)
    }
    for (const key of removed) {
      this.waves.delete(key)
      const request = this.#evacuations.get(key)
      if (request === undefined) continue
      this.#evacuations.delete(key)
      this.#options.log.info(logFieldsOf(request), 'evacuation withdrawn')
    }
  }

  /**
   * Takes note of evacuations that a transaction found in the store, and that the watch may not have reported yet.
   *
   * @param items - current records of evacuations
   */
  addFindings (items: readonly KeyValue[]): void {
    const { decodeEvacuation, clock, log } = this.#options
    for (const item of items) {
      const decoded = decodeEvacuation(item)
      if (decoded?.ok !== true || this.#evacuations.has(item.key)) continue
      this.#findings.set(item.key, { request: decoded.val, foundMs: clock.monotonicMs() })
      log.info(logFieldsOf(decoded.val), 'evacuation found by a transaction')
    }
  }

  /** Evacuations in force. */
  get evacuations (): EvacuationRequest[] {
    this.#dropConfirmedFindings()
    return [...this.#evacuations.values(), ...[...this.#findings.values()].map(({ request }) => request)]
  }

  /** Tells whether an availability zone is evacuated. @param availabilityZone - its name @returns true if its workers get no new work */
  isEvacuated (availabilityZone: string): boolean {
    if (this.#evacuations.size + this.#findings.size === 0) return false
    return this.evacuations.some((request) => request.availabilityZone === availabilityZone)
  }

  /** Drops findings that are older than the watched state, which is then the better source. */
  #dropConfirmedFindings (): void {
    if (this.#findings.size === 0) return
    const nowMs = this.#options.clock.monotonicMs()
    const watchedAtMs = nowMs - this.#options.ageMs(nowMs)
    for (const [key, { foundMs }] of this.#findings) {
      if (this.#evacuations.has(key) || foundMs < watchedAtMs) this.#findings.delete(key)
    }
  }

  #applyWave (item: KeyValue): void {
    const decoded = this.#options.decodeWave(item)
    if (decoded === undefined) return
    const wave = this.#options.records.read(item, () => decoded)
    if (wave === undefined) return
    this.waves.set(item.key, wave)
    this.#options.log.info({ wave: wave.wave, machines: wave.machineIds.length, deadlineMs: wave.deadlineMs, maxAtOnce: wave.maxAtOnce, revision: item.modRevision }, 'wave requested')
  }

  #applyEvacuation (item: KeyValue): void {
    const { decodeEvacuation, records, log, ageMs, clock } = this.#options
    const decoded = decodeEvacuation(item)
    if (decoded === undefined) return
    const request = records.read(item, () => decoded)
    if (request === undefined) return
    const isNew = !this.#evacuations.has(item.key)
    this.#evacuations.set(item.key, request)
    if (isNew) log.info({ ...logFieldsOf(request), ageMs: Math.round(ageMs(clock.monotonicMs())) }, 'evacuation requested')
  }
}

/** Names the zone unlike the host's own, which each log line has. */
function logFieldsOf ({ availabilityZone, revision }: EvacuationRequest): { readonly workerZone: string, readonly revision: number } {
  return { workerZone: availabilityZone, revision }
}
