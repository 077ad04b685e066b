/**
 * The declared services, how requests find them, and the targets of each.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import { SelectorIndex, type EntryHostId, type HostId, type ServiceSpec } from '@quillscale/model'
import type { ListedHost } from '@quillscale/ports'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { claimPool, hostLabels, orderClaims } from '@quillscale/fleet'
import { ServiceRouter, computeSlotShare, type TargetAddress } from '@quillscale/routing'
import type { HostList } from './HostList.js'

/** A service in force. @public */
export interface RegisteredService {
  readonly name: string
  spec: ServiceSpec
  readonly router: ServiceRouter
}

/** A worker host with its place. @public */
export interface PlacedHost {
  readonly host: ListedHost
  /** The pool it serves in; `undefined` between pools. */
  readonly pool: string | undefined
  readonly services: readonly string[]
  readonly isLeaving: boolean
  readonly leavingReason: string | undefined
}

/** What the registry works on. @public */
export interface ServiceRegistryOptions {
  readonly replica: ConfigurationReplica
  readonly hostList: HostList
  readonly clock: Clock
  readonly random: () => number
  readonly self: EntryHostId
  /** The zone's working entry hosts, this one among them. */
  readonly zoneMembers: () => EntryHostId[]
  /** Why a host gets no new work, besides the platform's list and its declaration. */
  readonly leavingReason: (hostId: HostId) => string | undefined
  /** The pool a host serves in, where assignments are in force; `undefined` leaves it to labels and selectors. */
  readonly assignedPool: (hostId: HostId) => { pool: string | undefined } | undefined
  readonly onShortage: (service: string, wanted: number) => void
  readonly canBorrow: (service: string) => boolean
}

interface Route { readonly hostnames: readonly string[], readonly pathPrefix: string, readonly service: RegisteredService }

/** Knows services and targets. @public */
export class ServiceRegistry {
  readonly #options: ServiceRegistryOptions
  readonly #services = new Map<string, RegisteredService>()
  #routes: Route[] = []
  #placed = new Map<HostId, PlacedHost>()
  #isRefreshQueued = false

  /** @param options - what it works on */
  constructor (options: ServiceRegistryOptions) {
    this.#options = options
    options.replica.onChange(() => this.queueRefresh())
    options.hostList.onChange(() => this.queueRefresh())
  }

  /** All services. */
  get services (): ReadonlyMap<string, RegisteredService> {
    return this.#services
  }

  /** The zone's worker hosts with their places. */
  get placed (): ReadonlyMap<HostId, PlacedHost> {
    return this.#placed
  }

  /** @param hostId - a host @returns the services that run on it, none on a host that is not placed */
  servicesOn (hostId: HostId): readonly string[] {
    return this.#placed.get(hostId)?.services ?? []
  }

  /**
   * Finds the service of a request.
   *
   * @param hostname - from the `Host` header, with or without a port
   * @param path - with its query
   * @returns the service with the longest matching path, one with a matching host name first
   */
  find (hostname: string, path: string): RegisteredService | undefined {
    const name = hostname.replace(/:\d+$/, '').toLowerCase()
    return this.#routes.find((route) => path.startsWith(route.pathPrefix) && (route.hostnames.length === 0 || route.hostnames.includes(name)))?.service
  }

  /** Computes everything anew once the present change is complete; changes that come together are computed once. */
  queueRefresh (): void {
    if (this.#isRefreshQueued) return
    this.#isRefreshQueued = true
    setImmediate(() => {
      this.#isRefreshQueued = false
      this.refresh()
    })
  }

  /** Computes services, places and targets anew. */
  refresh (): void {
    this.#refreshServices()
    this.#refreshPlaces()
    this.#refreshTargets()
  }

  #refreshServices (): void {
    const declared = this.#options.replica.declarations('service')
    for (const name of this.#services.keys()) if (!declared.has(name)) this.#services.delete(name)
    for (const [name, { spec }] of declared) {
      const known = this.#services.get(name)
      if (known !== undefined) known.spec = spec
      else this.#services.set(name, { name, spec, router: this.#createRouter(name, spec) })
    }
    const routes = [...this.#services.values()].map((service): Route => ({
      hostnames: service.spec.route.hostnames.map((hostname) => hostname.toLowerCase()), pathPrefix: service.spec.route.pathPrefix, service
    }))
    const rank = (route: Route): number => (route.hostnames.length > 0 ? 10_000 : 0) + route.pathPrefix.length
    this.#routes = routes.sort((a, b) => rank(b) - rank(a) || (a.service.name < b.service.name ? -1 : 1))
  }

  #createRouter (name: string, spec: ServiceSpec): ServiceRouter {
    const { clock, random, onShortage, canBorrow } = this.#options
    return new ServiceRouter({
      maxQueued: spec.maxQueuedRequests,
      nowMs: () => clock.monotonicMs(),
      random,
      onSlotShortage: (wanted) => onShortage(name, wanted),
      canBorrow: () => canBorrow(name)
    })
  }

  #refreshPlaces (): void {
    const { replica, hostList, leavingReason, assignedPool } = this.#options
    const pools = orderClaims(replica.declarations('pool').values())
    const declaredHosts = replica.declarations('host')
    const services = new SelectorIndex([...this.#services.values()].map(({ name, spec }) => ({ selector: spec.selector, item: name })))
    const placed = new Map<HostId, PlacedHost>()
    for (const host of hostList.workers) {
      const declared = declaredHosts.get(host.hostId)?.spec
      const assigned = assignedPool(host.hostId)
      const pool = assigned === undefined ? claimPool(hostLabels(host, declared), pools).pool : assigned.pool
      const labels = hostLabels(host, declared, pool)
      const running = pool === undefined ? [] : services.find(labels)
      const reason = host.state !== 'live' ? `listed as ${host.state}` : declared?.drained === true ? 'declared drained' : leavingReason(host.hostId)
      placed.set(host.hostId, { host, pool, services: running, isLeaving: reason !== undefined, leavingReason: reason })
    }
    this.#placed = placed
  }

  #refreshTargets (): void {
    const { self, zoneMembers } = this.#options
    const members = zoneMembers()
    const placedByService = new Map<string, PlacedHost[]>()
    for (const placed of this.#placed.values()) {
      for (const name of placed.services) placedByService.set(name, [...(placedByService.get(name) ?? []), placed])
    }
    for (const service of this.#services.values()) {
      const targets = (placedByService.get(service.name) ?? []).map(({ host, isLeaving }) => ({
        hostId: host.hostId,
        availabilityZone: host.availabilityZone,
        address: host.address,
        port: service.spec.port ?? host.port,
        isLeaving
      }))
      const own = new Set(targets.map(({ hostId }) => hostId))
      // Targets of other zones are here by loan; what is agreed about them counts as much.
      for (const state of service.router.targets) {
        if (!own.has(state.target.hostId)) state.isLeaving = this.#options.leavingReason(state.target.hostId) !== undefined
      }
      service.router.setTargets(targets, (target: TargetAddress) => computeSlotShare(target.hostId, service.spec.slotsPerTarget, members, self))
    }
  }
}
