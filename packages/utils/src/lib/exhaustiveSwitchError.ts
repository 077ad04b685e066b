/**
 * Makes the compiler report a `switch` that does not handle every case.
 *
 * @module
 */

/**
 * Creates the error for a value that no case handles.
 *
 * @param value - the value; its type is `never` if all cases are handled, so a missing case does not compile
 * @returns an error that includes the value
 * @public
 */
export function exhaustiveSwitchError (value: never): Error {
  return new Error(`unhandled case: ${JSON.stringify(value)}`)
}
