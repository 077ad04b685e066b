/**
 * Makes the parts of an entry host, layer by layer: what is shared with peers, the path of requests, the duties of a
 * zone's holder, and what callers and operators reach. Nothing runs yet.
 *
 * @module
 */
import type { ActorSystemRef } from 'nact'
import { backOff } from '@quillscale/utils'
import type { HostId } from '@quillscale/model'
import { ConfigurationReplica, EditManager } from '@quillscale/configuration'
import type { ZoneHost } from '@quillscale/fleet'
import type { IngressBudget } from '@quillscale/ingress'
import { LeaseHolder } from '@quillscale/leases'
import type { HttpWorkerTasks } from '@quillscale/platform-http'
import { RequestMetrics } from '@quillscale/routing'
import { CallerServer } from './CallerServer.js'
import { ConfigurationSync } from './ConfigurationSync.js'
import type { OpenPlatform } from './createPlatform.js'
import { createPeerMesh, type PeerMeshInputs } from './createPeerMesh.js'
import { DrainConfirmation } from './DrainConfirmation.js'
import { EditDesk } from './EditDesk.js'
import type { EntryHostParts } from './EntryHostParts.js'
import { FleetManager } from './FleetManager.js'
import { FleetView } from './FleetView.js'
import { HostList } from './HostList.js'
import { isReady } from './isReady.js'
import { JobManager } from './JobManager.js'
import { OnceManager } from './OnceManager.js'
import { ReachableMembers } from './ReachableMembers.js'
import { readTls } from './readTls.js'
import { RequestLog } from './RequestLog.js'
import { RequestRunner } from './RequestRunner.js'
import { runKeyedRequest } from './runKeyedRequest.js'
import { ServiceRegistry } from './ServiceRegistry.js'
import { SlotLending } from './SlotLending.js'
import { StateReplica } from './StateReplica.js'
import { StateStore } from './StateStore.js'
import type { TargetClient } from './TargetClient.js'
import { TARGET_SIGNAL_TOPIC, TargetSignals } from './TargetSignals.js'
import { MEMBERS_DOCUMENT_PREFIX, membersSchema } from './ZoneDuties.js'
import { zoneToken } from './zoneToken.js'

/** What the parts are made of. @internal */
export interface PartsInputs extends Omit<PeerMeshInputs, 'parts'> {
  readonly platform: OpenPlatform
  readonly platformCalls: ReadonlyMap<string, number>
  /** Connections to targets. */
  readonly client: TargetClient
  /** Orders to workers about tasks. */
  readonly tasks: HttpWorkerTasks
  readonly actors: ActorSystemRef
  /** Bounds what clients make the process hold. */
  readonly budget: IngressBudget
  /** Ends everything. */
  readonly signal: AbortSignal
}

type SharedParts = Pick<EntryHostParts, 'replica' | 'states' | 'stateStore' | 'hostList' | 'mesh' | 'members' | 'sync'>
type RoutingParts = Pick<EntryHostParts, 'lending' | 'signals' | 'fleetView' | 'registry'>
type DutyParts = Pick<EntryHostParts, 'zoneLease' | 'jobs' | 'drains' | 'fleet'>
type InterfaceParts = Pick<EntryHostParts, 'metrics' | 'requestLog' | 'once' | 'editDesk' | 'callers'>

/**
 * Makes the parts.
 *
 * @param inputs - what they are made of
 * @returns all of them, joined
 * @internal
 */
export function createEntryHostParts (inputs: PartsInputs): EntryHostParts {
  const { settings, self, clock, log, platform, platformCalls } = inputs
  const shared = createSharedParts(inputs, () => parts)
  const routing = createRoutingParts(inputs, shared)
  const duties = createDutyParts(inputs, { ...shared, ...routing })
  const interfaces = createInterfaceParts(inputs, { ...shared, ...routing, ...duties })
  const parts: EntryHostParts = { settings, self, clock, log, platform, platformCalls, ...shared, ...routing, ...duties, ...interfaces }
  shared.states.onChange(({ name, value }) => { if (name.startsWith(MEMBERS_DOCUMENT_PREFIX)) dialMembers(parts, value) })
  return parts
}

/** Documents, the list of hosts and the links: what an entry host knows together with its peers. */
function createSharedParts (inputs: PartsInputs, parts: () => EntryHostParts): SharedParts {
  const { self, clock, platform } = inputs
  const store = platform.keyValueStore
  const replica = new ConfigurationReplica()
  const states = new StateReplica()
  const stateStore = new StateStore(store, states)
  const hostList = new HostList()
  const mesh = createPeerMesh({ ...inputs, parts })
  const members = new ReachableMembers(mesh, self, hostList)
  const sync = new ConfigurationSync({ mesh, replica, states, store, availabilityZone: self.availabilityZone, clock })
  return { replica, states, stateStore, hostList, mesh, members, sync }
}

