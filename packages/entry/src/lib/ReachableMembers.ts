/**
 * Which entry hosts this one can work with, and in what role.
 *
 * @module
 */
import { z } from 'zod'
import type { AvailabilityZone, EntryHostId } from '@quillscale/model'
import type { Member, PeerIdentity, PeerMesh } from '@quillscale/membership'
import type { HostList } from './HostList.js'
import { spareSchema } from './SlotLending.js'

/** Checks what heartbeats tell. @public */
export const peerStatusSchema = z.object({
  /** Sums up everything in force. */
  digest: z.number(),
  /** Whether the sender holds its zone's lease. */
  isHolder: z.boolean(),
  /** Slots that it could lend, by service. */
  spare: spareSchema
})

/** What heartbeats tell. @public */
export type PeerStatus = z.infer<typeof peerStatusSchema>

const isHolder = ({ status }: Member): boolean => peerStatusSchema.safeParse(status).data?.isHolder === true

/** Other entry hosts as this one sees them. @public */
export class ReachableMembers {
  readonly #mesh: PeerMesh
  readonly #self: PeerIdentity
  readonly #hostList: HostList

  /**
   * @param mesh - the links
   * @param self - who this is
   * @param hostList - tells which entry hosts of the zone are gone
   */
  constructor (mesh: PeerMesh, self: PeerIdentity, hostList: HostList) {
    this.#mesh = mesh
    this.#self = self
    this.#hostList = hostList
  }

  /** Working entry hosts of this zone, this one among them. */
  get zoneMembers (): EntryHostId[] {
    const others = this.#mesh.listReachable(this.#self.availabilityZone).map(({ entryHostId }) => entryHostId)
    return [this.#self.entryHostId, ...others].sort()
  }

  /** Zones with a reachable entry host, this one among them. */
  get zones (): AvailabilityZone[] {
    return [...new Set([this.#self.availabilityZone, ...this.#reachable().map(({ availabilityZone }) => availabilityZone)])]
  }

  /** Whether another entry host of this zone holds its lease. */
  get isHolderInReach (): boolean {
    return this.#mesh.listReachable(this.#self.availabilityZone).some(isHolder)
  }

  /** Entry hosts of this zone that the platform lists as gone. */
  get gone (): ReadonlySet<EntryHostId> {
    const listed = [...this.#hostList.hosts.values()].filter(({ role, state }) => role === 'entry' && state === 'gone')
    return new Set(listed.map(({ hostId }) => hostId as string as EntryHostId))
  }

  /** @param isSelfHolder - whether this entry host holds its zone's lease @returns reachable holders, the own zone's first */
  holders (isSelfHolder: boolean): EntryHostId[] {
    const others = this.#reachable().filter(isHolder)
    const isNear = ({ availabilityZone }: Member): boolean => availabilityZone === this.#self.availabilityZone
    const ordered = [...others.filter(isNear), ...others.filter((member) => !isNear(member))]
    return [...(isSelfHolder ? [this.#self.entryHostId] : []), ...ordered.map(({ entryHostId }) => entryHostId)]
  }

  #reachable (): Member[] {
    return this.#mesh.members().filter(({ state }) => state === 'reachable')
  }
}
