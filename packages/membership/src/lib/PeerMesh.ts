/**
 * Links this entry host with all others it knows and passes their messages on.
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

/** What the mesh calls. @public */
export interface PeerHandlers {
  /** What this entry host tells with each heartbeat, kept small. */
  getOwnStatus(): unknown
  isStopping(): boolean
  /** A link opened: time to compare configurations. */
  onLinked(member: PeerIdentity): void
  /** A heartbeat arrived. */
  onHeartbeat(member: PeerIdentity, status: unknown): void
  /** A message without an answer arrived. */
  onNotice(member: PeerIdentity, topic: string, body: unknown): void
  /** A message that wants an answer arrived. */
  onRequest(member: PeerIdentity, topic: string, body: unknown): Promise<unknown>
  /** A link failed or a peer sent nonsense. */
  onPeerError(detail: string): void
}

/** How the mesh works. @public */
export interface PeerMeshOptions extends Partial<MembershipOptions> {
  readonly self: PeerIdentity
  /** Valid keys; the first is used, all are accepted. */
  readonly keys: readonly string[]
  /** Addresses (`host:port`) to try from the start. */
  readonly seeds: readonly string[]
  readonly clock: Clock
  /** Between entry hosts of one zone; 1000 by default. */
  readonly heartbeatMs?: number
  /** Between zones, where less is shared; 1500 by default. */
  readonly crossZoneHeartbeatMs?: number
  /** Waits before dialing again; doubles up to eight times this; 250 by default. */
  readonly redialMs?: number
  /** Makes links use TLS with these trusted certificates. */
  readonly tlsCa?: string | undefined
  /** Own IP number for outgoing links. */
  readonly bindAddress?: string | undefined
}

interface Pending { resolve: (result: Result<unknown, QuillscaleError>) => void, timer: NodeJS.Timeout, link: PeerLink }
interface InboundMessage { link: PeerLink, message: PeerMessage }

const DEFAULT_HEARTBEAT_MS = 1000
const DEFAULT_CROSS_ZONE_HEARTBEAT_MS = 1500
const DEFAULT_REDIAL_MS = 250
const MAX_REDIAL_FACTOR = 8
const MEMBERS_TOPIC = 'members'

