/**
 * What is held against a task: workers that may have ended because of it.
 *
 * @module
 */

/** The record. @public */
export interface CrashRecord {
  /** By how each of the workers ended. */
  points: number
  /** Monotonic; when the last one was found to have ended, `undefined` if a former holder found it. */
  lastLossMs: number | undefined
  /** Whether the task had just begun there, so that it is as likely the cause as any. */
  hasEarlyLoss: boolean
  /** Whether nothing but the task's own job can have ended that one. */
  isLastLossCertain: boolean
  /** Whether the task had just begun on all of them. */
  hasOnlyEarlyLosses: boolean
}

/** @param points - as recorded by former holders @returns the record @public */
export const createCrashRecord = (points = 0): CrashRecord => ({
  points, lastLossMs: undefined, hasEarlyLoss: false, isLastLossCertain: false, hasOnlyEarlyLosses: points === 0
})
