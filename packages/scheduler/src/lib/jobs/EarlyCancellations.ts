/**
 * Records cancellations of ids that have no job, so that a submission that is still under way is not accepted after its cancellation was
 * acknowledged.
 *
 * The record lies where the service of an accepted job is recorded. A transaction that accepts a job requires that nothing is there, also one that
 * the store carries out late. Records end with a lease of the store; those of one host share a lease for some time.
 *
 * @module
 */
import { decodeJson, Ok, type Clock, type Result } from '@quillscale/utils'
import { MAX_TRANSACTION_ENTRIES, type PlatformError, type TransactionOutcome } from '@quillscale/ports'
import { isOwnedBy, jobOwnerSchema, restrictedOwner, type JobId, type JobOwner, type JobSpec } from '@quillscale/policy'
import type { CallRetrier } from '../records/CallRetrier.js'
import type { MonitoredStore } from '../records/MonitoredStore.js'
import { acceptanceKeys, jobServiceKey } from '../records/storeKeys.js'

/** Dependencies of {@link EarlyCancellations}. @public */
export interface EarlyCancellationsOptions {
  readonly store: Pick<MonitoredStore, 'transact' | 'grantLease'>
  readonly calls: CallRetrier
  readonly clock: Clock
}

/**
 * Outcome of a recording. `recorded`: no job of this id that the caller may cancel is accepted while the record lasts. `has-job`: the id has a job.
 *
 * @public
 */
export type EarlyCancellationOutcome = 'recorded' | 'has-job' | PlatformError

/** Contains a slash, so that no program version takes the record for the name of a service. */
const PREFIX = 'cancelled/'
/** How long a submission may be under way on a host, a connection or in the store, and be refused. */
const MIN_RETENTION_MS = 60_000
/** New records share the lease until less than this is left of it. */
const LEASE_MS = 2 * MIN_RETENTION_MS
/** The second attempt is for a lease that has ended early. */
const MAX_ATTEMPTS = 2

const LEASE_ENDED: PlatformError = { kind: 'unavailable', detail: 'the lease for the record has ended' }

interface SharedLease { readonly leaseId: string, readonly grantedMs: number }

/**
 * Returns whether a record forbids to accept a job.
 *
 * @param record - value of the {@link jobServiceKey} of the job's id
 * @param job - the job
 * @returns whether its id was cancelled by a caller that may cancel the job
 * @public
 */
export function isCancelledEarly (record: string, job: Pick<JobSpec, 'owner' | 'isPublic'>): boolean {
  if (!record.startsWith(PREFIX)) return false
  const text = record.slice(PREFIX.length)
  return isOwnedBy(restrictedOwner(job), text === '' ? undefined : decodeJson(jobOwnerSchema, text).unwrapOr(undefined))
}

/** Records cancellations of ids without a job. @public */
export class EarlyCancellations {
  readonly #options: EarlyCancellationsOptions
  #lease: SharedLease | undefined
  #granting: Promise<Result<SharedLease, PlatformError>> | undefined

  /** @param options - dependencies */
  constructor (options: EarlyCancellationsOptions) {
    this.#options = options
  }

  /**
   * Records that an id was cancelled, provided that it has no job. A record of the same id that is there already is left as it is.
   *
   * @param jobId - the cancelled id
   * @param services - services that may have a job of this id
   * @param deadlineMs - monotonic time at which the client stops waiting
   * @param caller - who cancels
   * @returns the outcome
   */
  async record (jobId: JobId, services: readonly string[], deadlineMs: number, caller: JobOwner | undefined): Promise<EarlyCancellationOutcome> {
    const { calls, store } = this.#options
    const recordKey = jobServiceKey(jobId)
    const value = `${PREFIX}${caller === undefined ? '' : JSON.stringify(caller)}`
    // Program versions that record no service may have accepted the id too.
    const conditions = acceptanceKeys(jobId, services).slice(0, MAX_TRANSACTION_ENTRIES - 1).map((key) => ({ key, modRevision: 0 }))
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const lease = await this.#sharedLease(deadlineMs)
      if (lease.err) return lease.val
      const puts = [{ key: recordKey, value, leaseId: lease.val.leaseId }]
      const { result } = await calls.retry(deadlineMs, () => store.transact({ conditions, puts, removals: [] }))
      if (result.err) return result.val
      if (result.val.committed || isRecorded(result.val, recordKey)) return 'recorded'
      if (result.val.current.length > 0) return 'has-job'
      if (this.#lease?.leaseId === lease.val.leaseId) this.#lease = undefined
    }
    return LEASE_ENDED
  }

  async #sharedLease (deadlineMs: number): Promise<Result<SharedLease, PlatformError>> {
    const { calls, store, clock } = this.#options
    if (this.#lease !== undefined && clock.monotonicMs() - this.#lease.grantedMs < LEASE_MS - MIN_RETENTION_MS) return Ok(this.#lease)
    this.#granting ??= calls.retry(deadlineMs, async () => {
      const grantedMs = clock.monotonicMs()
      return (await store.grantLease(LEASE_MS)).map((leaseId) => ({ leaseId, grantedMs }))
    }).then(({ result }) => {
      this.#granting = undefined
      if (result.ok) this.#lease = result.val
      return result
    })
    return await this.#granting
  }
}

/** The attempt before may have had its effect without an answer, or the id was cancelled before. */
function isRecorded (outcome: TransactionOutcome, recordKey: string): boolean {
  return !outcome.committed && outcome.current.some(({ key, value }) => key === recordKey && value.startsWith(PREFIX))
}
