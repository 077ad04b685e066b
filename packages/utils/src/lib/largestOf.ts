/**
 * Greatest and smallest of any number of values. `Math.max` takes them as arguments, of which there may be only some 120,000.
 *
 * @module
 */

/** @param values - numbers @param least - returned if none is greater @returns the greatest @public */
export function largestOf (values: Iterable<number>, least = -Infinity): number {
  let largest = least
  for (const value of values) if (value > largest) largest = value
  return largest
}

/** @param values - numbers @param most - returned if none is smaller @returns the smallest @public */
export function smallestOf (values: Iterable<number>, most = Infinity): number {
  let smallest = most
  for (const value of values) if (value < smallest) smallest = value
  return smallest
}
