/**
 * The operators' configuration of queues, services and client accounts, as read from the platform's store.
 *
 * @module
 */
import type { WorkerCapacity } from './RunOrders.js'

/** The name of a client account. @public */
export type AccountName = string & { readonly __accountName: true }

/** The hash of an API key; the key itself is never stored. @public */
export type KeyHash = string & { readonly __keyHash: true }

/** A client account, which may submit jobs, and its limits. @public */
export interface ClientAccount {
  readonly name: AccountName
  /** Hashes of the account's API keys; each of the keys authenticates the account. */
  readonly keyHashes: readonly KeyHash[]
  /** The account's share under full load, in jobs per second. */
  readonly weight: number
  /** The most resources its running tasks may use across all workers; 0 means no limit. */
  readonly limit: WorkerCapacity
}

/** Timing of the placement advice service, for a queue whose steps need its advice. @public */
export interface PlacementAdviceSettings {
  /** The time the advice service takes for a call, to which `perWorkerMs` is added for each worker named in it. */
  readonly decisionMs: number
  readonly perWorkerMs: number
  readonly validMs: number
}

/** The configuration of a job queue. @public */
export interface QueueConfiguration {
  readonly name: string
  /** A request goes to the queue that matches its host header and has the longest matching path prefix. */
  readonly host: string
  readonly pathPrefix: string
  /** The service whose workers run the queue's tasks. */
  readonly service: string
  /** 0 is the highest priority and may preempt all others. */
  readonly priority: number
  /** A job fails once one of its tasks has failed this many times. */
  readonly attempts: number
  /** A job is on time if it finishes within this multiple of its critical path, plus `targetLatencyMs`. */
  readonly stretch: number
  readonly targetLatencyMs: number
  /** The time limit for a request. */
  readonly timeoutMs: number
  /** Whether requests are accepted without an API key. */
  readonly isPublic?: boolean | undefined
  readonly advice?: PlacementAdviceSettings | undefined
}

/** The configuration of a service, which is a pool of machines with one worker each. @public */
export interface ServiceConfiguration {
  readonly name: string
  /** Whether this is a headroom pool, whose machines are switched off and not paid for. */
  readonly isHeadroom: boolean
  /** Whether workers refuse a run that exceeds their capacity; otherwise they start every run that is ordered. */
  readonly refusesOverload: boolean
  readonly healthPath: string
}

/** One version of the whole configuration. @public */
export interface FleetConfiguration {
  readonly version: number
  readonly queues: readonly QueueConfiguration[]
  readonly services: readonly ServiceConfiguration[]
  /** `undefined` if client accounts are not used; then no request needs an API key. */
  readonly accounts?: readonly ClientAccount[] | undefined
  readonly maxBodyBytes: number
}

/** A request for maintenance of a set of machines, called a wave. @public */
export interface WaveRequest {
  readonly wave: number
  readonly machineIds: readonly string[]
  /** How long the wave may take, counted from the time the request was written. */
  readonly deadlineMs: number
  /** The most machines that may be down for this wave at the same time. */
  readonly maxAtOnce: number
}
