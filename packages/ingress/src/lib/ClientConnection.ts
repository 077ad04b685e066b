/**
 * Counts what one connection of a client makes the process hold.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { ReadingPause } from './ReadingPause.js'

/**
 * Why a connection was closed. `connections`: more were open than allowed; `memory`: all clients together held too much; `requests-ahead`: it had too many
 * requests in progress; `endless-body`: it went on sending a body that had been refused; `small-chunks`: its body came in many small chunks, and those of all
 * bodies were too many.
 *
 * @public
 */
export type ClosingReason = 'connections' | 'memory' | 'requests-ahead' | 'endless-body' | 'small-chunks'

/** Parties that are told what a connection holds. @internal */
export interface ConnectionOwner {
  /** Called whenever a connection holds more or less. */
  readonly onHeldChange: (bytes: number) => void
  /** Called before a connection is closed for a reason. */
  readonly onClosing: (connection: ClientConnection, reason: ClosingReason) => void
}

/** Memory of an open connection without a request: socket, parser and buffers. */
const CONNECTION_BYTES = 16 * 1024
/** Memory of a request in progress without its body: request, response and what serving it takes. */
const REQUEST_BYTES = 8 * 1024

/** A socket of Node.js's HTTP server with its parser, which is not part of its documented interface. */
type ParsedSocket = Socket & { readonly parser?: { onIncoming: () => number } | null }
/** Tells the parser that what follows is no HTTP. */
const STOP_PARSING = 2

/** One open connection. @public */
export class ClientConnection {
  readonly #owner: ConnectionOwner
  readonly #socket: Socket
  #heldBytes = 0
  readonly #requests = new Map<IncomingMessage, () => boolean>()
  #isClosed = false
  #lastActivityMs: number
  #waiting: Array<() => Promise<void>> = []
  #isServingInTurn = false
  readonly #waits = new Set<() => void>()
  readonly #readingPause: ReadingPause

  /** @param socket - the connection @param owner - is told what it holds @param nowMs - monotonic time */
  constructor (socket: Socket, owner: ConnectionOwner, nowMs: number) {
    this.#socket = socket
    this.#readingPause = new ReadingPause(socket)
    this.#owner = owner
    this.#lastActivityMs = nowMs
    this.hold(CONNECTION_BYTES)
  }

  /** Memory that is held for it. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Number of requests whose answers have not been sent completely. */
  get requests (): number {
    return this.#requests.size
  }

  /** Whether a request of it has come completely and its answer is not ready. Otherwise the client has to go on: to send, or to read. */
  get isServing (): boolean {
    for (const [{ complete }, isUnread] of this.#requests) if (complete && !isUnread()) return true
    return false
  }

  /** Monotonic time at which it was opened, or at which a request began or ended last. */
  get lastActivityMs (): number {
    return this.#lastActivityMs
  }

  /** Whether it was closed; further requests of it are ignored. */
  get isClosed (): boolean {
    return this.#isClosed
  }

  /** Number of calls of {@link ClientConnection.whileOpen} that have not ended. */
  get waits (): number {
    return this.#waits.size
  }

  /**
   * Waits for a result while the connection is open. Nothing of the wait is kept once it has ended, as a connection may carry any number of requests.
   *
   * @param pending - the result
   * @param otherwise - taken in its place once the connection is closed
   * @returns the first of both
   */
  whileOpen<T> (pending: Promise<T>, otherwise: T): Promise<T> {
    return this.#isClosed ? Promise.resolve(otherwise) : waitFor(pending, otherwise, this.#waits)
  }

  /** Counts memory that is held for it from now on. It may be closed for that. @param bytes - the size */
  hold (bytes: number): void {
    if (this.#isClosed) return
    this.#heldBytes += bytes
    this.#owner.onHeldChange(bytes)
  }

  /** Counts memory that is no longer held for it. @param bytes - the size */
  release (bytes: number): void {
    if (this.#isClosed) return
    this.#heldBytes -= bytes
    this.#owner.onHeldChange(-bytes)
  }

  /**
   * Counts a request of which the head has come.
   *
   * @param request - the request
   * @param nowMs - monotonic time
   * @param isUnread - whether its answer waits for the client to read
   */
  beginRequest (request: IncomingMessage, nowMs: number, isUnread: () => boolean = () => false): void {
    this.#requests.set(request, isUnread)
    this.#lastActivityMs = nowMs
    this.hold(REQUEST_BYTES)
  }

  /** Counts a request whose answer has been sent. @param request - the request @param nowMs - monotonic time */
  endRequest (request: IncomingMessage, nowMs: number): void {
    this.#requests.delete(request)
    this.#lastActivityMs = nowMs
    this.release(REQUEST_BYTES)
  }

  /**
   * Serves a request once the earlier ones of this connection have been served: a client gains nothing by sending many ahead.
   *
   * @param serve - serves it
   */
  serveInTurn (serve: () => Promise<void>): void {
    this.#waiting.push(serve)
    if (!this.#isServingInTurn) void this.#serveWaiting()
  }

  async #serveWaiting (): Promise<void> {
    this.#isServingInTurn = true
    try {
      for (let serve = this.#waiting.shift(); serve !== undefined; serve = this.#waiting.shift()) await serve()
    } finally {
      this.#isServingInTurn = false
    }
  }

  /**
   * Slows a body down that comes in many small chunks.
   *
   * @param pauseMs - for how long the connection must not be read; infinite closes it
   * @param nowMs - monotonic time
   */
  slowDown (pauseMs: number, nowMs: number): void {
    if (pauseMs === 0 || this.#isClosed) return
    if (pauseMs === Infinity) this.close('small-chunks')
    else this.#readingPause.extend(nowMs + pauseMs, nowMs)
  }

  /** Closes it. @param reason - why */
  close (reason: ClosingReason): void {
    if (this.#isClosed) return
    this.#owner.onClosing(this, reason)
    this.markClosed()
    const { parser } = this.#socket as ParsedSocket
    // Without that, Node.js goes on to parse the 64 KB that it has read, some thousand requests.
    if (parser != null) parser.onIncoming = () => STOP_PARSING
    this.#socket.destroy()
  }

  /** Records that it is closed and holds nothing more. */
  markClosed (): void {
    if (this.#isClosed) return
    this.release(this.#heldBytes)
    this.#isClosed = true
    this.#readingPause.end()
    this.#waiting = []
    this.#requests.clear()
    for (const end of this.#waits) end()
    this.#waits.clear()
  }
}

/** Waits for a result, or until the wait is ended. A pending result must not keep the connection, and all that it has sent, once that is closed. */
function waitFor<T> (pending: Promise<T>, otherwise: T, waits: Set<() => void>): Promise<T> {
  return new Promise((resolve, reject) => {
    const end = (): void => resolve(otherwise)
    waits.add(end)
    pending.then(resolve, reject).finally(() => waits.delete(end))
  })
}
