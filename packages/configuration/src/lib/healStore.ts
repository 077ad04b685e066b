/**
 * Writes what is in force back to a store that was restored from an older copy.
 *
 * @module
 */
import type { KeyValue, KeyValueStore } from '@quillscale/ports'
import { CONFIGURATION_PREFIX, entryWins, joinDocuments, parseDocument } from './ConfigurationDocument.js'
import type { ConfigurationReplica } from './ConfigurationReplica.js'

/**
 * Brings the store's copy of one document up to what is in force.
 *
 * @param store - the platform's service
 * @param replica - what is in force
 * @param documentName - which document
 * @param stored - the store's copy, `undefined` when it has none
 * @returns whether a write was tried; a lost race or answer is made good by the next look
 * @public
 */
export async function healStore (store: KeyValueStore, replica: ConfigurationReplica, documentName: string, stored: KeyValue | undefined): Promise<boolean> {
  const document = parseDocument(stored?.value)
  if (document === undefined) return false
  const inForce = replica.asDocument(documentName)
  const isBehind = Object.entries(inForce.entries).some(([name, entry]) => entryWins(entry, document.entries[name]))
  if (!isBehind) return false
  const value = JSON.stringify(joinDocuments(document, inForce))
  await store.compareAndSwap({ key: CONFIGURATION_PREFIX + documentName, expectedModRevision: stored?.modRevision ?? 0, value })
  return true
}
