/**
 * Makes the links to other entry hosts: what heartbeats tell, and what each message leads to.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import type Logger from 'bunyan'
import type { Clock } from '@quillscale/utils'
import { QuillscaleError } from '@quillscale/model'
import { PeerMesh, type PeerIdentity } from '@quillscale/membership'
import { createPeerHandlers, greetPeer, type PeerHandler } from './createPeerHandlers.js'
import type { EntryHostParts } from './EntryHostParts.js'
import { peerStatusSchema, type PeerStatus } from './ReachableMembers.js'
import type { Settings } from './settings.js'
import { zoneToken } from './zoneToken.js'

/** What the links work with. @internal */
export interface PeerMeshInputs {
  readonly settings: Settings
  readonly self: PeerIdentity
  readonly clock: Clock
  readonly log: Logger
  /** Of this entry host; asked for only once the links are started. */
  readonly parts: () => EntryHostParts
  readonly isStopping: () => boolean
}

/**
 * Makes the links; they are started later.
 *
 * @param inputs - what they work with
 * @returns the links
 * @internal
 */
export function createPeerMesh ({ settings: { peers, timing }, self, clock, log, parts, isStopping }: PeerMeshInputs): PeerMesh {
  let known: Readonly<Record<string, PeerHandler>> | undefined
  const handlers = (): Readonly<Record<string, PeerHandler>> => {
    known ??= createPeerHandlers(parts(), isStopping)
    return known
  }
  return new PeerMesh({
    self,
    keys: peers.keys,
    seeds: peers.seeds,
    clock,
    heartbeatMs: timing.heartbeatMs,
    crossZoneHeartbeatMs: timing.crossZoneHeartbeatMs,
    bindAddress: peers.bindAddress,
    tlsCa: peers.caFile === undefined ? undefined : readFileSync(peers.caFile, 'utf8')
  }, {
    getOwnStatus: () => ownStatus(parts(), isStopping()),
    isStopping,
    onLinked: (peer) => { void greetPeer(parts(), peer) },
    onHeartbeat: (peer, status) => hear(parts(), peer, status),
    onNotice: (peer, topic, body) => { void handlers()[topic]?.(peer, body) },
    onRequest: async (peer, topic, body) => {
      const handler = handlers()[topic]
      if (handler === undefined) throw new QuillscaleError('peer-protocol', `unknown topic ${topic}`)
      return handler(peer, body)
    },
    onPeerError: (detail) => log.warn({ detail }, 'peer problem')
  })
}

function ownStatus ({ sync, zoneLease, clock, lending }: EntryHostParts, isStopping: boolean): PeerStatus {
  return { digest: sync.digest, isHolder: zoneToken(zoneLease, clock) !== undefined, spare: isStopping ? {} : lending.spare() }
}

function hear ({ sync }: EntryHostParts, peer: PeerIdentity, status: unknown): void {
  const parsed = peerStatusSchema.safeParse(status)
  if (parsed.success) sync.compare(peer.entryHostId, parsed.data.digest)
}
