/**
 * Finds out whether every entry host that could still send to a host has stopped.
 *
 * @module
 */
import { z } from 'zod'
import { isHostId, type AvailabilityZone, type EntryHostId, type HostId } from '@quillscale/model'
import type { PeerMesh } from '@quillscale/membership'
import type { ServiceRegistry } from './ServiceRegistry.js'
import { zoneHostsName } from './FleetView.js'
import type { StateReplica } from './StateReplica.js'

/** The topic of these questions. @public */
export const CONFIRM_DRAINED_TOPIC = 'fleet/confirm-drained'
const ASK_TIMEOUT_MS = 1000

const questionSchema = z.object({ zone: z.string(), hostIds: z.array(z.custom<HostId>(isHostId)) })
const answerSchema = z.object({ revision: z.number(), busy: z.array(z.string()) })

/** What was found out. @public */
export interface DrainState {
  readonly isDrained: boolean
  readonly unconfirmed: readonly string[]
}

/** What it works on. @public */
export interface DrainConfirmationOptions {
  readonly mesh: PeerMesh
  readonly registry: () => ServiceRegistry
  readonly states: StateReplica
  readonly zone: AvailabilityZone
  /** Entry hosts that the platform lists as gone: they cannot send any more. */
  readonly gone: () => ReadonlySet<EntryHostId>
  /** Whether a job runs on a host. */
  readonly hasJobsOn: (hostId: HostId) => boolean
}

/** Asks and answers. @public */
export class DrainConfirmation {
  readonly #options: DrainConfirmationOptions

  /** @param options - what it works on */
  constructor (options: DrainConfirmationOptions) {
    this.#options = options
  }

  /** @param body - a question of a zone's holder @returns which of the hosts have requests of this entry host in flight, or slots lent to others */
  answer (body: unknown): z.infer<typeof answerSchema> {
    const { zone, hostIds } = questionSchema.parse(body)
    const services = [...this.#options.registry().services.values()]
    const isBusy = (hostId: HostId): boolean => this.#options.hasJobsOn(hostId) || services.some(({ router }) => {
      const state = router.target(hostId)
      // A lent slot counts as busy until it is given back, so that only entry hosts of the zone need to be asked.
      return state !== undefined && (state.inFlight > 0 || state.lentSlots > 0)
    })
    return { revision: this.#options.states.get(zoneHostsName(zone as AvailabilityZone))?.revision ?? 0, busy: hostIds.filter(isBusy) }
  }

  /**
   * Asks all entry hosts about hosts that are being drained.
   *
   * @param hostIds - the hosts
   * @param revision - of the document that says so; an entry host that has an older one may still send
   * @returns the state of each
   */
  async ask (hostIds: readonly HostId[], revision: number): Promise<Map<HostId, DrainState>> {
    const { mesh, zone, gone } = this.#options
    const busy = new Set<string>(this.answer({ zone, hostIds }).busy)
    const unconfirmed: string[] = []
    const known = mesh.members().filter(({ entryHostId, availabilityZone }) => availabilityZone === zone && !gone().has(entryHostId))
    await Promise.all(known.map(async ({ entryHostId, state }) => {
      const asked = state === 'unreachable' ? undefined : await mesh.request(entryHostId, CONFIRM_DRAINED_TOPIC, { zone, hostIds }, ASK_TIMEOUT_MS)
      const parsed = answerSchema.safeParse(asked?.val)
      if (asked?.ok !== true || !parsed.success || parsed.data.revision < revision) unconfirmed.push(entryHostId)
      else for (const hostId of parsed.data.busy) busy.add(hostId)
    }))
    return new Map(hostIds.map((hostId) => [hostId, { isDrained: unconfirmed.length === 0 && !busy.has(hostId), unconfirmed }]))
  }
}
