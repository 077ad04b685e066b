/**
 * Decides which machines change their pool: to services that lack capacity, and from services with idle machines to a headroom pool, whose
 * machines are off.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** Demand for machines as reported by the scheduler of a service. @public */
export interface ServiceDemand {
  readonly service: string
  /** CPU, in thousandths of a core, of the running tasks and those ready to start. */
  readonly wantedMillis: number
  /** Minimum number of machines: over which its lasting tasks are spread, and which its tasks fill by memory, GPUs or their size. */
  readonly leastMachines: number
  /** Runs on each of its machines that accept work; a lasting run counts as {@link LASTING_RUN_WEIGHT}. */
  readonly runsByMachine: ReadonlyMap<string, number>
  /** Mean CPU of its machines, in thousandths of a core. */
  readonly machineMillis: number
}

/** A planned move of a machine to another pool. @public */
export interface PoolMove {
  readonly machineId: string
  readonly from: string
  readonly to: string
}

/** State from which pool moves are planned. @public */
export interface PoolPlanningInput {
  readonly demands: readonly ServiceDemand[]
  /** Pools whose machines are switched off. */
  readonly headroomPools: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Machines being drained, moved or maintained, by the pool that they will be in; they count there. */
  readonly busy: ReadonlyMap<string, string>
  /** Machines that are up in a service's pool, but have not been usable for so long that they do not count. */
  readonly unusableMachines: ReadonlySet<string>
  /** Machines in evacuated availability zones. They provide no capacity, and moving one within its zone would not change that. */
  readonly evacuatedMachines: ReadonlySet<string>
  /** Whether the platform refused to move the machine to the pool. */
  readonly isRefused: (machineId: string, pool: string) => boolean
  /** Whether needs were tracked for long enough to release machines. */
  readonly mayReleaseMachines: boolean
  /** Recent peak need of each service; machines are released only after a while without need. */
  readonly recentPeakNeed: ReadonlyMap<string, number>
  /** Most moves that may start now. */
  readonly maxMoves: number
  /** Predicted need of each service by the time a machine has moved. */
  readonly predictedNeed: ReadonlyMap<string, number>
}

/** Weight of a lasting run among the runs of a machine: it must be moved, which its users notice, while other runs just finish. @public */
export const LASTING_RUN_WEIGHT = 10

/** Machines are added above this utilization, since tasks do not pack without gaps. @public */
export const MAX_UTILIZATION = 0.85
/** A machine with more runs is not drained for another service, since that would take too long. */
const MAX_RUNS_TO_DRAIN = 4

/** @param demand - demand of a service @returns how many machines the service needs now @public */
export function machinesNeeded (demand: ServiceDemand): number {
  return Math.max(demand.leastMachines, machinesForMillis(demand.wantedMillis, demand))
}

/** @param millis - CPU in thousandths of a core @param demand - of the service @returns how many of its machines provide that @public */
export function machinesForMillis (millis: number, { machineMillis }: ServiceDemand): number {
  return Math.ceil(millis / (Math.max(1, machineMillis) * MAX_UTILIZATION))
}

/** Number of machines that a service needs and has. @public */
export interface PoolCount {
  readonly demand: ServiceDemand
  readonly need: number
  /** Machines not to be released yet, since they were needed recently. */
  readonly retained: number
  /** Machines in its pool and not in {@link PoolPlanningInput.unusableMachines}, or on their way there. */
  have: number
}

/**
 * Plans moves of machines between pools.
 *
 * @param input - current state
 * @param counts - counts from {@link countPools}, updated for each planned move
 * @returns the moves, those that add capacity first
 * @public
 */
export function planPools (input: PoolPlanningInput, counts = countPools(input)): PoolMove[] {
  const taken = new Set<string>()
  const moves: PoolMove[] = []
  for (const receiver of [...counts].sort((a, b) => (b.need - b.have) - (a.need - a.have))) {
    while (receiver.have < receiver.need && moves.length < input.maxMoves) {
      const move = findMachineFor(receiver, counts, input, taken)
      if (move === undefined) break
      apply(move, counts, taken, moves)
    }
  }
  for (const move of releaseIdleMachines(counts, input, taken, input.maxMoves - moves.length)) moves.push(move)
  return moves
}

