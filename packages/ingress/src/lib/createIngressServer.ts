/**
 * Creates HTTP servers whose connections count against the budget of their process.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@quillscale/utils'
import type { ClientConnection } from './ClientConnection.js'
import type { IngressBudget } from './IngressBudget.js'

/** Options of {@link createIngressServer}. @public */
export interface IngressServerOptions {
  readonly budget: IngressBudget
  readonly clock: Clock
  /**
   * Called as soon as the head of a request has come. Has to begin to read the body, since chunks that nobody reads are kept one by one.
   *
   * @returns serves the request; called once the earlier requests of the connection have been served
   */
  readonly onRequest: (request: IncomingMessage, response: ServerResponse, connection: ClientConnection) => () => Promise<void>
  /** Whether the sockets of requests are those of TLS connections. */
  readonly hasTls?: boolean
  /** Creates the server, by default one without TLS. */
  readonly create?: (options: ServerOptions, onRequest: (request: IncomingMessage, response: ServerResponse) => void) => Server
  /** Further options of the server. */
  readonly serverOptions?: ServerOptions
}

/** Time in which a request has to arrive, head and body: many times the longest that any client waits for an answer. */
const REQUEST_TIMEOUT_MS = 60_000
/** Memory of a name or a value of a header, besides its text. */
const HEADER_PART_BYTES = 128
/** How often these times are checked. */
const TIMEOUT_CHECK_MS = 5000

/**
 * Creates a server; it does not listen yet.
 *
 * @param options - budget and handler
 * @returns the server
 * @public
 */
export function createIngressServer ({ budget, clock, onRequest, create = createServer, serverOptions = {}, hasTls = false }: IngressServerOptions): Server {
  const timeouts = { headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_MS }
  const server = create({ ...timeouts, ...serverOptions }, (request, response) => {
    const connection = budget.connectionOf(request.socket)
    if (connection === undefined || connection.isClosed) return
    // One for each request in progress.
    request.socket.setMaxListeners(0)
    connection.beginRequest(request, clock.monotonicMs(), () => response.writableEnded || response.writableNeedDrain)
    closeWithConnection(request, response)
    const headBytes = headBytesOf(request)
    connection.hold(headBytes)
    response.once('close', () => {
      connection.release(headBytes)
      connection.endRequest(request, clock.monotonicMs())
    })
    if (connection.requests > budget.limits.maxRequestsAhead) return connection.close('requests-ahead')
    budget.enforce()
    if (!connection.isClosed) connection.serveInTurn(onRequest(request, response, connection))
  })
  // By default, Node.js reads such a body to its end.
  server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => { response.writeHead(417, { connection: 'close' }).end() })
  const handshakes = new Map<string, Socket>()
  server.on('connection', (socket: Socket) => {
    if (hasTls) {
      const name = peerNameOf(socket)
      handshakes.set(name, socket)
      socket.once('close', () => { if (handshakes.get(name) === socket) handshakes.delete(name) })
    }
    budget.add(socket, clock.monotonicMs())
  })
  if (hasTls) {
    server.on('secureConnection', (socket: Socket) => {
      const handshake = handshakes.get(peerNameOf(socket))
      // From here on, the same connection counts by the socket of its requests.
      if (handshake !== undefined) budget.exempt(handshake)
      budget.add(socket, clock.monotonicMs())
    })
  }
  return server
}

/** Estimates the memory of a head: parts of a few bytes take many times their length. */
function headBytesOf ({ url = '', rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length, url.length) + rawHeaders.length * HEADER_PART_BYTES
}

/** Node.js tells only the response that is being sent that its connection has closed, not those behind it. */
function closeWithConnection ({ socket }: IncomingMessage, response: ServerResponse): void {
  const close = (): void => { setImmediate(() => { if (!response.closed) response.emit('close') }) }
  socket.once('close', close)
  response.once('close', () => socket.off('close', close))
}

/** Names the other end of a connection, the same for the socket of its TLS layer. */
function peerNameOf ({ remoteAddress = '', remotePort = 0 }: Socket): string {
  return `${remoteAddress} ${remotePort}`
}
