/**
 * Worker losses that a task may have caused.
 *
 * @module
 */

/** Points and circumstances of the worker losses attributed to a task. @public */
export interface CrashRecord {
  /** Sum over the lost workers, by the kind of each loss. */
  points: number
  /** Monotonic; when the last loss was detected, `undefined` if a previous holder detected it. */
  lastLossMs: number | undefined
  /** Whether the task had just started on the lost worker, so that it is as likely the cause as any other. */
  hasEarlyLoss: boolean
  /** Whether only the task's own job can have caused the last loss. */
  isLastLossCertain: boolean
  /** Whether, at every loss, the task had just started, and no worker ended at that time that cannot have been ended by a task. */
  hasOnlyAttributableLosses: boolean
}

/** @param points - as stored by previous holders @returns a record with these points @public */
export const createCrashRecord = (points = 0): CrashRecord => ({
  points, lastLossMs: undefined, hasEarlyLoss: false, isLastLossCertain: false, hasOnlyAttributableLosses: points === 0
})
