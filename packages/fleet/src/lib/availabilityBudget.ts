/**
 * Decides whether a service can spare another host.
 *
 * @module
 */
import type { AvailabilityBudget, AvailabilityZone, HostId } from '@quillscale/model'
import type { Ledger, Permit, ZoneReport } from './fleetDocuments.js'

/** A report older than this counts its whole zone as unavailable. @public */
export const REPORT_STALE_MS = 60_000

/** What is unavailable of a service. @public */
export interface Unavailability {
  readonly total: number
  /** Hosts that failed, are being worked on or have a permit to be, each once. */
  readonly hosts: ReadonlyMap<HostId, string>
  /** Hosts of zones that have not reported for a while. */
  readonly unknown: number
  readonly byRack: ReadonlyMap<string, number>
}

/** A host that wants a permit. @public */
export interface PermitRequest extends Omit<Permit, 'grantedMs'> {
  readonly hostId: HostId
}

/**
 * Counts what is unavailable of a service.
 *
 * @param service - its name
 * @param reports - of all zones
 * @param ledger - its permits
 * @param nowMs - the present time since 1970
 * @returns every unavailable host once, whatever the reasons
 * @public
 */
export function countUnavailable (service: string, reports: readonly ZoneReport[], ledger: Ledger, nowMs: number): Unavailability {
  const hosts = new Map<HostId, string>()
  let total = 0
  let unknown = 0
  const staleZones = new Set<AvailabilityZone>()
  for (const report of reports) {
    const state = report.services[service]
    if (state === undefined) continue
    total += state.total
    if (nowMs - report.atMs > REPORT_STALE_MS) {
      unknown += state.total
      staleZones.add(report.availabilityZone)
      continue
    }
    for (const [hostId, rack] of state.unavailable) hosts.set(hostId, rack)
  }
  for (const [hostId, permit] of Object.entries(ledger.permits)) {
    if (!staleZones.has(permit.availabilityZone)) hosts.set(hostId as HostId, permit.rack)
  }
  const byRack = new Map<string, number>()
  for (const rack of hosts.values()) byRack.set(rack, (byRack.get(rack) ?? 0) + 1)
  return { total, hosts, unknown, byRack }
}

/**
 * Reads a count or a share of a budget.
 *
 * @param stated - such as 2 or "25%"
 * @param total - what the share is of
 * @returns how many may be unavailable
 * @public
 */
export function allowedCount (stated: number | string, total: number): number {
  return typeof stated === 'number' ? stated : Math.floor(total * Number(stated.slice(0, -1)) / 100)
}

/**
 * Tells how many more hosts may become unavailable.
 *
 * @param budget - of the service
 * @param unavailable - what is already
 * @returns a number below zero when failures have used more than the budget
 * @public
 */
export function budgetLeft (budget: AvailabilityBudget, unavailable: Unavailability): number {
  return allowedCount(budget.maxUnavailable, unavailable.total) - unavailable.hosts.size - unavailable.unknown
}

/**
 * Divides what a service can spare among the zones that have hosts to maintain, so that all zones go on side by side and
 * each can begin with its longest drains. The ledger decides in the end; this only keeps one zone from taking all.
 *
 * @param service - its name
 * @param left - how many more hosts may become unavailable
 * @param ownDue - hosts of the own zone that need maintenance
 * @param reports - of all zones
 * @param ownZone - the own zone, whose report may be older than what it knows
 * @returns the own zone's part, rounded up
 * @public
 */
export function zonePartOfBudget (service: string, left: number, ownDue: number, reports: readonly ZoneReport[], ownZone: AvailabilityZone): number {
  const othersDue = reports.reduce((sum, report) => report.availabilityZone === ownZone ? sum : sum + (report.services[service]?.due ?? 0), 0)
  return ownDue === 0 ? 0 : Math.min(left, Math.ceil(left * ownDue / (ownDue + othersDue)))
}

/**
 * Grants permits in the order asked for, as far as the budget goes.
 *
 * @param service - its name
 * @param budget - its budget
 * @param ledger - its permits
 * @param reports - of all zones
 * @param requests - the hosts, the most important first
 * @param nowMs - the present time since 1970
 * @returns the ledger with the new permits, and the hosts that have one
 * @public
 */
export function grantPermits (
  service: string, budget: AvailabilityBudget, ledger: Ledger, reports: readonly ZoneReport[], requests: readonly PermitRequest[], nowMs: number
): { ledger: Ledger, granted: HostId[] } {
  const unavailable = countUnavailable(service, reports, ledger, nowMs)
  const byRack = new Map(unavailable.byRack)
  let left = budgetLeft(budget, unavailable)
  const perRack = budget.maxUnavailablePerDomain === undefined ? Infinity : allowedCount(budget.maxUnavailablePerDomain, unavailable.total)
  const permits = { ...ledger.permits }
  const granted: HostId[] = []
  for (const { hostId, ...permit } of requests) {
    const isOutAlready = unavailable.hosts.has(hostId)
    const fits = left >= 1 && (byRack.get(permit.rack) ?? 0) < perRack
    if (!isOutAlready && !fits) continue
    if (!isOutAlready) {
      left--
      byRack.set(permit.rack, (byRack.get(permit.rack) ?? 0) + 1)
    }
    permits[hostId] = { ...permit, grantedMs: nowMs }
    granted.push(hostId)
  }
  return { ledger: granted.length === 0 ? ledger : { revision: ledger.revision + 1, permits }, granted }
}

/**
 * Gives permits back.
 *
 * @param ledger - the permits
 * @param hostIds - whose
 * @returns the ledger without them, the same one when it had none
 * @public
 */
export function returnPermits (ledger: Ledger, hostIds: Iterable<HostId>): Ledger {
  const returned = new Set<string>(hostIds)
  const permits = Object.fromEntries(Object.entries(ledger.permits).filter(([hostId]) => !returned.has(hostId)))
  const isSame = Object.keys(permits).length === Object.keys(ledger.permits).length
  return isSame ? ledger : { revision: ledger.revision + 1, permits }
}
