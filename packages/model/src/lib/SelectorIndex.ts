/**
 * Finds the selectors that select a host without trying each.
 *
 * Why: 143 pools and as many services tried on each of a zone's 1,900 hosts took a tenth of a core.
 *
 * @module
 */
import { matchesSelector, type LabelSelector, type Labels } from './LabelSelector.js'

interface Indexed<T> { readonly selector: LabelSelector, readonly item: T, readonly position: number }

/** Items with a selector each, found by labels. @public */
export class SelectorIndex<T> {
  /** Items by one label that they require, as `name=value`. */
  readonly #byLabel = new Map<string, Array<Indexed<T>>>()
  /** Items that require no label's value. */
  readonly #others: Array<Indexed<T>> = []

  /** @param items - with their selectors, in the order in which they are to be found */
  constructor (items: ReadonlyArray<{ readonly selector: LabelSelector, readonly item: T }>) {
    items.forEach(({ selector, item }, position) => {
      const indexed = { selector, item, position }
      const required = Object.entries(selector.matchLabels)[0]
      if (required === undefined) {
        this.#others.push(indexed)
        return
      }
      const key = `${required[0]}=${required[1]}`
      const known = this.#byLabel.get(key)
      if (known === undefined) this.#byLabel.set(key, [indexed])
      else known.push(indexed)
    })
  }

  /** @param labels - of a host @returns the items that select it, in order */
  find (labels: Labels): T[] {
    const found: Array<Indexed<T>> = []
    const keep = (candidates: ReadonlyArray<Indexed<T>>): void => {
      for (const candidate of candidates) if (matchesSelector(candidate.selector, labels)) found.push(candidate)
    }
    keep(this.#others)
    for (const [name, value] of Object.entries(labels)) keep(this.#byLabel.get(`${name}=${value}`) ?? [])
    return found.sort((a, b) => a.position - b.position).map(({ item }) => item)
  }
}
