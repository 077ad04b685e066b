/**
 * Runs of tasks on workers: each run has a number, everything that runs is leased, each order carries a fencing token.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'

/** What a worker has room for, or what a task asks for. @public */
export interface WorkerCapacity {
  /** Thousandths of a core. */
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly gpus: number
}

/** One lifetime of a worker, as it registered itself. @public */
export interface WorkerInstance {
  /** Names this lifetime, as `createInstanceId` makes it; another lifetime of the worker has another one. */
  readonly instanceId: string
  /** The machine it runs on, which outlasts it; empty when the platform does not tell. */
  readonly machineId: string
  readonly service: string
  readonly address: string
  readonly port: number
  readonly availabilityZone: string
  readonly state: 'ready' | 'draining'
  readonly capacity: WorkerCapacity
  /** Its kind and its rack. */
  readonly labels: readonly string[]
}

/** Names one run of a task. @public */
export interface RunRef {
  /** JOB.TIME.STEP.INDEX. */
  readonly taskKey: string
  /** Counts the starts of the task, from 1. */
  readonly runNumber: number
}

/** An order to start a run. @public */
export interface RunStart extends RunRef {
  /** What to do, as the client wrote it. */
  readonly command: string
  /** On the worker's clock: when the lease of everything that runs there ends unless it is extended. */
  readonly leaseEndsAtMs: number
  readonly fencingToken: number
  readonly checkpoint?: string | undefined
  /** Permission of the placement advice, where the queue needs one. */
  readonly ticket?: string | undefined
}

/** A run that a worker has. @public */
export interface RunReport extends RunRef {
  readonly checkpoint: string
  /** Progress, or for a task that lasts 100 when it is at work. */
  readonly percent: number
  /** Of a serving task: tail of its answer times in ms; of others: processor use in thousandths of a core. */
  readonly load: number
}

/** How a run ended. `lapsed`: its lease ran out; `broken`: another member of its gang ended; `alone`: its gang never met. @public */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run, listed by the worker until it is acknowledged. @public */
export interface EndReport extends RunRef {
  /** Rises from 1 within a lifetime. */
  readonly sequence: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** Asks for both lists, acknowledges ends and extends leases. @public */
export interface HoldRequest {
  readonly fencingToken: number
  /** Ends up to this one are forgotten by the worker. */
  readonly acknowledgedSequence: number
  readonly leaseEndsAtMs?: number | undefined
  /** How long the answer may wait for an end. */
  readonly waitMs: number
}

/** A worker's answer to a hold. @public */
export interface HoldReport {
  /** The worker's own steady clock. */
  readonly clockMs: number
  /** Unix time of the start of the lifetime that answered, `undefined` where workers do not tell. */
  readonly lifetimeStartMs?: number | undefined
  readonly running: readonly RunReport[]
  /** The oldest that were not acknowledged. */
  readonly ended: readonly EndReport[]
  /** There may be more ends than these: a run in neither list may have ended. */
  readonly hasMoreEnds: boolean
}

/**
 * Why an order was not carried out. `fenced-off`: a newer token was seen; `run-closed`: this run ended or was stopped there;
 * `lease-past`; `no-room`; `no-ticket`; `unhealthy`: nothing was done; `other-instance`: that lifetime is over;
 * `unknown-effect`: no answer, it may be carried out later; `malformed`: the worker does not accept the order.
 *
 * @public
 */
export interface RunOrderError {
  readonly kind: 'fenced-off' | 'run-closed' | 'lease-past' | 'no-room' | 'no-ticket' | 'unhealthy' | 'other-instance' | 'unknown-effect' | 'malformed'
  readonly detail: string
}

/** Orders to workers. Each answer carries the worker's clock. @public */
export interface RunOrders {
  /** @param worker - where @param start - what @returns the worker's clock; also when that run is there already */
  start(worker: WorkerInstance, start: RunStart): Promise<Result<number, RunOrderError>>
  /** @param worker - where @param run - which @param fencingToken - of the sender @returns the clock; the end comes with a hold */
  stop(worker: WorkerInstance, run: RunRef, fencingToken: number): Promise<Result<number, RunOrderError>>
  /** @param worker - where @param request - what to acknowledge and extend @returns both lists */
  hold(worker: WorkerInstance, request: HoldRequest): Promise<Result<HoldReport, RunOrderError>>
  /** @param worker - where @param run - which @param percent - share at which it may work @param fencingToken - of the sender @returns the clock */
  pace(worker: WorkerInstance, run: RunRef, percent: number, fencingToken: number): Promise<Result<number, RunOrderError>>
  /** @param worker - whose connections are not needed any more */
  releaseConnections(worker: WorkerInstance): void
}
