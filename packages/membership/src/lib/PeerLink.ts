/**
 * A link to one peer over a WebSocket: an authenticating handshake, followed by messages until the link closes.
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

/** Identity of an entry host process, as its peers know it. @public */
export type PeerIdentity = Omit<Hello, 'kind' | 'protocolVersion' | 'nonce'>

/** Counters of the bytes and messages that links carry. @public */
export interface LinkTraffic { sentBytes: number, receivedBytes: number, sentMessages: number, receivedMessages: number }

const HANDSHAKE_TIMEOUT_MS = 3000
/** A link whose peer does not read is closed at this limit instead of buffering more. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/** An authenticated link to a peer. @internal */
export class PeerLink {
  #closed: Promise<void> | undefined
  /** Time of the last message from the peer, on the mesh's monotonic clock. */
  lastReceivedMs = 0

  /**
   * @param peer - identity of the peer
   * @param isDialer - whether this side opened the link
   * @param socket - the open socket
   * @param frames - frames that the socket has received since it was opened
   * @param traffic - counters to increment
   */
  private constructor (
    readonly peer: PeerIdentity, readonly isDialer: boolean, readonly socket: WebSocket,
    readonly frames: AsyncIterator<unknown[]>, readonly traffic: LinkTraffic
  ) {}

  /** Resolves when the link has closed. */
  get closed (): Promise<void> {
    this.#closed ??= new Promise((resolve) => {
      if (this.isOpen) this.socket.once('close', () => resolve())
      else resolve()
    })
    return this.#closed
  }

  /** Whether the link is open. */
  get isOpen (): boolean {
    return this.socket.readyState === WebSocket.OPEN
  }

  /**
   * Authenticates both sides to each other.
   *
   * @param socket - a socket that is connecting or open
   * @param isDialer - whether this side opened the socket
   * @param self - identity of this process
   * @param keys - the valid keys; the first one creates this side's proof
   * @param traffic - counters that the link increments
   * @returns the authenticated link
   * @throws QuillscaleError `unauthorized` if the peer has no valid key, `peer-protocol` if it does not speak this protocol version
   */
  static async handshake (socket: WebSocket, isDialer: boolean, self: PeerIdentity, keys: readonly string[], traffic: LinkTraffic): Promise<PeerLink> {
    const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MS)
    try {
      const frames = on(socket, 'message', { close: ['close', 'error'] })
      if (socket.readyState === WebSocket.CONNECTING) await once(socket, 'open')
      const ownHello: Hello = { kind: 'hello', protocolVersion: PEER_PROTOCOL_VERSION, nonce: createNonce(), ...self }
      socket.send(encodePeerMessage(ownHello))
      const hello = await readMessage(frames)
      if (hello?.kind !== 'hello' || hello.protocolVersion !== PEER_PROTOCOL_VERSION) throw new QuillscaleError('peer-protocol', 'the peer sent no hello message of this protocol version')
      socket.send(encodePeerMessage({ kind: 'proof', proof: createProof(keys[0] ?? '', ownHello, hello) }))
      const proof = await readMessage(frames)
      if (proof?.kind !== 'proof' || !isProofValid(keys, hello, ownHello, proof.proof)) throw new QuillscaleError('unauthorized', 'the peer did not prove that it knows a valid peer key')
      const { kind: _kind, protocolVersion: _version, nonce: _nonce, ...peer } = hello
      return new PeerLink(peer, isDialer, socket, frames, traffic)
    } catch (error) {
      socket.terminate()
      throw error
    } finally {
      clearTimeout(timer)
    }
  }

  /**
   * Sends a message. Closes the link if too many bytes are buffered because the peer does not read.
   *
   * @param message - the message
   * @returns false if the link is closed or has just been closed for that reason
   */
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

  /**
   * Waits for the next message.
   *
   * @returns the message, `undefined` if the link has closed or the peer has sent an invalid message
   */
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
