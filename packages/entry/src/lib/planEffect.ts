/**
 * Tells operators what a change would do to hosts, before it is applied.
 *
 * @module
 */
import type { AvailabilityZone, HostSpec, MaintenanceSpec, PoolSpec } from '@quillscale/model'
import { assignPools, claimPool, dueMaintenance, hostLabels, orderClaims, type AssignableHost } from '@quillscale/fleet'
import type { Edit } from '@quillscale/configuration'
import type { EntryHostParts } from './EntryHostParts.js'

/** What a change would do to the hosts of one zone. @public */
export interface ZonePlan {
  readonly availabilityZone: AvailabilityZone
  readonly moves: ReadonlyArray<{ hostId: string, from: string | null, to: string | null, isDrained: boolean }>
  readonly maintenance: ReadonlyArray<{ hostId: string, maintenance: string, wantedVersion: string }>
  /** Hosts that several pools would claim. */
  readonly ambiguous: ReadonlyArray<{ hostId: string, claimedBy: readonly string[] }>
}

/** Declarations of one kind as they would be. */
function withEdits<T> (inForce: ReadonlyMap<string, { spec: T }>, edits: readonly Edit[], kind: Edit['kind']): Map<string, T> {
  const specs = new Map([...inForce].map(([name, { spec }]) => [name, spec]))
  for (const edit of edits) {
    if (edit.kind !== kind) continue
    if (edit.spec === null) specs.delete(edit.name)
    else specs.set(edit.name, edit.spec as T)
  }
  return specs
}

/**
 * Plans for the hosts of this entry host's zone.
 *
 * @param parts - of this entry host
 * @param body - an operator's request
 * @returns the effect
 * @public
 */
export function planEffect (parts: EntryHostParts, body: unknown): ZonePlan {
  const { edits } = parts.editDesk.parse(body)
  const { replica, hostList, fleetView, registry, self } = parts
  const pools = [...withEdits<PoolSpec>(replica.declarations('pool'), edits, 'pool')].map(([name, spec]) => ({ name, spec }))
  const declared = withEdits<HostSpec>(replica.declarations('host'), edits, 'host')
  const maintenances = [...withEdits<MaintenanceSpec>(replica.declarations('maintenance'), edits, 'maintenance')].map(([name, spec]) => ({ name, spec }))
  const { workers } = hostList
  const hosts = workers.map((host): AssignableHost => ({
    hostId: host.hostId,
    labels: hostLabels(host, declared.get(host.hostId)),
    currentPool: fleetView.host(host.hostId)?.pool,
    isHealthy: host.state !== 'gone',
    isMaintenanceDue: false
  }))
  const wanted = assignPools(hosts, pools)
  const ordered = orderClaims(pools)
  return {
    availabilityZone: self.availabilityZone,
    moves: hosts.filter(({ hostId, currentPool }) => (currentPool ?? null) !== wanted.get(hostId)).map(({ hostId, currentPool }) => ({
      hostId, from: currentPool ?? null, to: wanted.get(hostId) ?? null, isDrained: (registry.placed.get(hostId)?.services.length ?? 0) > 0
    })),
    maintenance: workers.flatMap((host) => {
      const pool = wanted.get(host.hostId) ?? undefined
      const due = dueMaintenance({ labels: hostLabels(host, declared.get(host.hostId), pool), version: host.version }, maintenances)
      return due === undefined ? [] : [{ hostId: host.hostId, maintenance: due.name, wantedVersion: due.spec.wantedVersion }]
    }),
    ambiguous: hosts.map(({ hostId, labels }) => ({ hostId, claimedBy: claimPool(labels, ordered).claims })).filter(({ claimedBy }) => claimedBy.length > 1)
  }
}

/**
 * Plans for all zones in reach.
 *
 * @param parts - of this entry host
 * @param body - an operator's request
 * @param askAll - asks this and all other entry hosts
 * @returns the effect, and the zones that no entry host answered for
 * @public
 */
export async function explainPlan (
  parts: EntryHostParts, body: unknown, askAll: (body: unknown) => Promise<ReadonlyArray<{ answer: unknown }>>
): Promise<unknown> {
  const { edits } = parts.editDesk.parse(body)
  const preview = parts.editDesk.preview(edits)
  const answers = (await askAll(body)).flatMap(({ answer }) => answer === null ? [] : [answer as ZonePlan])
  const zones = new Map(answers.map((plan) => [plan.availabilityZone, plan]))
  const known = parts.mesh.members().map(({ availabilityZone }) => availabilityZone)
  return {
    edits: preview,
    moves: [...zones.values()].flatMap(({ moves }) => moves),
    maintenance: [...zones.values()].flatMap(({ maintenance }) => maintenance),
    ambiguous: [...zones.values()].flatMap(({ ambiguous }) => ambiguous),
    notAsked: [...new Set(known)].filter((zone) => !zones.has(zone))
  }
}
