/**
 * The shards of callers' own keys that this entry host owns: it takes free ones, hands on what is too much, and follows
 * the shared document that names the owners.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { EntryHostId } from '@quillscale/model'
import type { PeerMesh } from '@quillscale/membership'
import {
  NO_OWNERS, ownershipSchema, planHandover, planTakeover,
  type HandoverEntry, type IdempotencyKey, type IdempotencyTable, type OwnerCandidate, type OwnershipDocument, type OwnershipPlanningInput, type ShardOwner
} from '@quillscale/once'
import { handOverParts, handOverSchema, type HandedShard } from './handOverParts.js'
import type { StateReplica } from './StateReplica.js'
import type { StateStore } from './StateStore.js'

/** What it works with. @public */
export interface KeyShardsOptions {
  readonly self: OwnerCandidate
  readonly mesh: PeerMesh
  readonly states: StateReplica
  readonly store: StateStore
  readonly clock: Clock
  /** Entry hosts that the platform lists as gone. */
  readonly gone: () => ReadonlySet<EntryHostId>
  readonly isStopping: () => boolean
}

/** The document of owners. @public */
export const OWNERSHIP_DOCUMENT = 'key-ownership'
/** The topic of a hand-over. @public */
export const HAND_OVER_TOPIC = 'once/hand-over'

const HAND_OVER_TIMEOUT_MS = 3000
const JOIN_SPREAD_MS = 300
const QUIET_WAIT_MS = 3000
const QUIET_POLL_MS = 10

/** Owns shards of keys. @public */
export class KeyShards {
  readonly #options: KeyShardsOptions
  readonly #table: IdempotencyTable
  readonly #received = new Map<number, Omit<HandedShard, 'shard'>>()
  #isBusy = false

