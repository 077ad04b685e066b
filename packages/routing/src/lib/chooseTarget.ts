/**
 * Chooses the target of a request.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { TargetState } from './TargetState.js'

/** Decides between targets. @public */
export interface TargetChoiceOptions {
  /** The largest share of a service's targets that may rest at once; beyond it the rest are used all the same. 0.5 by default. */
  readonly maxEjectedShare: number
}

/** The documented defaults. @public */
export const TARGET_CHOICE_DEFAULTS: TargetChoiceOptions = { maxEjectedShare: 0.5 }

/**
 * The expected cost of sending one more request: its wait behind what runs there, at the target's pace, divided by the
 * chance that it succeeds, squared so that a target that fails half its work gets a quarter.
 */
function estimateCost (state: TargetState, typicalLatencyMs: number): number {
  const latencyMs = Math.max(state.latencyMs === 0 ? typicalLatencyMs : state.latencyMs, 0.1)
  const load = (state.inFlight + 1) / Math.max(1, state.usableSlots)
  return latencyMs * load / (state.successShare * state.successShare)
}

/** The mean is enough where a target has no estimate of its own yet; it is not computed otherwise. */
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

/** Rested targets are left out, but never so many that the others drown. */
function excludeEjected (states: readonly TargetState[], nowMs: number, options: TargetChoiceOptions): TargetState[] {
  const ejected = states.filter((state) => state.isEjected(nowMs))
  const maxEjected = Math.floor(states.length * options.maxEjectedShare)
  if (ejected.length <= maxEjected) return states.filter((state) => !state.isEjected(nowMs))
  const stillEjected = new Set([...ejected].sort((a, b) => a.successShare - b.successShare).slice(0, maxEjected))
  return states.filter((state) => !stillEjected.has(state))
}

/**
 * Chooses by the power of two choices among targets with a free slot.
 *
 * Two draws rather than the best of all: entry hosts that decide alone do not all run to the one target that looks best.
 *
 * @param states - the service's targets, those with lent-in slots of other zones too
 * @param excluded - targets that were tried already
 * @param nowMs - the present time
 * @param random - draws from 0 to 1
 * @param options - bounds, the defaults without them
 * @returns a target with a free slot, `undefined` when there is none
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