/** The links of one entry host. @public */
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
   * @param options - who this is and whom to try
   * @param handlers - called with what arrives
   */
  constructor (options: PeerMeshOptions, handlers: PeerHandlers) {
    this.#options = options
    this.#handlers = handlers
    this.view = new MembershipView(options)
    // Every link's task listens to the one signal that ends them.
    setMaxListeners(0, this.#stopController.signal)
  }

  /** @param server - the server whose upgrades become links */
  attach (server: Server): void {
    server.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      this.#webSocketServer.handleUpgrade(request, socket, head, (webSocket) => { void this.#runLink(webSocket, false) })
    })
  }

  /** Starts dialing the seeds. */
  start (): void {
    for (const address of this.#options.seeds) this.dial(address)
  }

  /** @param address - where a peer may listen; kept trying until it is forgotten */
  dial (address: string): void {
    if (address === this.#options.self.address || this.#dialedAddresses.has(address)) return
    this.#dialedAddresses.add(address)
    void this.#maintainLink(address)
  }

  /** @returns all known members */
  members (): Member[] {
    return this.view.members(this.#options.clock.monotonicMs())
  }

  /** @param entryHostId - who @returns whether a message can be sent there */
  isLinked (entryHostId: EntryHostId): boolean {
    return this.#links.get(entryHostId)?.isOpen === true
  }

  /** @param entryHostId - to whom @param topic - what about @param body - what @returns whether it was sent */
  notify (entryHostId: EntryHostId, topic: string, body: unknown): boolean {
    return this.#links.get(entryHostId)?.send({ kind: 'notice', topic, body }) ?? false
  }

  /** @param topic - what about @param body - what @param filter - to whom; everyone without it */
  broadcast (topic: string, body: unknown, filter: (peer: PeerIdentity) => boolean = () => true): void {
    for (const link of this.#links.values()) if (filter(link.peer)) link.send({ kind: 'notice', topic, body })
  }

  /**
   * Asks a peer.
   *
   * @param entryHostId - whom
   * @param topic - what about
   * @param body - what
   * @param timeoutMs - how long to wait
   * @returns its answer; the error `key-owner-unreachable` with `not-run` when nothing was sent, with `unknown` when no answer came
   */
  request (entryHostId: EntryHostId, topic: string, body: unknown, timeoutMs: number): Promise<Result<unknown, QuillscaleError>> {
    const link = this.#links.get(entryHostId)
    const id = this.#nextRequestId++
    return new Promise((resolve) => {
      if (link === undefined || !link.send({ kind: 'request', id, topic, body })) {
        resolve(Err(new QuillscaleError('key-owner-unreachable', `no link to ${entryHostId}`, { outcome: 'not-run' })))
        return
      }
      const timer = setTimeout(() => this.#resolvePending(id, Err(new QuillscaleError('key-owner-unreachable', `no answer from ${entryHostId}`, { outcome: 'unknown' }))), timeoutMs)
      this.#pending.set(id, { resolve, timer, link })
    })
  }

  /** Simulates a cut in tests and the demo: links to these entry hosts are closed and refused. @param ids - whom to cut off @internal */
  block (ids: readonly string[]): void {
    this.#blockedIds.clear()
    for (const id of ids) this.#blockedIds.add(id)
    for (const link of this.#links.values()) if (this.#blockedIds.has(link.peer.entryHostId)) link.close()
  }

  /** Closes all links. */
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
      // The spread keeps entry hosts that lost a peer together from dialing it together.
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

  /** The task of one link, from its handshake until it closes. */
  async #runLink (socket: WebSocket, isDialer: boolean): Promise<boolean> {
    socket.on('error', () => {})
    let link: PeerLink
    try {
      link = await PeerLink.handshake(socket, isDialer, this.#options.self, this.#options.keys, this.traffic)
    } catch (error) {
      if (error instanceof QuillscaleError) this.#handlers.onPeerError(`${error.kind}: ${error.message}`)
      return false
    }
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

  /** Of two links between the same processes both sides keep the one that the lower id dialed. */
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
      if (pending.link === link) this.#resolvePending(id, Err(new QuillscaleError('key-owner-unreachable', 'the link broke', { outcome: 'unknown' })))
    }
    if (this.#links.get(link.peer.entryHostId) !== link) return
    this.#links.delete(link.peer.entryHostId)
    this.view.recordLinkClosed(link.peer.entryHostId, link.peer.incarnation)
  }

  async #sendHeartbeats (link: PeerLink): Promise<void> {
    const isSameZone = link.peer.availabilityZone === this.#options.self.availabilityZone
    const intervalMs = isSameZone ? this.#options.heartbeatMs ?? DEFAULT_HEARTBEAT_MS : this.#options.crossZoneHeartbeatMs ?? DEFAULT_CROSS_ZONE_HEARTBEAT_MS
    while (link.isOpen && !this.#stopController.signal.aborted) {
      // A cut swallows what is sent without closing anything: a silent link is closed, so that nobody waits for answers on it.
      if (this.#options.clock.monotonicMs() - link.lastReceivedMs > this.view.unreachableAfterMs) return link.close()
      link.send({ kind: 'heartbeat', sequence: this.#sequence++, isStopping: this.#handlers.isStopping(), status: this.#handlers.getOwnStatus() })
      await delay(intervalMs, this.#stopController.signal)
    }
  }

  /** Sends heartbeats to all at once, when something they tell must not wait. */
  broadcastHeartbeat (): void {
    const message: PeerMessage = { kind: 'heartbeat', sequence: this.#sequence++, isStopping: this.#handlers.isStopping(), status: this.#handlers.getOwnStatus() }
    for (const link of this.#links.values()) link.send(message)
  }

  /** Each peer has an actor: its messages are handled in order, one at a time, apart from other peers'. */
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
        this.#handlers.onPeerError(`peer-protocol: ${message.kind} out of order from ${peer.entryHostId}`)
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

  /** @param availabilityZone - a zone @returns its reachable members */
  listReachable (availabilityZone: AvailabilityZone): Member[] {
    return this.view.listReachable(availabilityZone, this.#options.clock.monotonicMs())
  }
}
