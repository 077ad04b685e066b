/**
 * Knows the backlogs of all services on one host, from the watch of the duties that the host has anyway.
 *
 * A backlog is used only if it was measured by the present holder and learnt of moments ago.
 * Ages are upper bounds, so that a host that was suspended uses none of before.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import type { PrefixChange } from '@quillscale/leases'
import type { Backlog } from '@quillscale/policy'
import type { RecordReader } from '../records/RecordReader.js'
import { BACKLOG_PREFIX, backlogKey, serviceDutyKey } from '../records/storeKeys.js'
import { decodeBacklog, type BacklogRecord } from './backlogRecord.js'

/** Dependencies of a {@link BacklogWatcher}. @public */
export interface BacklogWatcherOptions {
  readonly clock: Clock
  readonly records: RecordReader
}

/** A backlog and the time since this host learnt of it. @public */
export interface KnownBacklog { readonly backlog: Backlog, readonly ageMs: number }

interface LearntRecord extends BacklogRecord { readonly learntMs: number }

/** Twice the interval at which a holder repeats an unchanged backlog. */
const TIME_TO_LIVE_MS = 2000

/** Tracks the backlogs of all services. @public */
export class BacklogWatcher {
  readonly #options: BacklogWatcherOptions
  /** `undefined` for a record that exists but is not used: it is old news or cannot be read. */
  readonly #recordByKey = new Map<string, LearntRecord | undefined>()
  readonly #dutyRevisions = new Map<string, number>()
  #hasListed = false

  /** @param options - dependencies */
  constructor (options: BacklogWatcherOptions) {
    this.#options = options
  }

  /**
   * Applies changes of the keys of duties.
   *
   * @param change - the changes; the first ones are those of the first list
   * @param isInContact - false if the store has not answered just before, so that the changes may have happened long ago
   */
  apply ({ changed, removed }: PrefixChange, isInContact: boolean): void {
    const isNews = this.#hasListed && isInContact
    this.#hasListed = true
    for (const key of removed) {
      this.#recordByKey.delete(key)
      this.#dutyRevisions.delete(key)
    }
    for (const item of changed) {
      if (item.key.startsWith(BACKLOG_PREFIX)) this.#recordByKey.set(item.key, isNews ? this.#read(item) : undefined)
      else this.#dutyRevisions.set(item.key, item.modRevision)
    }
  }

  /** @param service - a service @returns whether the store has a record of its backlog, used or not */
  hasRecord (service: string): boolean {
    return this.#recordByKey.has(backlogKey(service))
  }

  /**
   * Returns the backlog of a service.
   *
   * @param service - the service
   * @returns the backlog; `undefined` if there is none, or none that can be relied on
   */
  backlogOf (service: string): KnownBacklog | undefined {
    const record = this.#recordByKey.get(backlogKey(service))
    if (record === undefined || record.fencingToken !== this.#dutyRevisions.get(serviceDutyKey(service))) return undefined
    const ageMs = this.#options.clock.latestMs() - record.learntMs
    return ageMs < TIME_TO_LIVE_MS ? { backlog: record.backlog, ageMs } : undefined
  }

  #read (item: KeyValue): LearntRecord | undefined {
    const record = this.#options.records.read(item, decodeBacklog)
    return record === undefined ? undefined : { ...record, learntMs: this.#options.clock.latestMs() }
  }
}
