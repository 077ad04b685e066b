/**
 * Makes the server of an interface, with or without TLS.
 *
 * @module
 */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { TlsMaterial } from './readTls.js'

/**
 * Makes a server; it does not listen yet.
 *
 * @param options - limits
 * @param tls - the certificate, `undefined` for plain HTTP
 * @param onRequest - answers requests
 * @returns the server
 * @internal
 */
export function createHttpServer (options: ServerOptions, tls: TlsMaterial | undefined, onRequest: RequestListener): Server {
  if (tls === undefined) return createServer(options, onRequest)
  return createTlsServer({ ...options, ...tls }, onRequest) as unknown as Server
}
