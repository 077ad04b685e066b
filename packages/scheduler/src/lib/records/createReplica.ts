/**
 * Creates the local replicas of parts of the store that duties work with.
 *
 * @module
 */
import { PrefixReplica, type PrefixReplicaOptions } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'

/** Duration of one watch call. A dead connection is noticed after the same time again. */
const WATCH_TIMEOUT_MS = 3000
/** Events that a watch missed are found within this time. It is below 10 s, after which a job that was not started counts as lost. */
const RELIST_INTERVAL_MS = 8000

/**
 * Creates a replica of all keys under a prefix.
 *
 * @param log - receives a warning when the store stops answering, and one when it answers again
 * @param options - the prefix to replicate and the callback for changes
 * @returns the replica, which the caller has to run
 * @public
 */
export function createReplica (log: EventLog, options: Omit<PrefixReplicaOptions, 'watchMs' | 'relistMs' | 'onContactChange'>): PrefixReplica {
  const { prefix } = options
  return new PrefixReplica({
    ...options,
    watchMs: WATCH_TIMEOUT_MS,
    relistMs: RELIST_INTERVAL_MS,
    onContactChange: (error) => log.warn({ prefix, error }, error === undefined ? 'store answers again' : 'store does not answer')
  })
}
