/**
 * One link to one peer: a handshake, then messages, read by one task until it closes.
 *
 * @module
 */
import { on, once } from 'node:events'
import { WebSocket } from 'ws'
import { QuillscaleError } from '@quillscale/model'
import { createNonce, createProof, isProofValid } from './peerProof.js'
import {
  MAX_PEER_MESSAGE_BYTES, PEER_PROTOCOL_VERSION, decodePeerMessage, encodePeerMessage, type Hello, type PeerMessage
} from './peerMessages.js'

/** Who a process is to its peers. @public */
export type PeerIdentity = Omit<Hello, 'kind' | 'protocolVersion' | 'nonce'>

/** Counts what a link carries. @public */
export interface LinkTraffic { sentBytes: number, receivedBytes: number, sentMessages: number, receivedMessages: number }

const HANDSHAKE_TIMEOUT_MS = 3000
/** A peer that does not read is cut off rather than buffered for. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/** An open, authenticated link. @internal */
export class PeerLink {
  #closed: Promise<void> | undefined
  /** When the peer was last heard of, on the mesh's monotonic clock. */
  lastReceivedMs = 0

  /**
   * @param peer - who is at the other end
   * @param isDialer - whether this side opened the link
   * @param socket - the open socket
   * @param frames - what the socket received since it was opened
   * @param traffic - counts bytes and messages
   */
  private constructor (
    readonly peer: PeerIdentity, readonly isDialer: boolean, readonly socket: WebSocket,
    readonly frames: AsyncIterator<unknown[]>, readonly traffic: LinkTraffic
  ) {}

  /** Settles when the link has closed. */
  get closed (): Promise<void> {
    this.#closed ??= new Promise((resolve) => {
      if (this.isOpen) this.socket.once('close', () => resolve())
      else resolve()
    })
    return this.#closed
  }

  /** Whether messages can be sent. */
  get isOpen (): boolean {
    return this.socket.readyState === WebSocket.OPEN
  }

  /**
   * Makes each side prove itself to the other.
   *
   * @param socket - connecting or open
   * @param isDialer - whether this side opened it
   * @param self - who this process is
   * @param keys - the valid keys; the first is used to prove
   * @param traffic - counts bytes and messages
   * @returns the link
   * @throws QuillscaleError `unauthorized` or `peer-protocol`
   */
  static async handshake (socket: WebSocket, isDialer: boolean, self: PeerIdentity, keys: readonly string[], traffic: LinkTraffic): Promise<PeerLink> {
    const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MS)
    try {
      const frames = on(socket, 'message', { close: ['close', 'error'] })
      if (socket.readyState === WebSocket.CONNECTING) await once(socket, 'open')
      const ownHello: Hello = { kind: 'hello', protocolVersion: PEER_PROTOCOL_VERSION, nonce: createNonce(), ...self }
      socket.send(encodePeerMessage(ownHello))
      const hello = await readMessage(frames)
      if (hello?.kind !== 'hello' || hello.protocolVersion !== PEER_PROTOCOL_VERSION) throw new QuillscaleError('peer-protocol', 'no hello')
      socket.send(encodePeerMessage({ kind: 'proof', proof: createProof(keys[0] ?? '', ownHello, hello) }))
      const proof = await readMessage(frames)
      if (proof?.kind !== 'proof' || !isProofValid(keys, hello, ownHello, proof.proof)) throw new QuillscaleError('unauthorized', 'wrong peer key')
      const { kind: _kind, protocolVersion: _version, nonce: _nonce, ...peer } = hello
      return new PeerLink(peer, isDialer, socket, frames, traffic)
    } catch (error) {
      socket.terminate()
      throw error
    } finally {
      clearTimeout(timer)
    }
  }

  /** @param message - what to send @returns false when the link cannot take it */
  send (message: PeerMessage): boolean {
    if (!this.isOpen) return false
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.close()
      return false
    }
    const bytes = encodePeerMessage(message)
    this.traffic.sentBytes += bytes.length
    this.traffic.sentMessages++
    this.socket.send(bytes)
    return true
  }

  /** @returns the next message, `undefined` when the link closed or the peer sent something else */
  async receive (): Promise<PeerMessage | undefined> {
    return readMessage(this.frames, this.traffic)
  }

  /** Closes the link at once. */
  close (): void {
    this.socket.terminate()
  }
}

async function readMessage (frames: AsyncIterator<unknown[]>, traffic?: LinkTraffic): Promise<PeerMessage | undefined> {
  try {
    const next = await frames.next()
    const bytes = next.done === true ? undefined : next.value[0]
    if (!Buffer.isBuffer(bytes) || bytes.length > MAX_PEER_MESSAGE_BYTES) return undefined
    if (traffic !== undefined) {
      traffic.receivedBytes += bytes.length
      traffic.receivedMessages++
    }
    return decodePeerMessage(bytes)
  } catch {
    return undefined
  }
}
