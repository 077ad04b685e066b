/**
 * Reads records of the store that anybody may have written: one that cannot be read is told once and passed over.
 *
 * @module
 */
import type { DecodeProblem, Result } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'

/** What is wrong with a record: how it is written, or what it names. @public */
export type RecordProblem = DecodeProblem | { readonly reason: 'unknown-service', readonly path: string, readonly detail: string }

/** Keys whose last unreadable revision is remembered, so that each is told once; the oldest are forgotten. A line is some 300 bytes. */
const MAX_REMEMBERED = 1000

/** The reader. @public */
export class RecordReader {
  readonly #log: EventLog
  readonly #metrics: SchedulerMetrics
  /** Revisions by key. */
  readonly #told = new Map<string, number>()

  /** @param log - gets a line for each revision that cannot be read @param metrics - count them by reason */
  constructor (log: EventLog, metrics: SchedulerMetrics) {
    this.#log = log
    this.#metrics = metrics
  }

  /** @param item - of the store @param decode - what it should be @returns what it holds, `undefined` if it cannot be read */
  read<T> (item: KeyValue, decode: (text: string) => Result<T, RecordProblem>): T | undefined {
    const decoded = decode(item.value)
    if (decoded.ok) return decoded.val
    this.reject(item, decoded.val)
    return undefined
  }

  /** @param item - of the store, or its key and revision @param problem - why it is not used */
  reject ({ key, modRevision }: Pick<KeyValue, 'key' | 'modRevision'>, problem: RecordProblem): void {
    if (this.#told.get(key) === modRevision) return
    this.#told.delete(key)
    this.#told.set(key, modRevision)
    const oldest = this.#told.keys().next()
    if (this.#told.size > MAX_REMEMBERED && oldest.done !== true) this.#told.delete(oldest.value)
    this.#metrics.count('unreadable_records', problem.reason)
    this.#log.warn({ key, revision: modRevision, problem }, 'a record cannot be read and is not used')
  }
}
