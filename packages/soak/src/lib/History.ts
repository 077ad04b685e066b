/**
 * Everything that callers, workers and machines observed in one run. All times are milliseconds of one monotonic clock.
 *
 * @module
 */
import type { CallerStep, FleetRunRecord, MachineOrderRecord, OverloadRecord } from '@quillscale/platform-fleet'
import type { Rotation } from './Rotations.js'
import type { LimitChange, SoakAccount } from './SoakAccounts.js'

/**
 * The outcome of submitting a job: `accepted` if any attempt was accepted, `refused` if every attempt was certainly refused, `unknown` otherwise.
 *
 * @public
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown'

/** A job as its client observed it. @public */
export interface JobView {
  readonly jobId: string
  readonly steps: readonly CallerStep[]
  readonly account: SoakAccount
  submitted: SubmitOutcome
  acceptedMs: number | undefined
  cancelAcknowledgedMs: number | undefined
  /** Whether each of its tasks crashes the worker that starts it. */
  readonly crashesWorkers: boolean
  /** Whether a cancel request was sent, answered or not. */
  isCancelSent: boolean
  /** Times of the queries that were answered with "no such job". */
  readonly unknownAtMs: number[]
  /** Times of the answers, during the run and at its end, that showed it as failed. */
  readonly failedAtMs: number[]
  /** When it was first sent to the queue that configuration changes add and remove; `undefined` for a job of a permanent queue. */
  readonly sentToExtraQueueMs: number | undefined
  /** No host may start it before this time, by its schedule and the clocks of the hosts; `undefined` if that is not known. */
  startsAfterMs?: number | undefined
  /** The state reported after all faults had ended; empty if no host reported one. */
  finalState: string
}

/** The exit of an entry host's process. @public */
export interface ProcessEnd {
  readonly hostName: string
  /** The signal that the soak had sent to it; empty if none. */
  readonly signal: '' | 'SIGTERM' | 'SIGKILL'
  readonly exitCode: number | null
  readonly atMs: number
}

/** A request whose connection broke during a planned stop of its host. @public */
export interface BrokenRequest { readonly hostName: string, readonly sentMs: number, readonly brokenMs: number }

/** A request to an undisturbed host for the queue that configuration changes add and remove. @public */
export interface ConfigurationProbe {
  readonly hostName: string
  readonly sentMs: number
  /** Whether any configuration that may have been in force at that time has the queue (`mayExist`) or lacks it (`mayBeMissing`). */
  readonly mayExist: boolean
  readonly mayBeMissing: boolean
  readonly status: number
}

/** An answer of any host, disturbed or not, to a request for that queue. @public */
export interface QueueLookup { readonly hostName: string, readonly sentMs: number, readonly answeredMs: number, readonly status: number }

/** The addition or removal of that queue. @public */
export interface ExtraQueueChange { readonly atMs: number, readonly exists: boolean }

/** A configuration in the store, by the revision at which it was written, and the time by which it had been. @public */
export interface StoredConfiguration { readonly revision: number, readonly writtenMs: number, readonly hasExtraQueue: boolean }

/** A job in the store, by the revision at which it was first written. @public */
export interface StoredJob { readonly jobId: string, readonly revision: number }

/** A host that held the duty of a service, by the token of its orders. @public */
export interface DutyTenure { readonly service: string, readonly fencingToken: number, readonly hostName: string }

/** A request to an undisturbed host with a key that is valid, was revoked, or never existed. @public */
export interface KeyProbe {
  readonly hostName: string
  readonly sentMs: number
  /** Whether any (`mayHold`) or every (`mustHold`) configuration that may have been in force at that time has the key. */
  readonly mayHold: boolean
  readonly mustHold: boolean
  readonly status: number
}

/** The answer to a request by a key or to a queue that configurations replace. @public */
export interface RotatedCall {
  readonly hostName: string
  /** The submitted job, empty for a request for the queue. */
  readonly jobId: string
  readonly isSubmission: boolean
  /** Whether the queue is the replaced one of the rotation; otherwise the key is. */
  readonly isByQueue: boolean
  readonly rotation: Rotation
  readonly sentMs: number
  readonly answeredMs: number
  readonly status: number
}

/** What a host answered that lags behind the configuration and had started a job before. @public */
export interface LagAnswer {
  readonly hostName: string
  /** What it was asked for. */
  readonly name: string
  readonly startedMs: number
  readonly sentMs: number
  readonly status: number
  /** Whether only an older version allows the answer than one under which the job had been accepted. */
  readonly isOutdated: boolean
}

/** An evacuation of an availability zone; `Infinity` as the time of its withdrawal while it is requested. @public */
export interface Evacuation { readonly availabilityZone: string, readonly acknowledgedMs: number, withdrawnMs: number }

/** The record of one run, which the promises are checked against. @public */
export interface History {
  readonly jobs: readonly JobView[]
  readonly runs: readonly FleetRunRecord[]
  readonly orders: readonly MachineOrderRecord[]
  readonly overloads: readonly OverloadRecord[]
  readonly ends: readonly ProcessEnd[]
  readonly broken: readonly BrokenRequest[]
  readonly probes: readonly ConfigurationProbe[]
  readonly lookups: readonly QueueLookup[]
  readonly extraQueueChanges: readonly ExtraQueueChange[]
  readonly configurations: readonly StoredConfiguration[]
  readonly storedJobs: readonly StoredJob[]
  readonly tenures: readonly DutyTenure[]
  readonly keyProbes: readonly KeyProbe[]
  /** The limits of the limited account, in order of time. */
  readonly limits: readonly LimitChange[]
  readonly evacuations: readonly Evacuation[]
  readonly rotatedCalls: readonly RotatedCall[]
  readonly lagAnswers: readonly LagAnswer[]
  /** How many machines of a wave may be down for maintenance at once. */
  readonly maxInUpkeep: number
}
