/**
 * Decides from heartbeats which entry hosts this one can work with.
 *
 * @module
 */
import type { AvailabilityZone, EntryHostId } from '@quillscale/model'
import type { PeerIdentity } from './PeerLink.js'

/** What is known of another entry host. `leaving`: it finishes what it has. @public */
export type MemberState = 'reachable' | 'leaving' | 'unreachable'

/** Another entry host. @public */
export interface Member extends PeerIdentity {
  readonly state: MemberState
  readonly lastHeartbeatMs: number
  /** What its last heartbeat told. */
  readonly status: unknown
}

/** When a member counts as unreachable, and when it is forgotten. @public */
export interface MembershipOptions {
  /** 3500 by default: three heartbeats and a half. */
  readonly unreachableAfterMs: number
  /** 120000 by default; its address is still tried until then. */
  readonly forgetAfterMs: number
}

/** The documented defaults. @public */
export const MEMBERSHIP_DEFAULTS: MembershipOptions = { unreachableAfterMs: 3500, forgetAfterMs: 120_000 }

interface MemberRecord { identity: PeerIdentity, lastHeartbeatMs: number, isStopping: boolean, status: unknown, isLinked: boolean }

/** One entry host's view of the others; in a cut, views differ. @public */
export class MembershipView {
  readonly #members = new Map<EntryHostId, MemberRecord>()
  readonly #options: MembershipOptions

  /** @param options - times, the defaults without them */
  constructor (options: Partial<MembershipOptions> = {}) {
    this.#options = {
      unreachableAfterMs: options.unreachableAfterMs ?? MEMBERSHIP_DEFAULTS.unreachableAfterMs,
      forgetAfterMs: options.forgetAfterMs ?? MEMBERSHIP_DEFAULTS.forgetAfterMs
    }
  }

  /** After which silence a member counts as unreachable. */
  get unreachableAfterMs (): number {
    return this.#options.unreachableAfterMs
  }

  /** How long a silent member is remembered. */
  get forgetAfterMs (): number {
    return this.#options.forgetAfterMs
  }

  /**
   * Notes a new link.
   *
   * @param identity - who is at its end
   * @param nowMs - the present time
   * @returns false for an incarnation older than one already seen: a replaced process that still runs
   */
  recordLink (identity: PeerIdentity, nowMs: number): boolean {
    const existing = this.#members.get(identity.entryHostId)
    if (existing !== undefined && existing.identity.incarnation > identity.incarnation) return false
    this.#members.set(identity.entryHostId, { identity, lastHeartbeatMs: nowMs, isStopping: false, status: existing?.status, isLinked: true })
    return true
  }

  /**
   * Notes that a link closed.
   *
   * @param entryHostId - who was at its end
   * @param incarnation - of the closed link
   */
  recordLinkClosed (entryHostId: EntryHostId, incarnation: number): void {
    const existing = this.#members.get(entryHostId)
    if (existing?.identity.incarnation === incarnation) existing.isLinked = false
  }

  /**
   * Notes a heartbeat.
   *
   * @param entryHostId - who sent it
   * @param isStopping - whether it leaves
   * @param status - what it told
   * @param nowMs - the present time
   */
  recordHeartbeat (entryHostId: EntryHostId, isStopping: boolean, status: unknown, nowMs: number): void {
    const existing = this.#members.get(entryHostId)
    if (existing === undefined) return
    existing.lastHeartbeatMs = nowMs
    existing.isStopping = isStopping
    existing.status = status
  }

  /** @param nowMs - the present time @returns all members that are not forgotten, by id */
  members (nowMs: number): Member[] {
    for (const [id, record] of this.#members) {
      if (!record.isLinked && nowMs - record.lastHeartbeatMs > this.#options.forgetAfterMs) this.#members.delete(id)
    }
    return [...this.#members.values()]
      .map((record) => ({ ...record.identity, state: this.#state(record, nowMs), lastHeartbeatMs: record.lastHeartbeatMs, status: record.status }))
      .sort((a, b) => a.entryHostId < b.entryHostId ? -1 : 1)
  }

  /** @param availabilityZone - the zone @param nowMs - the present time @returns its members that take work */
  listReachable (availabilityZone: AvailabilityZone, nowMs: number): Member[] {
    return this.members(nowMs).filter((member) => member.availabilityZone === availabilityZone && member.state === 'reachable')
  }

  #state (record: MemberRecord, nowMs: number): MemberState {
    const isSilent = nowMs - record.lastHeartbeatMs > this.#options.unreachableAfterMs
    if (!record.isLinked || isSilent) return 'unreachable'
    return record.isStopping ? 'leaving' : 'reachable'
  }
}
