/**
 * Remembers the last requests, so that an operator can ask what became of one.
 *
 * @module
 */

/** What was decided about one request. @public */
export interface RequestTrace {
  readonly requestId: string
  readonly service: string | undefined
  readonly tenant: string
  readonly requestClass: string
  readonly method: string
  readonly path: string
  /** What happened, in order. */
  readonly steps: string[]
  readonly result: string
}

const MAX_TRACES = 2000
const MAX_TEXT_LENGTH = 512

/** Shortens a text; the copy does not keep the whole. */
const shorten = (text: string): string => text.length <= MAX_TEXT_LENGTH ? text : Buffer.from(text.slice(0, MAX_TEXT_LENGTH)).toString()

/** The last requests of one entry host. @public */
export class RequestLog {
  readonly #traces = new Map<string, RequestTrace>()

  /** @param trace - a finished request */
  add (trace: RequestTrace): void {
    const { requestId, tenant, path, steps } = trace
    this.#traces.set(requestId, { ...trace, tenant: shorten(tenant), path: shorten(path), steps: steps.map(shorten) })
    if (this.#traces.size <= MAX_TRACES) return
    const oldest = this.#traces.keys().next()
    if (oldest.done !== true) this.#traces.delete(oldest.value)
  }

  /** @param requestId - from the answer's header @returns what is remembered */
  find (requestId: string): RequestTrace | undefined {
    return this.#traces.get(requestId)
  }
}
