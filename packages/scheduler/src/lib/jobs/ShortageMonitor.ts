/**
 * Logs when a service has more work than it can do in time, and when that is over.
 *
 * @module
 */
import type { FeasibilitySelection } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** Minimum interval between two log lines; a state that lasts for less may go unlogged. */
const MIN_LOG_INTERVAL_MS = 1000

/** What the monitor reports to. @public */
export interface ShortageMonitorOptions {
  readonly service: string
  readonly log: EventLog
  /** Increments a counter of the service. */
  readonly count: (name: string, by: number) => void
}

/** Follows the selections of one service's placement rounds. @public */
export class ShortageMonitor {
  readonly #options: ShortageMonitorOptions
  #isShort = false
  #loggedMs = -Infinity
  #mostPostponed = 0
  #postponed: ReadonlySet<string> = new Set()

  /** @param options - the service, its log and counters */
  constructor (options: ShortageMonitorOptions) {
    this.#options = options
  }

  /**
   * Takes note of the selection of a round.
   *
   * @param selection - of the round, `undefined` if it made none
   * @param nowMs - monotonic
   */
  observe (selection: FeasibilitySelection | undefined, nowMs: number): void {
    if (selection === undefined) return
    const { postponed, waiting, aheadMs } = selection
    const added = [...postponed].filter((key) => !this.#postponed.has(key)).length
    if (added > 0) this.#options.count('jobs_postponed', added)
    this.#postponed = postponed
    this.#mostPostponed = Math.max(this.#mostPostponed, postponed.size)
    const isShort = postponed.size > 0
    if (isShort === this.#isShort || nowMs - this.#loggedMs < MIN_LOG_INTERVAL_MS) return
    this.#isShort = isShort
    this.#loggedMs = nowMs
    const fields = { service: this.#options.service, waiting, postponed: postponed.size, aheadMs: Math.round(aheadMs) }
    if (isShort) this.#options.log.info(fields, 'more work than room: jobs without room in time go last')
    else this.#options.log.info({ ...fields, mostPostponed: this.#mostPostponed }, 'room for all jobs again')
    this.#mostPostponed = 0
  }
}
