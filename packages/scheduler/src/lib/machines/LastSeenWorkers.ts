/**
 * Keeps for a next holder which worker each machine had when it was last listed.
 *
 * A list shows that a machine is down, not which worker it had: that is known from the list before. A holder that began with
 * nothing would never tell of machines that went down while the duty changed hands. However old a sighting is, a machine that
 * is down now has lost the worker that it had then.
 *
 * @module
 */
import { decodeJson } from '@quillscale/utils'
import type { KeyValue, ListedMachine, WorkerId } from '@quillscale/ports'
import * as z from 'zod'
import type { RecordReader } from '../records/RecordReader.js'
import { SIGHTINGS_PREFIX, sightingsKey } from '../records/storeKeys.js'

/** Workers by machine, of one pool. */
const sightingsSchema = z.record(z.string(), z.string())

/** A pool whose record is not what it should be; `undefined` where it is to be removed. @public */
export interface LastSeenChange {
  readonly key: string
  readonly value: string | undefined
}

/** Machines move often: their pools are written together, this often at most, as often as they are listed. A kill loses what came since. */
const WRITE_SPACING_MS = 300

/** The record. @public */
export class LastSeenWorkers {
  readonly #written = new Map<string, string>()
  #writtenMs = -Infinity

  /** @param items - as former holders wrote them @param records - reads them @returns the machines as last listed */
  restore (items: readonly KeyValue[], records: RecordReader): Map<string, ListedMachine> {
    const sightings = new Map<string, ListedMachine>()
    for (const item of items) {
      const pool = item.key.slice(SIGHTINGS_PREFIX.length)
      this.#written.set(pool, item.value)
      const workers = records.read(item, (text) => decodeJson(sightingsSchema, text)) ?? {}
      for (const [machineId, workerId] of Object.entries(workers)) {
        sightings.set(machineId, { machineId, pool, state: 'up', availabilityZone: '', workerId: workerId as WorkerId })
      }
    }
    return sightings
  }

  /**
   * @param list - the present one
   * @param nowMs - monotonic
   * @param isHandOver - whether there will be no later call
   * @returns what is to be written now
   */
  changesToWrite (list: Iterable<ListedMachine>, nowMs: number, isHandOver = false): LastSeenChange[] {
    if (!isHandOver && nowMs < this.#writtenMs + WRITE_SPACING_MS) return []
    this.#writtenMs = nowMs
    const texts = textsByPool(list)
    const changed = [...texts].filter(([pool, text]) => this.#written.get(pool) !== text)
    const emptied = [...this.#written.keys()].filter((pool) => !texts.has(pool))
    for (const [pool, text] of changed) this.#written.set(pool, text)
    for (const pool of emptied) this.#written.delete(pool)
    return [
      ...changed.map(([pool, value]) => ({ key: sightingsKey(pool), value })),
      ...emptied.map((pool) => ({ key: sightingsKey(pool), value: undefined }))
    ]
  }
}

/** Machines without a worker tell a next holder nothing. */
function textsByPool (list: Iterable<ListedMachine>): Map<string, string> {
  const entries = new Map<string, Array<[machineId: string, workerId: string]>>()
  const seen = [...list].filter(({ state, workerId }) => state === 'up' && workerId !== '').sort((a, b) => a.machineId < b.machineId ? -1 : 1)
  for (const { machineId, pool, workerId } of seen) {
    const ofPool = entries.get(pool) ?? []
    ofPool.push([machineId, workerId])
    entries.set(pool, ofPool)
  }
  return new Map([...entries].map(([pool, ofPool]) => [pool, JSON.stringify(Object.fromEntries(ofPool))]))
}
