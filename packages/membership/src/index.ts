/**
 * Authenticated links and heartbeats between entry hosts, and each entry host's view of the others.
 *
 * @module
 */
export { MembershipView, MEMBERSHIP_DEFAULTS, type Member, type MemberState, type MembershipOptions } from './lib/MembershipView.js'
export { PeerMesh, type PeerHandlers, type PeerMeshOptions } from './lib/PeerMesh.js'
export type { LinkTraffic, PeerIdentity } from './lib/PeerLink.js'
export {
  decodePeerMessage, encodePeerMessage, MAX_PEER_MESSAGE_BYTES, PEER_PROTOCOL_VERSION, type Hello, type PeerMessage
} from './lib/peerMessages.js'
