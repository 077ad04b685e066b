/**
 * Decides which pool each host of the zone should be in, by declarations and the present state of hosts.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { assignPools, hostLabels, type AssignableHost } from '@quillscale/fleet'
import { declaredMaintenances } from './declaredMaintenances.js'
import type { FleetView } from './FleetView.js'
import type { HostList } from './HostList.js'
import { isMaintenanceDueNow } from './isMaintenanceDueNow.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { TargetSignals } from './TargetSignals.js'

/** Where the facts come from. @internal */
export interface PoolSources {
  readonly replica: ConfigurationReplica
  readonly hostList: HostList
  readonly registry: ServiceRegistry
  readonly view: FleetView
  readonly signals: TargetSignals
}

/**
 * Lists a zone's workers as candidates for pools.
 *
 * @param sources - declarations, the list of hosts, placements, the view of the zone, signals
 * @param wallMs - the present time of day
 * @returns all of them
 * @internal
 */
export function assignableHosts ({ replica, hostList, registry, view, signals }: PoolSources, wallMs: number): AssignableHost[] {
  const declared = replica.declarations('host')
  const maintenances = declaredMaintenances(replica)
  return hostList.workers.map((host): AssignableHost => {
    const labels = hostLabels(host, declared.get(host.hostId)?.spec)
    const pool = registry.placed.get(host.hostId)?.pool ?? ''
    return {
      hostId: host.hostId,
      labels,
      currentPool: view.host(host.hostId)?.pool,
      isHealthy: host.state !== 'gone' && signals.signalOf(host.hostId) !== 'down' && view.work(host.hostId)?.phase !== 'failed',
      isMaintenanceDue: isMaintenanceDueNow({ labels: { ...labels, pool }, version: host.version }, maintenances, wallMs)
    }
  })
}

/**
 * Decides the pool of each host.
 *
 * @param hosts - the zone's workers
 * @param replica - the declarations in force
 * @returns the pool that each should be in, `null` for none
 * @internal
 */
export function wantedPools (hosts: readonly AssignableHost[], replica: ConfigurationReplica): Map<HostId, string | null> {
  return assignPools(hosts, [...replica.declarations('pool').values()])
}
