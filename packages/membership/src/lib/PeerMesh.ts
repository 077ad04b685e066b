/**
 * Maintains links from this entry host to all others that it knows, and exchanges messages with them.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import type { IncomingMessage, Server } from 'node:http'
import type { Duplex } from 'node:stream'
import { dispatch, spawnStateless, start, stop, type ActorSystemRef, type Ref } from 'nact'
import { WebSocket, WebSocketServer } from 'ws'
import { Err, Ok, delay, type Clock, type Result } from '@quillscale/utils'
import { QuillscaleError, type AvailabilityZone, type EntryHostId, type ErrorKind } from '@quillscale/model'
import { MembershipView, type Member, type MembershipOptions } from './MembershipView.js'
import { PeerLink, type LinkTraffic, type PeerIdentity } from './PeerLink.js'
import { MAX_PEER_MESSAGE_BYTES, type PeerMessage } from './peerMessages.js'

/** Callbacks of the mesh. @public */
export interface PeerHandlers {
  /** Returns the status to send with each heartbeat; it should be small. */
  getOwnStatus(): unknown
  /** Returns whether this entry host is leaving, which heartbeats report. */
  isStopping(): boolean
  /** Called when a link has opened, so that configurations can be compared. */
  onLinked(member: PeerIdentity): void
  /** Called when a heartbeat has arrived. */
  onHeartbeat(member: PeerIdentity, status: unknown): void
  /** Called when a message has arrived that expects no response. */
  onNotice(member: PeerIdentity, topic: string, body: unknown): void
  /** Called when a request has arrived; the returned value is sent as the response. */
  onRequest(member: PeerIdentity, topic: string, body: unknown): Promise<unknown>
  /** Called when a handshake has failed or a peer has violated the protocol. */
  onPeerError(detail: string): void
}

/** Settings of the mesh. @public */
export interface PeerMeshOptions extends Partial<MembershipOptions> {
  readonly self: PeerIdentity
  /** Valid keys: the first one creates own proofs, all are accepted from peers. */
  readonly keys: readonly string[]
  /** Addresses (`host:port`) to dial from the start. */
  readonly seeds: readonly string[]
  readonly clock: Clock
  /** Heartbeat interval between entry hosts of the same availability zone; 1000 by default. */
  readonly heartbeatMs?: number
  /** Heartbeat interval between availability zones, which share less state; 1500 by default. */
  readonly crossZoneHeartbeatMs?: number
  /** Initial delay before redialing an address; doubles up to eight times this value; 250 by default. */
  readonly redialMs?: number
  /** Trusted CA certificates; if set, outgoing links use TLS. */
  readonly tlsCa?: string | undefined
  /** Local IP address of outgoing links. */
  readonly bindAddress?: string | undefined
}

interface Pending { resolve: (result: Result<unknown, QuillscaleError>) => void, timer: NodeJS.Timeout, link: PeerLink }
interface InboundMessage { link: PeerLink, message: PeerMessage }

const DEFAULT_HEARTBEAT_MS = 1000
const DEFAULT_CROSS_ZONE_HEARTBEAT_MS = 1500
const DEFAULT_REDIAL_MS = 250
const MAX_REDIAL_FACTOR = 8
const MEMBERS_TOPIC = 'members'

/** The links of one entry host to its peers. @public */
export class PeerMesh {
  readonly view: MembershipView
  readonly traffic: LinkTraffic = { sentBytes: 0, receivedBytes: 0, sentMessages: 0, receivedMessages: 0 }
  readonly #options: PeerMeshOptions
  readonly #handlers: PeerHandlers
  readonly #links = new Map<EntryHostId, PeerLink>()
  readonly #dialedAddresses = new Set<string>()
  readonly #pending = new Map<number, Pending>()
  readonly #stopController = new AbortController()
  readonly #actorSystem: ActorSystemRef = start()
  readonly #webSocketServer = new WebSocketServer({ noServer: true, maxPayload: MAX_PEER_MESSAGE_BYTES })
  readonly #blockedIds = new Set<string>()
  #nextRequestId = 1
  #sequence = 0

