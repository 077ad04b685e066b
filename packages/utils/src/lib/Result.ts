/**
 * Re-exports the result type of `ts-results`.
 *
 * All packages import it from here, because named imports of `ts-results` 3.3 fail in ES modules; only its default import works.
 *
 * @module
 */
import tsResults from 'ts-results'
import type { Result as ResultType } from 'ts-results'

/** Creates a successful result that holds a value. @public */
export const Ok = tsResults.Ok
/** Creates a failed result that holds an error. @public */
export const Err = tsResults.Err
/** The result of an operation: either a value or an error. @public */
export type Result<T, E> = ResultType<T, E>
