/**
 * Stand-in of clients that do not stay inside their limits.
 *
 * @module
 */
import { connect, type Socket } from 'node:net'
import { delay } from '@quillscale/utils'

/** What a client sends on one connection, in parts, each once the last one has been taken. `undefined`: nothing more, and the connection stays open. @public */
export type CrowdScript = (part: number) => Buffer | string | undefined

const KB = 1024
/** Size of the parts in which bodies are sent. */
const PART_BYTES = 16 * KB
const REQUESTS_PER_PART = 100
const POLL_MS = 50
/** A crowd that does nothing for as many polls has settled. */
const QUIET_POLLS = 20

/**
 * Sends a text, then the same piece again and again.
 *
 * @param first - the text
 * @param piece - the piece
 * @param bytes - about how much in all
 * @returns the script
 * @public
 */
export function sendRepeated (first: string, piece: string, bytes: number): CrowdScript {
  const block = piece.repeat(Math.ceil(PART_BYTES / piece.length))
  return (part) => part === 0 ? first : part * block.length <= bytes ? block : undefined
}

/** Sends one text. @param text - the text @returns the script @public */
export const sendOnce = (text: string): CrowdScript => (part) => part === 0 ? text : undefined

/**
 * Sends requests ahead of their answers.
 *
 * @param request - makes the request of a number
 * @param bytes - about how much in all
 * @returns the script
 * @public
 */
export function sendAhead (request: (index: number) => string, bytes: number): CrowdScript {
  let sent = 0
  return (part) => {
    if (sent > bytes) return undefined
    const block = Array.from({ length: REQUESTS_PER_PART }, (_, index) => request(part * REQUESTS_PER_PART + index)).join('')
    sent += block.length
    return block
  }
}

/** A connection of a client that reads no answers. @public */
export class CrowdClient {
  sentBytes = 0
  isClosed = false
  readonly #socket: Socket

  /** @param address - IP number @param port - the port to connect to @param script - what it sends */
  constructor (address: string, port: number, script: CrowdScript) {
    this.#socket = connect(port, address)
    this.#socket.on('error', () => { this.isClosed = true })
    this.#socket.on('close', () => { this.isClosed = true })
    this.#socket.once('connect', () => this.#send(script, 0))
  }

  #send (script: CrowdScript, part: number): void {
    const data = script(part)
    if (data === undefined || this.isClosed) return
    this.#socket.write(data, (error) => {
      if (error != null) return
      this.sentBytes += data.length
      this.#send(script, part + 1)
    })
  }

  /** Ends the connection at once. */
  close (): void {
    this.#socket.destroy()
  }
}

/** Connects clients, and tells when they get no further. @public */
export class StandInCrowd {
  readonly clients: CrowdClient[] = []

  /** @param address - IP number of the host */
  constructor (readonly address: string) {}

  /** Adds clients. @param count - how many @param script - what each sends @param port - where */
  add (count: number, script: (client: number) => CrowdScript, port: number): void {
    for (let client = 0; client < count; client++) this.clients.push(new CrowdClient(this.address, port, script(client)))
  }

  /** Number of connections that have not been closed. */
  get openConnections (): number {
    return this.clients.filter(({ isClosed }) => !isClosed).length
  }

  /** Waits until the clients send nothing more and none is closed any more. @param poll - called meanwhile; returns false to stop waiting */
  async settle (poll: () => boolean): Promise<void> {
    let before = -1
    for (let quiet = 0; quiet < QUIET_POLLS && poll();) {
      await delay(POLL_MS)
      const now = this.clients.reduce((sum, { sentBytes, isClosed }) => sum + sentBytes + (isClosed ? 1 : 0), 0)
      quiet = now === before ? quiet + 1 : 0
      before = now
    }
  }

  /** Ends all connections. */
  close (): void {
    for (const client of this.clients) client.close()
  }
}
