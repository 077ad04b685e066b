/**
 * The right of a zone's holder to act, as every part asks for it.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { LeaseHolder } from '@quillscale/leases'

/**
 * Asks for the right to act now.
 *
 * @param lease - of the zone
 * @param clock - tells the present time
 * @returns the fencing token, `undefined` unless this entry host holds the lease at this moment
 * @internal
 */
export function zoneToken (lease: LeaseHolder, clock: Clock): number | undefined {
  return lease.grantAt(clock.latestMs())?.fencingToken
}
