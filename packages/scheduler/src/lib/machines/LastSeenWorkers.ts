/**
 * Records which worker each machine had when it was last listed, for the next holder of the machine duty.
 *
 * A list shows that a machine is down, but not which worker it had; only the previous list shows that. Without this record, a new holder
 * would never report machines that went down while the duty changed hands. The age of an entry does not matter: a machine that is down
 * now has lost the worker that it had then.
 *
 * @module
 */
import { decodeJson } from '@quillscale/utils'
import type { KeyValue, ListedMachine, WorkerId } from '@quillscale/ports'
import * as z from 'zod'
import type { RecordReader } from '../records/RecordReader.js'
import { SIGHTINGS_PREFIX, sightingsKey } from '../records/storeKeys.js'

/** Worker ids by machine id, for one pool. */
const workerByMachineSchema = z.record(z.string(), z.string())

/** A record of one pool to write; a value of `undefined` removes it. @public */
export interface LastSeenChange {
  readonly key: string
  readonly value: string | undefined
}

/** Machines move often, so all changed pools are written together, at most as often as machines are listed. A killed holder loses newer changes. */
const MIN_WRITE_INTERVAL_MS = 300

/** Tracks the recorded worker of each machine, and which pools have to be written again. @public */
export class LastSeenWorkers {
  readonly #writtenByPool = new Map<string, string>()
  #lastWriteMs = -Infinity

  /** Restores the records of previous holders. @param items - the stored records @param records - decodes them @returns the machines as last listed */
  restore (items: readonly KeyValue[], records: RecordReader): Map<string, ListedMachine> {
    const lastSeen = new Map<string, ListedMachine>()
    for (const item of items) {
      const pool = item.key.slice(SIGHTINGS_PREFIX.length)
      this.#writtenByPool.set(pool, item.value)
      const workers = records.read(item, (text) => decodeJson(workerByMachineSchema, text)) ?? {}
      for (const [machineId, workerId] of Object.entries(workers)) {
        lastSeen.set(machineId, { machineId, pool, state: 'up', availabilityZone: '', workerId: workerId as WorkerId })
      }
    }
    return lastSeen
  }

  /**
   * Returns the records to write now, and treats them as written.
   *
   * @param list - the current machines
   * @param nowMs - monotonic time
   * @param isHandover - whether this is the last call, which ignores the minimum interval
   * @returns the records to write or remove
   */
  changesToWrite (list: Iterable<ListedMachine>, nowMs: number, isHandover = false): LastSeenChange[] {
    if (!isHandover && nowMs < this.#lastWriteMs + MIN_WRITE_INTERVAL_MS) return []
    this.#lastWriteMs = nowMs
    const textByPool = encodeByPool(list)
    const changed = [...textByPool].filter(([pool, text]) => this.#writtenByPool.get(pool) !== text)
    const emptied = [...this.#writtenByPool.keys()].filter((pool) => !textByPool.has(pool))
    for (const [pool, text] of changed) this.#writtenByPool.set(pool, text)
    for (const pool of emptied) this.#writtenByPool.delete(pool)
    return [
      ...changed.map(([pool, value]) => ({ key: sightingsKey(pool), value })),
      ...emptied.map((pool) => ({ key: sightingsKey(pool), value: undefined }))
    ]
  }
}

/** Encodes one record for each pool; machines without a worker are left out because there is no worker to lose. */
function encodeByPool (list: Iterable<ListedMachine>): Map<string, string> {
  const entries = new Map<string, Array<[machineId: string, workerId: string]>>()
  const withWorker = [...list].filter(({ state, workerId }) => state === 'up' && workerId !== '').sort((a, b) => a.machineId < b.machineId ? -1 : 1)
  for (const { machineId, pool, workerId } of withWorker) {
    const poolEntries = entries.get(pool) ?? []
    poolEntries.push([machineId, workerId])
    entries.set(pool, poolEntries)
  }
  return new Map([...entries].map(([pool, poolEntries]) => [pool, JSON.stringify(Object.fromEntries(poolEntries))]))
}
