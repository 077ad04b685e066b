/**
 * Holds starts back while the records that they depend on may be out of date.
 *
 * A connection to the store can go silent without an error, so a replica that brings no changes may have missed a cancellation or a worker that drains.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { PrefixReplica } from '@quillscale/leases'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'

/** A replica that starts depend on. @public */
export interface FreshnessSource {
  /** What the replica holds, for logs and metrics. */
  readonly name: string
  readonly replica: Pick<PrefixReplica, 'ageMs'>
  /** Time after a change in the store from which no start may be sent that does not take it into account. */
  readonly boundMs: () => number
}

/** Dependencies of a {@link FreshnessGate}. @public */
export interface FreshnessGateOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly sources: readonly FreshnessSource[]
}

/** Time that a start takes from the check until the worker has carried it out. */
const START_MS = 400

/** Tells whether all records that starts depend on are recent enough. @public */
export class FreshnessGate {
  readonly #options: FreshnessGateOptions
  #isOpen = true

  /** @param options - the replicas and their bounds */
  constructor (options: FreshnessGateOptions) {
    this.#options = options
  }

  /** @param nowMs - monotonic time @returns whether runs may be placed and started */
  isOpen (nowMs: number): boolean {
    const { service, log, metrics, sources } = this.#options
    const outdated = sources.find(({ replica, boundMs }) => replica.ageMs(nowMs) > boundMs() - START_MS)
    const isOpen = outdated === undefined
    if (isOpen === this.#isOpen) return isOpen
    this.#isOpen = isOpen
    if (outdated === undefined) log.info({ service }, 'starts go on: records are up to date')
    else {
      metrics.count('starts_held_back', outdated.name)
      log.warn({ service, records: outdated.name, ageMs: Math.round(outdated.replica.ageMs(nowMs)), boundMs: outdated.boundMs() }, 'starts held back: records may be out of date')
    }
    return isOpen
  }

  /** @returns whether runs may be started at this moment */
  isOpenNow (): boolean {
    return this.isOpen(this.#options.clock.monotonicMs())
  }
}
