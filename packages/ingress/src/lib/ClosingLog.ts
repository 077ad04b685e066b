/**
 * Logs connections that were closed because of a limit, however many there are, in at most one line a second.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { ClosingReason } from './ClientConnection.js'
import type { ClosedConnection } from './IngressBudget.js'

/** Content of a line. @public */
export interface ClosingLogFields {
  /** Numbers of connections by reason since the last line. */
  readonly closed: Readonly<Partial<Record<ClosingReason, number>>>
  readonly last: ClosedConnection
}

/** Message of a line. @public */
export const CONNECTIONS_CLOSED = 'connections of clients closed: they hold too much'
/** Least time between two lines. */
const LINE_INTERVAL_MS = 1000

/** Writes the lines. @public */
export class ClosingLog {
  readonly #clock: Clock
  readonly #write: (fields: ClosingLogFields, message: string) => void
  #closed: Partial<Record<ClosingReason, number>> = {}
  #lastLineMs = -Infinity

  /** @param clock - source of the current time @param write - writes a line */
  constructor (clock: Clock, write: (fields: ClosingLogFields, message: string) => void) {
    this.#clock = clock
    this.#write = write
  }

  /** Records that a connection was closed. @param last - as it was then */
  add (last: ClosedConnection): void {
    this.#closed[last.reason] = (this.#closed[last.reason] ?? 0) + 1
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#lastLineMs < LINE_INTERVAL_MS) return
    this.#lastLineMs = nowMs
    this.#write({ closed: this.#closed, last }, CONNECTIONS_CLOSED)
    this.#closed = {}
  }
}
