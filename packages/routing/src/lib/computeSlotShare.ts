/**
 * Divides a target's slots among the entry hosts of its availability zone without any communication between them.
 *
 * @module
 */
import { rendezvousOrder } from '@quillscale/utils'
import type { EntryHostId, HostId } from '@quillscale/model'

/**
 * Computes one entry host's share of a target's slots.
 *
 * The remainder is assigned by rendezvous hashing: different targets give it to different entry hosts, and a membership
 * change moves few slots. The shares add up to `slots` as long as all members have the same view. If views differ, the
 * target itself limits its load by refusing requests.
 *
 * @param hostId - host of the target
 * @param slots - how many requests the target runs at once
 * @param members - the reachable entry hosts of the zone, including this one
 * @param selfId - id of this entry host
 * @returns how many slots this entry host may use
 * @public
 */
export function computeSlotShare (hostId: HostId, slots: number, members: readonly EntryHostId[], selfId: EntryHostId): number {
  const baseSlots = Math.floor(slots / members.length)
  const remainder = slots % members.length
  const rank = rendezvousOrder(hostId, members).indexOf(selfId)
  return baseSlots + (rank < remainder ? 1 : 0)
}
