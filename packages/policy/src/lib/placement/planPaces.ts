/**
 * Decides how fast tasks that fill may work beside those that serve.
 *
 * @module
 */
import { stepOf, type Run } from '../jobs/JobState.js'

/** Above this share of its target a serving task's tail is too near; below the lower one there is room. Between, nothing changes. */
const THROTTLE_ABOVE_SHARE = 0.85
const RAISE_BELOW_SHARE = 0.6
/** Fillers are cut to this share at once and come back in steps, as congestion controls do. */
const CUT_FACTOR = 0.5
const RAISE_PERCENT = 10
/** Below this they are stopped from working altogether: what is left would not be worth the disturbance. */
const MIN_PERCENT = 10

/** A change of pace. @public */
export interface PaceChange {
  readonly run: Run
  readonly percent: number
}

/**
 * Chooses the paces on one worker.
 *
 * @param runs - on it, with their last reported loads
 * @returns the changes
 * @public
 */
export function planPaces (runs: readonly Run[]): PaceChange[] {
  const fillers = runs.filter((run) => run.phase === 'running' && stepOf(run.task).isFiller)
  if (fillers.length === 0) return []
  const shares = runs.filter((run) => run.phase === 'running' && stepOf(run.task).targetTailMs > 0)
    .map((run) => run.load / stepOf(run.task).targetTailMs)
  const worst = Math.max(0, ...shares)
  if (worst > THROTTLE_ABOVE_SHARE) return changesTo(fillers, (percent) => percent * CUT_FACTOR < MIN_PERCENT ? 0 : Math.floor(percent * CUT_FACTOR))
  if (worst < RAISE_BELOW_SHARE) return changesTo(fillers, (percent) => Math.min(100, percent + RAISE_PERCENT))
  return []
}

function changesTo (fillers: readonly Run[], next: (percent: number) => number): PaceChange[] {
  return fillers.map((run) => ({ run, percent: next(run.pacePercent) })).filter(({ run, percent }) => percent !== run.pacePercent)
}
