/**
 * Creates the local replicas of parts of the store that duties work with.
 *
 * @module
 */
import { PrefixReplica, type PrefixReplicaOptions } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'

/** The longest watch call. */
const MAX_WATCH_MS = 3000
/** Part of the allowed age that a watch may wait. Another part passes until its silence is noticed and it is asked again, and the rest is left to act. */
const WATCH_SHARE = 1 / 3
/** Allowed age of a replica that delays decisions but never makes one wrong: what rests on it is checked again by the transaction that records it. */
export const ADVISORY_AGE_MS = MAX_WATCH_MS / WATCH_SHARE
/** Events that a watch missed are found within this time. It is below 10 s, after which a job that was not started counts as lost. */
const RELIST_INTERVAL_MS = 8000

/** Options of {@link createReplica}. @public */
export interface ReplicaOptions extends Omit<PrefixReplicaOptions, 'watchMs' | 'relistMs' | 'onContactChange'> {
  /** How far the replica may lag behind the store, also when its connection goes silent without an error. */
  readonly maxAgeMs: number
}

/**
 * Creates a replica of all keys under a prefix.
 *
 * @param log - receives a warning when the store stops answering, and one when it answers again
 * @param options - the prefix to replicate, the allowed age and the callback for changes
 * @returns the replica, which the caller has to run
 * @public
 */
export function createReplica (log: EventLog, { maxAgeMs, ...options }: ReplicaOptions): PrefixReplica {
  const { prefix } = options
  return new PrefixReplica({
    ...options,
    watchMs: Math.min(MAX_WATCH_MS, Math.floor(maxAgeMs * WATCH_SHARE)),
    relistMs: RELIST_INTERVAL_MS,
    onContactChange: (error) => log.warn({ prefix, error }, error === undefined ? 'store answers again' : 'store does not answer')
  })
}
