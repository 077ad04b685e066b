/**
 * Decodes text that somebody else may have written.
 *
 * @module
 */
import type * as z from 'zod'
import { Err, Ok, type Result } from './Result.js'

/** Why a text is not what its reader takes. `not-json`: it is cut short, or of another kind altogether; `wrong-field`: a field is missing or wrong. @public */
export interface DecodeProblem {
  readonly reason: 'not-json' | 'wrong-field'
  /** The field, with dots between the names; empty for the whole. */
  readonly path: string
  readonly detail: string
}

/**
 * Decodes JSON; never throws.
 *
 * @param schema - what the text must hold
 * @param text - by whomever
 * @returns what it holds, or the first thing that is wrong
 * @public
 */
export function decodeJson<T> (schema: z.ZodType<T>, text: string): Result<T, DecodeProblem> {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch (error) {
    // Told to the caller, which knows whose text it is; the error itself quotes a part of it, which may be a secret.
    const position = error instanceof Error ? /at position \d+/.exec(error.message)?.[0] ?? '' : ''
    return Err({ reason: 'not-json', path: '', detail: `is not JSON ${position}`.trimEnd() })
  }
  const parsed = schema.safeParse(raw)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  return Err({ reason: 'wrong-field', path: issue?.path.join('.') ?? '', detail: issue?.message ?? 'is wrong' })
}