/** Services, their targets and slots. */
function createRoutingParts ({ self, clock }: PartsInputs, { replica, states, hostList, mesh, members }: SharedParts): RoutingParts {
  const lending: SlotLending = new SlotLending(mesh, () => registry, clock, self.availabilityZone)
  const signals = new TargetSignals((body) => mesh.broadcast(TARGET_SIGNAL_TOPIC, body), () => registry.queueRefresh())
  const fleetView = new FleetView(states, () => registry.queueRefresh())
  const registry: ServiceRegistry = new ServiceRegistry({
    replica,
    hostList,
    clock,
    random: Math.random,
    self: self.entryHostId,
    zoneMembers: () => members.zoneMembers,
    leavingReason: (hostId) => leavingReason(fleetView, signals, hostId),
    assignedPool: (hostId) => assignedPool(fleetView.host(hostId)),
    onShortage: (service, wanted) => { void lending.borrow(service, wanted) },
    canBorrow: (service) => lending.canBorrow(service)
  })
  return { lending, signals, fleetView, registry }
}

/** What the holder of the zone's lease does for all. */
function createDutyParts (inputs: PartsInputs, parts: SharedParts & RoutingParts): DutyParts {
  const { self, clock, log, platform, tasks } = inputs
  const { replica, states, stateStore, hostList, mesh, members, signals, fleetView, registry } = parts
  const zone = self.availabilityZone
  const zoneLease = createZoneLease(inputs, parts)
  const jobs = new JobManager({
    zone,
    store: platform.keyValueStore,
    lease: zoneLease,
    tasks,
    replica,
    registry,
    mesh,
    clock,
    log,
    holders: () => members.holders(zoneToken(zoneLease, clock) !== undefined),
    zoneCount: () => Math.max(1, fleetView.allZoneHosts.length)
  })
  const drains = new DrainConfirmation({
    mesh,
    registry: () => registry,
    states,
    zone,
    gone: () => members.gone,
    hasJobsOn: (hostId) => jobs.hasJobsOn(hostId)
  })
  const fleet = new FleetManager({
    zone,
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
  return { zoneLease, jobs, drains, fleet }
}

function createZoneLease ({ settings, self, clock, log, platform, isStopping }: PartsInputs, { mesh, members }: SharedParts): LeaseHolder {
  return new LeaseHolder({
    key: `quillscale/lease/zone/${self.availabilityZone}`,
    value: JSON.stringify({ holder: self.entryHostId, incarnation: self.incarnation }),
    ttlMs: settings.timing.zoneLeaseMs,
    store: platform.keyValueStore,
    clock,
    mayAcquire: () => !isStopping() && !members.isHolderInReach,
    onChange: (isHeld) => {
      log.info({ lease: 'zone', isHeld }, isHeld ? 'zone lease taken' : 'zone lease lost')
      mesh.broadcastHeartbeat()
    }
  })
}

/** What callers and operators reach. */
function createInterfaceParts (inputs: PartsInputs, parts: SharedParts & RoutingParts & DutyParts): InterfaceParts {
  const { settings, self, clock, log, platform, client, actors, signal, isStopping, budget } = inputs
  const { replica, states, stateStore, hostList, mesh, members, signals, registry, jobs } = parts
  const runner = new RequestRunner({ client, clock, onLeaving: (hostId) => signals.notice(hostId, 'leaving', clock.monotonicMs()) })
  const metrics = new RequestMetrics()
  const requestLog = new RequestLog()
  const once = new OnceManager({
    self: { entryHostId: self.entryHostId, incarnation: self.incarnation },
    mesh,
    states,
    store: stateStore,
    clock,
    secrets: settings.peers.keys,
    run: (request) => runKeyedRequest({ registry, clock }, request, runner),
    gone: () => members.gone,
    isStopping,
    table: settings.idempotency
  })
  const editManager = new EditManager(platform.keyValueStore, replica, { pause: (attempt) => backOff(attempt, signal), nowMs: () => clock.wallMs() })
  const editDesk = new EditDesk(actors, editManager, replica)
  const callers = new CallerServer({
    registry,
    runner,
    once: () => once,
    jobs,
    metrics,
    requestLog,
    log,
    clock,
    budget,
    tls: readTls(settings.caller.tls),
    isReady: () => isReady({ replica, hostList })
  })
  return { metrics, requestLog, once, editDesk, callers }
}

function dialMembers ({ mesh }: EntryHostParts, value: unknown): void {
  const parsed = membersSchema.safeParse(value)
  if (parsed.success) for (const address of parsed.data.addresses) mesh.dial(address)
}

function leavingReason (fleetView: FleetView, signals: TargetSignals, hostId: HostId): string | undefined {
  const work = fleetView.work(hostId)
  if (work === undefined) return signals.signalOf(hostId)
  return work.maintenance === undefined ? `moving: ${work.phase}` : `maintenance ${work.maintenance}: ${work.phase}`
}

/** Before a host is first assigned, labels and selectors alone decide; afterwards only the agreed document does. */
function assignedPool (host: ZoneHost | undefined): { pool: string | undefined } | undefined {
  return host === undefined ? undefined : { pool: host.pool ?? undefined }
}
