/**
 * The command's exit codes.
 *
 * @module
 */

/** What each exit code means. @public */
export const EXIT_CODE = {
  /** Done. */
  ok: 0,
  /** An entry host refused, or nothing of that name exists. */
  refused: 1,
  /** A file or an argument is bad. */
  badInput: 2,
  /** Others changed the same fields since the base revision. */
  conflict: 3,
  /** No entry host answered; an edit may be sent again with the same id. */
  noAnswer: 4,
  /** Accepted, but not in force at every entry host in reach in time. */
  notInForce: 5
} as const
