/**
 * One entry host: joins every part and runs their tasks until it is stopped.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { readFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import type { Server } from 'node:http'
import type Logger from 'bunyan'
import { start as startActors, stop as stopActors, type ActorSystemRef } from 'nact'
import { backOff, delay, listen, systemClock, type Clock } from '@quillscale/utils'
import { QuillscaleError, type HostId } from '@quillscale/model'
import { ConfigurationReplica, EditManager } from '@quillscale/configuration'
import type { ZoneHost } from '@quillscale/fleet'
import { HttpWorkerTasks } from '@quillscale/platform-http'
import { PeerMesh, type PeerIdentity } from '@quillscale/membership'
import { RequestMetrics } from '@quillscale/routing'
import { CallerServer } from './CallerServer.js'
import { ConfigurationSync } from './ConfigurationSync.js'
import { createPlatform, type OpenPlatform } from './createPlatform.js'
import { createPeerHandlers, greetPeer, type PeerHandler } from './createPeerHandlers.js'
import { DrainConfirmation } from './DrainConfirmation.js'
import { EditDesk } from './EditDesk.js'
import type { EntryHostParts } from './EntryHostParts.js'
import { FleetManager } from './FleetManager.js'
import { FleetView } from './FleetView.js'
import { HostList } from './HostList.js'
import { JobManager } from './JobManager.js'
import { LeaseHolder } from '@quillscale/leases'
import { SlotLending } from './SlotLending.js'
import { OnceManager } from './OnceManager.js'
import { OperatorServer } from './OperatorServer.js'
import { createOperatorRoutes } from './operatorRoutes.js'
import { Prober } from './Prober.js'
import { readTls } from './readTls.js'
import { ReachableMembers, peerStatusSchema, type PeerStatus } from './ReachableMembers.js'
import { RequestLog } from './RequestLog.js'
import { RequestRunner } from './RequestRunner.js'
import { runEvery } from './runEvery.js'
import { runKeyedRequest } from './runKeyedRequest.js'
import { ServiceRegistry } from './ServiceRegistry.js'
import type { Settings } from './settings.js'
import { StateReplica } from './StateReplica.js'
import { StateStore } from './StateStore.js'
import { TargetClient, originOf } from './TargetClient.js'
import { TARGET_SIGNAL_TOPIC, TargetSignals } from './TargetSignals.js'
import { MEMBERS_DOCUMENT_PREFIX, ZoneDuties, membersSchema } from './ZoneDuties.js'

const BOOT_RETRY_MS = 300
const HOUSEKEEPING_MS = 500
const ONCE_TICK_MS = 1000
/** A hand-over may meet one that is under way, or a platform that does not answer. */
const MAX_HAND_OVERS = 5
const HAND_OVER_PAUSE_MS = 200
/** Housekeepings between two looks for connections to hosts that are gone. */
const POOLS_EVERY = 20

/** What tests and tools put in place of the outside. @public */
export interface EntryHostOptions {
  readonly settings: Settings
  readonly log: Logger
  readonly clock?: Clock
  readonly platform?: OpenPlatform
  /** This life of the process; the start time by default. */
  readonly incarnation?: number
}

/** A running entry host. @public */
export class EntryHost {
  readonly parts: EntryHostParts
  readonly #stopping = new AbortController()
  readonly #prober: Prober
  readonly #duties: ZoneDuties
  readonly #client = new TargetClient()
  readonly #tasksClient = new HttpWorkerTasks()
  readonly #operators: OperatorServer
  readonly #system: ActorSystemRef
  readonly #tasks: Array<Promise<unknown>> = []
  readonly #peerHandlers: Readonly<Record<string, PeerHandler>>
  #isStopping = false

