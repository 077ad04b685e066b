/**
 * What each message of another entry host leads to.
 *
 * @module
 */
import type { PeerIdentity } from '@quillscale/membership'
import { SYNC_TOPICS } from './ConfigurationSync.js'
import { CONFIRM_DRAINED_TOPIC } from './DrainConfirmation.js'
import type { EntryHostParts } from './EntryHostParts.js'
import { JOB_TOPICS } from './jobMessages.js'
import { ONCE_TOPICS } from './OnceManager.js'
import { OPERATOR_TOPICS } from './operatorRoutes.js'
import { LENDING_TOPICS } from './SlotLending.js'
import { TARGET_SIGNAL_TOPIC } from './TargetSignals.js'
import { HOST_LIST_TOPIC } from './ZoneDuties.js'

/** Handles one topic; what it returns answers a request. @public */
export type PeerHandler = (peer: PeerIdentity, body: unknown) => unknown

const HOST_LIST_REQUEST = 'hosts/whole'
const REQUEST_TIMEOUT_MS = 3000

async function fetchHostList ({ mesh, hostList }: EntryHostParts, peer: PeerIdentity): Promise<void> {
  const whole = await mesh.request(peer.entryHostId, HOST_LIST_REQUEST, {}, REQUEST_TIMEOUT_MS)
  if (whole.ok) hostList.receive(whole.val)
}

/**
 * Compares configurations with a new peer, and lists of hosts within a zone.
 *
 * @param parts - of this entry host
 * @param peer - that a link was made with
 * @internal
 */
export async function greetPeer (parts: EntryHostParts, peer: PeerIdentity): Promise<void> {
  await parts.sync.pull(peer.entryHostId)
  if (peer.availabilityZone === parts.self.availabilityZone) await fetchHostList(parts, peer)
}

/**
 * Makes the table from topic to handler.
 *
 * @param parts - of this entry host
 * @param isStopping - a stopping entry host lends nothing
 * @returns the table
 * @internal
 */
export function createPeerHandlers (parts: EntryHostParts, isStopping: () => boolean): Readonly<Record<string, PeerHandler>> {
  const { sync, once, hostList, clock, drains, jobs, lending, signals } = parts
  return {
    [SYNC_TOPICS.change]: (_peer, body) => sync.receiveChange(body),
    [SYNC_TOPICS.versions]: () => sync.report(),
    [SYNC_TOPICS.copies]: (_peer, body) => sync.copies(body),
    [HOST_LIST_TOPIC]: (peer, body) => hostList.receive(body) ? undefined : fetchHostList(parts, peer),
    [HOST_LIST_REQUEST]: () => hostList.whole(),
    [TARGET_SIGNAL_TOPIC]: (_peer, body) => signals.receive(body, clock.monotonicMs()),
    [LENDING_TOPICS.borrow]: (peer, body) => isStopping() ? { grants: [] } : lending.lend(peer, body),
    [LENDING_TOPICS.giveBack]: (peer, body) => lending.takeBack(peer, body),
    [JOB_TOPICS.submit]: (_peer, body) => jobs.answerSubmit(body),
    [JOB_TOPICS.get]: (_peer, body) => jobs.answerGet(body),
    [JOB_TOPICS.cancel]: (_peer, body) => jobs.answerCancel(body),
    [CONFIRM_DRAINED_TOPIC]: (_peer, body) => drains.answer(body),
    [ONCE_TOPICS.run]: (_peer, body) => once.answerForwarded(body),
    [ONCE_TOPICS.handOver]: (_peer, body) => once.receiveHandOver(body),
    ...Object.fromEntries(Object.values(OPERATOR_TOPICS).map(({ topic, answer }) => [topic, (_peer: PeerIdentity, body: unknown) => answer(parts, body)]))
  }
}
