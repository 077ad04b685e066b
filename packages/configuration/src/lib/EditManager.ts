/**
 * Accepts operators' edits: accepted means written to the platform by compare-and-swap.
 *
 * @module
 */
import { Err, Ok, type Result } from '@quillscale/utils'
import { QuillscaleError } from '@quillscale/model'
import type { KeyValueStore } from '@quillscale/ports'
import { applyEdit, type Edit } from './applyEdit.js'
import { CONFIGURATION_PREFIX, documentNameOf, joinDocuments, parseDocument, type ConfigurationDocument } from './ConfigurationDocument.js'
import type { ConfigurationDelta, ConfigurationReplica } from './ConfigurationReplica.js'

/** What became of one edit. @public */
export interface AcceptedEdit {
  readonly kind: string
  readonly name: string
  readonly documentName: string
  /** The revision that has the edit. */
  readonly revision: number
  readonly changedFields: readonly string[]
}

/** How edits are accepted. @public */
export interface EditManagerOptions {
  /** Tries until an edit is given up; 6 by default. */
  readonly maxAttempts?: number
  /** The largest document in bytes; the platform's value size less a margin by default. */
  readonly maxDocumentBytes?: number
  /** Waits between tries. */
  readonly pause: (attempt: number) => Promise<void>
  readonly nowMs: () => number
}

const DEFAULT_MAX_ATTEMPTS = 6
const DEFAULT_MAX_DOCUMENT_BYTES = 1024 * 1024 - 4096

interface Batch { document: ConfigurationDocument, accepted: AcceptedEdit[], isChanged: boolean }

/** Writes edits to the store and brings them into force here. @public */
export class EditManager {
  readonly #store: KeyValueStore
  readonly #replica: ConfigurationReplica
  readonly #options: EditManagerOptions

  /**
   * @param store - the platform's service
   * @param replica - what is in force at this entry host
   * @param options - limits and time
   */
  constructor (store: KeyValueStore, replica: ConfigurationReplica, options: EditManagerOptions) {
    this.#store = store
    this.#replica = replica
    this.#options = options
  }

  /**
   * Accepts edits; those of one document take effect together.
   *
   * @param edits - what operators want
   * @returns what became of each, or why all edits from the first failing document on were refused
   */
  async accept (edits: readonly Edit[]): Promise<Result<AcceptedEdit[], QuillscaleError>> {
    const accepted: AcceptedEdit[] = []
    for (const [documentName, group] of groupByDocument(edits)) {
      const result = await this.#acceptInto(documentName, group)
      if (result.err) return Err(result.val)
      accepted.push(...result.val)
    }
    return Ok(accepted)
  }

  async #acceptInto (documentName: string, edits: readonly Edit[]): Promise<Result<AcceptedEdit[], QuillscaleError>> {
    const maxAttempts = this.#options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS
    let mayHaveWritten = false
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      if (attempt > 0) await this.#options.pause(attempt)
      const read = await this.#store.get(CONFIGURATION_PREFIX + documentName)
      if (read.err) continue
      const stored = parseDocument(read.val?.value)
      if (stored === undefined) return Err(new QuillscaleError('internal', `document ${documentName} in the store cannot be read`, { outcome: 'not-run' }))
      // A store restored from an older copy is healed by the join: what is in force is written back with the edit.
      const batch = this.#applyAll(documentName, joinDocuments(stored, this.#replica.asDocument(documentName)), edits)
      if (batch.err) return Err(batch.val)
      if (!batch.val.isChanged) return Ok(this.#bringIntoForce(documentName, batch.val))
      const value = JSON.stringify(batch.val.document)
      const tooLarge = this.#sizeProblem(documentName, value)
      if (tooLarge !== undefined) return Err(tooLarge)
      const swap = await this.#store.compareAndSwap({ key: CONFIGURATION_PREFIX + documentName, expectedModRevision: read.val?.modRevision ?? 0, value })
      if (swap.err) mayHaveWritten ||= swap.val.kind === 'unknown-effect'
      else if (swap.val.swapped) return Ok(this.#bringIntoForce(documentName, batch.val))
    }
    return Err(new QuillscaleError('platform-unavailable', `no answer after ${maxAttempts} tries`, { outcome: mayHaveWritten ? 'unknown' : 'not-run', retryAfterMs: 2000 }))
  }

  #applyAll (documentName: string, start: ConfigurationDocument, edits: readonly Edit[]): Result<Batch, QuillscaleError> {
    const batch: Batch = { document: start, accepted: [], isChanged: false }
    for (const edit of edits) {
      const effect = applyEdit(batch.document, edit, this.#options.nowMs())
      if (effect.err) {
        const { name, fields, baseRevision, currentRevision } = effect.val
        const detail = `${edit.kind}/${name}: ${fields.join(', ')} changed between revision ${baseRevision} and ${currentRevision}`
        return Err(new QuillscaleError('edit-conflict', detail, { fields }))
      }
      batch.isChanged ||= effect.val.document !== batch.document
      batch.document = effect.val.document
      batch.accepted.push({ kind: edit.kind, name: edit.name, documentName, revision: effect.val.revision, changedFields: effect.val.changedFields })
    }
    return Ok(batch)
  }

  #sizeProblem (documentName: string, value: string): QuillscaleError | undefined {
    const limit = this.#options.maxDocumentBytes ?? DEFAULT_MAX_DOCUMENT_BYTES
    const size = Buffer.byteLength(value)
    return size <= limit ? undefined : new QuillscaleError('document-full', `document ${documentName} would have ${size} of ${limit} bytes`)
  }

  #bringIntoForce (documentName: string, batch: Batch): AcceptedEdit[] {
    const delta: ConfigurationDelta = { documentName, revision: batch.document.revision, entries: batch.document.entries }
    this.#replica.merge(delta)
    return batch.accepted
  }
}

function groupByDocument (edits: readonly Edit[]): Map<string, Edit[]> {
  const groups = new Map<string, Edit[]>()
  for (const edit of edits) {
    const documentName = documentNameOf(edit.kind, edit.name)
    groups.set(documentName, [...(groups.get(documentName) ?? []), edit])
  }
  return groups
}
