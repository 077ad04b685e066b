/**
 * The parts of an entry host, as its routes, duties and peer topics see them.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Clock } from '@quillscale/utils'
import type { ConfigurationReplica } from '@quillscale/configuration'
import type { LeaseHolder } from '@quillscale/leases'
import type { PeerIdentity, PeerMesh } from '@quillscale/membership'
import type { RequestMetrics } from '@quillscale/routing'
import type { CallerServer } from './CallerServer.js'
import type { ConfigurationSync } from './ConfigurationSync.js'
import type { OpenPlatform } from './createPlatform.js'
import type { DrainConfirmation } from './DrainConfirmation.js'
import type { EditDesk } from './EditDesk.js'
import type { FleetManager } from './FleetManager.js'
import type { FleetView } from './FleetView.js'
import type { HostList } from './HostList.js'
import type { JobManager } from './JobManager.js'
import type { OnceManager } from './OnceManager.js'
import type { ReachableMembers } from './ReachableMembers.js'
import type { RequestLog } from './RequestLog.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { Settings } from './settings.js'
import type { SlotLending } from './SlotLending.js'
import type { StateReplica } from './StateReplica.js'
import type { StateStore } from './StateStore.js'
import type { TargetSignals } from './TargetSignals.js'

/** The parts of an entry host, for the operators' routes. @internal */
export interface EntryHostParts {
  readonly settings: Settings
  readonly self: PeerIdentity
  readonly clock: Clock
  readonly replica: ConfigurationReplica
  readonly states: StateReplica
  readonly stateStore: StateStore
  readonly sync: ConfigurationSync
  readonly mesh: PeerMesh
  readonly hostList: HostList
  readonly registry: ServiceRegistry
  readonly once: OnceManager
  readonly metrics: RequestMetrics
  readonly requestLog: RequestLog
  readonly editDesk: EditDesk
  readonly zoneLease: LeaseHolder
  readonly callers: CallerServer
  readonly platformCalls: ReadonlyMap<string, number>
  readonly platform: OpenPlatform
  readonly log: Logger
  readonly fleet: FleetManager
  readonly jobs: JobManager
  readonly fleetView: FleetView
  readonly drains: DrainConfirmation
  readonly members: ReachableMembers
  readonly lending: SlotLending
  readonly signals: TargetSignals
}
