/**
 * Decides which machines of a wave are taken up next.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** What the decision sees. @public */
export interface WavePlanningInput {
  /** Machines of the wave whose upkeep has not begun. */
  readonly pendingMachineIds: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Machines that are being emptied, moved or kept up, for whatever reason. */
  readonly isBusy: (machineId: string) => boolean
  /** Machines of the wave that are being emptied or are down for it. */
  readonly inProgressMachineIds: readonly string[]
  /** The most that may be down for it at once. */
  readonly maxAtOnce: number
  /** Pools in which nothing runs. */
  readonly isHeadroomPool: (pool: string) => boolean
  /** Runs on a machine, for an order that disturbs little. */
  readonly countRuns: (machineId: string) => number
  /** Machines of a pool, for its share that may be away. */
  readonly poolSize: (pool: string) => number
  /** Share of the wave's time that is left; below 0 it is late. */
  readonly remainingTimeShare: number
}

/** Share of a service's machines that are emptied or down at once; more when the wave may run late. */
const MAX_UNAVAILABLE_SHARE = 0.13
const MAX_UNAVAILABLE_SHARE_WHEN_LATE = 0.3
/** Share of the time left, against the share of machines left, from which the wave counts as late. */
const LATE_MARGIN = 0.15

/**
 * Chooses the machines to begin with now.
 *
 * @param input - what is known
 * @param wholeSize - how many machines the wave has
 * @returns machines to be emptied and then ordered
 * @public
 */
export function planWave (input: WavePlanningInput, wholeSize: number): string[] {
  const openShare = (input.pendingMachineIds.length + input.inProgressMachineIds.length) / Math.max(1, wholeSize)
  const isLate = input.remainingTimeShare - LATE_MARGIN < openShare
  const away = new Map<string, number>()
  for (const machineId of input.inProgressMachineIds) incrementUnavailable(away, input.machines.get(machineId)?.pool)
  const chosen: string[] = []
  const candidates = input.pendingMachineIds.filter((machineId) => input.machines.get(machineId)?.state === 'up' && !input.isBusy(machineId))
  for (const machineId of [...candidates].sort((a, b) => weight(a, input) - weight(b, input))) {
    // One more than may be down is emptied ahead, so that it can follow at once.
    if (input.inProgressMachineIds.length + chosen.length >= input.maxAtOnce) break
    const pool = input.machines.get(machineId)?.pool ?? ''
    const limit = Math.max(1, Math.floor(input.poolSize(pool) * (isLate ? MAX_UNAVAILABLE_SHARE_WHEN_LATE : MAX_UNAVAILABLE_SHARE)))
    if (!input.isHeadroomPool(pool) && (away.get(pool) ?? 0) >= limit) continue
    incrementUnavailable(away, pool)
    chosen.push(machineId)
  }
  return chosen
}

function incrementUnavailable (away: Map<string, number>, pool: string | undefined): void {
  if (pool !== undefined) away.set(pool, (away.get(pool) ?? 0) + 1)
}

/** Where nothing runs first. */
function weight (machineId: string, input: WavePlanningInput): number {
  return input.isHeadroomPool(input.machines.get(machineId)?.pool ?? '') ? -1 : input.countRuns(machineId)
}
