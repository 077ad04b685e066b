/**
 * Decides which machines change their pool: towards services that have more work than room, and from those that have more room
 * than work to a pool whose machines are off.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** What a service's scheduler says of its need. @public */
export interface ServiceDemand {
  readonly service: string
  /** Processor time, in thousandths of a core, of what runs and of what could start at once. */
  readonly wantedMillis: number
  /** Fewest machines over which its lasting tasks are spread. */
  readonly leastMachines: number
  /** Runs on each of its machines that take work; lasting tasks weigh as {@link LASTING_RUN_WEIGHT}. */
  readonly runsByMachine: ReadonlyMap<string, number>
  /** Processor time of one of its machines. */
  readonly machineMillis: number
}

/** A change of pool. @public */
export interface PoolMove {
  readonly machineId: string
  readonly from: string
  readonly to: string
}

/** What the decision sees. @public */
export interface PoolPlanningInput {
  readonly demands: readonly ServiceDemand[]
  /** Pools whose machines are off. */
  readonly headroomPools: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Machines that are being emptied, moved or kept up; they count for the pool where they will be. */
  readonly busy: ReadonlyMap<string, string>
  /** Machines that are up in a service's pool and have been of no use to it for so long that they are not counted on. */
  readonly unusableMachines: ReadonlySet<string>
  /** Pairs of machine and pool that the platform refused. */
  readonly isRefused: (machineId: string, pool: string) => boolean
  /** Whether needs were watched for long enough to give room back. */
  readonly mayReleaseMachines: boolean
  /** The most that a service needed lately: room is given back only after a while without need. */
  readonly recentPeakNeed: ReadonlyMap<string, number>
  /** So many changes may begin now. */
  readonly maxMoves: number
  /** What a growing service will need by the time a machine has moved. */
  readonly predictedNeed: ReadonlyMap<string, number>
}

/** A lasting task has to be moved, which its users notice; others only finish. @public */
export const LASTING_RUN_WEIGHT = 10

/** Room is added when more than this share of it is wanted: tasks do not fit without gaps. */
const MAX_UTILIZATION = 0.85
/** A machine with more runs is not emptied for another service: what runs would take too long to leave. */
const MAX_RUNS_TO_DRAIN = 4

/** @param demand - of a service @returns how many machines it needs now @public */
export function machinesNeeded (demand: ServiceDemand): number {
  return Math.max(demand.leastMachines, machinesForMillis(demand.wantedMillis, demand))
}

/** @param millis - processor time @param demand - of the service @returns how many of its machines carry that @public */
export function machinesForMillis (millis: number, { machineMillis }: ServiceDemand): number {
  return Math.ceil(millis / (Math.max(1, machineMillis) * MAX_UTILIZATION))
}

/** What a service needs of machines, and what it has. @public */
export interface PoolCount {
  readonly demand: ServiceDemand
  readonly need: number
  /** Not given back yet, since it was needed lately. */
  readonly retained: number
  /** In its pool and not {@link PoolPlanningInput.unusableMachines}, or on their way there. */
  have: number
}

/**
 * Plans changes of pools.
 *
 * @param input - what is known
 * @param counts - by {@link countPools}; those of planned moves are added
 * @returns the changes, those for want of room first
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
  moves.push(...releaseIdleMachines(counts, input, taken, input.maxMoves - moves.length))
  return moves
}

/** @param input - what is known @returns the services' needs and machines @public */
export function countPools (input: Pick<PoolPlanningInput, 'demands' | 'machines' | 'busy' | 'unusableMachines' | 'recentPeakNeed' | 'predictedNeed'>): PoolCount[] {
  return input.demands.map((demand): PoolCount => {
    const need = Math.max(machinesNeeded(demand), input.predictedNeed.get(demand.service) ?? 0)
    return { demand, need, retained: Math.max(need, input.recentPeakNeed.get(demand.service) ?? 0), have: countMachinesIn(demand.service, input) }
  })
}

function countMachinesIn (pool: string, { machines, busy, unusableMachines: unusable }: Pick<PoolPlanningInput, 'machines' | 'busy' | 'unusableMachines'>): number {
  return [...machines.values()].filter(({ machineId, pool: present, state }) => {
    const next = busy.get(machineId)
    if (next !== undefined) return next === pool && state !== 'down'
    return present === pool && state !== 'down' && !unusable.has(machineId)
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

/** A parked machine first, then the least busy one of the service with the most to spare. */
function findMachineFor (receiver: PoolCount, counts: readonly PoolCount[], input: PoolPlanningInput, taken: ReadonlySet<string>): PoolMove | undefined {
  const to = receiver.demand.service
  const isFree = (machine: ListedMachine): boolean =>
    machine.state === 'up' && !input.busy.has(machine.machineId) && !taken.has(machine.machineId) && !input.isRefused(machine.machineId, to)
  const parked = findHeadroomMachine(to, input, isFree)
  if (parked !== undefined) return parked
  // What a service needed a moment ago is kept from being parked, not from one that needs it now.
  const donors = counts.filter((count) => count !== receiver && count.have > count.need).sort((a, b) => (b.have - b.need) - (a.have - a.need))
  for (const { demand } of donors) {
    const machineId = findLeastBusyMachine(demand, input, isFree, MAX_RUNS_TO_DRAIN)
    if (machineId !== undefined) return { machineId, from: demand.service, to }
  }
  return undefined
}

function findHeadroomMachine (to: string, input: PoolPlanningInput, isFree: (machine: ListedMachine) => boolean): PoolMove | undefined {
  const parked = [...input.machines.values()].find((machine) => input.headroomPools.includes(machine.pool) && isFree(machine))
  return parked === undefined ? undefined : { machineId: parked.machineId, from: parked.pool, to }
}

/** The machine with the fewest runs, if it has no more than so many. */
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

/** Idle machines beyond what a service needed lately go to a pool that is off. */
function releaseIdleMachines (counts: readonly PoolCount[], input: PoolPlanningInput, taken: ReadonlySet<string>, most: number): PoolMove[] {
  const [pool] = input.headroomPools
  if (pool === undefined || !input.mayReleaseMachines) return []
  const chosen = new Set(taken)
  const moves: PoolMove[] = []
  for (const count of counts) {
    const isFree = (machine: ListedMachine): boolean =>
      machine.state === 'up' && !input.busy.has(machine.machineId) && !chosen.has(machine.machineId) && !input.isRefused(machine.machineId, pool)
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