/** @param input - current state @returns needed and available machines of each service @public */
export function countPools (input: Pick<PoolPlanningInput, 'demands' | 'machines' | 'busy' | 'unusableMachines' | 'evacuatedMachines' | 'recentPeakNeed' | 'predictedNeed'>): PoolCount[] {
  return input.demands.map((demand): PoolCount => {
    const need = Math.max(machinesNeeded(demand), input.predictedNeed.get(demand.service) ?? 0)
    return { demand, need, retained: Math.max(need, input.recentPeakNeed.get(demand.service) ?? 0), have: countMachinesIn(demand.service, input) }
  })
}

function countMachinesIn (
  pool: string, { machines, busy, unusableMachines, evacuatedMachines }: Pick<PoolPlanningInput, 'machines' | 'busy' | 'unusableMachines' | 'evacuatedMachines'>
): number {
  return [...machines.values()].filter(({ machineId, pool: currentPool, state }) => {
    if (evacuatedMachines.has(machineId)) return false
    const next = busy.get(machineId)
    if (next !== undefined) return next === pool && state !== 'down'
    return currentPool === pool && state !== 'down' && !unusableMachines.has(machineId)
  }).length
}

function apply (move: PoolMove, counts: readonly PoolCount[], taken: Set<string>, moves: PoolMove[]): void {
  moves.push(move)
  taken.add(move.machineId)
  for (const count of counts) {
    if (count.demand.service === move.to) count.have++
    if (count.demand.service === move.from) count.have--
  }
}

/** Prefers a headroom machine, then the least busy machine of the service with the largest surplus. */
function findMachineFor (receiver: PoolCount, counts: readonly PoolCount[], input: PoolPlanningInput, taken: ReadonlySet<string>): PoolMove | undefined {
  const to = receiver.demand.service
  const isFree = (machine: ListedMachine): boolean => isMovable(machine, to, input) && !taken.has(machine.machineId)
  const parked = findHeadroomMachine(to, input, isFree)
  if (parked !== undefined) return parked
  // Recently needed machines are kept from being switched off, but not from a service that needs them now.
  const donors = counts.filter((count) => count !== receiver && count.have > count.need).sort((a, b) => (b.have - b.need) - (a.have - a.need))
  for (const { demand } of donors) {
    const machineId = findLeastBusyMachine(demand, input, isFree, MAX_RUNS_TO_DRAIN)
    if (machineId !== undefined) return { machineId, from: demand.service, to }
  }
  return undefined
}

function isMovable ({ machineId, state }: ListedMachine, to: string, input: PoolPlanningInput): boolean {
  return state === 'up' && !input.busy.has(machineId) && !input.evacuatedMachines.has(machineId) && !input.isRefused(machineId, to)
}

function findHeadroomMachine (to: string, input: PoolPlanningInput, isFree: (machine: ListedMachine) => boolean): PoolMove | undefined {
  const parked = [...input.machines.values()].find((machine) => input.headroomPools.includes(machine.pool) && isFree(machine))
  return parked === undefined ? undefined : { machineId: parked.machineId, from: parked.pool, to }
}

/** Finds the machine with the fewest runs, at most `maxRuns`. */
function findLeastBusyMachine (
  demand: ServiceDemand, input: PoolPlanningInput, isFree: (machine: ListedMachine) => boolean, maxRuns: number
): string | undefined {
  let best: string | undefined
  let fewest = maxRuns + 1
  for (const [machineId, runs] of demand.runsByMachine) {
    const machine = input.machines.get(machineId)
    if (runs < fewest && machine?.pool === demand.service && isFree(machine)) [best, fewest] = [machineId, runs]
  }
  return best
}

/** Moves idle machines beyond the recent need of their service to a headroom pool. */
function releaseIdleMachines (counts: readonly PoolCount[], input: PoolPlanningInput, taken: ReadonlySet<string>, most: number): PoolMove[] {
  const [pool] = input.headroomPools
  if (pool === undefined || !input.mayReleaseMachines) return []
  const chosen = new Set(taken)
  const moves: PoolMove[] = []
  for (const count of counts) {
    const isFree = (machine: ListedMachine): boolean => isMovable(machine, pool, input) && !chosen.has(machine.machineId)
    while (count.have > count.retained && moves.length < most) {
      const machineId = findLeastBusyMachine(count.demand, input, isFree, 0)
      if (machineId === undefined) break
      chosen.add(machineId)
      count.have--
      moves.push({ machineId, from: count.demand.service, to: pool })
    }
  }
  return moves
}
