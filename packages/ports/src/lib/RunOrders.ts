/**
 * Interface for running tasks on workers. Each run of a task is numbered, every run is covered by a lease, and every order carries a fencing token.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'

/** The resources that a worker offers or a task requests. @public */
export interface WorkerCapacity {
  /** Thousandths of a core. */
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly gpus: number
}

/** The registration of one lifetime of a worker, from one start of the worker to the next. @public */
export interface WorkerInstance {
  /** Unique to this lifetime of the worker; see `createInstanceId`. */
  readonly instanceId: string
  /** The machine it runs on, which may host further lifetimes of the worker; empty if the platform doesn't report it. */
  readonly machineId: string
  readonly service: string
  readonly address: string
  readonly port: number
  readonly availabilityZone: string
  readonly state: 'ready' | 'draining'
  /** How much longer the worker is slow after its start, as of its registration; `undefined` if it does not report that. */
  readonly warmupLeftMs?: number | undefined
  readonly capacity: WorkerCapacity
  /** The worker's kind and its rack. */
  readonly labels: readonly string[]
}

/** Identifies one run of a task. @public */
export interface RunRef {
  /** Format: JOB.TIME.STEP.INDEX. */
  readonly taskKey: string
  /** The number of this start of the task, counted from 1. */
  readonly runNumber: number
}

/** An order to start a run. @public */
export interface RunStart extends RunRef {
  /** The command to run, exactly as the client wrote it. */
  readonly command: string
  /** When the lease that covers all runs on the worker expires unless it is extended, by the worker's clock. */
  readonly leaseEndsAtMs: number
  readonly fencingToken: number
  readonly checkpoint?: string | undefined
  /** The ticket from the placement advice service, if the queue requires one. */
  readonly ticket?: string | undefined
}

/** A worker's report on a run that is in progress. @public */
export interface RunReport extends RunRef {
  readonly checkpoint: string
  /** Progress in percent; a lasting task reports 100 once it is in service. */
  readonly percent: number
  /** For a serving task its tail latency in ms; for other tasks the CPU usage in thousandths of a core. */
  readonly load: number
}

/** How a run ended. `lapsed`: its lease expired; `broken`: another member of its gang ended; `alone`: its gang never became complete. @public */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** A worker's report on a run that has ended. The worker repeats it until it is acknowledged. @public */
export interface EndReport extends RunRef {
  /** Increases within a lifetime of the worker, starting at 1. */
  readonly sequence: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** A request that polls a worker for its running and ended runs, acknowledges end reports and extends the worker's lease. @public */
export interface HoldRequest {
  readonly fencingToken: number
  /** The worker drops its end reports up to and including this sequence number. */
  readonly acknowledgedSequence: number
  readonly leaseEndsAtMs?: number | undefined
  /** How long the worker may hold back the response until a run ends. */
  readonly waitMs: number
}

/** A worker's response to a {@link HoldRequest}. @public */
export interface HoldReport {
  /** The worker's monotonic clock. */
  readonly clockMs: number
  /** Unix time at which the responding lifetime started, `undefined` if workers don't report it. */
  readonly lifetimeStartMs?: number | undefined
  readonly running: readonly RunReport[]
  /** The oldest end reports that are not acknowledged yet. */
  readonly ended: readonly EndReport[]
  /** Whether the request was sent twice, and the first one got no response: the worker may carry it out later. */
  readonly hasUnansweredAttempt?: boolean
  /** Whether more end reports may follow: then a run that is in neither list may have ended. */
  readonly hasMoreEnds: boolean
}

/**
 * Why an order failed. `fenced-off`: the worker has seen a newer fencing token; `run-closed`: the run has ended or was stopped on this worker;
 * `not-sent`: it waited behind other calls of this host until its time was over, and has no effect; `lease-past`, `no-room`, `no-ticket`, `unhealthy`: the
 * worker did nothing, for the reason named; `other-instance`: the addressed lifetime has ended; `unknown-effect`: no response came, and the order may
 * still take effect later; `malformed`: the worker rejected the order as invalid.
 */
export interface RunOrderError {
  readonly kind: 'fenced-off' | 'run-closed' | 'not-sent' | 'lease-past' | 'no-room' | 'no-ticket' | 'unhealthy' | 'other-instance' | 'unknown-effect' | 'malformed'
  readonly detail: string
}

/** Sends orders to workers. Each response carries the reading of the worker's clock. @public */
export interface RunOrders {
  /** @param worker - the worker @param start - the run to start @returns the worker's clock, also if that run is already there */
  start(worker: WorkerInstance, start: RunStart): Promise<Result<number, RunOrderError>>
  /**
   * @param worker - the worker
   * @param run - the run to stop
   * @param fencingToken - the sender's fencing token
   * @returns the worker's clock; the end of the run is reported by a later {@link RunOrders.hold}
   */
  stop(worker: WorkerInstance, run: RunRef, fencingToken: number): Promise<Result<number, RunOrderError>>
  /** @param worker - the worker to poll @param request - what to acknowledge and extend @returns its running runs and its unacknowledged end reports */
  hold(worker: WorkerInstance, request: HoldRequest): Promise<Result<HoldReport, RunOrderError>>
  /**
   * @param worker - the worker
   * @param run - the run to throttle
   * @param percent - the share of its full speed at which the run may work
   * @param fencingToken - the sender's fencing token
   * @returns the worker's clock
   */
  pace(worker: WorkerInstance, run: RunRef, percent: number, fencingToken: number): Promise<Result<number, RunOrderError>>
  /** @param worker - the worker whose connections are no longer needed */
  releaseConnections(worker: WorkerInstance): void
}
