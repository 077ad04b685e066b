/**
 * The hosts of this zone, as the platform lists them, kept by all entry hosts of the zone.
 *
 * @module
 */
import { z } from 'zod'
import { isAvailabilityZone, isHostId, type AvailabilityZone, type HostId } from '@quillscale/model'
import type { ListedHost } from '@quillscale/ports'

const hostSchema = z.object({
  hostId: z.custom<HostId>(isHostId),
  availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone),
  rack: z.string(),
  role: z.enum(['worker', 'entry']),
  state: z.enum(['live', 'leaving', 'gone']),
  address: z.string(),
  port: z.number(),
  version: z.string()
})
const updateSchema = z.object({
  fencingToken: z.number(),
  sequence: z.number(),
  isWhole: z.boolean(),
  changed: z.array(hostSchema),
  removed: z.array(z.string())
})

/** What changed in the list; stamped, so that older news does not undo newer. @public */
export type HostListUpdate = z.infer<typeof updateSchema>

const isSame = (a: ListedHost, b: ListedHost): boolean =>
  a.state === b.state && a.version === b.version && a.address === b.address && a.port === b.port && a.rack === b.rack && a.role === b.role

/** The zone's hosts. @public */
export class HostList {
  readonly #hosts = new Map<HostId, ListedHost>()
  readonly #listeners = new Set<(changed: readonly ListedHost[]) => void>()
  #stamp = { fencingToken: 0, sequence: 0 }

  /** Whether any list was received yet. */
  get isKnown (): boolean {
    return this.#stamp.sequence > 0
  }

  /** Grows with each change. */
  get version (): number {
    return this.#stamp.sequence
  }

  /** All hosts, of targets and of this system. */
  get hosts (): ReadonlyMap<HostId, ListedHost> {
    return this.#hosts
  }

  /** The hosts of targets. */
  get workers (): ListedHost[] {
    return [...this.#hosts.values()].filter(({ role }) => role === 'worker')
  }

  /** @param listener - called with the hosts that changed */
  onChange (listener: (changed: readonly ListedHost[]) => void): void {
    this.#listeners.add(listener)
  }

  /**
   * Takes a fresh list from the platform, at the zone's holder.
   *
   * @param listed - the whole list
   * @param fencingToken - of the holder
   * @returns what the other entry hosts of the zone need to know, `undefined` when nothing changed
   */
  replace (listed: readonly ListedHost[], fencingToken: number): HostListUpdate | undefined {
    const isFirst = !this.isKnown
    const ids = new Set(listed.map(({ hostId }) => hostId))
    const changed = listed.filter((host) => {
      const known = this.#hosts.get(host.hostId)
      return known === undefined || !isSame(known, host)
    })
    const removed = [...this.#hosts.keys()].filter((hostId) => !ids.has(hostId))
    if (changed.length === 0 && removed.length === 0 && !isFirst) return undefined
    const update = { fencingToken, sequence: this.#stamp.sequence + 1, isWhole: false, changed, removed }
    this.#apply(update)
    return update
  }

  /** @returns the whole list, for an entry host that has none */
  whole (): HostListUpdate {
    return { ...this.#stamp, isWhole: true, changed: [...this.#hosts.values()], removed: [] }
  }

  /** @param body - an update from another entry host of the zone @returns false when one before it is missing */
  receive (body: unknown): boolean {
    const parsed = updateSchema.safeParse(body)
    if (!parsed.success) return true
    const { fencingToken, sequence, isWhole } = parsed.data
    const isNewer = fencingToken > this.#stamp.fencingToken || (fencingToken === this.#stamp.fencingToken && sequence > this.#stamp.sequence)
    if (!isNewer) return true
    if (!isWhole && sequence !== this.#stamp.sequence + 1) return false
    this.#apply(parsed.data)
    return true
  }

  #apply (update: HostListUpdate): void {
    if (update.isWhole) {
      const ids = new Set(update.changed.map(({ hostId }) => hostId))
      for (const hostId of this.#hosts.keys()) if (!ids.has(hostId)) this.#hosts.delete(hostId)
    }
    for (const hostId of update.removed) this.#hosts.delete(hostId as HostId)
    for (const host of update.changed) this.#hosts.set(host.hostId, host)
    this.#stamp = { fencingToken: update.fencingToken, sequence: update.sequence }
    for (const listener of this.#listeners) listener(update.changed)
  }
}
