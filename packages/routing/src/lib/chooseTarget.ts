/**
 * Selects the target of a request.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { TargetState } from './TargetState.js'

/** Settings of target selection. @public */
export interface TargetChoiceOptions {
  /** Largest share of a service's targets that may be ejected at once; the other ejected targets are used all the same. 0.5 by default. */
  readonly maxEjectedShare: number
}

/** Default settings. @public */
export const TARGET_CHOICE_DEFAULTS: TargetChoiceOptions = { maxEjectedShare: 0.5 }

/**
 * Estimates the cost of sending one more request: the target's latency times its load, divided by the square of its
 * success share. The square sends a target that fails half of its requests only a quarter of the traffic.
 */
function estimateCost (state: TargetState, typicalLatencyMs: number): number {
  const latencyMs = Math.max(state.latencyMs === 0 ? typicalLatencyMs : state.latencyMs, 0.1)
  const load = (state.inFlight + 1) / Math.max(1, state.usableSlots)
  return latencyMs * load / (state.successShare * state.successShare)
}

/** Computes the mean latency, which stands in for targets without an estimate of their own. Called only if there are such. */
function meanKnownLatencyMs (states: readonly TargetState[]): number {
  let sumMs = 0
  let knownCount = 0
  for (const { latencyMs } of states) {
    if (latencyMs === 0) continue
    sumMs += latencyMs
    knownCount++
  }
  return knownCount === 0 ? 1 : sumMs / knownCount
}

/** Leaves out ejected targets, the least healthy first, but never so many that the remaining targets would be overloaded. */
function excludeEjected (states: readonly TargetState[], nowMs: number, options: TargetChoiceOptions): TargetState[] {
  const ejected = states.filter((state) => state.isEjected(nowMs))
  const maxEjected = Math.floor(states.length * options.maxEjectedShare)
  if (ejected.length <= maxEjected) return states.filter((state) => !state.isEjected(nowMs))
  const stillEjected = new Set([...ejected].sort((a, b) => a.successShare - b.successShare).slice(0, maxEjected))
  return states.filter((state) => !stillEjected.has(state))
}

/**
 * Chooses a target with a free slot by the power of two random choices.
 *
 * Choosing the best of all targets instead would make entry hosts, which decide independently, all pick the same target.
 *
 * @param states - the service's targets, including targets in other zones with borrowed slots
 * @param excluded - hosts of targets that the request has already tried
 * @param nowMs - the current time
 * @param random - returns a random number from 0 to below 1
 * @param options - settings; the defaults if omitted
 * @returns a target with a free slot, `undefined` if there is none
 * @public
 */
export function chooseTarget (
  states: readonly TargetState[], excluded: ReadonlySet<HostId>, nowMs: number, random: () => number, options: TargetChoiceOptions = TARGET_CHOICE_DEFAULTS
): TargetState | undefined {
  const usableTargets = states.filter((state) => !state.isLeaving && state.usableSlots > 0)
  const candidates = excludeEjected(usableTargets, nowMs, options).filter((state) => state.freeSlots > 0 && !excluded.has(state.target.hostId))
  if (candidates.length < 2) return candidates[0]
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  const [a, b] = [candidates[first] as TargetState, candidates[second] as TargetState]
  const typicalMs = a.latencyMs > 0 && b.latencyMs > 0 ? 0 : meanKnownLatencyMs(candidates)
  return estimateCost(a, typicalMs) <= estimateCost(b, typicalMs) ? a : b
}
