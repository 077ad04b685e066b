/**
 * The operators' interface: closed without a key, on a port that callers do not reach.
 *
 * @module
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type Logger from 'bunyan'
import type { IngressBudget } from '@quillscale/ingress'
import { QuillscaleError } from '@quillscale/model'
import type { Clock } from '@quillscale/utils'
import { createHttpServer } from './createHttpServer.js'
import type { TlsMaterial } from './readTls.js'
import { refusalBody } from './refusals.js'
import { readBody, type BodyOwner } from './requestBody.js'

/** A request of an operator. @public */
export interface OperatorRequest {
  readonly query: URLSearchParams
  /** What the path has behind the route's own part. */
  readonly rest: string
  /** Parsed JSON, `undefined` without a body. */
  readonly body: unknown
}

/** Answers one route: a value becomes JSON, a text stays a text. @public */
export type OperatorHandler = (request: OperatorRequest) => unknown

/** The routes, such as `GET /v1/status`; a path that ends in `/` takes what follows. @public */
export type OperatorRoutes = Readonly<Record<string, OperatorHandler>>

/** What the operators' interface works with. @public */
export interface OperatorServerOptions {
  readonly keys: readonly string[]
  readonly routes: OperatorRoutes
  readonly tls: TlsMaterial | undefined
  readonly log: Logger
  readonly clock: Clock
  /** Bounds what clients make the process hold. */
  readonly budget: IngressBudget
}

const MAX_BODY_BYTES = 32 * 1024 * 1024
const BODY_TIMEOUT_MS = 30_000
const BEARER = 'Bearer '

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Serves operators, and carries the links of peers. @public */
export class OperatorServer {
  readonly server: Server
  readonly #options: OperatorServerOptions
  readonly #keyDigests: Buffer[]

  /** @param options - keys and routes */
  constructor (options: OperatorServerOptions) {
    this.#options = options
    this.#keyDigests = options.keys.map(digest)
    this.server = createHttpServer({ ...options, serverOptions: {}, onRequest: (request, response) => this.#handle(request, response) })
    this.server.on('clientError', (_error, socket) => socket.destroy())
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    try {
      if (!this.#isAuthorized(request)) throw new QuillscaleError('unauthorized', 'send Authorization: Bearer KEY')
      const url = new URL(request.url ?? '/', 'http://operator')
      const { handler, rest } = this.#find(request.method ?? 'GET', url.pathname)
      const body = await readJson({ ...this.#options, request, response })
      const value = await handler({ query: url.searchParams, rest, body })
      if (typeof value === 'string') send(response, 200, 'text/plain; version=0.0.4', value)
      else send(response, 200, 'application/json', JSON.stringify(value))
    } catch (error) {
      this.#refuse(request, response, error)
    }
  }

  /** Compares digests, so that neither content nor length of a key shows in the time it takes. */
  #isAuthorized (request: IncomingMessage): boolean {
    const header = request.headers.authorization ?? ''
    const given = digest(header.startsWith(BEARER) ? header.slice(BEARER.length) : '')
    return this.#keyDigests.map((expected) => timingSafeEqual(expected, given)).includes(true)
  }

  #find (method: string, path: string): { handler: OperatorHandler, rest: string } {
    const { routes } = this.#options
    const exact = routes[`${method} ${path}`]
    if (exact !== undefined) return { handler: exact, rest: '' }
    const prefix = path.slice(0, path.lastIndexOf('/') + 1)
    const handler = Object.hasOwn(routes, `${method} ${prefix}`) ? routes[`${method} ${prefix}`] : undefined
    if (handler === undefined) throw new QuillscaleError('no-such-route', `${method} ${path}`)
    return { handler, rest: decodeURIComponent(path.slice(prefix.length)) }
  }

  #refuse (request: IncomingMessage, response: ServerResponse, error: unknown): void {
    const refusal = error instanceof QuillscaleError ? error : new QuillscaleError('internal', 'see the log')
    if (refusal.kind === 'internal') this.#options.log.error({ err: error, path: request.url }, 'operator request failed')
    const body = { ...refusalBody(refusal), problems: refusal.options.fields ?? [] }
    if (!request.complete) response.setHeader('connection', 'close')
    send(response, refusal.statusCode, 'application/json', JSON.stringify(body))
  }
}

function send (response: ServerResponse, statusCode: number, contentType: string, body: string): void {
  if (response.headersSent) return
  response.writeHead(statusCode, { 'content-type': contentType, 'content-length': Buffer.byteLength(body), 'cache-control': 'no-store' })
  response.end(body)
}

async function readJson (owner: BodyOwner): Promise<unknown> {
  const { request } = owner
  if (request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined) return undefined
  try {
    const body = await readBody(owner, MAX_BODY_BYTES, BODY_TIMEOUT_MS)
    return body.length === 0 ? undefined : JSON.parse(body.toString('utf8'))
  } catch (error) {
    if (error instanceof SyntaxError) throw new QuillscaleError('malformed-request', `not JSON: ${error.message}`)
    throw error
  }
}
