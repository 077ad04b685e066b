/**
 * Changes shared documents by compare-and-swap.
 *
 * @module
 */
import type { KeyValueStore } from '@quillscale/ports'
import { STATE_PREFIX, parseStateDocument, type StateReplica } from './StateReplica.js'

/** What became of a change. `unknown`: no answer came and reading back failed, too. @public */
export type UpdateResult = 'changed' | 'not-changed' | 'unknown'

const MAX_TRIES = 6

/** Writes shared documents. @public */
export class StateStore {
  readonly #store: KeyValueStore
  readonly #states: StateReplica

  /**
   * @param store - the platform's service
   * @param states - the newest known copies
   */
  constructor (store: KeyValueStore, states: StateReplica) {
    this.#store = store
    this.#states = states
  }

  /**
   * Changes a document.
   *
   * @param name - which
   * @param decide - makes the next document from the newest copy, with a higher revision; `undefined` changes nothing.
   * Called again after each lost race, so it must read the newest copy from the replica.
   * @returns what became of it
   */
  async update (name: string, decide: () => { readonly revision: number } | undefined): Promise<UpdateResult> {
    let mayHaveWritten = false
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const read = await this.#store.get(STATE_PREFIX + name)
      if (read.err) continue
      const stored = parseStateDocument(name, read.val?.value)
      if (stored !== undefined) this.#states.merge(stored)
      if (mayHaveWritten && stored !== undefined && stored.value !== undefined && JSON.stringify(stored.value) === this.#lastWritten.get(name)) return 'changed'
      const next = decide()
      if (next === undefined) return 'not-changed'
      const value = JSON.stringify(next)
      this.#lastWritten.set(name, value)
      const swap = await this.#store.compareAndSwap({ key: STATE_PREFIX + name, expectedModRevision: read.val?.modRevision ?? 0, value })
      if (swap.ok && swap.val.swapped) {
        this.#states.merge({ name, revision: next.revision, value: next })
        return 'changed'
      }
      mayHaveWritten ||= swap.err && swap.val.kind === 'unknown-effect'
    }
    return mayHaveWritten ? 'unknown' : 'not-changed'
  }

  /** The last value tried for each document: reading it back tells that a write whose answer was lost took effect. */
  readonly #lastWritten = new Map<string, string>()
}
