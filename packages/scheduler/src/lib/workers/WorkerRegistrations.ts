/**
 * Reads a service's workers from the entries below the workers' prefix, where others than workers may have written too.
 *
 * An entry counts as a worker only if it is entirely valid. Each entry is decoded once per revision: decoding all 380 of a fleet takes 3 ms
 * of CPU time, and while machines move some entries change up to six times a second.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import { isNextLifetime, type KeyValue, type WorkerId, type WorkerInstance } from '@quillscale/ports'
import type { RecordProblem, RecordReader } from '../records/RecordReader.js'

/** Dependencies of {@link WorkerRegistrations}. @public */
export interface WorkerRegistrationsOptions {
  readonly service: string
  readonly prefix: string
  readonly decodeWorker: (item: KeyValue) => Result<WorkerInstance, RecordProblem>
  /** Whether the configuration in force contains a service of that name. */
  readonly isServiceConfigured: (service: string) => boolean
  readonly records: RecordReader
}

/** The current registrations. @public */
export interface RegisteredWorkers {
  /** The service's workers with valid entries. */
  readonly workers: readonly WorkerInstance[]
  /** Worker ids of all entries, of any service, valid or not. */
  readonly registeredIds: ReadonlySet<WorkerId>
  /** Workers of other services that have a later lifetime than at the previous reading, without having been about to end. */
  readonly restartedElsewhere: readonly WorkerInstance[]
}

interface CachedEntry { readonly revision: number, readonly worker: WorkerInstance | undefined }

/** Decodes worker registrations and caches them by revision. @public */
export class WorkerRegistrations {
  readonly #options: WorkerRegistrationsOptions
  readonly #cache = new Map<string, CachedEntry>()

  /** @param options - dependencies of the reader */
  constructor (options: WorkerRegistrationsOptions) {
    this.#options = options
  }

  /** Decodes the registrations. @param items - the current entries below the prefix @returns the registered workers */
  read (items: ReadonlyMap<string, KeyValue>): RegisteredWorkers {
    const { service, prefix } = this.#options
    for (const key of this.#cache.keys()) if (!items.has(key)) this.#cache.delete(key)
    const workers: WorkerInstance[] = []
    const restartedElsewhere: WorkerInstance[] = []
    for (const item of items.values()) {
      const previous = this.#cache.get(item.key)?.worker
      const worker = this.#decodeCached(item)
      if (worker?.service === service) workers.push(worker)
      else if (worker !== undefined && hasRestarted(worker, previous)) restartedElsewhere.push(worker)
    }
    return { workers, restartedElsewhere, registeredIds: new Set([...items.keys()].map((key) => key.slice(prefix.length) as WorkerId)) }
  }

  #decodeCached (item: KeyValue): WorkerInstance | undefined {
    const cached = this.#cache.get(item.key)
    if (cached?.revision === item.modRevision) return cached.worker
    const worker = this.#decode(item)
    this.#cache.set(item.key, { revision: item.modRevision, worker })
    return worker
  }

  #decode (item: KeyValue): WorkerInstance | undefined {
    const { decodeWorker, isServiceConfigured, records } = this.#options
    const decoded = decodeWorker(item)
    if (decoded.err) {
      records.reject(item, decoded.val)
      return undefined
    }
    const { service } = decoded.val
    if (!isServiceConfigured(service)) records.reject(item, { reason: 'unknown-service', path: '', detail: `no service ${service} in the configuration in force` })
    return decoded.val
  }
}

/** Whether a worker in use has started again in the same service. */
function hasRestarted (worker: WorkerInstance, previous: WorkerInstance | undefined): boolean {
  if (previous === undefined || previous === worker) return false
  return previous.service === worker.service && previous.state === 'ready' && isNextLifetime(worker.instanceId, previous.instanceId)
}
