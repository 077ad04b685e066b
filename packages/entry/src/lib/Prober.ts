/**
 * Asks targets that have not been heard of whether they still work.
 *
 * Each target of the zone is asked by one entry host, at a bounded rate: what carries requests is known from them, and
 * what is learned is shared.
 *
 * @module
 */
import { delay, rendezvousOwner, type Clock } from '@quillscale/utils'
import type { EntryHostId, HostId } from '@quillscale/model'
import type { TargetState } from '@quillscale/routing'
import { probeTarget } from './probeTarget.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import type { TargetSignals } from './TargetSignals.js'

/** How targets are asked. @public */
export interface ProberOptions {
  readonly registry: ServiceRegistry
  readonly signals: TargetSignals
  readonly clock: Clock
  readonly self: EntryHostId
  readonly zoneMembers: () => EntryHostId[]
  /** A target that was heard of more recently is not asked; 2000 by default. */
  readonly quietMs?: number
  /** Targets asked each second at most; 4 by default. */
  readonly maxProbesPerSecond?: number
}

const DEFAULT_QUIET_MS = 2000
const DEFAULT_MAX_PROBES_PER_SECOND = 4
const DOWN_AFTER_FAILURES = 2

interface Candidate { readonly state: TargetState, readonly probePath: string }

/** Asks quiet targets. @public */
export class Prober {
  readonly #options: ProberOptions
  readonly #failures = new Map<HostId, number>()
  readonly #askedMs = new Map<HostId, number>()
  readonly #owners = new Map<HostId, EntryHostId>()
  #ownersOfMembers = ''

  /** @param options - how targets are asked */
  constructor (options: ProberOptions) {
    this.#options = options
  }

  /** @param signal - ends the task */
  async run (signal: AbortSignal): Promise<void> {
    const pauseMs = 1000 / (this.#options.maxProbesPerSecond ?? DEFAULT_MAX_PROBES_PER_SECOND)
    while (!signal.aborted) {
      const startedMs = this.#options.clock.monotonicMs()
      for (const candidate of this.#due(startedMs)) {
        if (signal.aborted) return
        void this.#probe(candidate)
        await delay(pauseMs, signal)
      }
      await delay(Math.max(pauseMs, 500), signal)
    }
  }

  #due (nowMs: number): Candidate[] {
    const { registry, self, zoneMembers, quietMs = DEFAULT_QUIET_MS } = this.#options
    const members = zoneMembers()
    const due = new Map<HostId, Candidate>()
    for (const { router, spec } of registry.services.values()) {
      for (const state of router.targets) {
        const { hostId } = state.target
        const lastMs = Math.max(state.lastResultMs, this.#askedMs.get(hostId) ?? -Infinity)
        const isOwn = state.allottedSlots > 0 && this.#ownerOf(hostId, members) === self
        if (isOwn && nowMs - lastMs > quietMs) due.set(hostId, { state, probePath: spec.probePath })
      }
    }
    return [...due.values()]
  }

  /** Owners are kept while the members stay the same. */
  #ownerOf (hostId: HostId, members: readonly EntryHostId[]): EntryHostId | undefined {
    const key = members.join()
    if (key !== this.#ownersOfMembers) this.#owners.clear()
    this.#ownersOfMembers = key
    const known = this.#owners.get(hostId)
    if (known !== undefined) return known
    const owner = rendezvousOwner(hostId, members)
    if (owner !== undefined) this.#owners.set(hostId, owner)
    return owner
  }

  async #probe ({ state, probePath }: Candidate): Promise<void> {
    const { signals, clock } = this.#options
    const { hostId } = state.target
    this.#askedMs.set(hostId, clock.monotonicMs())
    try {
      const { isServing, isLeaving } = await probeTarget(state.target, probePath)
      if (isLeaving) signals.notice(hostId, 'leaving', clock.monotonicMs())
      else if (isServing) this.#noteUp(state)
    } catch {
      const failures = (this.#failures.get(hostId) ?? 0) + 1
      this.#failures.set(hostId, failures)
      if (failures >= DOWN_AFTER_FAILURES) signals.notice(hostId, 'down', clock.monotonicMs())
    }
  }

  #noteUp (state: TargetState): void {
    const { signals, clock } = this.#options
    this.#failures.delete(state.target.hostId)
    state.recordProbeSuccess(clock.monotonicMs())
    signals.notice(state.target.hostId, 'up', clock.monotonicMs())
  }
}
