/**
 * Whether an entry host knows enough to serve: the health check and the operators' status tell the same.
 *
 * @module
 */
import type { EntryHostParts } from './EntryHostParts.js'

/**
 * Tells whether callers can be served.
 *
 * @param parts - what it has to know
 * @returns whether a configuration is in force and the zone's hosts are known
 * @internal
 */
export function isReady ({ replica, hostList }: Pick<EntryHostParts, 'replica' | 'hostList'>): boolean {
  return replica.isComplete && hostList.isKnown
}
