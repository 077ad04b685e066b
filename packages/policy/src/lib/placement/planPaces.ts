/**
 * Throttles filler tasks beside latency-sensitive tasks.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import { stepOf, type Run } from '../jobs/JobState.js'

/** Fillers slow down above the first share of a latency target and speed up below the second; between them nothing changes. */
const THROTTLE_ABOVE_SHARE = 0.85
const RAISE_BELOW_SHARE = 0.6
/** Multiplicative decrease and additive increase, as in congestion control. */
const CUT_FACTOR = 0.5
const RAISE_PERCENT = 10
/** Fillers are paused below this pace, where their progress is not worth the interference. */
const MIN_PERCENT = 10

/** A new pace for a filler run. @public */
export interface PaceChange {
  readonly run: Run
  readonly percent: number
}

/**
 * Chooses the paces of the filler runs on one worker.
 *
 * @param runs - runs on the worker, with their last reported loads
 * @returns the paces that change
 * @public
 */
export function planPaces (runs: readonly Run[]): PaceChange[] {
  const fillers = runs.filter((run) => run.phase === 'running' && stepOf(run.task).isFiller)
  if (fillers.length === 0) return []
  const shares = runs.filter((run) => run.phase === 'running' && stepOf(run.task).targetTailMs > 0)
    .map((run) => run.load / stepOf(run.task).targetTailMs)
  const worst = largestOf(shares, 0)
  if (worst > THROTTLE_ABOVE_SHARE) return changesTo(fillers, (percent) => percent * CUT_FACTOR < MIN_PERCENT ? 0 : Math.floor(percent * CUT_FACTOR))
  if (worst < RAISE_BELOW_SHARE) return changesTo(fillers, (percent) => Math.min(100, percent + RAISE_PERCENT))
  return []
}

function changesTo (fillers: readonly Run[], next: (percent: number) => number): PaceChange[] {
  return fillers.map((run) => ({ run, percent: next(run.pacePercent) })).filter(({ run, percent }) => percent !== run.pacePercent)
}
