/**
 * The record of the newest configuration version that any job of a service needs although it was accepted by an older one.
 *
 * @module
 */
import { decodeJson } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import * as z from 'zod'

const versionSchema = z.number().int().nonnegative()

/**
 * Decodes the record. One that cannot be decoded requires no version.
 *
 * @param item - the record, `undefined` if there is none
 * @returns the version
 */
export function decodeRequiredVersion (item: KeyValue | undefined): number {
  return item === undefined ? 0 : decodeJson(versionSchema, item.value).unwrapOr(0)
}

/** @param version - the version @returns the value of the record */
export const encodeRequiredVersion = (version: number): string => String(version)
