/**
 * Logs which services have fewer usable machines than they need, from the counts of the machine duty.
 *
 * @module
 */
import type { PoolCount } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** Minimum interval between two log lines for the same service. */
const MIN_LOG_INTERVAL_MS = 1000

interface LoggedShortage { readonly summary: string, readonly atMs: number }

/** Logs when a service's shortage of machines begins, changes or ends. @public */
export class ShortageLog {
  readonly #log: EventLog
  readonly #lastLogged = new Map<string, LoggedShortage>()

  /** @param log - receives the lines */
  constructor (log: EventLog) {
    this.#log = log
  }

  /** Logs the shortages that differ from the last line. @param counts - machine counts of all services with a known need @param nowMs - monotonic time */
  logChanges (counts: readonly PoolCount[], nowMs: number): void {
    for (const { demand: { service, runsByMachine }, need, have } of counts) {
      const usable = runsByMachine.size
      const summary = usable >= need ? '' : `${need} ${have} ${usable}`
      const last = this.#lastLogged.get(service)
      if (summary === (last?.summary ?? '') || nowMs - (last?.atMs ?? -Infinity) < MIN_LOG_INTERVAL_MS) continue
      this.#lastLogged.set(service, { summary, atMs: nowMs })
      if (summary === '') this.#log.info({ service, need, have, usable }, 'service has the machines that it needs')
      else this.#log.info({ service, need, have, usable }, 'service is short of machines')
    }
  }
}
