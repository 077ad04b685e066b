/**
 * A list of hosts and their control inside the process.
 *
 * @module
 */
import { Ok, systemClock, type Clock, type Result } from '@quillscale/utils'
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { FencedOrder, HostControl, HostDirectory, ListedHost, OrderOutcome, PlatformError } from '@quillscale/ports'

/** What follows from an order, for a stand-in that has real targets. @public */
export interface HostEvents {
  onDrain?(hostId: HostId): void
  onUndrain?(hostId: HostId): void
  /** The host's targets stop now. */
  onDown?(hostId: HostId): void
  /** The host's targets run again. */
  onUp?(hostId: HostId, version: string): void
}

/** Settings of the stand-in. @public */
export interface MemoryHostsOptions {
  /** How long a reboot takes; 2000 by default. */
  readonly rebootMs?: number
  /** How old the list is that is given out; 0 by default. */
  readonly listLagMs?: number
  /** Hosts that do not come back from a reboot. */
  readonly brokenHosts?: ReadonlySet<string>
}

interface HostRecord { listed: ListedHost, highestToken: number, isDown: boolean }
interface Change { atMs: number, hosts: ListedHost[] }

/** Hosts that are only records. @public */
export class MemoryHosts implements HostDirectory, HostControl {
  readonly #records = new Map<HostId, HostRecord>()
  readonly #options: Required<MemoryHostsOptions>
  readonly #events: HostEvents
  readonly #clock: Clock
  #history: Change[] = []

  /**
   * @param hosts - the fleet
   * @param options - how it behaves
   * @param events - called when a host goes or comes
   * @param clock - decides how old a list is
   */
  constructor (hosts: readonly ListedHost[], options: MemoryHostsOptions = {}, events: HostEvents = {}, clock: Clock = systemClock) {
    this.#options = { rebootMs: 2000, listLagMs: 0, brokenHosts: new Set(), ...options }
    this.#events = events
    this.#clock = clock
    for (const listed of hosts) this.#records.set(listed.hostId, { listed, highestToken: 0, isDown: false })
    this.#note()
  }

  async listHosts (availabilityZone: AvailabilityZone): Promise<Result<readonly ListedHost[], PlatformError>> {
    return Ok(this.#lagging().filter((host) => host.availabilityZone === availabilityZone))
  }

  async drain (order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#obey(order, () => {
      this.#events.onDrain?.(order.hostId)
      this.#set(order.hostId, { state: 'leaving' })
    })
  }

  async undrain (order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#obey(order, () => {
      this.#events.onUndrain?.(order.hostId)
      this.#set(order.hostId, { state: 'live' })
    })
  }

  async reboot (order: FencedOrder & { version: string }): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#obey(order, (record) => {
      if (record.isDown || record.listed.version === order.version) return
      this.fail(order.hostId)
      if (this.#options.brokenHosts.has(order.hostId)) return
      setTimeout(() => this.recover(order.hostId, order.version), this.#options.rebootMs).unref()
    })
  }

  /** @param hostId - the host that stops at once */
  fail (hostId: HostId): void {
    const record = this.#records.get(hostId)
    if (record === undefined || record.isDown) return
    record.isDown = true
    this.#events.onDown?.(hostId)
    this.#set(hostId, { state: 'gone' })
  }

  /** @param hostId - the host that returns @param version - what it then runs, unchanged by default */
  recover (hostId: HostId, version?: string): void {
    const record = this.#records.get(hostId)
    if (record === undefined) return
    record.isDown = false
    this.#set(hostId, { state: 'live', ...(version === undefined ? {} : { version }) })
    this.#events.onUp?.(hostId, record.listed.version)
  }

  /** @returns the hosts as they are, without lag */
  current (): ListedHost[] {
    return [...this.#records.values()].map((record) => record.listed)
  }

  #obey (order: FencedOrder, act: (record: HostRecord) => void): Result<OrderOutcome, PlatformError> {
    const record = this.#records.get(order.hostId)
    if (record === undefined || order.fencingToken < record.highestToken) return Ok('fenced-off' as const)
    record.highestToken = order.fencingToken
    act(record)
    return Ok('accepted' as const)
  }

  #set (hostId: HostId, change: Partial<ListedHost>): void {
    const record = this.#records.get(hostId)
    if (record === undefined) return
    record.listed = { ...record.listed, ...change }
    this.#note()
  }

  #note (): void {
    this.#history.push({ atMs: this.#clock.monotonicMs(), hosts: this.current() })
    if (this.#history.length > 1000) this.#history = this.#history.slice(500)
  }

  #lagging (): ListedHost[] {
    if (this.#options.listLagMs === 0) return this.current()
    const wantedAtMs = this.#clock.monotonicMs() - this.#options.listLagMs
    const old = this.#history.filter((change) => change.atMs <= wantedAtMs)
    return (old.at(-1) ?? this.#history[0])?.hosts ?? []
  }
}
