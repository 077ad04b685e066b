/**
 * Bounds what all clients together can make a process hold, across its servers.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { Clock } from '@quillscale/utils'
import { BlockPool } from './BlockPool.js'
import { ChunkMeter, type ChunkLimits } from './ChunkMeter.js'
import { ClientConnection, type ClosingReason } from './ClientConnection.js'

/** The bounds of a process. @public */
export interface IngressLimits {
  /** Connections of clients that are open at once. */
  readonly maxConnections: number
  /** Memory that is held for all clients. */
  readonly maxHeldBytes: number
  /** Requests in progress on one connection. */
  readonly maxRequestsAhead: number
}

/** A connection that was closed, as it was then. @public */
export interface ClosedConnection {
  readonly reason: ClosingReason
  readonly heldBytes: number
  readonly requests: number
}

/** Dependencies of an {@link IngressBudget}. @public */
export interface IngressBudgetOptions {
  readonly limits: IngressLimits
  /** Bounds for bodies in small chunks, by default those that no client within the limits of the interface meets. */
  readonly chunkLimits?: ChunkLimits
  readonly clock: Clock
  /** Called for each connection that was closed because of a limit. */
  readonly onClosed: (closed: ClosedConnection) => void
}

/** Tells whether a connection is closed before another one. @param nowMs - monotonic time */
type ClosingOrder = (a: ClientConnection, b: ClientConnection, nowMs: number) => boolean

/** Added to the time for which a connection has been quiet, so that a new one counts by what it holds. */
const MIN_QUIET_MS = 100

/** The connection that holds the most for the longest is closed first: many that wait with a little each must not crowd out a large request that goes on. */
const holdsMore: ClosingOrder = (a, b, nowMs) => {
  const [heldA, heldB] = [a, b].map(({ heldBytes, lastActivityMs }) => heldBytes * (MIN_QUIET_MS + nowMs - lastActivityMs))
  return heldA === heldB ? isLessActive(a, b, nowMs) : Number(heldA) > Number(heldB)
}
/** Connections whose client has to go on are closed first, the one that has been quiet for the longest before others. */
const isLessActive: ClosingOrder = (a, b) => {
  const isServing = a.isServing
  return isServing === b.isServing ? a.lastActivityMs < b.lastActivityMs : !isServing
}

/** Counts the connections of a process and what they hold, and closes the greediest over a limit. @public */
export class IngressBudget {
  readonly #options: IngressBudgetOptions
  readonly #connections = new Map<Socket, ClientConnection>()
  /** Memory of the bodies that are being received. */
  readonly blocks = new BlockPool()
  /** Limits the processor time that bodies in small chunks take. */
  readonly chunks: ChunkMeter
  #heldBytes = 0

  /** @param options - the limits, and who is told of closed connections */
  constructor (options: IngressBudgetOptions) {
    this.#options = options
    this.chunks = new ChunkMeter(options.chunkLimits)
  }

  /** The bounds. */
  get limits (): IngressLimits {
    return this.#options.limits
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#connections.size
  }

  /** Memory that is held for all clients. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /**
   * Counts a new connection until it is closed.
   *
   * @param socket - the connection
   * @param nowMs - monotonic time
   */
  add (socket: Socket, nowMs: number): void {
    const connection = new ClientConnection(socket, {
      onHeldChange: (bytes) => { this.#heldBytes += bytes },
      onClosing: (closing, reason) => {
        this.#connections.delete(socket)
        this.#options.onClosed({ reason, heldBytes: closing.heldBytes, requests: closing.requests })
      }
    }, nowMs)
    this.#connections.set(socket, connection)
    socket.once('close', () => {
      this.#connections.delete(socket)
      connection.markClosed()
    })
    if (this.#connections.size > this.limits.maxConnections) this.#closeFirst(isLessActive, 'connections')
    this.enforce()
  }

  /** @param socket - a connection @returns what is counted of it, `undefined` once it is closed */
  connectionOf (socket: Socket): ClientConnection | undefined {
    return this.#connections.get(socket)
  }

  /** Counts a connection no longer, since it does not belong to a client. @param socket - the connection */
  exempt (socket: Socket): void {
    this.#connections.get(socket)?.markClosed()
    this.#connections.delete(socket)
  }

  /** Closes connections until what is held is within the limit. */
  enforce (): void {
    while (this.#heldBytes > this.limits.maxHeldBytes && this.#connections.size > 0) this.#closeFirst(holdsMore, 'memory')
  }

  /**
   * Reserves memory for serving a request, unless it would exceed the limit.
   *
   * @param connection - the connection of the request
   * @param bytes - the size
   * @returns whether it is reserved; then it has to be released by {@link ClientConnection.release}
   */
  tryReserve (connection: ClientConnection, bytes: number): boolean {
    if (connection.isClosed || this.#heldBytes + bytes > this.limits.maxHeldBytes) return false
    connection.hold(bytes)
    return true
  }

  #closeFirst (isBefore: ClosingOrder, reason: ClosingReason): void {
    const nowMs = this.#options.clock.monotonicMs()
    let first: ClientConnection | undefined
    for (const connection of this.#connections.values()) if (first === undefined || isBefore(connection, first, nowMs)) first = connection
    first?.close(reason)
  }
}
