/**
 * Hashes the keys of client accounts, so that none is kept, written or compared as it is.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { KeyHash } from '@quillscale/ports'

/** Of a hash: enough to tell the keys of a fleet apart, and no help in finding one. */
const TAG_DIGITS = 8

/** @param key - as a client sends it @returns its hash; looking that up takes no longer for a key that begins like a real one @public */
export const hashKey = (key: string): KeyHash => createHash('sha256').update(key).digest('hex') as KeyHash

/** @param hash - of a key @returns the part of it that records and logs may show @public */
export const keyTagOf = (hash: KeyHash): string => hash.slice(0, TAG_DIGITS)