  private constructor (options: EntryHostOptions, platform: OpenPlatform, platformCalls: Map<string, number>, ports: { caller: number, operator: number }) {
    const { settings, log } = options
    const clock = options.clock ?? systemClock
    this.#system = startActors()
    // Every task listens to the one signal that ends them.
    setMaxListeners(0, this.#stopping.signal)
    const self: PeerIdentity = {
      entryHostId: settings.entryHostId,
      availabilityZone: settings.availabilityZone,
      incarnation: options.incarnation ?? clock.wallMs(),
      address: `${settings.operator.advertisedAddress}:${settings.operator.advertisedPort ?? ports.operator}`
    }
    const replica = new ConfigurationReplica()
    const states = new StateReplica()
    const store = platform.keyValueStore
    const stateStore = new StateStore(store, states)
    const hostList = new HostList()
    const mesh = this.#createMesh(settings, self, clock, log)
    const members = new ReachableMembers(mesh, self, hostList)
    const sync = new ConfigurationSync({ mesh, replica, states, store, availabilityZone: self.availabilityZone, clock })
    const lending = new SlotLending(mesh, () => this.parts.registry, clock, self.availabilityZone)
    const signals = new TargetSignals((body) => mesh.broadcast(TARGET_SIGNAL_TOPIC, body), () => this.parts.registry.queueRefresh())
    const fleetView = new FleetView(states, () => this.parts.registry.queueRefresh())
    const registry = new ServiceRegistry({
      replica,
      hostList,
      clock,
      random: Math.random,
      self: self.entryHostId,
      zoneMembers: () => members.zoneMembers,
      leavingReason: (hostId) => this.#leavingReason(hostId),
      assignedPool: (hostId) => assignedPool(fleetView.host(hostId)),
      onShortage: (service, wanted) => { void lending.borrow(service, wanted) },
      canBorrow: (service) => lending.canBorrow(service)
    })
    const runner = new RequestRunner({ client: this.#client, clock, onLeaving: (hostId) => signals.notice(hostId, 'leaving', clock.monotonicMs()) })
    const metrics = new RequestMetrics()
    const requestLog = new RequestLog()
    const once = new OnceManager({
      self: { entryHostId: self.entryHostId, incarnation: self.incarnation },
      mesh,
      states,
      store: stateStore,
      clock,
      secrets: settings.peers.keys,
      run: (request) => runKeyedRequest(this.parts, request, runner),
      gone: () => members.gone,
      isStopping: () => this.#isStopping,
      table: settings.idempotency
    })
    const zoneLease = new LeaseHolder({
      key: `quillscale/lease/zone/${self.availabilityZone}`,
      value: JSON.stringify({ holder: self.entryHostId, incarnation: self.incarnation }),
      ttlMs: settings.timing.zoneLeaseMs,
      store,
      clock,
      mayTry: () => !this.#isStopping && !members.isHolderInReach,
      onChange: (isHeld) => {
        log.info({ lease: 'zone', isHeld }, isHeld ? 'zone lease taken' : 'zone lease lost')
        mesh.announce()
      }
    })
    const jobs = new JobManager({
      zone: self.availabilityZone,
      store,
      lease: zoneLease,
      tasks: this.#tasksClient,
      replica,
      registry,
      mesh,
      clock,
      log,
      holders: () => members.holders(zoneLease.grantAt(clock.monotonicMs()) !== undefined),
      zoneCount: () => Math.max(1, fleetView.allZoneHosts.length)
    })
    const drains = new DrainConfirmation({
      mesh,
      registry: () => registry,
      states,
      zone: self.availabilityZone,
      gone: () => members.gone,
      hasJobsOn: (hostId) => jobs.hasJobsOn(hostId)
    })
    const fleet = new FleetManager({
      zone: self.availabilityZone,
      replica,
      hostList,
      registry,
      view: fleetView,
      store: stateStore,
      lease: zoneLease,
      hostControl: platform.hostControl,
      drains,
      signals,
      clock,
      log,
      zonesInReach: () => members.zones
    })
    const editManager = new EditManager(store, replica, { pause: (attempt) => backOff(attempt, this.#stopping.signal), nowMs: () => clock.wallMs() })
    const editDesk = new EditDesk(this.#system, editManager, replica)
    const callers = new CallerServer({
      registry,
      runner,
      once: () => once,
      jobs,
      metrics,
      requestLog,
      log,
      clock,
      tls: readTls(settings.caller.tls),
      isReady: () => replica.isComplete && hostList.isKnown
    })
    this.parts = {
      settings,
      self,
      clock,
      replica,
      states,
      stateStore,
      sync,
      mesh,
      hostList,
      registry,
      once,
      metrics,
      requestLog,
      editDesk,
      zoneLease,
      callers,
      platformCalls,
      platform,
      log,
      fleet,
      jobs,
      fleetView,
      drains,
      members,
      lending,
      signals
    }
    this.#operators = new OperatorServer({ keys: settings.operator.keys, routes: createOperatorRoutes(this.parts), tls: readTls(settings.operator.tls), log })
    this.#prober = new Prober({ registry, signals, clock, self: self.entryHostId, zoneMembers: () => members.zoneMembers })
    this.#duties = new ZoneDuties(this.parts)
    this.#peerHandlers = createPeerHandlers(this.parts, () => this.#isStopping)
    states.onChange(({ name, value }) => { if (name.startsWith(MEMBERS_DOCUMENT_PREFIX)) this.#dialMembers(value) })
  }

  /**
   * Starts an entry host.
   *
   * @param options - its settings and what stands in for the outside
   * @returns once it listens; it serves as soon as a configuration is in force
   */
  static async start (options: EntryHostOptions): Promise<EntryHost> {
    const calls = new Map<string, number>()
    const count = (kind: string): void => { calls.set(kind, (calls.get(kind) ?? 0) + 1) }
    const platform = options.platform ?? await createPlatform(options.settings, count)
    const { caller, operator } = options.settings
    const host = new EntryHost(options, platform, calls, { caller: caller.port, operator: operator.port })
    await host.#listen()
    host.#run()
    return host
  }

  /** Ports that callers and operators reach it at. */
  get ports (): { caller: number, operator: number } {
    const portOf = (server: Server): number => (server.address() as AddressInfo).port
    return { caller: portOf(this.parts.callers.server), operator: portOf(this.#operators.server) }
  }

  /** Stops as planned: leaves the balancer, finishes what is in flight, hands on what it owns. */
  async stop (): Promise<void> {
    const { settings, callers, mesh, once, log, clock } = this.parts
    if (this.#isStopping) return
    this.#isStopping = true
    log.info('stopping: leaving the balancer')
    callers.failHealthCheck()
    mesh.announce()
    await delay(settings.stop.balancerNoticeMs)
    callers.refuseNew()
    const untilMs = clock.monotonicMs() + settings.stop.drainTimeoutMs
    while (callers.inFlight > 0 && clock.monotonicMs() < untilMs) await delay(20)
    for (let tries = 0; tries < MAX_HAND_OVERS && once.ownedShards > 0; tries++) {
      await once.tick()
      if (once.ownedShards > 0) await delay(HAND_OVER_PAUSE_MS)
    }
    log.info({ cutOff: callers.inFlight, ownedKeyShards: once.ownedShards }, 'stopping: drained')
    await this.close()
  }

  /** Ends everything at once, as a crash would, but frees the process's resources. */
  async close (): Promise<void> {
    const { callers, mesh, platform } = this.parts
    this.#isStopping = true
    this.#stopping.abort()
    callers.server.close()
    callers.server.closeAllConnections()
    this.#operators.server.close()
    this.#operators.server.closeAllConnections()
    await mesh.close()
    await Promise.race([Promise.allSettled(this.#tasks), delay(1000)])
    await Promise.race([this.#client.close(), delay(500)])
    await Promise.all([platform.close(), this.#tasksClient.close()])
    stopActors(this.#system)
  }

  async #listen (): Promise<void> {
    const { settings, mesh, callers } = this.parts
    mesh.attach(this.#operators.server)
    await listen(this.#operators.server, settings.operator.port, settings.operator.address)
    await listen(callers.server, settings.caller.port, settings.caller.address)
  }

  #run (): void {
    const { mesh, zoneLease } = this.parts
    const { signal } = this.#stopping
    mesh.start()
    this.#tasks.push(
      this.#boot(signal), zoneLease.run(signal), this.#prober.run(signal),
      runEvery(HOUSEKEEPING_MS, signal, this.parts.log, () => this.#housekeep()), runEvery(ONCE_TICK_MS, signal, this.parts.log, () => this.#tickOnce()),
      ...this.#duties.run(signal)
    )
  }

  /** Gets a first configuration from the platform or, through {@link PeerMesh}, from peers, whichever answers first. */
  async #boot (signal: AbortSignal): Promise<void> {
    const { sync, replica, log } = this.parts
    while (!signal.aborted && !replica.isComplete) {
      if (await sync.readStore()) this.#duties.notePlatformOk()
      else await delay(BOOT_RETRY_MS * (1 + Math.random()), signal)
    }
    log.info({ documents: replica.versions().length }, 'configuration in force')
    this.parts.registry.queueRefresh()
  }

  #lastZoneMembers = ''
  #housekeepings = 0

  #housekeep (): void {
    const { registry, clock, members, lending, signals } = this.parts
    const zoneMembers = members.zoneMembers.join()
    if (zoneMembers !== this.#lastZoneMembers) {
      this.#lastZoneMembers = zoneMembers
      registry.queueRefresh()
    }
    for (const { router } of registry.services.values()) {
      router.expire()
      router.sampleDemand()
    }
    lending.tick()
    signals.sweep(clock.monotonicMs())
    if (this.#housekeepings++ % POOLS_EVERY === 0) {
      const origins = new Set([...registry.services.values()].flatMap(({ router }) => router.targets.map(({ target }) => originOf(target))))
      this.#client.retain(origins)
    }
  }

  async #tickOnce (): Promise<void> {
    if (!this.parts.replica.isComplete || this.#isStopping) return
    await this.parts.once.tick()
  }

  #dialMembers (value: unknown): void {
    const parsed = membersSchema.safeParse(value)
    if (parsed.success) for (const address of parsed.data.addresses) this.parts.mesh.dial(address)
  }

  #leavingReason (hostId: HostId): string | undefined {
    const work = this.parts.fleetView.work(hostId)
    if (work === undefined) return this.parts.signals.signalOf(hostId)
    return work.maintenance === undefined ? `moving: ${work.phase}` : `maintenance ${work.maintenance}: ${work.phase}`
  }

  #createMesh (settings: Settings, self: PeerIdentity, clock: Clock, log: Logger): PeerMesh {
    const { peers, timing } = settings
    return new PeerMesh({
      self,
      keys: peers.keys,
      seeds: peers.seeds,
      clock,
      heartbeatMs: timing.heartbeatMs,
      crossZoneHeartbeatMs: timing.crossZoneHeartbeatMs,
      bindAddress: peers.bindAddress,
      tlsCa: peers.caFile === undefined ? undefined : readFileSync(peers.caFile, 'utf8')
    }, {
      ownStatus: () => this.#ownStatus(),
      isStopping: () => this.#isStopping,
      onLinked: (peer) => { void greetPeer(this.parts, peer) },
      onHeartbeat: (peer, status) => this.#hear(peer, status),
      onNotice: (peer, topic, body) => { void this.#peerHandlers[topic]?.(peer, body) },
      onRequest: async (peer, topic, body) => {
        const handler = this.#peerHandlers[topic]
        if (handler === undefined) throw new QuillscaleError('peer-protocol', `unknown topic ${topic}`)
        return handler(peer, body)
      },
      onProblem: (detail) => log.warn({ detail }, 'peer problem')
    })
  }

  #ownStatus (): PeerStatus {
    const { sync, zoneLease, clock } = this.parts
    return { digest: sync.digest, isHolder: zoneLease.grantAt(clock.monotonicMs()) !== undefined, spare: this.#isStopping ? {} : this.parts.lending.spare() }
  }

  #hear (peer: PeerIdentity, status: unknown): void {
    const parsed = peerStatusSchema.safeParse(status)
    if (parsed.success) this.parts.sync.compare(peer.entryHostId, parsed.data.digest)
  }
}

/** Before a host is first assigned, labels and selectors alone decide; afterwards only the agreed document does. */
function assignedPool (host: ZoneHost | undefined): { pool: string | undefined } | undefined {
  return host === undefined ? undefined : { pool: host.pool ?? undefined }
}
