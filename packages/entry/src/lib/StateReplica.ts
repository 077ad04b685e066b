/**
 * Small documents that entry hosts agree on through the platform, as seen by this one.
 *
 * Each is written by compare-and-swap with a revision of its own that only grows, so the newest copy wins wherever it
 * comes from.
 *
 * @module
 */
import { hash32 } from '@quillscale/utils'

/** A copy of one document. @public */
export interface StateDocument {
  readonly name: string
  readonly revision: number
  /** Checked by the reader that knows the document. */
  readonly value: unknown
}

/** The start of the keys of these documents. @public */
export const STATE_PREFIX = 'quillscale/state/'

/** The newest known copy of each document. @public */
export class StateReplica {
  readonly #documents = new Map<string, StateDocument>()
  readonly #listeners = new Set<(document: StateDocument) => void>()

  /** Sums up what is known. */
  get digest (): number {
    let digest = 0
    for (const { name, revision } of this.#documents.values()) digest ^= hash32(`${name}/${revision}`)
    return digest >>> 0
  }

  /** @param document - a copy from anywhere @returns whether it was newer */
  merge (document: StateDocument): boolean {
    if (document.revision <= (this.#documents.get(document.name)?.revision ?? 0)) return false
    this.#documents.set(document.name, document)
    for (const listener of this.#listeners) listener(document)
    return true
  }

  /** @param name - of a document @returns the newest known copy */
  get (name: string): StateDocument | undefined {
    return this.#documents.get(name)
  }

  /** @returns all documents */
  all (): StateDocument[] {
    return [...this.#documents.values()]
  }

  /** @param listener - called with each newer copy */
  onChange (listener: (document: StateDocument) => void): void {
    this.#listeners.add(listener)
  }
}

/** @param value - a stored text @returns the document in it, `undefined` for anything else @public */
export function parseStateDocument (name: string, value: string | undefined): StateDocument | undefined {
  if (value === undefined) return undefined
  try {
    const parsed = JSON.parse(value) as { revision?: unknown }
    return typeof parsed.revision === 'number' ? { name, revision: parsed.revision, value: parsed } : undefined
  } catch {
    return undefined
  }
}
