/**
 * One stored document: a map of declarations in which each entry's revision only grows.
 *
 * Why entries have revisions of their own: two copies of a document, however old or forked by a restored store, join
 * to the same content by keeping the higher revision of each entry, so no accepted edit is undone by an older copy.
 *
 * @module
 */
import { z } from 'zod'
import { hash32 } from '@quillscale/utils'
import { DECLARATION_KINDS, type DeclarationKind } from '@quillscale/model'
import type { FieldChange, JsonObject } from './fieldPaths.js'

/** The schema version of documents that this program writes. @public */
export const DOCUMENT_SCHEMA_VERSION = 1
/** How many documents the hosts are spread over. @public */
export const HOST_SHARDS = 128
/** How many edits a document remembers, to recognise one whose answer was lost and to rebuild a base. @public */
export const MAX_RECENT_EDITS = 64
/** How long a deleted entry is remembered, so that no older copy brings it back. @public */
export const TOMBSTONE_KEPT_MS = 30 * 24 * 3_600_000

const fieldChangeSchema = z.object({ path: z.string(), value: z.json().optional() })

/** Checks one entry of a document. @public */
export const entrySchema = z.object({
  revision: z.number().int().positive(),
  editId: z.string(),
  /** The declared spec; `null` for a deleted entry. */
  spec: z.record(z.string(), z.json()).nullable(),
  /** The revision of the last change of each changed field. */
  fieldRevisions: z.record(z.string(), z.number().int()).default({}),
  deletedAtMs: z.number().optional()
})

const recentEditSchema = z.object({
  editId: z.string(),
  name: z.string(),
  revision: z.number().int(),
  /** What the edit replaced; makes the older spec out of the newer. */
  undo: z.array(fieldChangeSchema),
  /** Set when the edit created the entry. */
  created: z.boolean()
})

const documentSchema = z.object({
  schemaVersion: z.number().int().max(DOCUMENT_SCHEMA_VERSION),
  revision: z.number().int().nonnegative(),
  entries: z.record(z.string(), entrySchema),
  recentEdits: z.array(recentEditSchema).default([])
})

/** One declaration in a document. @public */
export interface ConfigurationEntry {
  readonly revision: number
  readonly editId: string
  readonly spec: JsonObject | null
  readonly fieldRevisions: Readonly<Record<string, number>>
  readonly deletedAtMs?: number | undefined
}

/** An edit that a document remembers. @public */
export interface RecentEdit {
  readonly editId: string
  readonly name: string
  readonly revision: number
  readonly undo: readonly FieldChange[]
  readonly created: boolean
}

/** A document. @public */
export interface ConfigurationDocument {
  readonly schemaVersion: number
  readonly revision: number
  readonly entries: Readonly<Record<string, ConfigurationEntry>>
  readonly recentEdits: readonly RecentEdit[]
}

/** A document without content. @public */
export const EMPTY_DOCUMENT: ConfigurationDocument = { schemaVersion: DOCUMENT_SCHEMA_VERSION, revision: 0, entries: {}, recentEdits: [] }

/** The start of the keys of all documents. @public */
export const CONFIGURATION_PREFIX = 'quillscale/config/'

/**
 * Names the document that holds a declaration.
 *
 * @param kind - the declaration's kind
 * @param name - its name
 * @returns such as `service` or `host-017`
 * @public
 */
export function documentNameOf (kind: DeclarationKind, name: string): string {
  if (kind !== 'host') return kind
  return `host-${String(hash32(name) % HOST_SHARDS).padStart(3, '0')}`
}

/**
 * Names the kind of a document's entries.
 *
 * @param documentName - such as `host-017`
 * @returns its kind, `undefined` when no kind has such documents
 * @public
 */
export function kindOfDocument (documentName: string): DeclarationKind | undefined {
  const kind = documentName.split('-')[0]
  return DECLARATION_KINDS.find((known) => known === kind)
}

/**
 * Reads a stored document.
 *
 * @param value - what the store holds, `undefined` when it holds nothing
 * @returns the document, `undefined` when it cannot be understood
 * @public
 */
export function parseDocument (value: string | undefined): ConfigurationDocument | undefined {
  if (value === undefined) return EMPTY_DOCUMENT
  try {
    const parsed = documentSchema.safeParse(JSON.parse(value))
    return parsed.success ? parsed.data as ConfigurationDocument : undefined
  } catch {
    return undefined
  }
}

/**
 * Decides which of two copies of one entry stands.
 *
 * @param a - a copy
 * @param b - another
 * @returns whether the first stands over the second; equal revisions, which only a restored store can make, go by edit id
 * @public
 */
export function entryWins (a: ConfigurationEntry, b: ConfigurationEntry | undefined): boolean {
  if (b === undefined || a.revision > b.revision) return true
  return a.revision === b.revision && a.editId > b.editId
}

/**
 * Joins two copies of a document; the order of joining does not matter.
 *
 * @param a - a copy
 * @param b - another
 * @returns each entry at its higher revision
 * @public
 */
export function joinDocuments (a: ConfigurationDocument, b: ConfigurationDocument): ConfigurationDocument {
  const entries: Record<string, ConfigurationEntry> = { ...a.entries }
  for (const [name, entry] of Object.entries(b.entries)) {
    if (entryWins(entry, entries[name])) entries[name] = entry
  }
  const edits = new Map([...a.recentEdits, ...b.recentEdits].map((edit) => [edit.editId, edit]))
  const recentEdits = [...edits.values()].sort((x, y) => x.revision - y.revision).slice(-MAX_RECENT_EDITS)
  return { schemaVersion: DOCUMENT_SCHEMA_VERSION, revision: Math.max(a.revision, b.revision), entries, recentEdits }
}

/**
 * Sums up one entry, so that copies can be compared without sending them.
 *
 * @param documentName - where it is
 * @param name - its name
 * @param entry - the entry
 * @returns an unsigned 32-bit digest; digests of many entries are joined by exclusive or
 * @public
 */
export function entryDigest (documentName: string, name: string, entry: ConfigurationEntry): number {
  return hash32(`${documentName}/${name}/${entry.revision}/${entry.editId}`)
}
