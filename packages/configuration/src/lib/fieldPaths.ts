/**
 * Names fields inside a spec by JSON pointers, and reads, writes and compares them.
 *
 * @module
 */
import { isDeepStrictEqual } from 'node:util'

/** A JSON value. @public */
export type JsonValue = null | boolean | number | string | JsonValue[] | { [key: string]: JsonValue | undefined }
/** A JSON object. @public */
export type JsonObject = { [key: string]: JsonValue | undefined }

/** One changed field; an absent `value` removes it. @public */
export interface FieldChange {
  readonly path: string
  readonly value?: JsonValue | undefined
}

const escapeStep = (step: string): string => step.replaceAll('~', '~0').replaceAll('/', '~1')
const unescapeStep = (step: string): string => step.replaceAll('~1', '/').replaceAll('~0', '~')
const isObject = (value: unknown): value is JsonObject => typeof value === 'object' && value !== null && !Array.isArray(value)

/**
 * Lists the fields that differ; lists count as one field.
 *
 * @param before - the older object
 * @param after - the newer object
 * @param prefix - the pointer of the objects
 * @returns what makes the newer out of the older
 * @public
 */
export function diffFields (before: JsonObject, after: JsonObject, prefix = ''): FieldChange[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...names].sort().flatMap((name): FieldChange[] => {
    const path = `${prefix}/${escapeStep(name)}`
    const [older, newer] = [before[name], after[name]]
    if (isObject(older) && isObject(newer)) return diffFields(older, newer, path)
    return isDeepStrictEqual(older, newer) ? [] : [{ path, value: newer }]
  })
}

/**
 * Reads one field.
 *
 * @param object - where it is
 * @param path - its pointer
 * @returns its value, `undefined` when absent
 * @public
 */
export function readField (object: JsonObject, path: string): JsonValue | undefined {
  let current: JsonValue | undefined = object
  for (const step of path.split('/').slice(1).map(unescapeStep)) {
    if (!isObject(current) || !Object.hasOwn(current, step)) return undefined
    current = current[step]
  }
  return current
}

/**
 * Makes an object with changed fields.
 *
 * @param object - left as it is
 * @param changes - what to change
 * @returns the changed copy
 * @public
 */
export function writeFields (object: JsonObject, changes: readonly FieldChange[]): JsonObject {
  const copy = structuredClone(object)
  for (const { path, value } of changes) writeField(copy, path.split('/').slice(1).map(unescapeStep), value)
  return copy
}

function writeField (object: JsonObject, steps: string[], value: JsonValue | undefined): void {
  const [step, ...rest] = steps
  if (step === undefined || step === '__proto__') return
  if (rest.length === 0) {
    if (value === undefined) Reflect.deleteProperty(object, step)
    else object[step] = value
    return
  }
  const child = object[step]
  const next: JsonObject = isObject(child) ? child : {}
  object[step] = next
  writeField(next, rest, value)
}

/**
 * Tells whether one field is, contains or lies in the other.
 *
 * @param a - a pointer
 * @param b - a pointer
 * @returns whether a change of one touches the other
 * @public
 */
export function pathsOverlap (a: string, b: string): boolean {
  return a === b || a.startsWith(`${b}/`) || b.startsWith(`${a}/`)
}
