/**
 * Reads the files of a certificate.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

/** A certificate with its private key. @public */
export interface TlsMaterial { readonly cert: string, readonly key: string }

/** @param files - where they are @returns their content, `undefined` without files @public */
export function readTls (files: { certificateFile: string, keyFile: string } | undefined): TlsMaterial | undefined {
  if (files === undefined) return undefined
  return { cert: readFileSync(files.certificateFile, 'utf8'), key: readFileSync(files.keyFile, 'utf8') }
}
