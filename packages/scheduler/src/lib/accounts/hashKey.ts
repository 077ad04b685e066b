/**
 * Hashes the keys of client accounts, so that no key is stored, logged or compared in plain text.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { KeyHash } from '@quillscale/ports'

/** Hex digits of a hash: enough to distinguish the keys of a fleet, too few to help in guessing one. */
const KEY_TAG_LENGTH = 8

/** @param key - key sent by a client @returns its hash; lookups by hash do not reveal through their timing how much of a guessed key is right @public */
export const hashKey = (key: string): KeyHash => createHash('sha256').update(key).digest('hex') as KeyHash

/** @param hash - hash of a key @returns the part of the hash that records and logs may show @public */
export const keyTagOf = (hash: KeyHash): string => hash.slice(0, KEY_TAG_LENGTH)