  /**
   * @param options - what it works with
   * @param table - what is remembered of keys; it owns exactly the shards that this entry host owns
   */
  constructor (options: KeyShardsOptions, table: IdempotencyTable) {
    this.#options = options
    this.#table = table
    options.states.onChange(({ name }) => { if (name === OWNERSHIP_DOCUMENT) this.#followOwnership() })
  }

  /** @param key - a key @returns the life of the entry host that owns it, `undefined` when nobody does */
  ownerOf (key: IdempotencyKey): OwnerCandidate | undefined {
    if (key.form === 'minted') return { entryHostId: key.owner, incarnation: key.incarnation }
    const owner = this.#document().shards[key.shard]
    return owner === null || owner === undefined ? undefined : { entryHostId: owner.owner, incarnation: owner.incarnation }
  }

  /** Takes free shards, hands over what is too much; called now and then, and at a planned stop. */
  async tick (): Promise<void> {
    if (this.#isBusy) return
    this.#isBusy = true
    try {
      await this.#reclaim()
      if (!this.#options.isStopping()) await this.#takeOver()
      await this.#handOver()
    } finally {
      this.#isBusy = false
    }
  }

  /** @param body - shards and entries from their present owner, in force once the document says so @returns true, for the sender */
  receiveHandOver (body: unknown): boolean {
    const { shards, entries } = handOverSchema.parse(body)
    for (const { shard, completeSinceMs } of shards) {
      const known = this.#received.get(shard)?.entries ?? []
      const own = entries.filter((entry) => entry.shard === shard) as HandoverEntry[]
      this.#received.set(shard, { completeSinceMs, entries: [...known, ...own] })
    }
    return true
  }

  /** How many shards this entry host owns. */
  get ownedShards (): number {
    return this.#table.ownedShards.length
  }

  #document (): OwnershipDocument {
    const parsed = ownershipSchema.safeParse(this.#options.states.get(OWNERSHIP_DOCUMENT)?.value)
    return parsed.success ? parsed.data : NO_OWNERS
  }

  /** Whether a shard's owner is this life of this entry host. */
  #isOurs (owner: ShardOwner | null): boolean {
    const { self } = this.#options
    return owner?.owner === self.entryHostId && owner.incarnation === self.incarnation
  }

  #view (): OwnershipPlanningInput {
    const { self, mesh, gone } = this.#options
    const peers = mesh.members().filter(({ state }) => state === 'reachable').map(({ entryHostId, incarnation }) => ({ entryHostId, incarnation }))
    return { document: this.#document(), self, members: [self, ...peers], gone: gone() }
  }

  /**
   * Owns again what a hand-over with an unknown end left without an owner.
   *
   * By a write of its own, not by reading: the lost write could still arrive, and then both would own; after this write
   * it no longer can.
   */
  async #reclaim (): Promise<void> {
    const { store } = this.#options
    const owned = new Set(this.#table.ownedShards)
    const isAnyLeft = (): boolean => this.#document().shards.some((owner, shard) => this.#isOurs(owner) && !owned.has(shard))
    if (!isAnyLeft()) return
    await store.update(OWNERSHIP_DOCUMENT, () => {
      const document = this.#document()
      return isAnyLeft() ? { ...document, revision: document.revision + 1 } : undefined
    })
  }

  async #takeOver (): Promise<void> {
    const { store, clock } = this.#options
    if (planTakeover(this.#view(), clock.wallMs()) === undefined) return
    await delay(Math.random() * JOIN_SPREAD_MS)
    await store.update(OWNERSHIP_DOCUMENT, () => planTakeover(this.#view(), clock.wallMs()))
  }

  async #handOver (): Promise<void> {
    const plan = planHandover(this.#view(), this.#options.isStopping())
    const groups = new Map<EntryHostId, { next: OwnerCandidate, shards: number[] }>()
    for (const [shard, next] of plan) {
      const group = groups.get(next.entryHostId) ?? { next, shards: [] }
      group.shards.push(shard)
      groups.set(next.entryHostId, group)
    }
    for (const { next, shards } of groups.values()) await this.#handTo(next, shards)
  }

  /** Stops owning, sends what is remembered, then changes the document; if that fails the shards are owned again. */
  async #handTo (next: OwnerCandidate, shards: readonly number[]): Promise<void> {
    const { mesh, store } = this.#options
    await this.#whenQuiet(shards)
    const handed = shards.flatMap((shard) => {
      const state = this.#table.releaseShard(shard)
      return state === undefined ? [] : [{ shard, ...state }]
    })
    const isSent = await this.#sendHandOver(mesh, next.entryHostId, handed)
    const result = isSent ? await store.update(OWNERSHIP_DOCUMENT, () => this.#withOwner(next, handed)) : 'not-changed'
    // With an unknown end the document is awaited: it names the owner, and `#followOwnership` acts on it.
    if (result === 'not-changed') for (const { shard, completeSinceMs } of handed) this.#table.addShard(shard, completeSinceMs)
  }

  /** Waits a little for a moment in which nothing of these shards runs: what runs is handed over with an unknown end. */
  async #whenQuiet (shards: readonly number[]): Promise<void> {
    const untilMs = this.#options.clock.monotonicMs() + QUIET_WAIT_MS
    while (shards.some((shard) => this.#table.hasRunningRequest(shard)) && this.#options.clock.monotonicMs() < untilMs) await delay(QUIET_POLL_MS)
  }

  async #sendHandOver (mesh: PeerMesh, to: EntryHostId, handed: readonly HandedShard[]): Promise<boolean> {
    for (const part of handOverParts(handed)) {
      const sent = await mesh.request(to, HAND_OVER_TOPIC, part, HAND_OVER_TIMEOUT_MS)
      if (sent.err) return false
    }
    return true
  }

  #withOwner (next: OwnerCandidate, handed: ReadonlyArray<{ shard: number, completeSinceMs: number }>): OwnershipDocument | undefined {
    const document = this.#document()
    const moved = new Map(handed.map(({ shard, completeSinceMs }) => [shard, completeSinceMs]))
    const shards = document.shards.map((owner, shard) => {
      const completeSinceMs = moved.get(shard)
      return completeSinceMs === undefined || !this.#isOurs(owner) ? owner : { owner: next.entryHostId, incarnation: next.incarnation, completeSinceMs }
    })
    return { ...document, revision: document.revision + 1, shards }
  }

  /** Owns exactly the shards that the newest document gives to this life of this entry host. */
  #followOwnership (): void {
    this.#document().shards.forEach((owner, shard) => {
      if (owner === null || !this.#isOurs(owner)) {
        this.#table.releaseShard(shard)
        return
      }
      const received = this.#received.get(shard)
      if (received !== undefined && owner.completeSinceMs === received.completeSinceMs) this.#table.importEntries(received.entries)
      this.#received.delete(shard)
      this.#table.addShard(shard, owner.completeSinceMs)
    })
  }
}
