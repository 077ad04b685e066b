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
  lastMs: number | undefined
  /** Whether the task had just begun there, so that it is as likely the cause as any. */
  hasEndedSoon: boolean
  /** Whether nothing but the task's own job can have ended that one. */
  isLastCertain: boolean
  /** Whether the task had just begun on all of them. */
  hasOnlySoon: boolean
}

/** @param points - as recorded by former holders @returns the record @public */
export const createCrashRecord = (points = 0): CrashRecord => ({
  points, lastMs: undefined, hasEndedSoon: false, isLastCertain: false, hasOnlySoon: points === 0
})
