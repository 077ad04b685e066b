/**
 * Gathers what the planning of maintenance needs to know of a zone's hosts.
 *
 * @module
 */
import type { ConfigurationReplica } from '@quillscale/configuration'
import { hostLabels, type MaintainableHost } from '@quillscale/fleet'
import type { FleetView } from './FleetView.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { TargetSignals } from './TargetSignals.js'

/** Where the facts come from. @internal */
export interface MaintainableHostSources {
  readonly registry: ServiceRegistry
  readonly signals: TargetSignals
  readonly view: FleetView
  readonly replica: ConfigurationReplica
}

/**
 * Lists a zone's hosts as candidates for maintenance.
 *
 * @param sources - placements, signals, the view of the zone, declarations
 * @returns all placed hosts; idle are those that nothing happens to
 * @internal
 */
export function maintainableHosts ({ registry, signals, view, replica }: MaintainableHostSources): MaintainableHost[] {
  const declared = replica.declarations('host')
  return [...registry.placed.values()].map(({ host, pool, services, isLeaving }) => ({
    hostId: host.hostId,
    rack: host.rack,
    version: host.version,
    labels: hostLabels(host, declared.get(host.hostId)?.spec, pool),
    services,
    isIdle: !isLeaving && signals.signalOf(host.hostId) === undefined && view.host(host.hostId) !== undefined && view.work(host.hostId) === undefined,
    expectedDrainMs: 0
  }))
}
