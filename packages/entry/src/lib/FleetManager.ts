/**
 * Looks after the hosts of this zone while this entry host holds the zone's lease: pools, maintenance, reports.
 *
 * Each tick decides from the newest documents, writes them by compare-and-swap, and only then orders anything; every
 * order is fenced. Whoever holds the lease next goes on from the documents.
 *
 * @module
 */
import { request } from 'undici'
import type Logger from 'bunyan'
import { rendezvousOwner, type Clock } from '@quillscale/utils'
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { HostControl, ListedHost } from '@quillscale/ports'
import type { ConfigurationReplica } from '@quillscale/configuration'
import {
  advanceWork, assignPools, dueMaintenance, finishWork, hostLabels, planMaintenance, waveName, windowOpenUntilMs, withHost, zonePartOfBudget,
  type AssignableHost, type DeclaredMaintenance, type HostWork, type WorkFacts, type WorkStep,
  type ZoneHost, type ZoneHostsDocument, type ZoneReport
} from '@quillscale/fleet'
import type { DrainConfirmation, DrainState } from './DrainConfirmation.js'
import { reportName, zoneHostsName, type FleetView } from './FleetView.js'
import type { HostList } from './HostList.js'
import type { LeaseHolder } from '@quillscale/leases'
import { isMaintenanceDueNow } from './isMaintenanceDueNow.js'
import { maintainableHosts } from './maintainableHosts.js'
import { PermitDesk, type PermitPurpose } from './PermitDesk.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { StateStore } from './StateStore.js'
import type { TargetSignals } from './TargetSignals.js'
import { originOf } from './TargetClient.js'

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

const REPORT_EVERY_MS = 20_000
const DEFAULT_HOST_TIME_MS = 60_000
const VERIFY_TIMEOUT_MS = 1000
const DEFAULT_DRAIN_TIMEOUT_MS = 60_000
const DEFAULT_REBOOT_TIMEOUT_MS = 600_000

/** Work that was decided for a host. */
interface Start { readonly hostId: HostId, readonly services: readonly string[], readonly work: Omit<HostWork, 'sinceMs' | 'startedMs' | 'phase'> }

/** Looks after a zone's hosts. @public */
export class FleetManager {
  readonly #options: FleetManagerOptions
  readonly #permits: PermitDesk
  readonly #reasons = new Map<HostId, string>()
  #settledInputs = ''
  /** Whether the last round wanted something that it could not start. */
  #hasUnmet = false
  #reported: ZoneReport['services'] = {}

  /** @param options - what it works on */
  constructor (options: FleetManagerOptions) {
    this.#options = options
    this.#permits = new PermitDesk({ ...options, token: () => this.#token() })
  }

  /** @param hostId - a host @returns what its work waits for, as last decided here */
  reasonOf (hostId: HostId): string | undefined {
    return this.#reasons.get(hostId)
  }

  /** Whether hosts are being worked on here, so that the next round should come soon. */
  get isBusy (): boolean {
    return this.#token() !== undefined && this.#working.some(({ work }) => work.phase !== 'failed')
  }

  /** Does one round; does nothing without the lease. */
  async tick (): Promise<void> {
    if (this.#token() === undefined || !this.#options.hostList.isKnown) return
    const inputs = this.#inputs()
    // Most rounds find everything as the last one left it: only the sign of life in the report is due then.
    const isUnchanged = inputs === this.#settledInputs && !this.isBusy
    await this.#advance()
    await this.#report(isUnchanged)
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
    const open = this.#maintenances.map(({ spec }) => windowOpenUntilMs(spec.windows, clock.wallMs()) !== undefined)
    return [replica.digest, hostList.version, signals.version, view.version, ...open].join()
  }

  /** The right to act now, asked for before each act. */
  #token (): number | undefined {
    return this.#options.lease.grantAt(this.#options.clock.monotonicMs())?.fencingToken
  }

