/**
 * Creates and parses idempotency keys, which make a request run at most once. A key is issued by an entry host or chosen by the caller.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { validate, version } from 'uuid'
import { hash32 } from '@quillscale/utils'
import { isEntryHostId, type EntryHostId } from '@quillscale/model'

/** Number of shards that caller-chosen keys are hashed into. @public */
export const KEY_SHARD_COUNT = 64

/** Key issued by an entry host. It names its owner, so the owner is found without consulting the ownership document. @public */
export interface MintedKey {
  readonly form: 'minted'
  readonly text: string
  readonly owner: EntryHostId
  readonly incarnation: number
  readonly createdMs: number
}

/** Key chosen by a caller: a version 7 UUID, which contains its creation time. @public */
export interface TimedKey {
  readonly form: 'timed'
  readonly text: string
  readonly createdMs: number
  readonly shard: number
}

/** Idempotency key that has been parsed and validated. @public */
export type IdempotencyKey = MintedKey | TimedKey

const SEPARATOR = '~'
const MINTED_PREFIX = 'qs1'
const MAC_LENGTH = 16
const TIMED_VERSION = 7

function computeMac (text: string, secret: string): string {
  return createHmac('sha256', secret).update(text).digest('base64url').slice(0, MAC_LENGTH)
}

/**
 * Creates a key that names the entry host that owns it.
 *
 * @param owner - the entry host that issues the key
 * @param incarnation - the current incarnation of that host
 * @param sequence - a number that is unique among the keys of this incarnation
 * @param nowMs - the current Unix time; the key is valid for the retention time of results
 * @param secret - shared by all entry hosts, so that callers cannot forge keys
 * @returns the key as text
 * @public
 */
export function mintKey (owner: EntryHostId, incarnation: number, sequence: number, nowMs: number, secret: string): string {
  const body = [MINTED_PREFIX, owner, incarnation, nowMs, sequence].join(SEPARATOR)
  return `${body}${SEPARATOR}${computeMac(body, secret)}`
}

function parseMinted (text: string, secrets: readonly string[]): MintedKey | undefined {
  const end = text.lastIndexOf(SEPARATOR)
  const body = text.slice(0, end)
  const mac = Buffer.from(text.slice(end + 1))
  const matches = secrets.map((secret) => {
    const expected = Buffer.from(computeMac(body, secret))
    return mac.length === expected.length && timingSafeEqual(mac, expected)
  })
  const [, owner, incarnation, createdMs] = body.split(SEPARATOR)
  if (!matches.includes(true) || !isEntryHostId(owner)) return undefined
  return { form: 'minted', text, owner, incarnation: Number(incarnation), createdMs: Number(createdMs) }
}

/**
 * Parses and validates a key.
 *
 * @param text - the value of the request header
 * @param secrets - the secrets of the entry hosts that are currently valid
 * @returns the key, or `undefined` if the text is neither an authentic issued key nor a version 7 UUID
 * @public
 */
export function parseKey (text: string, secrets: readonly string[]): IdempotencyKey | undefined {
  if (text.length > 200) return undefined
  if (text.startsWith(MINTED_PREFIX + SEPARATOR)) return parseMinted(text, secrets)
  const lower = text.toLowerCase()
  if (!validate(lower) || version(lower) !== TIMED_VERSION) return undefined
  const createdMs = parseInt(lower.slice(0, 8) + lower.slice(9, 13), 16)
  return { form: 'timed', text: lower, createdMs, shard: hash32(lower) % KEY_SHARD_COUNT }
}
