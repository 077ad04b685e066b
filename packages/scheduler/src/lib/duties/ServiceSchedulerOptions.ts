/**
 * What a service's scheduler works with.
 *
 * @module
 */
import type { Clock, Result } from '@quillscale/utils'
import type { FleetConfiguration, KeyValue, KeyValueStore, PlacementAdvice, RunOrders, WorkerInstance } from '@quillscale/ports'
import type { RecordProblem, RecordReader } from '../records/RecordReader.js'
import type { EventLog } from './EventLog.js'
import type { SchedulerMetrics } from './SchedulerMetrics.js'

/** Figures of the platform that the scheduler goes by. @public */
export interface SchedulerBounds {
  /** The longest lease that a worker grants. */
  readonly maxLeaseMs: number
  /** How long a stop takes at most. */
  readonly stopMs: number
  /** The shortest lease that the store grants. */
  readonly minTtlMs: number
  /** For how long an ended job is still answered for. */
  readonly keepEndedMs: number
}

/** What a scheduler works with. @public */
export interface ServiceSchedulerOptions {
  readonly service: string
  readonly dutyKey: string
  /** The duty key's revision: it grows with each holder. */
  readonly fencingToken: number
  /** Whether the duty is held at this moment. */
  readonly holdsDuty: () => boolean
  readonly store: KeyValueStore
  readonly orders: RunOrders
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly records: RecordReader
  readonly configuration: () => FleetConfiguration | undefined
  readonly bounds: () => SchedulerBounds
  /** Where workers register themselves, and how they are read. */
  readonly workersPrefix: string
  readonly decodeWorker: (item: KeyValue) => Result<WorkerInstance, RecordProblem>
  /** Called when another holder has taken over. */
  readonly onDeposed: () => void
}
