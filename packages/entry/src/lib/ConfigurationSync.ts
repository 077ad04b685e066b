/**
 * Spreads configuration and shared documents: pushed when they change, compared with each heartbeat, read from the
 * platform by one entry host of each zone.
 *
 * @module
 */
import { z } from 'zod'
import { rendezvousOwner, type Clock } from '@quillscale/utils'
import type { AvailabilityZone, EntryHostId } from '@quillscale/model'
import type { KeyValueStore } from '@quillscale/ports'
import { CONFIGURATION_PREFIX, entrySchema, healStore, parseDocument, type ConfigurationDelta, type ConfigurationReplica } from '@quillscale/configuration'
import type { PeerMesh } from '@quillscale/membership'
import { STATE_PREFIX, parseStateDocument, type StateDocument, type StateReplica } from './StateReplica.js'

const PREFIX = 'quillscale/'
const COMPARE_PAUSE_MS = 1500
const REQUEST_TIMEOUT_MS = 3000
const MAX_COPY_BYTES = 2 * 1024 * 1024

const deltaSchema = z.object({ documentName: z.string(), revision: z.number(), entries: z.record(z.string(), entrySchema) })
const stateSchema = z.object({ name: z.string(), revision: z.number(), value: z.unknown() })
const changeSchema = z.object({ delta: deltaSchema.optional(), state: stateSchema.optional(), isRelay: z.boolean().default(false) })
const versionsSchema = z.object({
  isComplete: z.boolean(),
  documents: z.array(z.object({ documentName: z.string(), revision: z.number(), digest: z.number() })),
  states: z.array(z.object({ name: z.string(), revision: z.number() }))
})
const copiesSchema = z.object({ deltas: z.array(deltaSchema), states: z.array(stateSchema), isPartial: z.boolean() })

/** What an entry host has in force. @public */
export type VersionsReport = z.infer<typeof versionsSchema>
interface Change { delta?: ConfigurationDelta, state?: StateDocument, isRelay?: boolean }

/** The topics of this concern. @public */
export const SYNC_TOPICS = { change: 'sync/change', versions: 'sync/versions', copies: 'sync/copies' } as const

/** What it works on. @public */
export interface ConfigurationSyncOptions {
  readonly mesh: PeerMesh
  readonly replica: ConfigurationReplica
  readonly states: StateReplica
  readonly store: KeyValueStore
  readonly availabilityZone: AvailabilityZone
  readonly clock: Clock
}

