/**
 * What the scheduler writes its decisions to; a `bunyan` logger is one.
 *
 * @module
 */

/** Structured lines: fields first, then what happened. @public */
export interface EventLog {
  debug(fields: object, message: string): void
  info(fields: object, message: string): void
  warn(fields: object, message: string): void
}
