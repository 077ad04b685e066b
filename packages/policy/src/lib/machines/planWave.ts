/**
 * Decides which machines of a wave are taken up next.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** What the decision sees. @public */
export interface WaveView {
  /** Machines of the wave whose upkeep has not begun. */
  readonly open: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Machines that are being emptied, moved or kept up, for whatever reason. */
  readonly isBusy: (machineId: string) => boolean
  /** Machines of the wave that are being emptied or are down for it. */
  readonly underWay: readonly string[]
  /** The most that may be down for it at once. */
  readonly maxAtOnce: number
  /** Pools in which nothing runs. */
  readonly isHeadroom: (pool: string) => boolean
  /** Runs on a machine, for an order that disturbs little. */
  readonly runsOn: (machineId: string) => number
  /** Machines of a pool, for its share that may be away. */
  readonly poolSize: (pool: string) => number
  /** Share of the wave's time that is left; below 0 it is late. */
  readonly leftShare: number
}

/** Share of a service's machines that are emptied or down at once; more when the wave may run late. */
const AWAY_SHARE = 0.13
const AWAY_SHARE_LATE = 0.3
/** Share of the time left, against the share of machines left, from which the wave counts as late. */
const LATE_MARGIN = 0.15

/**
 * Chooses the machines to begin with now.
 *
 * @param view - what is known
 * @param wholeSize - how many machines the wave has
 * @returns machines to be emptied and then ordered
 * @public
 */
export function planWave (view: WaveView, wholeSize: number): string[] {
  const openShare = (view.open.length + view.underWay.length) / Math.max(1, wholeSize)
  const isLate = view.leftShare - LATE_MARGIN < openShare
  const away = new Map<string, number>()
  for (const machineId of view.underWay) note(away, view.machines.get(machineId)?.pool)
  const chosen: string[] = []
  const candidates = view.open.filter((machineId) => view.machines.get(machineId)?.state === 'up' && !view.isBusy(machineId))
  for (const machineId of [...candidates].sort((a, b) => weight(a, view) - weight(b, view))) {
    // One more than may be down is emptied ahead, so that it can follow at once.
    if (view.underWay.length + chosen.length >= view.maxAtOnce) break
    const pool = view.machines.get(machineId)?.pool ?? ''
    const limit = Math.max(1, Math.floor(view.poolSize(pool) * (isLate ? AWAY_SHARE_LATE : AWAY_SHARE)))
    if (!view.isHeadroom(pool) && (away.get(pool) ?? 0) >= limit) continue
    note(away, pool)
    chosen.push(machineId)
  }
  return chosen
}

function note (away: Map<string, number>, pool: string | undefined): void {
  if (pool !== undefined) away.set(pool, (away.get(pool) ?? 0) + 1)
}

/** Where nothing runs first. */
function weight (machineId: string, view: WaveView): number {
  return view.isHeadroom(view.machines.get(machineId)?.pool ?? '') ? -1 : view.runsOn(machineId)
}
