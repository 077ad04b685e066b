/**
 * Decides what an edit does to a document.
 *
 * @module
 */
import { Err, Ok, type Result } from '@quillscale/utils'
import type { DeclarationKind } from '@quillscale/model'
import { MAX_RECENT_EDITS, TOMBSTONE_KEPT_MS, type ConfigurationDocument, type ConfigurationEntry, type RecentEdit } from './ConfigurationDocument.js'
import { diffFields, pathsOverlap, readField, writeFields, type FieldChange, type JsonObject } from './fieldPaths.js'

/** What an operator wants of one declaration. @public */
export interface Edit {
  /** Recognises the edit when its answer was lost. */
  readonly editId: string
  readonly kind: DeclarationKind
  readonly name: string
  /** The whole wanted spec; `null` deletes the declaration. */
  readonly spec: JsonObject | null
  /** The revision the spec was made from; without it the present one. */
  readonly baseRevision?: number | undefined
}

/** The edit was refused: others changed the same fields since its base. @public */
export interface EditConflict {
  readonly name: string
  readonly baseRevision: number
  readonly currentRevision: number
  /** The fields, as pointers into the spec. */
  readonly fields: readonly string[]
}

/** What an edit did. @public */
export interface EditEffect {
  readonly document: ConfigurationDocument
  /** The revision that has the edit. */
  readonly revision: number
  readonly changedFields: readonly string[]
}

/** Rebuilds an entry's spec at an older revision from the remembered edits; `undefined` when they don't reach back. */
function specAt (document: ConfigurationDocument, name: string, baseRevision: number): JsonObject | undefined {
  const entry = document.entries[name]
  if (entry === undefined) return {}
  const later = document.recentEdits.filter((edit) => edit.name === name && edit.revision > baseRevision)
  const newestFirst = [...later].sort((a, b) => b.revision - a.revision)
  let spec = entry.spec ?? {}
  for (const edit of newestFirst) spec = edit.created ? {} : writeFields(spec, edit.undo)
  const changedLater = Object.values(entry.fieldRevisions).filter((revision) => revision > baseRevision)
  const covered = changedLater.every((revision) => later.some((edit) => edit.revision === revision))
  return covered ? spec : undefined
}

function conflictingFields (entry: ConfigurationEntry, baseRevision: number, changes: readonly FieldChange[]): string[] {
  const changedSince = Object.entries(entry.fieldRevisions).filter(([, revision]) => revision > baseRevision)
  return changes.filter(({ path, value }) => {
    const agrees = JSON.stringify(readField(entry.spec ?? {}, path)) === JSON.stringify(value)
    return !agrees && changedSince.some(([changed]) => pathsOverlap(path, changed))
  }).map(({ path }) => path)
}

function withoutOldTombstones (entries: Record<string, ConfigurationEntry>, nowMs: number): Record<string, ConfigurationEntry> {
  return Object.fromEntries(Object.entries(entries).filter(([, entry]) =>
    entry.deletedAtMs === undefined || nowMs - entry.deletedAtMs < TOMBSTONE_KEPT_MS))
}

function deletionConflict (entry: ConfigurationEntry, edit: Edit, baseRevision: number): string[] {
  const changedSince = Object.entries(entry.fieldRevisions).filter(([, revision]) => revision > baseRevision)
  return edit.spec === null ? changedSince.map(([path]) => path) : []
}

/**
 * Applies an edit.
 *
 * @param document - the document as the store holds it, joined with what is in force
 * @param edit - what the operator wants
 * @param nowMs - the present time since 1970: revisions are not below it, and old deletions are forgotten
 * @returns the changed document (the same one when nothing changes), or the conflict
 * @public
 */
export function applyEdit (document: ConfigurationDocument, edit: Edit, nowMs: number): Result<EditEffect, EditConflict> {
  const done = document.recentEdits.find((recent) => recent.editId === edit.editId && recent.name === edit.name)
  if (done !== undefined) return Ok({ document, revision: done.revision, changedFields: done.undo.map(({ path }) => path) })
  const entry = document.entries[edit.name]
  const baseRevision = edit.baseRevision ?? entry?.revision ?? 0
  const current = entry?.spec ?? {}
  const base = specAt(document, edit.name, baseRevision) ?? current
  const wanted = edit.spec ?? {}
  const changes = diffFields(base, wanted)
  const conflicts = entry === undefined
    ? []
    : [...new Set([...conflictingFields(entry, baseRevision, changes), ...deletionConflict(entry, edit, baseRevision)])]
  if (entry !== undefined && conflicts.length > 0) {
    return Err({ name: edit.name, baseRevision, currentRevision: entry.revision, fields: conflicts })
  }
  const spec = edit.spec === null ? null : writeFields(current, changes)
  const effective = diffFields(current, spec ?? {})
  const sameExistence = (entry?.spec ?? null) === null === (spec === null)
  if (effective.length === 0 && sameExistence) return Ok({ document, revision: entry?.revision ?? 0, changedFields: [] })
  return Ok(commit(document, edit, entry, spec, effective, nowMs))
}

function commit (
  document: ConfigurationDocument, edit: Edit, previous: ConfigurationEntry | undefined, spec: JsonObject | null, changes: readonly FieldChange[], nowMs: number
): EditEffect {
  // Never below the clock, so that of two histories that a restored store has split the later edit stands.
  const revision = Math.max(document.revision + 1, nowMs)
  const touched = Object.fromEntries(changes.map(({ path }) => [path, revision]))
  const survivors = Object.entries(previous?.fieldRevisions ?? {}).filter(([path]) => !changes.some((change) => change.path !== path && path.startsWith(`${change.path}/`)))
  const entry: ConfigurationEntry = {
    revision,
    editId: edit.editId,
    spec,
    fieldRevisions: { ...Object.fromEntries(survivors), ...touched },
    ...(spec === null ? { deletedAtMs: nowMs } : {})
  }
  const undo = changes.map(({ path }) => ({ path, value: readField(previous?.spec ?? {}, path) }))
  const recent: RecentEdit = { editId: edit.editId, name: edit.name, revision, undo, created: (previous?.spec ?? null) === null }
  const entries = withoutOldTombstones({ ...document.entries, [edit.name]: entry }, nowMs)
  const recentEdits = [...document.recentEdits, recent].slice(-MAX_RECENT_EDITS)
  return { document: { ...document, revision, entries, recentEdits }, revision, changedFields: changes.map(({ path }) => path) }
}
