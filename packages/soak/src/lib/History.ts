/**
 * What callers, workers and machines saw in one run. All times are milliseconds on one steady clock.
 *
 * @module
 */
import type { CallerStep, FleetRunRecord, MachineOrderRecord, OverloadRecord } from '@quillscale/platform-fleet'
import type { LimitChange, SoakAccount } from './SoakAccounts.js'

/** What a client was told of a job it handed in: `accepted` once, `refused` each time, or at least once nothing certain. @public */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown'

/** A job as its client sees it. @public */
export interface JobView {
  readonly jobId: string
  readonly steps: readonly CallerStep[]
  readonly account: SoakAccount
  submitted: SubmitOutcome
  acceptedMs: number | undefined
  cancelAcknowledgedMs: number | undefined
  /** Each of its tasks ends the worker that starts it. */
  readonly crashesWorkers: boolean
  /** Whether a cancel was sent, answered or not. */
  isCancelSent: boolean
  /** When it was answered that there is no such job. */
  readonly unknownAtMs: number[]
  /** As told after everything had healed; empty if nobody told. */
  finalState: string
}

/** How a process ended. @public */
export interface ProcessEnd {
  readonly hostName: string
  /** What was sent to it; empty if nothing. */
  readonly signal: '' | 'SIGTERM' | 'SIGKILL'
  readonly exitCode: number | null
  readonly atMs: number
}

/** A request whose connection broke although its host was only being stopped. @public */
export interface BrokenRequest { readonly hostName: string, readonly sentMs: number, readonly brokenMs: number }

/** A question to a host, undisturbed for a while, of a queue that a configuration adds or removes. @public */
export interface ConfigurationProbe {
  readonly hostName: string
  readonly sentMs: number
  /** Whether a configuration that may be in force then has the queue, or lacks it. */
  readonly mayExist: boolean
  readonly mayBeMissing: boolean
  readonly status: number
}

/** A call to a host, undisturbed for a while, with a key that is in force, was taken away, or never was. @public */
export interface KeyProbe {
  readonly hostName: string
  readonly sentMs: number
  /** Whether a configuration that may be in force then has the key, and whether all have. */
  readonly mayHold: boolean
  readonly mustHold: boolean
  readonly status: number
}

/** A whole run. @public */
export interface History {
  readonly jobs: readonly JobView[]
  readonly runs: readonly FleetRunRecord[]
  readonly orders: readonly MachineOrderRecord[]
  readonly overloads: readonly OverloadRecord[]
  readonly ends: readonly ProcessEnd[]
  readonly broken: readonly BrokenRequest[]
  readonly probes: readonly ConfigurationProbe[]
  readonly keyProbes: readonly KeyProbe[]
  /** Of the limited account, in their order. */
  readonly limits: readonly LimitChange[]
  /** The most machines of a wave that may be down. */
  readonly maxInUpkeep: number
}
