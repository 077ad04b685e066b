/**
 * Which headers pass between callers and targets.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'

/** Headers of this system; a caller's own of these names are not passed on. @public */
export const HEADER = {
  outcome: 'quillscale-outcome',
  requestId: 'quillscale-request-id',
  errorKind: 'quillscale-error',
  leaving: 'quillscale-leaving',
  deadline: 'quillscale-deadline-ms',
  idempotencyKey: 'idempotency-key',
  replayed: 'quillscale-replayed'
} as const

const RESERVED_PREFIX = 'quillscale-'
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** @param raw - names and values in turn @param name - in lower case @returns the first value @public */
export function rawHeader (raw: readonly string[], name: string): string | undefined {
  for (let i = 0; i < raw.length; i += 2) if ((raw[i] as string).toLowerCase() === name) return raw[i + 1]
  return undefined
}

const NO_NAMES: ReadonlySet<string> = new Set()

function connectionHeaders (raw: readonly string[]): ReadonlySet<string> {
  const listed = rawHeader(raw, 'connection')
  return listed === undefined || listed === 'keep-alive' ? NO_NAMES : new Set(listed.toLowerCase().split(',').map((name) => name.trim()))
}

/**
 * Finds a header that stands more than once although it must not.
 *
 * @param raw - names and values in turn
 * @param single - names in lower case
 * @returns the first such name
 * @public
 */
export function findRepeated (raw: readonly string[], single: ReadonlySet<string>): string | undefined {
  const seen = new Set<string>()
  for (let i = 0; i < raw.length; i += 2) {
    const name = (raw[i] as string).toLowerCase()
    if (single.has(name) && seen.has(name)) return name
    seen.add(name)
  }
  return undefined
}

/**
 * Leaves out what concerns one connection only and what is reserved.
 *
 * @param raw - names and values in turn, as received
 * @returns names and values in turn, order and case as received
 * @public
 */
export function endToEndHeaders (raw: readonly string[]): string[] {
  const listed = connectionHeaders(raw)
  const kept: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i] as string
    const lower = name.toLowerCase()
    if (HOP_BY_HOP.has(lower) || listed.has(lower) || lower.startsWith(RESERVED_PREFIX)) continue
    kept.push(name, raw[i + 1] as string)
  }
  return kept
}

/** @param request - of a caller @param name - in lower case @returns the header's values joined by commas, `undefined` without it @public */
export function headerText (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value.join(',') : value
}
