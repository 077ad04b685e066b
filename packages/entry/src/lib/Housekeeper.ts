/**
 * What an entry host tidies up at short intervals: requests past their deadline, lent slots, old signals, idle connections.
 *
 * @module
 */
import type { EntryHostParts } from './EntryHostParts.js'
import { originOf, type TargetClient } from './TargetClient.js'

/** Rounds between two looks for connections to hosts that are gone. */
const CONNECTIONS_EVERY = 20

/** What it looks at. @internal */
export type TidiedParts = Pick<EntryHostParts, 'registry' | 'clock' | 'members' | 'lending' | 'signals'>

/** Tidies up. @internal */
export class Housekeeper {
  readonly #parts: TidiedParts
  readonly #client: TargetClient
  #lastZoneMembers = ''
  #rounds = 0

  /**
   * @param parts - of this entry host
   * @param client - the connections to targets
   */
  constructor (parts: TidiedParts, client: TargetClient) {
    this.#parts = parts
    this.#client = client
  }

  /** Does one round. */
  tick (): void {
    const { registry, clock, members, lending, signals } = this.#parts
    const zoneMembers = members.zoneMembers.join()
    if (zoneMembers !== this.#lastZoneMembers) {
      this.#lastZoneMembers = zoneMembers
      registry.queueRefresh()
    }
    for (const { router } of registry.services.values()) {
      router.refuseExpired()
      router.sampleDemand()
    }
    lending.tick()
    signals.sweep(clock.monotonicMs())
    if (this.#rounds++ % CONNECTIONS_EVERY === 0) {
      const origins = new Set([...registry.services.values()].flatMap(({ router }) => router.targets.map(({ target }) => originOf(target))))
      this.#client.retain(origins)
    }
  }
}
