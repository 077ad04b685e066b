/**
 * The operators' configuration of queues and services, where the platform keeps it.
 *
 * @module
 */
import type { WorkerCapacity } from './RunOrders.js'

/** Names a client account. @public */
export type AccountName = string & { readonly __accountName: true }

/** A key that was hashed; the key itself is kept nowhere. @public */
export type KeyHash = string & { readonly __keyHash: true }

/** A client account: who may hand in jobs, and how much of the fleet they may take. @public */
export interface ClientAccount {
  readonly name: AccountName
  /** Any of its keys stands for it. */
  readonly keyHashes: readonly KeyHash[]
  /** Jobs a second that are its share when everything is full. */
  readonly weight: number
  /** What it may have running on all workers together; 0 for no limit. */
  readonly limit: WorkerCapacity
}

/** A queue may need advice on which workers run a step. @public */
export interface PlacementAdviceSettings {
  /** How long the advice service thinks about a call, and about each worker named in it. */
  readonly decisionMs: number
  readonly perWorkerMs: number
  readonly validMs: number
}

/** A queue of jobs. @public */
export interface QueueConfiguration {
  readonly name: string
  /** Which requests it takes: the host header and the longest path prefix. */
  readonly host: string
  readonly pathPrefix: string
  /** Whose workers run its tasks. */
  readonly service: string
  /** 0 goes first and may preempt the others. */
  readonly priority: number
  /** After so many failed runs of a task its job has failed. */
  readonly attempts: number
  /** A job is on time within this multiple of its longest chain of work, and `targetLatencyMs` more. */
  readonly stretch: number
  readonly targetLatencyMs: number
  /** How long a request may take. */
  readonly timeoutMs: number
  /** Calls need no key. */
  readonly isPublic?: boolean | undefined
  readonly advice?: PlacementAdviceSettings | undefined
}

/** A service: a pool of machines, each with a worker. @public */
export interface ServiceConfiguration {
  readonly name: string
  /** Its machines are off and not paid for. */
  readonly isHeadroom: boolean
  /** Its workers refuse what does not fit; otherwise they start whatever they are told. */
  readonly refusesOverload: boolean
  readonly healthPath: string
}

/** One version of the whole configuration. @public */
export interface FleetConfiguration {
  readonly version: number
  readonly queues: readonly QueueConfiguration[]
  readonly services: readonly ServiceConfiguration[]
  /** `undefined` where there are no client accounts: then no call needs a key. */
  readonly accounts?: readonly ClientAccount[] | undefined
  readonly maxBodyBytes: number
}

/** Machines that are due for upkeep. @public */
export interface WaveRequest {
  readonly wave: number
  readonly machineIds: readonly string[]
  /** From when the request was written. */
  readonly deadlineMs: number
  /** The most machines that may be down for it at once. */
  readonly maxAtOnce: number
}
