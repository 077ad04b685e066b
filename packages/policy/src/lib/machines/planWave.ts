/**
 * Decides which machines of a maintenance wave are drained next.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** State from which the next machines of a wave are chosen. @public */
export interface WavePlanningInput {
  /** Machines of the wave whose maintenance has not begun. */
  readonly pendingMachineIds: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Whether a machine is being drained, moved or maintained for any reason. */
  readonly isBusy: (machineId: string) => boolean
  /** Machines of the wave that are draining or down for it. */
  readonly inProgressMachineIds: readonly string[]
  /** Most machines that may be down for the wave at once. */
  readonly maxAtOnce: number
  /** Whether nothing runs in a pool. */
  readonly isHeadroomPool: (pool: string) => boolean
  /** Whether a machine is in an evacuated availability zone, so that it takes no work. */
  readonly isEvacuated: (machineId: string) => boolean
  /** Number of runs on a machine, used to disturb few of them. */
  readonly countRuns: (machineId: string) => number
  /** Number of machines of a pool that may take work, for the share that may be unavailable. */
  readonly poolSize: (pool: string) => number
  /** Remaining share of the wave's time; negative after its deadline. */
  readonly remainingTimeShare: number
}

/** Share of a service's machines that may be draining or down at once; larger when the wave is late. */
const MAX_UNAVAILABLE_SHARE = 0.13
const MAX_UNAVAILABLE_SHARE_WHEN_LATE = 0.3
/** The wave is late if its remaining share of time exceeds its remaining share of machines by less than this. */
const LATE_MARGIN = 0.15

/**
 * Chooses the machines to start draining now.
 *
 * @param input - current state
 * @param waveSize - number of machines of the wave
 * @returns machines to drain and then order for maintenance
 * @public
 */
export function planWave (input: WavePlanningInput, waveSize: number): string[] {
  const remainingMachineShare = (input.pendingMachineIds.length + input.inProgressMachineIds.length) / Math.max(1, waveSize)
  const isLate = input.remainingTimeShare - LATE_MARGIN < remainingMachineShare
  const unavailable = new Map<string, number>()
  for (const machineId of input.inProgressMachineIds) {
    if (!input.isEvacuated(machineId)) incrementUnavailable(unavailable, input.machines.get(machineId)?.pool)
  }
  const chosen: string[] = []
  const candidates = input.pendingMachineIds.filter((machineId) => input.machines.get(machineId)?.state === 'up' && !input.isBusy(machineId))
  for (const machineId of [...candidates].sort((a, b) => weight(a, input) - weight(b, input))) {
    // Draining and down machines together count against the limit.
    if (input.inProgressMachineIds.length + chosen.length >= input.maxAtOnce) break
    const pool = input.machines.get(machineId)?.pool ?? ''
    const limit = Math.max(1, Math.floor(input.poolSize(pool) * (isLate ? MAX_UNAVAILABLE_SHARE_WHEN_LATE : MAX_UNAVAILABLE_SHARE)))
    const isIdle = isWithoutWork(machineId, input)
    if (!isIdle && (unavailable.get(pool) ?? 0) >= limit) continue
    if (!isIdle) incrementUnavailable(unavailable, pool)
    chosen.push(machineId)
  }
  return chosen
}

function incrementUnavailable (unavailable: Map<string, number>, pool: string | undefined): void {
  if (pool !== undefined) unavailable.set(pool, (unavailable.get(pool) ?? 0) + 1)
}

/** Whether the maintenance of a machine takes no capacity away: nothing runs there, and nothing would be placed there. */
function isWithoutWork (machineId: string, input: WavePlanningInput): boolean {
  return input.isHeadroomPool(input.machines.get(machineId)?.pool ?? '') || input.isEvacuated(machineId)
}

/** Sort key of a machine: those without work first, then the fewest runs. */
function weight (machineId: string, input: WavePlanningInput): number {
  return isWithoutWork(machineId, input) ? -1 : input.countRuns(machineId)
}
