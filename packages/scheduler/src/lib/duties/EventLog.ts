/**
 * The logger interface of the scheduler; a `bunyan` logger satisfies it.
 *
 * @module
 */

/** Writes structured log lines: the fields first, then the message. @public */
export interface EventLog {
  debug(fields: object, message: string): void
  info(fields: object, message: string): void
  warn(fields: object, message: string): void
}
