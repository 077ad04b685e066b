/**
 * Passes the body of a request on in chunks of a fair size, whatever the size of those in which it comes.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import type { Clock } from '@quillscale/utils'
import type { ChunkCounter } from './ChunkMeter.js'
import type { ClientConnection } from './ClientConnection.js'
import type { IngressBudget } from './IngressBudget.js'

/** Options of a {@link CompactBody}. @public */
export interface CompactBodyOptions {
  readonly request: IncomingMessage
  readonly connection: ClientConnection
  readonly budget: IngressBudget
  readonly clock: Clock
  readonly limitBytes: number
  /** Creates the error with which the stream fails once the body exceeds the limit. */
  readonly createTooLargeError: () => Error
}

/** Chunks up to this size are joined. */
const JOINED_BYTES = 16 * 1024
/** Parts up to this size are copied. */
const MAX_COPIED_BYTES = 4 * 1024
/** Memory of a part besides its content. */
const PART_BYTES = 256
/** What is read ahead of the reader. */
const READ_AHEAD_BYTES = 64 * 1024

/** What is read of a refused body, so that its client reads the refusal. */
const MAX_REFUSED_BYTES = 1024 * 1024

/** Reads the body from the time at which it is created, at most {@link READ_AHEAD_BYTES} ahead. @public */
export class CompactBody extends Readable {
  readonly #options: CompactBodyOptions
  #joined = Buffer.alloc(0)
  #joinedBytes = 0
  #isFlushPending = false
  #receivedBytes = 0
  #heldBytes = 0
  /** Parts that have been passed on since the reader had read all. */
  #parts = 0
  readonly #countChunk: ChunkCounter

  /** @param options - the request, its limit, and what it counts against */
  constructor (options: CompactBodyOptions) {
    super({ highWaterMark: READ_AHEAD_BYTES })
    this.#options = options
    this.#countChunk = options.budget.chunks.countBody()
    const { request } = options
    request.on('data', (chunk: Buffer) => this.#add(chunk))
    request.on('end', () => {
      this.#flush()
      this.push(null)
    })
    // A client that leaves in the middle must not make its body look complete.
    request.on('close', () => { if (!request.complete) this.destroy(new Error('the client left before its body was complete')) })
    request.on('error', () => {})
    this.once('close', () => this.#count(0))
  }

  override _read (): void {
    this.#flush()
    this.#options.request.resume()
  }

  #add (chunk: Buffer): void {
    const { clock, connection, limitBytes, createTooLargeError } = this.#options
    if (connection.isClosed) return
    this.#receivedBytes += chunk.length
    if (this.destroyed) {
      // It may have been answered before, so that its refusal closes nothing.
      if (this.#receivedBytes > limitBytes + MAX_REFUSED_BYTES) connection.close('endless-body')
      return
    }
    if (this.#receivedBytes > limitBytes) {
      this.destroy(createTooLargeError())
      return
    }
    if (chunk.length >= JOINED_BYTES) {
      this.#flush()
      this.#pass(chunk)
    } else this.#join(chunk)
    // Read later, it would occupy its target for longer.
    if (this.#countChunk(chunk.length, clock.monotonicMs()) > 0) connection.close('small-chunks')
  }

  #join (chunk: Buffer): void {
    if (this.#joinedBytes + chunk.length > this.#joined.length) this.#flush()
    if (this.#joined.length === 0) this.#joined = Buffer.allocUnsafeSlow(JOINED_BYTES)
    chunk.copy(this.#joined, this.#joinedBytes)
    this.#joinedBytes += chunk.length
    if (this.#isFlushPending) return
    this.#isFlushPending = true
    // Chunks that were read together are passed on together.
    setImmediate(() => {
      this.#isFlushPending = false
      this.#flush()
    })
  }

  #flush (): void {
    if (this.#joinedBytes === 0 || this.destroyed) return
    const joined = this.#joined.subarray(0, this.#joinedBytes)
    this.#joinedBytes = 0
    // A part keeps its whole buffer, so a small one is copied.
    if (joined.length <= MAX_COPIED_BYTES) return this.#pass(Buffer.from(joined))
    this.#joined = Buffer.alloc(0)
    this.#pass(joined)
  }

  #pass (chunk: Buffer): void {
    this.#parts = this.readableLength === 0 ? 1 : this.#parts + 1
    if (!this.push(chunk)) this.#options.request.pause()
    this.#count(this.readableLength + this.#parts * PART_BYTES)
  }

  /** Counts what is held for the reader. */
  #count (bytes: number): void {
    const { budget, connection } = this.#options
    connection.hold(bytes - this.#heldBytes)
    this.#heldBytes = bytes
    budget.enforce()
  }
}
