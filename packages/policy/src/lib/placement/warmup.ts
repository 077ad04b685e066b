/**
 * Tells until when a worker is slow after its start.
 *
 * Nothing is assumed about how much slower a cold worker is: run times on it say nothing about warm ones, and it is only preferred less.
 *
 * @module
 */

/**
 * Computes until when a worker is cold, from its latest registration and what was known before.
 *
 * The remaining warm-up counts from when the registration was read, since the clocks of worker and host differ; it was written earlier, so the
 * worker may be warm before that.
 *
 * @param previousUntilMs - the result for the previous registration, `-Infinity` if there was none
 * @param warmupLeftMs - remaining warm-up by the registration, `undefined` if the worker does not report it
 * @param readMs - when the registration was read
 * @returns monotonic; `-Infinity` if the worker has never reported to be cold. The past is kept, so that earlier runs can be judged by it
 * @public
 */
export function coldUntilMs (previousUntilMs: number, warmupLeftMs: number | undefined, readMs: number): number {
  return warmupLeftMs !== undefined && warmupLeftMs > 0 ? readMs + warmupLeftMs : Math.min(previousUntilMs, readMs)
}
