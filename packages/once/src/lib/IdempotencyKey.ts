/**
 * The two forms of keys that make a request run at most once.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { validate, version } from 'uuid'
import { hash32 } from '@quillscale/utils'
import { isEntryHostId, type EntryHostId } from '@quillscale/model'

/** How many parts the callers' own keys are divided into. @public */
export const KEY_SHARD_COUNT = 64

/** A key that an entry host made: it names its owner, so no agreement is needed to find it. @public */
export interface MintedKey {
  readonly form: 'minted'
  readonly text: string
  readonly owner: EntryHostId
  readonly incarnation: number
  readonly createdMs: number
}

/** A key that a caller made: a UUID of version 7, which tells when. @public */
export interface TimedKey {
  readonly form: 'timed'
  readonly text: string
  readonly createdMs: number
  readonly shard: number
}

/** A checked key. @public */
export type IdempotencyKey = MintedKey | TimedKey

const SEPARATOR = '~'
const MINTED_PREFIX = 'qs1'
const MAC_LENGTH = 16
const TIMED_VERSION = 7

function computeMac (text: string, secret: string): string {
  return createHmac('sha256', secret).update(text).digest('base64url').slice(0, MAC_LENGTH)
}

/**
 * Makes a key that names its owner.
 *
 * @param owner - the entry host that makes it
 * @param incarnation - its present life
 * @param sequence - different for each key of this life
 * @param nowMs - the present time since 1970; keys can be used for as long as results are kept
 * @param secret - shared by all entry hosts, so that callers cannot make up keys
 * @returns the key's text
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
 * Checks a key.
 *
 * @param text - the header's value
 * @param secrets - valid secrets of the entry hosts
 * @returns the key, `undefined` when it is neither form
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
