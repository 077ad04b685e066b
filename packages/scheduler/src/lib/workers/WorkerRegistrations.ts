/**
 * Which workers a service has, by what is written below the workers' prefix: by the workers, and by anybody else.
 *
 * An entry names a worker to use only if all of it is as a worker writes it. Entries are decoded once a revision: all 380 of a fleet take
 * 3 ms of a core, and while machines move some of them change up to six times a second.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { KeyValue, WorkerId, WorkerInstance } from '@quillscale/ports'
import type { RecordProblem, RecordReader } from '../records/RecordReader.js'

/** What it works with. @public */
export interface WorkerRegistrationsOptions {
  readonly service: string
  readonly prefix: string
  readonly decodeWorker: (item: KeyValue) => Result<WorkerInstance, RecordProblem>
  /** Whether the configuration in force has a service of that name. */
  readonly isServiceConfigured: (service: string) => boolean
  readonly records: RecordReader
}

/** What is registered now. @public */
export interface RegisteredWorkers {
  /** The service's workers whose entries can be read. */
  readonly workers: readonly WorkerInstance[]
  /** Of all entries that are there, whosever they are and whether or not they can be read. */
  readonly registeredIds: ReadonlySet<WorkerId>
}

interface CachedEntry { readonly revision: number, readonly worker: WorkerInstance | undefined }

/** The registrations. @public */
export class WorkerRegistrations {
  readonly #options: WorkerRegistrationsOptions
  readonly #cache = new Map<string, CachedEntry>()

  /** @param options - what it works with */
  constructor (options: WorkerRegistrationsOptions) {
    this.#options = options
  }

  /** @param items - below the prefix, as they are now @returns who is registered */
  read (items: ReadonlyMap<string, KeyValue>): RegisteredWorkers {
    const { service, prefix } = this.#options
    for (const key of this.#cache.keys()) if (!items.has(key)) this.#cache.delete(key)
    const workers: WorkerInstance[] = []
    for (const item of items.values()) {
      const worker = this.#decodeCached(item)
      if (worker?.service === service) workers.push(worker)
    }
    return { workers, registeredIds: new Set([...items.keys()].map((key) => key.slice(prefix.length) as WorkerId)) }
  }

  #decodeCached (item: KeyValue): WorkerInstance | undefined {
    const known = this.#cache.get(item.key)
    if (known?.revision === item.modRevision) return known.worker
    const worker = this.#decode(item)
    this.#cache.set(item.key, { revision: item.modRevision, worker })
    return worker
  }

  #decode (item: KeyValue): WorkerInstance | undefined {
    const { decodeWorker, isServiceConfigured: isServiceNamed, records } = this.#options
    const decoded = decodeWorker(item)
    if (decoded.err) {
      records.reject(item, decoded.val)
      return undefined
    }
    const { service } = decoded.val
    if (!isServiceNamed(service)) records.reject(item, { reason: 'unknown-service', path: '', detail: `no service ${service} in the configuration in force` })
    return decoded.val
  }
}
