/**
 * Makes the server of an interface, with or without TLS, whose connections count against the budget of the process.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { createIngressServer, type IngressBudget } from '@quillscale/ingress'
import type { Clock } from '@quillscale/utils'
import type { TlsMaterial } from './readTls.js'

/** What the server is made of. @internal */
export interface HttpServerOptions {
  readonly budget: IngressBudget
  readonly clock: Clock
  /** The certificate, `undefined` for plain HTTP. */
  readonly tls: TlsMaterial | undefined
  /** Limits of the server. */
  readonly serverOptions: ServerOptions
  /** Answers requests. */
  readonly onRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>
}

/** A TLS connection that is not established by then is closed. */
const HANDSHAKE_TIMEOUT_MS = 10_000

/**
 * Makes a server; it does not listen yet.
 *
 * @param options - what it is made of
 * @returns the server
 * @internal
 */
export function createHttpServer ({ budget, clock, tls, serverOptions, onRequest }: HttpServerOptions): Server {
  return createIngressServer({
    budget,
    clock,
    serverOptions,
    hasTls: tls !== undefined,
    // Requests of one connection run at the same time, as they go to different targets.
    onRequest: (request, response) => {
      const handled = onRequest(request, response)
      return () => handled
    },
    create: (limits, listener) => tls === undefined
      ? createServer(limits, listener)
      : createTlsServer({ ...limits, ...tls, handshakeTimeout: HANDSHAKE_TIMEOUT_MS }, listener) as unknown as Server
  })
}
