/**
 * Assertions of the program's own invariants.
 *
 * @module
 */

/** Thrown by {@link assert}. It indicates a bug in this program, never invalid input. @public */
export class AssertionError extends Error {
  override readonly name = 'AssertionError'
}

/**
 * Checks an invariant that the program itself guarantees.
 *
 * @param condition - the condition that must hold
 * @param message - the message of the error that is thrown if it does not hold
 * @throws {@link AssertionError} if the condition is falsy
 * @public
 */
export function assert (condition: unknown, message: string): asserts condition {
  if (!condition) throw new AssertionError(message)
}
