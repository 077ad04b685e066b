/**
 * Calls the platform over HTTP and tells a call that had no effect from one whose effect is unknown.
 *
 * @module
 */
import { Agent, request, errors } from 'undici'
import type { z } from 'zod'
import { Err, Ok, type Result } from '@quillscale/utils'
import type { PlatformError } from '@quillscale/ports'

/** How the platform is reached. @public */
export interface PlatformHttpOptions {
  /** Such as `http://10.0.0.5:2379`. */
  readonly endpoint: string
  /** How long a call may take; 2000 by default. */
  readonly callTimeoutMs?: number
  /** Called for each call with its kind, for the quota's metrics. */
  readonly onCall?: (kind: string) => void
}

const NEVER_SENT = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** One platform endpoint. @internal */
export class PlatformClient {
  readonly #options: PlatformHttpOptions
  readonly #agent = new Agent({ connections: 16, pipelining: 1, keepAliveTimeout: 30_000 })

  /** @param options - how the platform is reached */
  constructor (options: PlatformHttpOptions) {
    this.#options = options
  }

  /**
   * Makes one call.
   *
   * @param kind - counted for the quota
   * @param path - the path with its query
   * @param body - sent as JSON with POST; without it the call is a GET
   * @param schema - checks the answer
   * @param extraTimeoutMs - how much longer the call may take, for a watch
   * @returns the checked answer
   */
  async call<T> (kind: string, path: string, body: unknown, schema: z.ZodType<T>, extraTimeoutMs = 0): Promise<Result<T, PlatformError>> {
    this.#options.onCall?.(kind)
    const timeoutMs = (this.#options.callTimeoutMs ?? 2000) + extraTimeoutMs
    try {
      const answer = await request(this.#options.endpoint + path, {
        method: body === undefined ? 'GET' : 'POST',
        ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs)
      })
      const text = await answer.body.text()
      if (answer.statusCode !== 200) return Err({ kind: answer.statusCode === 503 ? 'unavailable' as const : 'unknown-effect' as const, detail: `status ${answer.statusCode}` })
      const parsed = schema.safeParse(JSON.parse(text))
      return parsed.success ? Ok(parsed.data) : Err({ kind: 'unknown-effect' as const, detail: `unexpected answer: ${parsed.error.issues[0]?.message ?? ''}` })
    } catch (error) {
      return Err(describeFailure(error))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

function describeFailure (error: unknown): PlatformError {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  const neverSent = NEVER_SENT.has(code) || error instanceof errors.ConnectTimeoutError
  return { kind: neverSent ? 'unavailable' : 'unknown-effect', detail: error instanceof Error ? `${error.name} ${code}` : String(error) }
}
