/**
 * Copies of parts of the store, as all duties follow them.
 *
 * @module
 */
import { PrefixReplica, type PrefixReplicaOptions } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'

/** How long one watch waits: after so much more a silent connection is noticed. */
const WATCH_MS = 3000
/** What a watch missed is found after so long: below the 10 s after which a job that nobody starts counts as lost. */
const RELIST_MS = 8000

/**
 * @param log - told when the store stops answering, and when it answers again
 * @param options - what is followed
 * @returns the copy, to be run
 * @public
 */
export function createReplica (log: EventLog, options: Omit<PrefixReplicaOptions, 'watchMs' | 'relistMs' | 'onContact'>): PrefixReplica {
  const { prefix } = options
  return new PrefixReplica({
    ...options,
    watchMs: WATCH_MS,
    relistMs: RELIST_MS,
    onContact: (error) => log.warn({ prefix, error }, error === undefined ? 'store answers again' : 'store does not answer')
  })
}