/** Brings every change to every entry host. @public */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions
  readonly #lastCompareMs = new Map<EntryHostId, number>()
  readonly #comparing = new Set<EntryHostId>()
  #storeRevision = 0

  /** @param options - what it works on */
  constructor (options: ConfigurationSyncOptions) {
    this.#options = options
    options.replica.onChange((delta) => this.#push({ delta }))
    options.states.onChange((state) => this.#push({ state }))
  }

  /** The digest that heartbeats carry. */
  get digest (): number {
    return (this.#options.replica.digest ^ this.#options.states.digest) >>> 0
  }

  /** Reads everything from the platform. @returns whether it answered */
  async readStore (): Promise<boolean> {
    const { store, replica } = this.#options
    const listed = await store.list(PREFIX)
    if (listed.err) return false
    for (const { key, value } of listed.val.items) this.#mergeStored(key, value)
    this.#storeRevision = listed.val.revision
    if (listed.val.items.length > 0) await this.#healAll(listed.val.items.map(({ key, value, modRevision }) => ({ key, value, modRevision })))
    replica.markComplete()
    return true
  }

  /**
   * Waits for one round of changes from the platform; called by the zone's holder, again and again.
   *
   * @param timeoutMs - how long a watch waits
   * @returns whether the platform answered
   */
  async watchStore (timeoutMs: number): Promise<boolean> {
    if (this.#storeRevision === 0) return this.readStore()
    const { store, replica } = this.#options
    const watched = await store.watch(PREFIX, this.#storeRevision, timeoutMs)
    if (watched.err) return false
    // A lower revision than known means that the service was restored from an older copy: everything is read again.
    if (watched.val.revision < this.#storeRevision) {
      this.#storeRevision = 0
      return true
    }
    this.#storeRevision = watched.val.revision
    for (const { key, value, modRevision } of watched.val.events) {
      this.#mergeStored(key, value)
      if (!key.startsWith(CONFIGURATION_PREFIX)) continue
      const stored = value === undefined ? undefined : { key, value, modRevision }
      await healStore(store, replica, key.slice(CONFIGURATION_PREFIX.length), stored)
    }
    return true
  }

  /** @param peer - whose heartbeat it was @param digest - what it told */
  compare (peer: EntryHostId, digest: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    const isRecent = nowMs - (this.#lastCompareMs.get(peer) ?? -Infinity) < COMPARE_PAUSE_MS
    if (digest === this.digest || isRecent || this.#comparing.has(peer)) return
    this.#lastCompareMs.set(peer, nowMs)
    void this.pull(peer)
  }

  /** Fetches from a peer what it has and this entry host lacks. @param peer - whom to ask */
  async pull (peer: EntryHostId): Promise<void> {
    const { mesh, replica, states } = this.#options
    if (this.#comparing.has(peer)) return
    this.#comparing.add(peer)
    try {
      const answer = await mesh.request(peer, SYNC_TOPICS.versions, {}, REQUEST_TIMEOUT_MS)
      const theirs = versionsSchema.safeParse(answer.val)
      if (answer.err || !theirs.success) return
      const own = new Map(replica.versions().map((version) => [version.documentName, version.digest]))
      const documents = theirs.data.documents.filter(({ documentName, digest }) => own.get(documentName) !== digest).map(({ documentName }) => documentName)
      const wantedStates = theirs.data.states.filter(({ name, revision }) => revision > (states.get(name)?.revision ?? 0)).map(({ name }) => name)
      const isWhole = await this.#fetch(peer, documents, wantedStates)
      if (isWhole && theirs.data.isComplete) replica.markComplete()
    } finally {
      this.#comparing.delete(peer)
    }
  }

  /** @returns what is in force here */
  report (): VersionsReport {
    const { replica, states } = this.#options
    return {
      isComplete: replica.isComplete,
      documents: replica.versions(),
      states: states.all().map(({ name, revision }) => ({ name, revision }))
    }
  }

  /** @param body - a request for copies @returns as many as fit into one message */
  copies (body: unknown): z.infer<typeof copiesSchema> {
    const wanted = z.object({ documents: z.array(z.string()), states: z.array(z.string()) }).parse(body)
    const { replica, states } = this.#options
    const deltas: ConfigurationDelta[] = []
    let bytes = 0
    for (const documentName of wanted.documents) {
      const delta = replica.whole(documentName)
      bytes += JSON.stringify(delta).length
      if (bytes > MAX_COPY_BYTES && deltas.length > 0) return { deltas: deltas as never, states: [], isPartial: true }
      deltas.push(delta)
    }
    const copies = wanted.states.flatMap((name) => states.get(name) ?? [])
    return { deltas: deltas as never, states: copies, isPartial: false }
  }

  /** @param body - a pushed change */
  receiveChange (body: unknown): void {
    const parsed = changeSchema.safeParse(body)
    if (!parsed.success) return
    const { delta, state, isRelay } = parsed.data
    // The listeners push on what is new; a relayed change goes to the own zone only.
    this.#isRelaying = isRelay
    this.#isReceiving = !isRelay
    if (delta !== undefined) this.#options.replica.merge(delta as ConfigurationDelta)
    if (state !== undefined) this.#options.states.merge(state as StateDocument)
    this.#isRelaying = false
    this.#isReceiving = false
  }

  /** True while a change that others spread is merged: it is not pushed again. */
  #isReceiving = false
  /** True while a change from another zone is merged: it is pushed to this zone only. */
  #isRelaying = false

  #push (change: Change): void {
    const { mesh, availabilityZone } = this.#options
    if (this.#isReceiving) return
    mesh.broadcast(SYNC_TOPICS.change, change, (peer) => peer.availabilityZone === availabilityZone)
    if (this.#isRelaying) return
    for (const relay of this.#relays(change)) mesh.notify(relay, SYNC_TOPICS.change, { ...change, isRelay: true })
  }

  /** One entry host of each other zone; which one changes with the change, to spread the work. */
  #relays (change: Change): EntryHostId[] {
    const { mesh, availabilityZone } = this.#options
    const zones = new Map<AvailabilityZone, EntryHostId[]>()
    for (const member of mesh.members()) {
      if (member.state === 'unreachable' || member.availabilityZone === availabilityZone) continue
      zones.set(member.availabilityZone, [...(zones.get(member.availabilityZone) ?? []), member.entryHostId])
    }
    const topic = `${change.delta?.documentName ?? change.state?.name}/${change.delta?.revision ?? change.state?.revision}`
    return [...zones.values()].flatMap((members) => rendezvousOwner(topic, members) ?? [])
  }

  async #fetch (peer: EntryHostId, documents: string[], states: string[]): Promise<boolean> {
    const { mesh, replica } = this.#options
    let wanted = documents
    for (;;) {
      const answer = await mesh.request(peer, SYNC_TOPICS.copies, { documents: wanted, states }, REQUEST_TIMEOUT_MS)
      const copies = copiesSchema.safeParse(answer.val)
      if (answer.err || !copies.success) return false
      this.#isReceiving = true
      for (const delta of copies.data.deltas) replica.merge(delta as ConfigurationDelta)
      for (const state of copies.data.states) this.#options.states.merge(state as StateDocument)
      this.#isReceiving = false
      if (!copies.data.isPartial) return true
      const got = new Set(copies.data.deltas.map(({ documentName }) => documentName))
      wanted = wanted.filter((documentName) => !got.has(documentName))
    }
  }

  #mergeStored (key: string, value: string | undefined): void {
    if (key.startsWith(CONFIGURATION_PREFIX)) {
      const document = parseDocument(value)
      const documentName = key.slice(CONFIGURATION_PREFIX.length)
      if (document !== undefined) this.#options.replica.merge({ documentName, revision: document.revision, entries: document.entries })
    } else if (key.startsWith(STATE_PREFIX)) {
      const document = parseStateDocument(key.slice(STATE_PREFIX.length), value)
      if (document !== undefined) this.#options.states.merge(document)
    }
  }

  async #healAll (items: ReadonlyArray<{ key: string, value: string, modRevision: number }>): Promise<void> {
    const { store, replica } = this.#options
    const stored = new Map(items.map((item) => [item.key, item]))
    for (const { documentName } of replica.versions()) await healStore(store, replica, documentName, stored.get(CONFIGURATION_PREFIX + documentName))
  }
}