  get #working (): Array<{ readonly hostId: HostId, readonly work: HostWork }> {
    return this.#options.view.workIn(this.#options.zone)
  }

  get #workers (): ListedHost[] {
    return [...this.#options.hostList.hosts.values()].filter(({ role }) => role === 'worker')
  }

  get #maintenances (): DeclaredMaintenance[] {
    return [...this.#options.replica.declarations('maintenance').values()].sort((a, b) => a.name < b.name ? -1 : 1)
  }

  #document (): ZoneHostsDocument {
    return this.#options.view.zoneHosts(this.#options.zone)
  }

  /** Changes the zone's document; a holder that was replaced meanwhile changes nothing. */
  async #change (change: (document: ZoneHostsDocument) => ZoneHostsDocument | undefined): Promise<boolean> {
    const result = await this.#options.store.update(zoneHostsName(this.#options.zone), () => {
      const token = this.#token()
      const document = this.#document()
      if (token === undefined || document.fencingToken > token) return undefined
      const next = change(document)
      return next === undefined ? undefined : { ...next, revision: document.revision + 1, fencingToken: token }
    })
    return result === 'changed'
  }

  async #advance (): Promise<void> {
    const { clock, drains } = this.#options
    const document = this.#document()
    const working = this.#working
    for (const hostId of this.#reasons.keys()) if (document.hosts[hostId]?.work === undefined) this.#reasons.delete(hostId)
    const draining = working.filter(({ work }) => work.phase === 'draining').map(({ hostId }) => hostId)
    const drained = draining.length === 0 ? new Map<HostId, DrainState>() : await drains.ask(draining, document.revision)
    for (const { hostId, work } of working) {
      const facts = await this.#factsOf(hostId, work, drained.get(hostId))
      await this.#act(hostId, work, this.#isMoveWithdrawn(hostId, work) ? { do: 'undo', why: 'the move is no longer wanted' } : advanceWork(work, facts, clock.wallMs()))
    }
  }

  async #factsOf (hostId: HostId, work: HostWork, drain: DrainState | undefined): Promise<WorkFacts> {
    const { hostList, replica } = this.#options
    const listed = hostList.hosts.get(hostId)
    const spec = work.maintenance === undefined ? undefined : replica.declarations('maintenance').get(work.maintenance)?.spec
    const mustAnswer = work.phase === 'verifying' || work.phase === 'failed'
    return {
      listedState: listed?.state === 'leaving' && work.phase !== 'rebooting' ? 'live' : listed?.state ?? 'missing',
      version: listed?.version ?? '',
      isDrained: drain?.isDrained ?? false,
      unconfirmed: drain?.unconfirmed ?? [],
      isAnswering: mustAnswer && listed !== undefined && await this.#isAnswering(listed),
      drainTimeoutMs: spec?.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS,
      rebootTimeoutMs: spec?.rebootTimeoutMs ?? DEFAULT_REBOOT_TIMEOUT_MS,
      isOverBudget: this.#servicesOf(hostId).some((service) => this.#permits.left(service) < 0)
    }
  }

  /** A move that has not released its host yet costs nothing to take back. */
  #isMoveWithdrawn (hostId: HostId, work: HostWork): boolean {
    if (work.phase !== 'draining' || work.moveTo === undefined || work.wantedVersion !== undefined) return false
    const wanted = this.#wantedPools().get(hostId)
    return wanted !== undefined && wanted === (this.#document().hosts[hostId]?.pool ?? null)
  }

  async #isAnswering (host: ListedHost): Promise<boolean> {
    const { registry } = this.#options
    const service = this.#servicesOf(host.hostId)[0]
    const spec = service === undefined ? undefined : registry.services.get(service)?.spec
    if (spec === undefined) return true
    try {
      const answer = await request(originOf({ ...host, port: spec.port ?? host.port }) + spec.probePath, { signal: AbortSignal.timeout(VERIFY_TIMEOUT_MS) })
      await answer.body.dump()
      return answer.statusCode < 500
    } catch {
      return false
    }
  }

  async #act (hostId: HostId, work: HostWork, step: WorkStep): Promise<void> {
    const { log } = this.#options
    if ('why' in step) this.#reasons.set(hostId, step.why)
    const acts: Record<WorkStep['do'], () => Promise<unknown>> = {
      wait: () => this.#reorder(hostId, work),
      undo: async () => await this.#order('undrain', hostId) && await this.#endWork(hostId, undefined),
      reboot: async () => await this.#setPhase(hostId, 'rebooting') && await this.#order('reboot', hostId, work.wantedVersion),
      'change-pool': () => this.#setPhase(hostId, 'verifying'),
      'await-return': () => this.#setPhase(hostId, 'verifying'),
      trust: async () => await this.#order('undrain', hostId) && await this.#endWork(hostId, work),
      'give-up': () => this.#giveUp(hostId, work)
    }
    if (step.do !== 'wait') log.info({ host: hostId, step: step.do, why: 'why' in step ? step.why : undefined, maintenance: work.maintenance }, 'host work')
    await acts[step.do]()
  }

  /** An order whose answer was lost is given again; the platform takes a repeated one for done. */
  async #reorder (hostId: HostId, work: HostWork): Promise<void> {
    const state = this.#options.hostList.hosts.get(hostId)?.state
    if (work.phase === 'draining' && state === 'live') await this.#order('drain', hostId)
    if (work.phase === 'rebooting' && state !== 'gone') await this.#order('reboot', hostId, work.wantedVersion)
  }

  async #order (kind: 'drain' | 'undrain' | 'reboot', hostId: HostId, version = ''): Promise<boolean> {
    const fencingToken = this.#token()
    if (fencingToken === undefined) return false
    const { hostControl, log } = this.#options
    const order = { hostId, fencingToken }
    const outcome = kind === 'reboot' ? await hostControl.reboot({ ...order, version }) : await hostControl[kind](order)
    if (outcome.err || outcome.val !== 'accepted') log.warn({ host: hostId, order: kind, outcome: outcome.val }, 'order not accepted')
    return outcome.ok && outcome.val === 'accepted'
  }

  #setPhase (hostId: HostId, phase: HostWork['phase']): Promise<boolean> {
    return this.#change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined || host.work.phase === phase) return undefined
      const work = { ...host.work, phase, sinceMs: this.#options.clock.wallMs() }
      return { ...document, hosts: { ...document.hosts, [hostId]: { ...host, work } } }
    })
  }

  /** Ends the work; `finished` is what was completed, `undefined` when it was undone. */
  async #endWork (hostId: HostId, finished: HostWork | undefined): Promise<void> {
    const { signals, clock } = this.#options
    const services = this.#servicesOf(hostId)
    const isEnded = await this.#change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined) return undefined
      return finished === undefined ? withHost(document, hostId, { pool: host.pool }) : finishWork(document, hostId, host, finished, clock.wallMs())
    })
    if (!isEnded) return
    signals.notice(hostId, 'up', clock.monotonicMs())
    for (const service of services) await this.#permits.giveBack(service, [hostId])
  }

  async #giveUp (hostId: HostId, work: HostWork): Promise<void> {
    const rack = this.#options.hostList.hosts.get(hostId)?.rack ?? ''
    await this.#change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined || host.work.phase === 'failed') return undefined
      if (work.maintenance === undefined) return withHost(document, hostId, { pool: host.pool, work: { ...host.work, phase: 'failed' } })
      const wave = waveName(work.maintenance, work.wantedVersion ?? '')
      const results = document.waves[wave] ?? { done: 0, failedRacks: [] }
      const failed = { ...host.work, phase: 'failed' as const, sinceMs: this.#options.clock.wallMs() }
      return {
        ...withHost(document, hostId, { pool: host.pool, work: failed }),
        waves: { ...document.waves, [wave]: { ...results, failedRacks: [...results.failedRacks, rack] } }
      }
    })
  }

  #servicesOf (hostId: HostId): readonly string[] {
    return this.#options.registry.placed.get(hostId)?.services ?? []
  }

  /** Tells all zones what is unavailable here: at once when it changes, else often enough to show that this zone is not cut off. */
  async #report (isUnchanged: boolean): Promise<void> {
    const { zone, clock, store, view } = this.#options
    if (!isUnchanged) this.#reported = this.#unavailableHere()
    const services = this.#reported
    const nowMs = clock.wallMs()
    const known = view.reports.find((report) => report.availabilityZone === zone)
    const isFresh = known !== undefined && nowMs - known.atMs < REPORT_EVERY_MS
    if (isFresh && (isUnchanged || JSON.stringify(known.services) === JSON.stringify(services))) return
    await store.update(reportName(zone), () => {
      if (this.#token() === undefined) return undefined
      const current = view.reports.find((report) => report.availabilityZone === zone)
      return { revision: (current?.revision ?? 0) + 1, availabilityZone: zone, atMs: nowMs, services }
    })
  }

  #unavailableHere (): ZoneReport['services'] {
    const { registry, signals, view } = this.#options
    const maintenances = this.#maintenances
    const due = new Set(maintainableHosts(this.#options).filter((host) => dueMaintenance(host, maintenances) !== undefined).map(({ hostId }) => hostId))
    const services: ZoneReport['services'] = {}
    for (const name of [...registry.services.keys()].sort()) services[name] = { total: 0, unavailable: [], due: 0 }
    for (const [hostId, { host, services: running, isLeaving }] of registry.placed) {
      const isOut = isLeaving || signals.signalOf(hostId) !== undefined || view.work(hostId) !== undefined
      for (const name of running) {
        const state = services[name]
        if (state === undefined) continue
        state.total++
        if (isOut) state.unavailable.push([hostId, host.rack])
        if (due.has(hostId)) state.due++
      }
    }
    return services
  }

  #assignableHosts (): AssignableHost[] {
    const { replica, view, registry, signals } = this.#options
    const declared = replica.declarations('host')
    const maintenances = this.#maintenances
    return this.#workers.map((host): AssignableHost => {
      const labels = hostLabels(host, declared.get(host.hostId)?.spec)
      const pool = registry.placed.get(host.hostId)?.pool ?? ''
      return {
        hostId: host.hostId,
        labels,
        currentPool: view.host(host.hostId)?.pool,
        isHealthy: host.state !== 'gone' && signals.signalOf(host.hostId) !== 'down' && view.work(host.hostId)?.phase !== 'failed',
        isMaintenanceDue: isMaintenanceDueNow({ labels: { ...labels, pool }, version: host.version }, maintenances, this.#options.clock.wallMs())
      }
    })
  }

  #wantedPools (hosts = this.#assignableHosts()): Map<HostId, string | null> {
    return assignPools(hosts, [...this.#options.replica.declarations('pool').values()])
  }

  async #assign (): Promise<void> {
    const hosts = this.#assignableHosts()
    const wanted = this.#wantedPools(hosts)
    const due = new Set(hosts.filter(({ isMaintenanceDue }) => isMaintenanceDue).map(({ hostId }) => hostId))
    const document = this.#document()
    const first: Array<[HostId, string | null]> = []
    const moves: Start[] = []
    for (const [hostId, pool] of wanted) {
      const host = document.hosts[hostId]
      if (host === undefined || (host.work === undefined && host.pool === null && pool !== null)) first.push([hostId, pool])
      else if (host.work === undefined && host.pool !== pool && !due.has(hostId)) {
        moves.push({ hostId, services: this.#servicesOf(hostId), work: { moveTo: pool } })
      }
    }
    const missing = Object.keys(document.hosts).filter((hostId) => !wanted.has(hostId as HostId))
    if (first.length > 0 || missing.length > 0) await this.#enter(first, missing)
    await this.#startAll(moves, 'move')
  }

  /** A host that was in no pool needs no handing over; a host that the platform no longer lists is in none. */
  #enter (first: ReadonlyArray<[HostId, string | null]>, missing: readonly string[]): Promise<boolean> {
    return this.#change((document) => {
      const hosts: Record<string, ZoneHost> = { ...document.hosts }
      for (const [hostId, pool] of first) if ((hosts[hostId]?.pool ?? null) === null && hosts[hostId]?.work === undefined) hosts[hostId] = { pool }
      for (const hostId of missing) Reflect.deleteProperty(hosts, hostId)
      return { ...document, hosts }
    })
  }

  async #maintain (): Promise<void> {
    const { view, zone, zonesInReach, clock } = this.#options
    const maintenances = this.#maintenances
    const hosts = maintainableHosts(this.#options)
    const due = hosts.filter((host) => dueMaintenance(host, maintenances) !== undefined)
    if (due.length === 0) return
    const wanted = this.#wantedPools()
    const remaining = new Map<string, number>()
    for (const service of due.flatMap((host) => host.services)) remaining.set(service, (remaining.get(service) ?? 0) + 1)
    this.#hasUnmet ||= maintenances.some(({ spec }) => !spec.paused && windowOpenUntilMs(spec.windows, clock.wallMs()) !== undefined)
    const planned = planMaintenance(hosts, {
      maintenances,
      results: view.waveResults(),
      isCanaryZone: (wave) => rendezvousOwner(wave, zonesInReach()) === zone,
      left: new Map([...remaining].map(([service, due]) => [service, zonePartOfBudget(service, this.#permits.left(service), due, view.reports, zone)])),
      remaining,
      hostTimeMs: this.#document().hostTimeMs ?? DEFAULT_HOST_TIME_MS
    }, clock.wallMs())
    await this.#startAll(planned.map(({ hostId, services, maintenance, wantedVersion }) => {
      const pool = wanted.get(hostId)
      const current = this.#document().hosts[hostId]?.pool
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
    const started = await this.#change((document) => {
      const hosts = { ...document.hosts }
      for (const { hostId, work } of permitted) {
        const host = hosts[hostId]
        if (host !== undefined && host.work === undefined) hosts[hostId] = { ...host, work: { ...work, phase: 'draining', sinceMs: nowMs, startedMs: nowMs } }
      }
      return { ...document, hosts }
    })
    if (!started) return
    for (const { hostId } of permitted) await this.#order('drain', hostId)
  }
}
