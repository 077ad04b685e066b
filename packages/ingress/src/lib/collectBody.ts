/**
 * Receives bodies of requests in blocks of the process, whatever the size of their chunks.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Clock } from '@quillscale/utils'
import { BLOCK_BYTES } from './BlockPool.js'
import type { ChunkCounter } from './ChunkMeter.js'
import type { ClientConnection } from './ClientConnection.js'
import type { IngressBudget } from './IngressBudget.js'

/** Outcome of receiving a body: `too-large` as soon as it is known to exceed the limit, `broken` if the connection ended before it was complete. @public */
export type CollectedBody = Buffer | 'too-large' | 'broken'

/** A refused body is read on up to this many times its limit, so that its client reads the refusal; then the connection is closed. */
const MAX_REFUSED_RATIO = 4
const MIN_REFUSED_BYTES = 1024 * 1024

/** A request with a body. @public */
export interface BodySource {
  readonly request: IncomingMessage
  /** Its response; the body counts as held until it is closed. */
  readonly response: NodeJS.EventEmitter
  readonly connection: ClientConnection
  readonly budget: IngressBudget
  readonly clock: Clock
}

/** Whether a request has a body that is yet to come. */
const hasBody = ({ headers }: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0

/** Receives one body. */
class BodyCollector {
  readonly #connection: ClientConnection
  readonly #budget: IngressBudget
  readonly #limitBytes: number
  #blocks: Buffer[] = []
  #receivedBytes = 0
  readonly #countChunk: ChunkCounter
  isTooLarge: boolean

  constructor (request: IncomingMessage, connection: ClientConnection, budget: IngressBudget, limitBytes: number) {
    this.#connection = connection
    this.#budget = budget
    this.#countChunk = budget.chunks.countBody()
    this.#limitBytes = limitBytes
    this.isTooLarge = Number(request.headers['content-length'] ?? 0) > limitBytes
  }

  /** Returns a copy of the body, and gives its blocks back. */
  takeBody (): Buffer {
    const body = Buffer.concat(this.#blocks, this.#receivedBytes)
    this.#connection.hold(body.length)
    this.giveBack()
    return body
  }

  /** Gives the blocks back. */
  giveBack (): void {
    this.#budget.blocks.give(this.#blocks)
    this.#connection.release(this.#blocks.length * BLOCK_BYTES)
    this.#blocks = []
  }

  add (chunk: Buffer, nowMs: number): void {
    if (this.#connection.isClosed) return
    const offset = this.#receivedBytes
    this.#receivedBytes += chunk.length
    if (!this.isTooLarge && this.#receivedBytes > this.#limitBytes) {
      this.isTooLarge = true
      this.giveBack()
    }
    // A chunk is a part of what was read from the socket, and would keep all of it.
    if (!this.isTooLarge) this.#copy(chunk, offset)
    else if (this.#receivedBytes > Math.max(MIN_REFUSED_BYTES, this.#limitBytes * MAX_REFUSED_RATIO)) return this.#connection.close('endless-body')
    this.#connection.slowDown(this.#countChunk(chunk.length, nowMs), nowMs)
  }

  #copy (chunk: Buffer, offset: number): void {
    for (let copied = 0; copied < chunk.length;) {
      const position = offset + copied
      if (position === this.#blocks.length * BLOCK_BYTES) {
        this.#blocks.push(this.#budget.blocks.take())
        this.#connection.hold(BLOCK_BYTES)
      }
      copied += chunk.copy(this.#blocks.at(-1) as Buffer, position % BLOCK_BYTES, copied)
    }
    this.#budget.enforce()
  }
}

/**
 * Receives the body of a request. Has to be called as soon as the request has come, since chunks that nobody reads are kept one by one.
 *
 * @param source - the request
 * @param limitBytes - the largest body, 0 if the request may have none
 * @returns the body, or why there is none
 * @public
 */
export function collectBody (
  { request, response, connection, budget, clock }: BodySource, limitBytes: number
): Promise<CollectedBody> {
  if (!hasBody(request)) {
    request.resume()
    return Promise.resolve(Buffer.alloc(0))
  }
  const collector = new BodyCollector(request, connection, budget, limitBytes)
  let isAnswered = false
  let bodyBytes = 0
  response.once('close', () => {
    isAnswered = true
    connection.release(bodyBytes)
  })
  return new Promise((resolve) => {
    const fail = (): void => {
      collector.giveBack()
      resolve('broken')
    }
    if (collector.isTooLarge) resolve('too-large')
    request.on('data', (chunk: Buffer) => {
      collector.add(chunk, clock.monotonicMs())
      if (collector.isTooLarge) resolve('too-large')
    })
    request.on('end', () => {
      if (collector.isTooLarge) return
      const body = collector.takeBody()
      // A refusal may be sent before the body is complete.
      if (isAnswered) connection.release(body.length)
      else bodyBytes = body.length
      resolve(body)
    })
    request.on('error', fail)
    request.on('close', fail)
  })
}
