/**
 * Logs which services have fewer usable machines than they need, by what the holder of machines counts for them.
 *
 * @module
 */
import type { PoolCount } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** A shortage that changes is logged this often for each service. */
const LINE_SPACING_MS = 1000

interface LoggedShortage { readonly text: string, readonly atMs: number }

/** The log of shortages. @public */
export class ShortageLog {
  readonly #log: EventLog
  readonly #lines = new Map<string, LoggedShortage>()

  /** @param log - where the lines go */
  constructor (log: EventLog) {
    this.#log = log
  }

  /** @param counts - of all services whose need is known @param nowMs - monotonic */
  logChanges (counts: readonly PoolCount[], nowMs: number): void {
    for (const { demand: { service, runsByMachine }, need, have } of counts) {
      const usable = runsByMachine.size
      const text = usable >= need ? '' : `${need} ${have} ${usable}`
      const last = this.#lines.get(service)
      if (text === (last?.text ?? '') || nowMs - (last?.atMs ?? -Infinity) < LINE_SPACING_MS) continue
      this.#lines.set(service, { text, atMs: nowMs })
      if (text === '') this.#log.info({ service, need, have, usable }, 'service has the machines that it needs')
      else this.#log.info({ service, need, have, usable }, 'service is short of machines')
    }
  }
}