  /**
   * @param options - settings, including the identity of this entry host
   * @param handlers - callbacks for links and messages
   */
  constructor (options: PeerMeshOptions, handlers: PeerHandlers) {
    this.#options = options
    this.#handlers = handlers
    this.view = new MembershipView(options)
    // Every link adds listeners to this one signal, so their number has no fixed limit.
    setMaxListeners(0, this.#stopController.signal)
  }

  /**
   * Accepts links from peers.
   *
   * @param server - the HTTP server whose upgrade requests become links
   * @param onAuthenticated - called with the connection of each peer that has shown its key
   * @param onReceived - called with the number of bytes that a connection has received before that
   */
  attach (server: Server, onAuthenticated: (socket: Duplex) => void = () => {}, onReceived: (socket: Duplex, bytes: number) => void = () => {}): void {
    server.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      this.#webSocketServer.handleUpgrade(request, socket, head, (webSocket) => {
        const count = (chunk: Buffer): void => onReceived(socket, chunk.length)
        socket.on('data', count)
        void this.#runLink(webSocket, false, () => {
          socket.off('data', count)
          onAuthenticated(socket)
        })
      })
    })
  }

  /** Starts dialing the seeds. */
  start (): void {
    for (const address of this.#options.seeds) this.dial(address)
  }

  /**
   * Dials an address, and redials it until its peer is forgotten; seeds are redialed forever.
   *
   * @param address - address (`host:port`) of a possible peer
   */
  dial (address: string): void {
    if (address === this.#options.self.address || this.#dialedAddresses.has(address)) return
    this.#dialedAddresses.add(address)
    void this.#maintainLink(address)
  }

  /**
   * Lists the other entry hosts that this one knows.
   *
   * @returns the members, sorted by id
   */
  members (): Member[] {
    return this.view.members(this.#options.clock.monotonicMs())
  }

  /**
   * Tells whether there is an open link to a peer.
   *
   * @param entryHostId - id of the peer
   * @returns whether messages can be sent to it
   */
  isLinked (entryHostId: EntryHostId): boolean {
    return this.#links.get(entryHostId)?.isOpen === true
  }

  /**
   * Sends a message that expects no response.
   *
   * @param entryHostId - id of the peer
   * @param topic - topic, which selects the handler
   * @param body - content of the message
   * @returns whether the message was sent
   */
  notify (entryHostId: EntryHostId, topic: string, body: unknown): boolean {
    return this.#links.get(entryHostId)?.send({ kind: 'notice', topic, body }) ?? false
  }

  /**
   * Sends a message that expects no response to several peers.
   *
   * @param topic - topic, which selects the handler
   * @param body - content of the message
   * @param filter - selects the peers; all linked peers by default
   */
  broadcast (topic: string, body: unknown, filter: (peer: PeerIdentity) => boolean = () => true): void {
    for (const link of this.#links.values()) if (filter(link.peer)) link.send({ kind: 'notice', topic, body })
  }

  /**
   * Sends a request to a peer and waits for the response.
   *
   * @param entryHostId - id of the peer
   * @param topic - topic, which selects the handler
   * @param body - content of the request
   * @param timeoutMs - time to wait for the response
   * @returns the response or the peer's error; the error `key-owner-unreachable` with outcome `not-run` if the request was not sent,
   * with outcome `unknown` if no response arrived
   */
  request (entryHostId: EntryHostId, topic: string, body: unknown, timeoutMs: number): Promise<Result<unknown, QuillscaleError>> {
    const link = this.#links.get(entryHostId)
    const id = this.#nextRequestId++
    return new Promise((resolve) => {
      if (link === undefined || !link.send({ kind: 'request', id, topic, body })) {
        resolve(Err(new QuillscaleError('key-owner-unreachable', `no open link to ${entryHostId}`, { outcome: 'not-run' })))
        return
      }
      const timer = setTimeout(() => this.#resolvePending(id, Err(new QuillscaleError('key-owner-unreachable', `no response from ${entryHostId} before the timeout`, { outcome: 'unknown' }))), timeoutMs)
      this.#pending.set(id, { resolve, timer, link })
    })
  }

  /**
   * Simulates a network partition in tests and the demo: closes and refuses links to the given entry hosts.
   *
   * @param ids - ids of the entry hosts to cut off; replaces the ids of the previous call
   * @internal
   */
  block (ids: readonly string[]): void {
    this.#blockedIds.clear()
    for (const id of ids) this.#blockedIds.add(id)
    for (const link of this.#links.values()) if (this.#blockedIds.has(link.peer.entryHostId)) link.close()
  }

  /** Stops dialing and closes all links. */
  async close (): Promise<void> {
    this.#stopController.abort()
    for (const link of this.#links.values()) link.close()
    this.#webSocketServer.close()
    stop(this.#actorSystem)
  }

  async #maintainLink (address: string): Promise<void> {
    const baseMs = this.#options.redialMs ?? DEFAULT_REDIAL_MS
    const startedMs = this.#options.clock.monotonicMs()
    let lastLinkedMs = startedMs
    let factor = 1
    while (!this.#stopController.signal.aborted) {
      const link = this.#findOpenLink(address)
      if (link !== undefined) {
        await link.closed
        lastLinkedMs = this.#options.clock.monotonicMs()
        factor = 1
      } else {
        const wasLinked = await this.#dialOnce(address)
        factor = wasLinked ? 1 : Math.min(MAX_REDIAL_FACTOR, factor * 2)
      }
      const isPeerForgotten = this.#options.clock.monotonicMs() - lastLinkedMs > this.view.forgetAfterMs
      if (isPeerForgotten && !this.#options.seeds.includes(address)) break
      // The jitter keeps entry hosts that lost a peer at the same time from redialing it at the same time.
      await delay(baseMs * factor * (0.75 + Math.random() / 2), this.#stopController.signal)
    }
    this.#dialedAddresses.delete(address)
  }

  #findOpenLink (address: string): PeerLink | undefined {
    return [...this.#links.values()].find((link) => link.peer.address === address && link.isOpen)
  }

  async #dialOnce (address: string): Promise<boolean> {
    const { tlsCa, bindAddress } = this.#options
    const url = `${tlsCa === undefined ? 'ws' : 'wss'}://${address}/peer`
    const socket = new WebSocket(url, {
      maxPayload: MAX_PEER_MESSAGE_BYTES,
      handshakeTimeout: 3000,
      ...(bindAddress === undefined ? {} : { localAddress: bindAddress }),
      ...(tlsCa === undefined ? {} : { ca: tlsCa })
    })
    socket.on('error', () => {})
    return this.#runLink(socket, true)
  }

  /** Runs one link from its handshake until it closes; returns whether the handshake succeeded and the link was registered. */
  async #runLink (socket: WebSocket, isDialer: boolean, onAuthenticated: () => void = () => {}): Promise<boolean> {
    socket.on('error', () => {})
    let link: PeerLink
    try {
      link = await PeerLink.handshake(socket, isDialer, this.#options.self, this.#options.keys, this.traffic)
    } catch (error) {
      if (error instanceof QuillscaleError) this.#handlers.onPeerError(`${error.kind}: ${error.message}`)
      return false
    }
    onAuthenticated()
    if (!this.#registerLink(link)) {
      link.close()
      return false
    }
    const actor = this.#spawnPeerActor(link)
    const heartbeats = this.#sendHeartbeats(link)
    for (let message = await link.receive(); message !== undefined; message = await link.receive()) dispatch(actor, { link, message })
    this.#unregisterLink(link)
    await heartbeats
    stop(actor)
    return true
  }

  /** Registers a link unless it is refused. Of two links between the same processes, both sides keep the one that the lower id dialed. */
  #registerLink (link: PeerLink): boolean {
    const { entryHostId } = link.peer
    const ownId = this.#options.self.entryHostId
    if (entryHostId === ownId || this.#blockedIds.has(entryHostId) || this.#stopController.signal.aborted) return false
    const existing = this.#links.get(entryHostId)
    const isSameProcess = existing?.isOpen === true && existing.peer.incarnation === link.peer.incarnation
    const isDialedByLowerId = link.isDialer === (ownId < entryHostId)
    if (isSameProcess && !isDialedByLowerId) return false
    if (!this.view.recordLink(link.peer, this.#options.clock.monotonicMs())) return false
    link.lastReceivedMs = this.#options.clock.monotonicMs()
    this.#links.set(entryHostId, link)
    existing?.close()
    this.dial(link.peer.address)
    link.send({ kind: 'notice', topic: MEMBERS_TOPIC, body: this.members().map((member) => member.address) })
    this.#handlers.onLinked(link.peer)
    return true
  }

  #unregisterLink (link: PeerLink): void {
    link.close()
    for (const [id, pending] of this.#pending) {
      if (pending.link === link) this.#resolvePending(id, Err(new QuillscaleError('key-owner-unreachable', 'the link closed before the response arrived', { outcome: 'unknown' })))
    }
    if (this.#links.get(link.peer.entryHostId) !== link) return
    this.#links.delete(link.peer.entryHostId)
    this.view.recordLinkClosed(link.peer.entryHostId, link.peer.incarnation)
  }

  async #sendHeartbeats (link: PeerLink): Promise<void> {
    const isSameZone = link.peer.availabilityZone === this.#options.self.availabilityZone
    const intervalMs = isSameZone ? this.#options.heartbeatMs ?? DEFAULT_HEARTBEAT_MS : this.#options.crossZoneHeartbeatMs ?? DEFAULT_CROSS_ZONE_HEARTBEAT_MS
    while (link.isOpen && !this.#stopController.signal.aborted) {
      // A network partition drops packets without closing connections. A silent link is closed, so that no request waits on it.
      if (this.#options.clock.monotonicMs() - link.lastReceivedMs > this.view.unreachableAfterMs) return link.close()
      link.send({ kind: 'heartbeat', sequence: this.#sequence++, isStopping: this.#handlers.isStopping(), status: this.#handlers.getOwnStatus() })
      await delay(intervalMs, this.#stopController.signal)
    }
  }

  /** Sends a heartbeat to all peers immediately, if a status change must not wait for the next interval. */
  broadcastHeartbeat (): void {
    const message: PeerMessage = { kind: 'heartbeat', sequence: this.#sequence++, isStopping: this.#handlers.isStopping(), status: this.#handlers.getOwnStatus() }
    for (const link of this.#links.values()) link.send(message)
  }

  /** Creates an actor for a link, so that its messages are handled in order and independently of other peers. */
  #spawnPeerActor (link: PeerLink): Ref<InboundMessage> {
    return spawnStateless(this.#actorSystem, (inbound: InboundMessage) => { this.#handleMessage(inbound) }, `${link.peer.entryHostId}-${this.#nextRequestId++}`)
  }

  #handleMessage ({ link, message }: InboundMessage): void {
    const { peer } = link
    link.lastReceivedMs = this.#options.clock.monotonicMs()
    switch (message.kind) {
      case 'heartbeat':
        this.view.recordHeartbeat(peer.entryHostId, message.isStopping, message.status, this.#options.clock.monotonicMs())
        this.#handlers.onHeartbeat(peer, message.status)
        break
      case 'notice':
        if (message.topic === MEMBERS_TOPIC) this.#dialMembers(message.body)
        else this.#handlers.onNotice(peer, message.topic, message.body)
        break
      case 'request':
        void this.#handleRequest(link, message.id, message.topic, message.body)
        break
      case 'response': {
        const result = message.error === undefined ? Ok(message.body) : Err(new QuillscaleError(message.error as ErrorKind, String(message.body)))
        this.#resolvePending(message.id, result)
        break
      }
      default:
        this.#handlers.onPeerError(`peer-protocol: unexpected ${message.kind} message from ${peer.entryHostId}`)
        link.close()
    }
  }

  #dialMembers (body: unknown): void {
    if (!Array.isArray(body)) return
    for (const address of body.slice(0, 1000)) if (typeof address === 'string' && address.length < 256) this.dial(address)
  }

  async #handleRequest (link: PeerLink, id: number, topic: string, body: unknown): Promise<void> {
    try {
      link.send({ kind: 'response', id, body: await this.#handlers.onRequest(link.peer, topic, body) })
    } catch (error) {
      const kind = error instanceof QuillscaleError ? error.kind : 'internal'
      link.send({ kind: 'response', id, body: error instanceof Error ? error.message : String(error), error: kind })
    }
  }

  #resolvePending (id: number, result: Result<unknown, QuillscaleError>): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) return
    this.#pending.delete(id)
    clearTimeout(pending.timer)
    pending.resolve(result)
  }

  /**
   * Lists the reachable members of an availability zone; leaving members are not included.
   *
   * @param availabilityZone - the availability zone
   * @returns the reachable members, sorted by id
   */
  listReachable (availabilityZone: AvailabilityZone): Member[] {
    return this.view.listReachable(availabilityZone, this.#options.clock.monotonicMs())
  }
}
