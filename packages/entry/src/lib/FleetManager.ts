/**
 * Looks after the hosts of this zone while this entry host holds the zone's lease: pools, maintenance, reports.
 *
 * Each tick decides from the newest documents, writes them by compare-and-swap, and only then orders anything; every
 * order is fenced. Whoever holds the lease next goes on from the documents.
 *
 * @module
 */
import type Logger from 'bunyan'
import { rendezvousOwner, type Clock } from '@quillscale/utils'
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { HostControl } from '@quillscale/ports'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { dueMaintenance, planMaintenance, windowOpenUntilMs, zonePartOfBudget, type HostWork, type ZoneHost } from '@quillscale/fleet'
import { declaredMaintenances } from './declaredMaintenances.js'
import type { DrainConfirmation } from './DrainConfirmation.js'
import type { FleetView } from './FleetView.js'
import type { HostList } from './HostList.js'
import { HostWorkRunner } from './HostWorkRunner.js'
import type { LeaseHolder } from '@quillscale/leases'
import { maintainableHosts } from './maintainableHosts.js'
import { PermitDesk, type PermitPurpose } from './PermitDesk.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { StateStore } from './StateStore.js'
import type { TargetSignals } from './TargetSignals.js'
import { assignableHosts, wantedPools } from './wantedPools.js'
import { ZoneHosts } from './ZoneHosts.js'
import { ZoneReporter } from './ZoneReporter.js'

/** What it works on. @public */
export interface FleetManagerOptions {
  readonly zone: AvailabilityZone
  readonly replica: ConfigurationReplica
  readonly hostList: HostList
  readonly registry: ServiceRegistry
  readonly view: FleetView
  readonly store: StateStore
  readonly lease: LeaseHolder
  readonly hostControl: HostControl
  readonly drains: DrainConfirmation
  readonly signals: TargetSignals
  readonly clock: Clock
  readonly log: Logger
  /** Zones with a reachable entry host, this one among them. */
  readonly zonesInReach: () => AvailabilityZone[]
}

const DEFAULT_HOST_TIME_MS = 60_000

/** Work that was decided for a host. */
interface Start { readonly hostId: HostId, readonly services: readonly string[], readonly work: Omit<HostWork, 'sinceMs' | 'startedMs' | 'phase'> }

/** Looks after a zone's hosts. @public */
export class FleetManager {
  readonly #options: FleetManagerOptions
  readonly #permits: PermitDesk
  readonly #hosts: ZoneHosts
  readonly #work: HostWorkRunner
  readonly #reporter: ZoneReporter
  #settledInputs = ''
  /** Whether the last round wanted something that it could not start. */
  #hasUnmet = false

  /** @param options - what it works on */
  constructor (options: FleetManagerOptions) {
    this.#options = options
    this.#hosts = new ZoneHosts(options)
    const token = (): number | undefined => this.#hosts.token
    this.#permits = new PermitDesk({ ...options, token })
    this.#work = new HostWorkRunner({ ...options, hosts: this.#hosts, permits: this.#permits })
    this.#reporter = new ZoneReporter({ ...options, token })
  }

  /** @param hostId - a host @returns what its work waits for, as last decided here */
  reasonOf (hostId: HostId): string | undefined {
    return this.#work.reasonOf(hostId)
  }

  /** Whether hosts are being worked on here, so that the next round should come soon. */
  get isBusy (): boolean {
    return this.#hosts.token !== undefined && this.#hosts.working.some(({ work }) => work.phase !== 'failed')
  }

  /** Does one round; does nothing without the lease. */
  async tick (): Promise<void> {
    if (this.#hosts.token === undefined || !this.#options.hostList.isKnown) return
    const inputs = this.#inputs()
    // Most rounds find everything as the last one left it: only the sign of life in the report is due then.
    const isUnchanged = inputs === this.#settledInputs && !this.isBusy
    await this.#work.advance()
    await this.#reporter.report(isUnchanged)
    if (isUnchanged) return
    this.#hasUnmet = await this.#permits.settleOrphans()
    await this.#assign()
    await this.#maintain()
    // What waits for a permit or a window is looked at again; all else is settled until an input changes.
    this.#settledInputs = this.#hasUnmet ? '' : inputs
  }

  /** Sums up all that decisions depend on besides the time of work under way. */
  #inputs (): string {
    const { replica, hostList, signals, view, clock } = this.#options
    const open = declaredMaintenances(replica).map(({ spec }) => windowOpenUntilMs(spec.windows, clock.wallMs()) !== undefined)
    return [replica.digest, hostList.version, signals.version, view.version, ...open].join()
  }

