/**
 * Records accepted jobs in the store, each id once.
 *
 * A job is recorded in the inbox of its service, and its service under its id alone, in one transaction. Its queue may move to another service
 * later, also to one that this host does not know, so the second record tells whether and where the id was accepted before. Program versions that do
 * not write it may have accepted the id too, so the transaction also requires that no other service has a job of that id.
 *
 * @module
 */
import { decodeJson, Err } from '@quillscale/utils'
import { MAX_TRANSACTION_ENTRIES, type KeyValue, type PlatformError, type RevisionCondition, type TransactionOutcome } from '@quillscale/ports'
import { createSubmissionId, encodeJobSpec, jobSpecSchema, type JobId, type JobSpec } from '@quillscale/policy'
import type { CallRetrier, RetryResult } from '../records/CallRetrier.js'
import type { MonitoredStore } from '../records/MonitoredStore.js'
import type { RecordReader } from '../records/RecordReader.js'
import { acceptanceKeys, isServiceName, jobKey, jobServiceKey } from '../records/storeKeys.js'
import { isCancelledEarly } from './EarlyCancellations.js'

/** Dependencies of a {@link JobRecorder}. @public */
export interface JobRecorderOptions {
  readonly store: MonitoredStore
  readonly records: RecordReader
  readonly calls: CallRetrier
  /** Longest value that the store takes, in bytes; no limit if left out. */
  readonly maxRecordBytes?: (() => number) | undefined
}

/** Where a job is to be recorded. @public */
export interface RecordingTarget {
  /** The present service of its queue. */
  readonly service: string
  /** The other services of the configuration. */
  readonly otherServices: readonly string[]
  /** The job is recorded only while this holds. */
  readonly configuration: RevisionCondition | undefined
}

/** A job that was recorded before, by an earlier request or by an attempt of this one that got no answer. @public */
export interface RecordedJob { readonly service: string, readonly record: KeyValue, readonly spec: JobSpec }

/** Outcome of the recording. @public */
export interface RecordingOutcome extends RetryResult<TransactionOutcome> {
  /** Set if the id was accepted before. */
  readonly existing?: RecordedJob | undefined
  /** Whether it was accepted by this request. */
  readonly isOwn?: boolean
  /** Whether the id was cancelled before it was accepted; the job is not recorded then. */
  readonly isCancelled?: boolean
  /** Whether the record is longer than the store ever takes. */
  readonly isTooLarge?: boolean
}

/** Reported when the record of a job in the store cannot be decoded. @public */
export const RECORD_UNREADABLE: PlatformError = { kind: 'unavailable', detail: 'the record of the job in the store cannot be decoded' }

const RECORD_TOO_LARGE: PlatformError = { kind: 'refused', detail: 'the record of the job is larger than the store takes' }

/** Entries of the transaction besides the conditions on job records: the recorded service and the configuration, and the two puts. */
const OVERHEAD_ENTRIES = 4
const MAX_SERVICES = MAX_TRANSACTION_ENTRIES - OVERHEAD_ENTRIES
/** Enough to learn the recorded service, then its undecodable record, and to replace both. */
const MAX_ROUNDS = 4

/** Records jobs, unless their id was accepted before by any service. @public */
export class JobRecorder {
  readonly #options: JobRecorderOptions

  /** @param options - dependencies */
  constructor (options: JobRecorderOptions) {
    this.#options = options
  }

  /**
   * Records a job. Records that cannot be decoded are replaced, and so is a recorded service that has no job of this id.
   *
   * @param job - the job
   * @param target - its service, and what its acceptance depends on
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @returns the outcome of the last transaction
   */
  async record (job: JobSpec, { service, otherServices, configuration }: RecordingTarget, deadlineMs: number): Promise<RecordingOutcome> {
    const { jobId } = job
    const spec = { ...job, submissionId: createSubmissionId() }
    const text = encodeJobSpec(spec)
    const isTooLarge = Buffer.byteLength(text) > (this.#options.maxRecordBytes?.() ?? Infinity)
    if (isTooLarge) return { result: Err(RECORD_TOO_LARGE), mayHaveEffect: false, tries: 0, isTooLarge }
    let services = [...new Set([service, ...otherServices])].slice(0, MAX_SERVICES)
    let replaced: readonly KeyValue[] = []
    let home = service
    let mayHaveEffect = false
    let tries = 0
    for (let round = 1; ; round++) {
      const attempt = await this.#transact(jobId, text, home, services, configuration, replaced, deadlineMs)
      mayHaveEffect ||= attempt.mayHaveEffect
      tries += attempt.tries
      const outcome = { result: attempt.result, mayHaveEffect, tries }
      if (outcome.result.err || outcome.result.val.committed) return outcome
      const { current } = outcome.result.val
      const existing = this.#findJob(jobId, services, current)
      if (existing !== undefined || (configuration !== undefined && hasChanged(configuration, outcome.result.val))) {
        return { ...outcome, existing, isOwn: existing?.spec.submissionId === spec.submissionId }
      }
      const recorded = current.find(({ key }) => key === jobServiceKey(jobId))?.value
      if (recorded !== undefined && isCancelledEarly(recorded, spec)) return { ...outcome, isCancelled: true }
      if (round === MAX_ROUNDS) return { result: Err(RECORD_UNREADABLE), mayHaveEffect: true, tries }
      replaced = current
      if (recorded === undefined || !isServiceName(recorded)) continue
      if (!services.includes(recorded)) services = [recorded, ...services].slice(0, MAX_SERVICES)
      home = current.some(({ key }) => key === jobKey(recorded, jobId)) ? recorded : service
    }
  }

  /** Writes the job, provided that no records of its id exist but those that it replaces. */
  #transact (
    jobId: JobId, text: string, home: string, services: readonly string[], configuration: RevisionCondition | undefined,
    replaced: readonly KeyValue[], deadlineMs: number
  ): Promise<RetryResult<TransactionOutcome>> {
    const { store, calls } = this.#options
    const conditions = acceptanceKeys(jobId, services).map((key) => ({ key, modRevision: replaced.find((item) => item.key === key)?.modRevision ?? 0 }))
    return calls.retry(deadlineMs, () => store.transact({
      conditions: configuration === undefined ? conditions : [...conditions, configuration],
      puts: [{ key: jobKey(home, jobId), value: text }, { key: jobServiceKey(jobId), value: home }],
      removals: []
    }))
  }

  #decode (record: KeyValue): JobSpec | undefined {
    return this.#options.records.read(record, (text) => decodeJson(jobSpecSchema, text))
  }

  /** Returns the job of an id that was recorded first; there can be several of program versions that looked at one service only. */
  #findJob (jobId: JobId, services: readonly string[], current: readonly KeyValue[]): RecordedJob | undefined {
    const found = services.flatMap((service): RecordedJob[] => {
      const record = current.find(({ key }) => key === jobKey(service, jobId))
      const spec = record === undefined ? undefined : this.#decode(record)
      return record === undefined || spec === undefined ? [] : [{ service, record, spec }]
    })
    return found.sort((a, b) => a.record.modRevision - b.record.modRevision)[0]
  }
}

/** Whether a transaction failed because a record no longer has the expected revision. @public */
export function hasChanged ({ key, modRevision }: RevisionCondition, outcome: TransactionOutcome): boolean {
  return !outcome.committed && (outcome.current.find((item) => item.key === key)?.modRevision ?? 0) !== modRevision
}
