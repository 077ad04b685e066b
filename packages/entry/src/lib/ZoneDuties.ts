/**
 * What one entry host of a zone does for all: it watches the store, reads the list of hosts, and looks after hosts and
 * jobs while it holds the zone's lease.
 *
 * @module
 */
import { z } from 'zod'
import { backOff, delay } from '@quillscale/utils'
import type { EntryHostParts } from './EntryHostParts.js'
import { zoneToken } from './zoneToken.js'

/** The start of the names of documents with entry hosts' addresses. @public */
export const MEMBERS_DOCUMENT_PREFIX = 'members-'
/** Checks such a document. @public */
export const membersSchema = z.object({ revision: z.number(), addresses: z.array(z.string()) })
/** The topic of news of the list of hosts. @public */
export const HOST_LIST_TOPIC = 'hosts/update'

const WATCH_MS = 25_000
const NOT_HOLDER_MS = 300
const MEMBERS_TICK_MS = 2000
const BUSY_TICK_MS = 100
const IDLE_JOBS_MS = 1000

/** The duties of a zone's holder; each task waits while another entry host has the lease. */
export class ZoneDuties {
  readonly #parts: EntryHostParts
  #lastPlatformOkMs = -Infinity

  /** @param parts - of this entry host */
  constructor (parts: EntryHostParts) {
    this.#parts = parts
  }

  /** How long the platform has not answered this entry host. */
  get platformSilentMs (): number {
    return this.#parts.clock.monotonicMs() - this.#lastPlatformOkMs
  }

  /** Notes that the platform answered. */
  notePlatformOk (): void {
    this.#lastPlatformOkMs = this.#parts.clock.monotonicMs()
  }

  /** @param signal - ends the tasks @returns one promise for each task */
  run (signal: AbortSignal): Array<Promise<void>> {
    const { fleet, jobs, settings } = this.#parts
    const idleMs = settings.timing.maintenanceTickMs
    return [
      this.#watchStore(signal),
      this.#readHostList(signal),
      this.#repeat(signal, 'members', () => this.#writeMembers(), () => MEMBERS_TICK_MS),
      // Looked at often while there is work, so that a wave or an urgent job does not wait for the next look.
      this.#repeat(signal, 'hosts', () => fleet.tick(), () => fleet.isBusy ? Math.min(BUSY_TICK_MS, idleMs) : idleMs),
      this.#repeat(signal, 'jobs', () => jobs.tick(), () => jobs.isBusy ? BUSY_TICK_MS : IDLE_JOBS_MS)
    ]
  }

  get #isHolder (): boolean {
    const { zoneLease, clock } = this.#parts
    return zoneToken(zoneLease, clock) !== undefined
  }

  async #repeat (signal: AbortSignal, duty: string, act: () => Promise<void>, pauseMs: () => number): Promise<void> {
    while (!signal.aborted) {
      try {
        await act()
      } catch (error) {
        this.#parts.log.error({ err: error, duty }, 'a duty failed')
      }
      await delay(pauseMs(), signal)
    }
  }

  /** Only the holder watches, so calls and watches grow with zones. */
  async #watchStore (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      if (!this.#isHolder) {
        await delay(NOT_HOLDER_MS, signal)
        continue
      }
      const isOk = await Promise.race([this.#parts.sync.watchStore(WATCH_MS), aborted(signal)])
      failures = isOk ? 0 : failures + 1
      if (isOk) this.notePlatformOk()
      else await backOff(failures, signal)
    }
  }

  async #readHostList (signal: AbortSignal): Promise<void> {
    const { platform, hostList, zoneLease, mesh, self, clock, settings } = this.#parts
    while (!signal.aborted) {
      const token = zoneToken(zoneLease, clock)
      if (token !== undefined) {
        const listed = await platform.hostDirectory.listHosts(self.availabilityZone)
        const update = listed.ok && this.#isHolder ? hostList.replace(listed.val, token) : undefined
        if (listed.ok) this.notePlatformOk()
        if (update !== undefined) mesh.broadcast(HOST_LIST_TOPIC, update, (peer) => peer.availabilityZone === self.availabilityZone)
      }
      await delay(settings.timing.hostListMs, signal)
    }
  }

  /** Writes where the zone's entry hosts are, so that new ones find them; only when that changed. */
  async #writeMembers (): Promise<void> {
    const { mesh, self, states, stateStore } = this.#parts
    if (!this.#isHolder) return
    const name = MEMBERS_DOCUMENT_PREFIX + self.availabilityZone
    const addresses = [self.address, ...mesh.listReachable(self.availabilityZone).map(({ address }) => address)].sort()
    const known = membersSchema.safeParse(states.get(name)?.value)
    if (known.success && known.data.addresses.join() === addresses.join()) return
    await stateStore.update(name, () => ({ revision: (states.get(name)?.revision ?? 0) + 1, addresses }))
  }
}

function aborted (signal: AbortSignal): Promise<false> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve(false)
    else signal.addEventListener('abort', () => resolve(false), { once: true })
  })
}
