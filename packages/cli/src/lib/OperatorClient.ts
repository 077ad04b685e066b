/**
 * Talks to the operators' interface of an entry host.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import { Agent, request } from 'undici'

/** How an entry host is reached. @public */
export interface OperatorClientOptions {
  /** Such as `http://10.0.1.7:7401`; several are tried in turn. */
  readonly endpoints: readonly string[]
  readonly key: string
  /** PEM file of the authority of the entry hosts' certificates. */
  readonly caFile?: string | undefined
}

/** An entry host refused. @public */
export class OperatorRefusal extends Error {
  override readonly name = 'OperatorRefusal'

  /**
   * @param statusCode - of the answer
   * @param kind - of the closed list
   * @param detail - what happened
   * @param problems - refused fields
   */
  constructor (readonly statusCode: number, readonly kind: string, readonly detail: string, readonly problems: readonly unknown[]) {
    super(detail)
  }
}

/** No entry host answered. @public */
export class NoAnswer extends Error {
  override readonly name = 'NoAnswer'
}

const TIMEOUT_MS = 30_000

/** Calls entry hosts. @public */
export class OperatorClient {
  readonly #options: OperatorClientOptions
  readonly #agent: Agent

  /** @param options - how they are reached */
  constructor (options: OperatorClientOptions) {
    this.#options = options
    this.#agent = new Agent(options.caFile === undefined ? {} : { connect: { ca: readFileSync(options.caFile, 'utf8') } })
  }

  /**
   * Calls the first entry host that answers. Edits carry an id, so that a repeated one takes effect once.
   *
   * @param method - HTTP
   * @param path - of the route
   * @param body - sent as JSON
   * @returns the parsed answer
   * @throws OperatorRefusal or NoAnswer
   */
  async call (method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
    const failures: string[] = []
    for (const endpoint of this.#options.endpoints) {
      try {
        return await this.#callOne(endpoint, method, path, body)
      } catch (error) {
        if (error instanceof OperatorRefusal && error.kind !== 'platform-unavailable') throw error
        failures.push(`${endpoint}: ${error instanceof Error ? error.message : String(error)}`)
      }
    }
    throw new NoAnswer(failures.join('; '))
  }

  /** Closes its connections. */
  async close (): Promise<void> {
    await this.#agent.close()
  }

  async #callOne (endpoint: string, method: 'GET' | 'POST', path: string, body: unknown): Promise<unknown> {
    const answer = await request(endpoint + path, {
      method,
      dispatcher: this.#agent,
      headers: { authorization: `Bearer ${this.#options.key}`, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    const text = await answer.body.text()
    if (answer.statusCode === 200) return String(answer.headers['content-type']).includes('json') ? JSON.parse(text) : text
    const refusal = parseRefusal(text)
    throw new OperatorRefusal(answer.statusCode, refusal.error, refusal.detail, refusal.problems)
  }
}

function parseRefusal (text: string): { error: string, detail: string, problems: unknown[] } {
  try {
    const parsed = JSON.parse(text) as { error?: string, detail?: string, problems?: unknown[] }
    return { error: parsed.error ?? 'internal', detail: parsed.detail ?? text, problems: parsed.problems ?? [] }
  } catch {
    return { error: 'internal', detail: text.slice(0, 500), problems: [] }
  }
}
