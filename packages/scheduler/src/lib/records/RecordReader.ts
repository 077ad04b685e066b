/**
 * Decodes records of the store, which any client may have written. A malformed record is reported once and skipped.
 *
 * @module
 */
import type { DecodeProblem, Result } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'

/** Why a record is not used: it is malformed, or it refers to a service that does not exist. @public */
export type RecordProblem = DecodeProblem | { readonly reason: 'unknown-service', readonly path: string, readonly detail: string }

/** Number of keys whose last malformed revision is remembered, so that each is logged once (some 300 bytes a line); the oldest are forgotten. */
const MAX_REPORTED_KEYS = 1000

/** Decodes records, and logs and counts those that are malformed. @public */
export class RecordReader {
  readonly #log: EventLog
  readonly #metrics: SchedulerMetrics
  /** The last reported revision by key. */
  readonly #reportedRevisions = new Map<string, number>()

  /**
   * @param log - receives one warning for each malformed revision
   * @param metrics - counts them by reason
   */
  constructor (log: EventLog, metrics: SchedulerMetrics) {
    this.#log = log
    this.#metrics = metrics
  }

  /**
   * Decodes a record.
   *
   * @param item - the stored key and value
   * @param decode - the decoder of its kind of record
   * @returns the decoded record, `undefined` if it is malformed
   */
  read<T> (item: KeyValue, decode: (text: string) => Result<T, RecordProblem>): T | undefined {
    const decoded = decode(item.value)
    if (decoded.ok) return decoded.val
    this.reject(item, decoded.val)
    return undefined
  }

  /**
   * Logs and counts a record that is not used, once for each revision.
   *
   * @param item - the key and revision of the record
   * @param problem - why it is not used
   */
  reject ({ key, modRevision }: Pick<KeyValue, 'key' | 'modRevision'>, problem: RecordProblem): void {
    if (this.#reportedRevisions.get(key) === modRevision) return
    this.#reportedRevisions.delete(key)
    this.#reportedRevisions.set(key, modRevision)
    const oldest = this.#reportedRevisions.keys().next()
    if (this.#reportedRevisions.size > MAX_REPORTED_KEYS && oldest.done !== true) this.#reportedRevisions.delete(oldest.value)
    this.#metrics.count('unreadable_records', problem.reason)
    this.#log.warn({ key, revision: modRevision, problem }, 'a record cannot be read and is not used')
  }
}
