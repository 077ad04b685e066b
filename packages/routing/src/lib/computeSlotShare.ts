/**
 * Divides a target's slots among the entry hosts of its zone without a word between them.
 *
 * @module
 */
import { rendezvousOrder } from '@quillscale/utils'
import type { EntryHostId, HostId } from '@quillscale/model'

/**
 * Computes one entry host's share of a target's slots.
 *
 * The remainder goes by rendezvous order, so that it falls on different entry hosts for different targets and a change
 * of members moves little. The shares of all members sum to the slots as long as members see the same view; where views
 * differ, the target's own refusal bounds what it runs.
 *
 * @param hostId - the target's host
 * @param slots - what the target runs at once
 * @param members - the zone's working entry hosts, this one among them
 * @param selfId - this entry host
 * @returns how many slots this entry host may use
 * @public
 */
export function computeSlotShare (hostId: HostId, slots: number, members: readonly EntryHostId[], selfId: EntryHostId): number {
  const baseSlots = Math.floor(slots / members.length)
  const remainder = slots % members.length
  const rank = rendezvousOrder(hostId, members).indexOf(selfId)
  return baseSlots + (rank < remainder ? 1 : 0)
}
