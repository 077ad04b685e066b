/**
 * Predicts how long a new job waits behind a backlog.
 *
 * @module
 */
import type { Backlog, BacklogRow } from './Backlog.js'

/**
 * Predicts the time until a new job can start at the earliest.
 *
 * @param backlog - the backlog of its service
 * @param priority - priority of its queue; only work of higher priorities is certain to go first
 * @param ageMs - time since the backlog became known, during which the room has worked on it
 * @returns the predicted wait in ms
 * @public
 */
export function predictWaitMs ({ ahead }: Backlog, priority: number, ageMs: number): number {
  const row = findRowAhead(ahead, priority)
  return row === undefined ? 0 : Math.max(0, row.waitMs - Math.max(0, ageMs))
}

/** @param ahead - rows of a backlog @param priority - priority of a queue @returns the row of all work that goes before new jobs of the queue */
export const findRowAhead = (ahead: readonly BacklogRow[], priority: number): BacklogRow | undefined => ahead.findLast((each) => each.priority < priority)
