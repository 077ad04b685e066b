/**
 * Declarations as revisioned documents: edits, joins, deltas.
 *
 * @module
 */
export { applyEdit, type Edit, type EditConflict, type EditEffect } from './lib/applyEdit.js'
export {
  CONFIGURATION_PREFIX, EMPTY_DOCUMENT, HOST_SHARDS, MAX_RECENT_EDITS, TOMBSTONE_KEPT_MS, documentNameOf, entrySchema, entryWins, joinDocuments,
  kindOfDocument, parseDocument, type ConfigurationDocument, type ConfigurationEntry
} from './lib/ConfigurationDocument.js'
export {
  ConfigurationReplica, type ConfigurationDelta, type DeclarationInForce, type DocumentVersion
} from './lib/ConfigurationReplica.js'
export { EditManager, type AcceptedEdit, type EditManagerOptions } from './lib/EditManager.js'
export { diffFields, readField, writeFields, pathsOverlap, type FieldChange, type JsonObject, type JsonValue } from './lib/fieldPaths.js'
export { healStore } from './lib/healStore.js'
