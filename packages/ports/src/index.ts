/**
 * Interfaces and record types of the external systems that Quillscale depends on.
 *
 * @module
 */
export { MAX_TRANSACTION_ENTRIES } from './lib/KeyValueStore.js'
export type { CompareAndSwap, KeyValue, KeyValueStore, PlatformError, RevisionCondition, SwapOutcome, Transaction, TransactionOutcome, WatchEvents } from './lib/KeyValueStore.js'
export type { AccountName, PlacementAdviceSettings, ClientAccount, FleetConfiguration, KeyHash, QueueConfiguration, ServiceConfiguration, WaveRequest } from './lib/FleetConfiguration.js'
export type { EvacuationRequest } from './lib/EvacuationRequest.js'
export type { PlacementAdvice, AdvisedWorker, StepAdvice } from './lib/PlacementAdvice.js'
export type { ListedMachine, MachineControl, MachineOrder, MachineOrderOutcome, MachineState } from './lib/MachineControl.js'
export type {
  EndReport, HoldReport, HoldRequest, RunEnd, RunOrderError, RunOrders, RunRef, RunReport, RunStart, WorkerCapacity, WorkerInstance
} from './lib/RunOrders.js'
export { lifetimeStartMsOf, createInstanceId, isNextLifetime, workerIdOf, type WorkerId } from './lib/WorkerId.js'
export type { HostDirectory, ListedHost } from './lib/HostDirectory.js'
export type { TaskReport, TaskStart, WorkerAddress, WorkerTasks } from './lib/WorkerTasks.js'
export type { FencedOrder, HostControl, OrderOutcome, Platform } from './lib/HostControl.js'
