/**
 * Demands as services' schedulers write them, without those whose scheduler is gone.
 *
 * @module
 */
import type { KeyValue } from '@quillscale/ports'
import type { ServiceDemand } from '@quillscale/policy'
import type { RecordReader } from './RecordReader.js'
import { DEMAND_PREFIX, decodeDemand } from './serviceDemand.js'

/** A demand that did not change for so long is of a scheduler that is gone: nothing is moved by it. A living one repeats it each 2 s. */
const DEMAND_VALID_MS = 5000

interface Seen { readonly revision: number, readonly atMs: number }

/** The book. @public */
export class DemandTracker {
  readonly #records: RecordReader
  readonly #seen = new Map<string, Seen>()

  /** @param records - reads what may be anybody's */
  constructor (records: RecordReader) {
    this.#records = records
  }

  /** @param items - demands as kept @param nowMs - monotonic @returns those whose scheduler has spoken lately */
  current (items: ReadonlyMap<string, KeyValue>, nowMs: number): ServiceDemand[] {
    return [...items.values()].flatMap((item) => {
      const { key, modRevision } = item
      const seen = this.#seen.get(key)
      const isNew = seen?.revision !== modRevision
      if (isNew) this.#seen.set(key, { revision: modRevision, atMs: nowMs })
      if (!isNew && nowMs - seen.atMs >= DEMAND_VALID_MS) return []
      return this.#records.read(item, (text) => decodeDemand(key.slice(DEMAND_PREFIX.length), text)) ?? []
    })
  }
}
