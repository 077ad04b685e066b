/**
 * Reads the demands that the schedulers of services publish, and drops those of schedulers that have stopped.
 *
 * @module
 */
import type { KeyValue } from '@quillscale/ports'
import type { ServiceDemand } from '@quillscale/policy'
import type { RecordReader } from './RecordReader.js'
import { DEMAND_PREFIX, decodeDemand } from './serviceDemand.js'

/** A running scheduler writes its demand again every 2 s. After this long without a write, no machine is moved because of the demand. */
const DEMAND_TTL_MS = 5000

/** The last revision of a demand, and when it was first read. */
interface Observation { readonly revision: number, readonly atMs: number }

/** Tracks which demands are up to date. @public */
export class DemandTracker {
  readonly #records: RecordReader
  readonly #observations = new Map<string, Observation>()

  /** @param records - decodes the demands and reports those that are malformed */
  constructor (records: RecordReader) {
    this.#records = records
  }

  /**
   * Selects the demands that were written recently.
   *
   * @param items - the stored demands by key
   * @param nowMs - the current monotonic time
   * @returns the demands of running schedulers
   */
  current (items: ReadonlyMap<string, KeyValue>, nowMs: number): ServiceDemand[] {
    return [...items.values()].flatMap((item) => {
      const { key, modRevision } = item
      const observation = this.#observations.get(key)
      const isNew = observation?.revision !== modRevision
      if (isNew) this.#observations.set(key, { revision: modRevision, atMs: nowMs })
      if (!isNew && nowMs - observation.atMs >= DEMAND_TTL_MS) return []
      return this.#records.read(item, (text) => decodeDemand(key.slice(DEMAND_PREFIX.length), text)) ?? []
    })
  }
}
