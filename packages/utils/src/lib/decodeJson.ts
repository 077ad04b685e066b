/**
 * Decodes and validates JSON from untrusted sources.
 *
 * @module
 */
import type * as z from 'zod'
import { Err, Ok, type Result } from './Result.js'

/** Why decoding failed. `not-json`: the text is truncated or not JSON at all; `wrong-field`: a field is missing or invalid. @public */
export interface DecodeProblem {
  readonly reason: 'not-json' | 'wrong-field'
  /** The path of the field, with dots between the names; empty for the whole document. */
  readonly path: string
  readonly detail: string
}

/**
 * Parses JSON and validates it against a schema; never throws.
 *
 * @param schema - the schema of the decoded value
 * @param text - the JSON text
 * @returns the decoded value, or the first problem found
 * @public
 */
export function decodeJson<T> (schema: z.ZodType<T>, text: string): Result<T, DecodeProblem> {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch (error) {
    // Returned instead of thrown, because only the caller knows the source of the text. The parser's message is left out: it quotes the text, which may
    // contain a secret.
    const position = error instanceof Error ? /at position \d+/.exec(error.message)?.[0] ?? '' : ''
    return Err({ reason: 'not-json', path: '', detail: `is not JSON ${position}`.trimEnd() })
  }
  const parsed = schema.safeParse(raw)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  return Err({ reason: 'wrong-field', path: issue?.path.join('.') ?? '', detail: issue?.message ?? 'is wrong' })
}
