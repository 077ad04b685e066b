/**
 * Determines from links and heartbeats which other entry hosts are reachable.
 *
 * @module
 */
import type { AvailabilityZone, EntryHostId } from '@quillscale/model'
import type { PeerIdentity } from './PeerLink.js'

/** State of another entry host. `leaving`: it finishes its running work and takes no new work. @public */
export type MemberState = 'reachable' | 'leaving' | 'unreachable'

/** Another entry host, as this one sees it. @public */
export interface Member extends PeerIdentity {
  readonly state: MemberState
  /** Time of the last heartbeat, or of the opening of the link if there was none since. */
  readonly lastHeartbeatMs: number
  /** Status that its last heartbeat carried. */
  readonly status: unknown
}

/** Timeouts after which a silent member is unreachable or forgotten. @public */
export interface MembershipOptions {
  /** Time without a heartbeat after which a member is unreachable; 3500 by default, which is three and a half heartbeats. */
  readonly unreachableAfterMs: number
  /** Time without a heartbeat after which a member is forgotten; 120000 by default. Its address is dialed until then. */
  readonly forgetAfterMs: number
}

/** Default timeouts. @public */
export const MEMBERSHIP_DEFAULTS: MembershipOptions = { unreachableAfterMs: 3500, forgetAfterMs: 120_000 }

interface MemberRecord { identity: PeerIdentity, lastHeartbeatMs: number, isStopping: boolean, status: unknown, isLinked: boolean }

/** One entry host's view of the others. During a network partition, the views of entry hosts differ. @public */
export class MembershipView {
  readonly #members = new Map<EntryHostId, MemberRecord>()
  readonly #options: MembershipOptions

  /** @param options - timeouts that override the defaults */
  constructor (options: Partial<MembershipOptions> = {}) {
    this.#options = {
      unreachableAfterMs: options.unreachableAfterMs ?? MEMBERSHIP_DEFAULTS.unreachableAfterMs,
      forgetAfterMs: options.forgetAfterMs ?? MEMBERSHIP_DEFAULTS.forgetAfterMs
    }
  }

  /** Time without a heartbeat after which a member is unreachable. */
  get unreachableAfterMs (): number {
    return this.#options.unreachableAfterMs
  }

  /** Time without a heartbeat after which a member is forgotten. */
  get forgetAfterMs (): number {
    return this.#options.forgetAfterMs
  }

  /**
   * Records that a link to a member has opened.
   *
   * @param identity - identity of the peer
   * @param nowMs - the current time
   * @returns false if a newer incarnation is known, that is, if the peer is a replaced process that still runs
   */
  recordLink (identity: PeerIdentity, nowMs: number): boolean {
    const existing = this.#members.get(identity.entryHostId)
    if (existing !== undefined && existing.identity.incarnation > identity.incarnation) return false
    this.#members.set(identity.entryHostId, { identity, lastHeartbeatMs: nowMs, isStopping: false, status: existing?.status, isLinked: true })
    return true
  }

  /**
   * Records that a link to a member has closed. Ignored if a newer incarnation has replaced the member.
   *
   * @param entryHostId - id of the peer
   * @param incarnation - incarnation of the peer on the closed link
   */
  recordLinkClosed (entryHostId: EntryHostId, incarnation: number): void {
    const existing = this.#members.get(entryHostId)
    if (existing?.identity.incarnation === incarnation) existing.isLinked = false
  }

  /**
   * Records a heartbeat of a member.
   *
   * @param entryHostId - id of the sender
   * @param isStopping - whether the sender is leaving
   * @param status - status that the heartbeat carried
   * @param nowMs - the current time
   */
  recordHeartbeat (entryHostId: EntryHostId, isStopping: boolean, status: unknown, nowMs: number): void {
    const existing = this.#members.get(entryHostId)
    if (existing === undefined) return
    existing.lastHeartbeatMs = nowMs
    existing.isStopping = isStopping
    existing.status = status
  }

  /**
   * Removes forgotten members and lists the others.
   *
   * @param nowMs - the current time
   * @returns the members, sorted by id
   */
  members (nowMs: number): Member[] {
    for (const [id, record] of this.#members) {
      if (!record.isLinked && nowMs - record.lastHeartbeatMs > this.#options.forgetAfterMs) this.#members.delete(id)
    }
    return [...this.#members.values()]
      .map((record) => ({ ...record.identity, state: this.#state(record, nowMs), lastHeartbeatMs: record.lastHeartbeatMs, status: record.status }))
      .sort((a, b) => a.entryHostId < b.entryHostId ? -1 : 1)
  }

  /**
   * Lists the reachable members of an availability zone; leaving members are not included.
   *
   * @param availabilityZone - the availability zone
   * @param nowMs - the current time
   * @returns the reachable members, sorted by id
   */
  listReachable (availabilityZone: AvailabilityZone, nowMs: number): Member[] {
    return this.members(nowMs).filter((member) => member.availabilityZone === availabilityZone && member.state === 'reachable')
  }

  #state (record: MemberRecord, nowMs: number): MemberState {
    const isSilent = nowMs - record.lastHeartbeatMs > this.#options.unreachableAfterMs
    if (!record.isLinked || isSilent) return 'unreachable'
    return record.isStopping ? 'leaving' : 'reachable'
  }
}
