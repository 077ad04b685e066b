/**
 * Options of the scheduler of one service.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { FleetConfiguration, KeyValue, KeyValueStore, PlacementAdvice, RunOrders, WorkerInstance } from '@quillscale/ports'
import type { RecordProblem, RecordReader } from '../records/RecordReader.js'
import type { EvacuationSource } from '../workers/ZoneEvacuator.js'
import type { EventLog } from './EventLog.js'
import type { SchedulerMetrics } from './SchedulerMetrics.js'

/** Time limits of the platform that the scheduler has to respect. @public */
export interface SchedulerBounds {
  /** The longest lease that a worker grants. */
  readonly maxLeaseMs: number
  /** The longest time that stopping a run takes. */
  readonly stopMs: number
  /** The shortest lease that the store grants. */
  readonly minTtlMs: number
  /** How long the state of an ended job stays available. */
  readonly keepEndedMs: number
  /** Time after the cancellation of a job from which none of its runs may start. */
  readonly cancelMs: number
  /** Time after a worker has reported that it drains from which no run may start there. */
  readonly drainMs: number
}

/** Options of {@link ServiceScheduler}. @public */
export interface ServiceSchedulerOptions {
  readonly service: string
  readonly dutyKey: string
  /** Revision of the duty key, which grows with each holder. */
  readonly fencingToken: number
  /** Tells whether this host holds the duty at this moment. */
  readonly holdsDuty: () => boolean
  readonly store: KeyValueStore
  readonly orders: RunOrders
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly records: RecordReader
  readonly configuration: () => FleetConfiguration | undefined
  /** Reads the configuration if it is older than a version, and resolves with whether that version is known then. */
  readonly requireConfiguration: (version: number) => Promise<boolean>
  readonly bounds: () => SchedulerBounds
  readonly evacuations: EvacuationSource
  /** Key of the request to evacuate an availability zone; `undefined` where operators do not evacuate zones. */
  readonly evacuationKey: ((availabilityZone: string) => string | undefined) | undefined
  /** Prefix under which workers register themselves. */
  readonly workersPrefix: string
  /** Decodes the registration of a worker. */
  readonly decodeWorker: (item: KeyValue) => Result<WorkerInstance, RecordProblem>
  /** Whether the backlog is published, so that hosts refuse jobs that can be of no use. */
  readonly managesPressure: boolean
  /** Tells whether the store has a record of the service's backlog, as far as this host knows; without it, a former holder's record stays. */
  readonly hasBacklogRecord?: (() => boolean) | undefined
  /** Tells the same of the record of the memory that the service's jobs take. */
  readonly hasJobMemoryRecord?: (() => boolean) | undefined
  /** Called when another holder has taken over. */
  readonly onDeposed: () => void
}
