/**
 * What an entry host tells operators of itself and of the fleet.
 *
 * @module
 */
import { budgetLeft, countUnavailable, planBuffer, type BufferedService } from '@quillscale/fleet'
import type { SeriesSummary } from '@quillscale/routing'
import type { LinkTraffic } from '@quillscale/membership'
import type { EntryHostParts } from './EntryHostParts.js'
import { isReady } from './isReady.js'
import { zoneToken } from './zoneToken.js'

/** A service as one entry host sees it. @public */
export interface ServiceStatus {
  readonly name: string
  readonly targets: number
  readonly targetsInService: number
  readonly usableSlots: number
  readonly inFlight: number
  readonly queued: number
  readonly demandSlots: number
  readonly demandError: number
  /** Hosts of this zone by failure domain. */
  readonly hostsByRack: Readonly<Record<string, number>>
}

/** What one entry host tells of itself. @public */
export interface LocalStatus {
  readonly entryHostId: string
  readonly availabilityZone: string
  readonly isReady: boolean
  readonly isZoneHolder: boolean
  readonly digest: number
  readonly ownedKeyShards: number
  readonly inFlight: number
  readonly services: readonly ServiceStatus[]
  readonly requests: readonly SeriesSummary[]
  readonly work: ReadonlyArray<{ hostId: string, phase: string, why: string | null, maintenance: string | null }>
  readonly platformCalls: Readonly<Record<string, number>>
  readonly peerTraffic: LinkTraffic
  readonly residentBytes: number
  readonly cpuMicroseconds: number
}

/** @param parts - of this entry host @returns what it tells of itself @public */
export function localStatus (parts: EntryHostParts): LocalStatus {
  const { self, metrics, sync, zoneLease, clock, once, platformCalls, mesh, callers } = parts
  const isZoneHolder = zoneToken(zoneLease, clock) !== undefined
  const { user, system } = process.cpuUsage()
  return {
    entryHostId: self.entryHostId,
    availabilityZone: self.availabilityZone,
    isReady: isReady(parts),
    isZoneHolder,
    digest: sync.digest,
    ownedKeyShards: once.ownedShards,
    inFlight: callers.inFlight,
    services: servicesOf(parts),
    requests: metrics.summarize(),
    work: isZoneHolder ? workOf(parts) : [],
    platformCalls: Object.fromEntries(platformCalls),
    peerTraffic: mesh.traffic,
    residentBytes: process.memoryUsage.rss(),
    cpuMicroseconds: user + system
  }
}

function servicesOf ({ registry }: EntryHostParts): ServiceStatus[] {
  return [...registry.services.values()].map(({ name, router }) => {
    const hostsByRack: Record<string, number> = {}
    for (const { host, services } of registry.placed.values()) if (services.includes(name)) hostsByRack[host.rack] = (hostsByRack[host.rack] ?? 0) + 1
    return {
      name,
      targets: router.targets.length,
      targetsInService: router.targets.filter((state) => !state.isLeaving).length,
      usableSlots: router.usableSlots,
      inFlight: router.targets.reduce((sum, state) => sum + state.inFlight, 0),
      queued: router.queued,
      demandSlots: router.demand.slots,
      demandError: router.demand.relativeError,
      hostsByRack
    }
  })
}

function workOf ({ fleetView, fleet, self }: EntryHostParts): LocalStatus['work'] {
  return fleetView.workIn(self.availabilityZone).map(({ hostId, work }) =>
    ({ hostId, phase: work.phase, why: fleet.reasonOf(hostId) ?? null, maintenance: work.maintenance ?? null }))
}

/** @param parts - of this entry host @returns each service's budget and who has a permit @public */
export function budgetStatus (parts: EntryHostParts): Array<{ service: string, total: number, unavailable: number, left: number, permits: string[] }> {
  const { replica, fleetView, clock } = parts
  return [...replica.declarations('service').values()].map(({ name, spec }) => {
    const ledger = fleetView.ledger(name)
    const unavailable = countUnavailable(name, fleetView.reports, ledger, clock.wallMs())
    return {
      service: name,
      total: unavailable.total,
      unavailable: unavailable.hosts.size + unavailable.unknown,
      left: budgetLeft(spec.budget, unavailable),
      permits: Object.keys(ledger.permits)
    }
  })
}

/**
 * Sizes the buffer from what entry hosts observed.
 *
 * @param parts - of this entry host
 * @param answers - of all entry hosts in reach
 * @returns what to hold, and which promise each slot serves
 * @public
 */
export function bufferStatus (parts: EntryHostParts, answers: readonly LocalStatus[]): { held: unknown, sharedHosts: number, unsharedHosts: number } {
  const services = [...parts.replica.declarations('service').values()].map(({ name, spec }): BufferedService => {
    const observed = answers.flatMap((answer) => answer.services.filter((service) => service.name === name))
    const hostsByRack = new Map(observed.flatMap((service) => Object.entries(service.hostsByRack)))
    const hosts = [...hostsByRack.values()].reduce((sum, count) => sum + count, 0)
    const unavailable = countUnavailable(name, parts.fleetView.reports, { revision: 0, permits: {} }, parts.clock.wallMs())
    return {
      name,
      slotsPerHost: spec.slotsPerTarget,
      hosts,
      demandSlots: Math.ceil(observed.reduce((sum, service) => sum + service.demandSlots, 0)),
      demandError: Math.max(0, ...observed.map((service) => service.demandError)),
      hostsByRack,
      maintenanceHosts: Math.max(0, budgetLeft(spec.budget, { ...unavailable, hosts: new Map(), unknown: 0 }))
    }
  })
  const { held, sharedHosts, unsharedHosts } = planBuffer(services)
  return { held: held.filter(({ slots }) => slots > 0), sharedHosts, unsharedHosts }
}
