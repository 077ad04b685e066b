/**
 * Chooses the fencing tokens of a holder's calls to workers.
 *
 * A call names the worker, not its lifetime, and a call without an answer may be carried out at any later time. So each lifetime gets a token above those of
 * the worker's earlier ones: once it has seen its own, it rejects every call that was meant for them.
 *
 * @module
 */

/** Chooses the token of each lifetime; all of them are below the tokens of later holders. @public */
export class FencingTokens {
  readonly #revisionAbove: (revision: number) => Promise<number>
  #last: number
  #pending: Promise<number> | undefined

  /**
   * @param dutyToken - fencing token of the duty
   * @param revisionAbove - returns a revision of the store above the given one, at which the duty was still held
   */
  constructor (readonly dutyToken: number, revisionAbove: (revision: number) => Promise<number>) {
    this.#last = dutyToken
    this.#revisionAbove = revisionAbove
  }

  /** Returns a token above all that were returned before. Lifetimes of different workers that begin at the same time share one. */
  next (): Promise<number> {
    this.#pending ??= this.#revisionAbove(this.#last).then((token) => {
      this.#pending = undefined
      this.#last = token
      return token
    })
    return this.#pending
  }
}