  async #assign (): Promise<void> {
    const { registry, replica, clock } = this.#options
    const hosts = assignableHosts(this.#options, clock.wallMs())
    const wanted = wantedPools(hosts, replica)
    const due = new Set(hosts.filter(({ isMaintenanceDue }) => isMaintenanceDue).map(({ hostId }) => hostId))
    const { document } = this.#hosts
    const first: Array<[HostId, string | null]> = []
    const moves: Start[] = []
    for (const [hostId, pool] of wanted) {
      const host = document.hosts[hostId]
      if (host === undefined || (host.work === undefined && host.pool === null && pool !== null)) first.push([hostId, pool])
      else if (host.work === undefined && host.pool !== pool && !due.has(hostId)) {
        moves.push({ hostId, services: registry.servicesOn(hostId), work: { moveTo: pool } })
      }
    }
    const missing = Object.keys(document.hosts).filter((hostId) => !wanted.has(hostId as HostId))
    if (first.length > 0 || missing.length > 0) await this.#enter(first, missing)
    await this.#startAll(moves, 'move')
  }

  /** A host that was in no pool needs no handing over; a host that the platform no longer lists is in none. */
  #enter (first: ReadonlyArray<[HostId, string | null]>, missing: readonly string[]): Promise<boolean> {
    return this.#hosts.change((document) => {
      const hosts: Record<string, ZoneHost> = { ...document.hosts }
      for (const [hostId, pool] of first) if ((hosts[hostId]?.pool ?? null) === null && hosts[hostId]?.work === undefined) hosts[hostId] = { pool }
      for (const hostId of missing) Reflect.deleteProperty(hosts, hostId)
      return { ...document, hosts }
    })
  }

  async #maintain (): Promise<void> {
    const { replica, view, zone, zonesInReach, clock } = this.#options
    const maintenances = declaredMaintenances(replica)
    const hosts = maintainableHosts(this.#options)
    const due = hosts.filter((host) => dueMaintenance(host, maintenances) !== undefined)
    if (due.length === 0) return
    const wanted = wantedPools(assignableHosts(this.#options, clock.wallMs()), replica)
    const remaining = new Map<string, number>()
    for (const service of due.flatMap((host) => host.services)) remaining.set(service, (remaining.get(service) ?? 0) + 1)
    this.#hasUnmet ||= maintenances.some(({ spec }) => !spec.paused && windowOpenUntilMs(spec.windows, clock.wallMs()) !== undefined)
    const planned = planMaintenance(hosts, {
      maintenances,
      results: view.waveResults(),
      isCanaryZone: (wave) => rendezvousOwner(wave, zonesInReach()) === zone,
      left: new Map([...remaining].map(([service, due]) => [service, zonePartOfBudget(service, this.#permits.left(service), due, view.reports, zone)])),
      remaining,
      hostTimeMs: this.#hosts.document.hostTimeMs ?? DEFAULT_HOST_TIME_MS
    }, clock.wallMs())
    await this.#startAll(planned.map(({ hostId, services, maintenance, wantedVersion }) => {
      const pool = wanted.get(hostId)
      const current = this.#hosts.document.hosts[hostId]?.pool
      // A host that is to change its pool as well is drained once for both.
      return { hostId, services, work: { maintenance, wantedVersion, ...(pool === current ? {} : { moveTo: pool }) } }
    }), 'maintenance')
  }

  /** Takes the permits, writes the work, then orders the drains. */
  async #startAll (starts: readonly Start[], purpose: PermitPurpose): Promise<void> {
    if (starts.length === 0) return
    const permitted = await this.#permits.take(starts, purpose)
    this.#hasUnmet ||= permitted.length < starts.length
    if (permitted.length === 0) return
    const nowMs = this.#options.clock.wallMs()
    const started = await this.#hosts.change((document) => {
      const hosts = { ...document.hosts }
      for (const { hostId, work } of permitted) {
        const host = hosts[hostId]
        if (host !== undefined && host.work === undefined) hosts[hostId] = { ...host, work: { ...work, phase: 'draining', sinceMs: nowMs, startedMs: nowMs } }
      }
      return { ...document, hosts }
    })
    if (!started) return
    for (const { hostId } of permitted) await this.#work.order('drain', hostId)
  }
}
