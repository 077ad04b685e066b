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
export interface PoolView {
  readonly demands: readonly ServiceDemand[]
  /** Pools whose machines are off. */
  readonly headroomPools: readonly string[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Machines that are being emptied, moved or kept up; they count for the pool where they will be. */
  readonly busy: ReadonlyMap<string, string>
  /** Machines that are up in a service's pool and have been of no use to it for so long that they are not counted on. */
  readonly unusable: ReadonlySet<string>
  /** Pairs of machine and pool that the platform refused. */
  readonly isRefused: (machineId: string, pool: string) => boolean
  /** Whether needs were watched for long enough to give room back. */
  readonly mayPark: boolean
  /** The most that a service needed lately: room is given back only after a while without need. */
  readonly recentNeed: ReadonlyMap<string, number>
  /** So many changes may begin now. */
  readonly mostMoves: number
  /** What a growing service will need by the time a machine has moved. */
  readonly comingNeed: ReadonlyMap<string, number>
}

/** A lasting task has to be moved, which its users notice; others only finish. @public */
export const LASTING_RUN_WEIGHT = 10

/** Room is added when more than this share of it is wanted: tasks do not fit without gaps. */
const FULL_SHARE = 0.85
/** A machine with more runs is not emptied for another service: what runs would take too long to leave. */
const MOST_RUNS_TO_LEAVE = 4

/** @param demand - of a service @returns how many machines it needs now @public */
export function machinesNeeded (demand: ServiceDemand): number {
  return Math.max(demand.leastMachines, machinesFor(demand.wantedMillis, demand))
}

/** @param millis - processor time @param demand - of the service @returns how many of its machines carry that @public */
export function machinesFor (millis: number, { machineMillis }: ServiceDemand): number {
  return Math.ceil(millis / (Math.max(1, machineMillis) * FULL_SHARE))
}

/** What a service needs of machines, and what it has. @public */
export interface PoolCount {
  readonly demand: ServiceDemand
  readonly need: number
  /** Not given back yet, since it was needed lately. */
  readonly keep: number
  /** In its pool and not {@link PoolView.unusable}, or on their way there. */
  have: number
}

/**
 * Plans changes of pools.
 *
 * @param view - what is known
 * @param counts - by {@link countPools}; those of planned moves are added
 * @returns the changes, those for want of room first
 * @public
 */
export function planPools (view: PoolView, counts = countPools(view)): PoolMove[] {
  const taken = new Set<string>()
  const moves: PoolMove[] = []
  for (const wanting of [...counts].sort((a, b) => (b.need - b.have) - (a.need - a.have))) {
    while (wanting.have < wanting.need && moves.length < view.mostMoves) {
      const move = findMachine(wanting, counts, view, taken)
      if (move === undefined) break
      apply(move, counts, taken, moves)
    }
  }
  moves.push(...giveBack(counts, view, taken, view.mostMoves - moves.length))
  return moves
}

/** @param view - what is known @returns the services' needs and machines @public */
export function countPools (view: Pick<PoolView, 'demands' | 'machines' | 'busy' | 'unusable' | 'recentNeed' | 'comingNeed'>): PoolCount[] {
  return view.demands.map((demand): PoolCount => {
    const need = Math.max(machinesNeeded(demand), view.comingNeed.get(demand.service) ?? 0)
    return { demand, need, keep: Math.max(need, view.recentNeed.get(demand.service) ?? 0), have: countIn(demand.service, view) }
  })
}

function countIn (pool: string, { machines, busy, unusable }: Pick<PoolView, 'machines' | 'busy' | 'unusable'>): number {
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
function findMachine (wanting: PoolCount, counts: readonly PoolCount[], view: PoolView, taken: ReadonlySet<string>): PoolMove | undefined {
  const to = wanting.demand.service
  const isFree = (machine: ListedMachine): boolean =>
    machine.state === 'up' && !view.busy.has(machine.machineId) && !taken.has(machine.machineId) && !view.isRefused(machine.machineId, to)
  const parked = parkedMachine(to, view, isFree)
  if (parked !== undefined) return parked
  // What a service needed a moment ago is kept from being parked, not from one that needs it now.
  const givers = counts.filter((count) => count !== wanting && count.have > count.need).sort((a, b) => (b.have - b.need) - (a.have - a.need))
  for (const { demand } of givers) {
    const machineId = leastBusyMachine(demand, view, isFree, MOST_RUNS_TO_LEAVE)
    if (machineId !== undefined) return { machineId, from: demand.service, to }
  }
  return undefined
}

function parkedMachine (to: string, view: PoolView, isFree: (machine: ListedMachine) => boolean): PoolMove | undefined {
  const parked = [...view.machines.values()].find((machine) => view.headroomPools.includes(machine.pool) && isFree(machine))
  return parked === undefined ? undefined : { machineId: parked.machineId, from: parked.pool, to }
}

/** The machine with the fewest runs, if it has no more than so many. */
function leastBusyMachine (demand: ServiceDemand, view: PoolView, isFree: (machine: ListedMachine) => boolean, mostRuns: number): string | undefined {
  let best: string | undefined
  let fewest = mostRuns + 1
  for (const [machineId, runs] of demand.runsByMachine) {
    const machine = view.machines.get(machineId)
    if (runs < fewest && machine?.pool === demand.service && isFree(machine)) [best, fewest] = [machineId, runs]
  }
  return best
}

/** Idle machines beyond what a service needed lately go to a pool that is off. */
function giveBack (counts: readonly PoolCount[], view: PoolView, taken: ReadonlySet<string>, most: number): PoolMove[] {
  const [pool] = view.headroomPools
  if (pool === undefined || !view.mayPark) return []
  const chosen = new Set(taken)
  const moves: PoolMove[] = []
  for (const count of counts) {
    const isFree = (machine: ListedMachine): boolean =>
      machine.state === 'up' && !view.busy.has(machine.machineId) && !chosen.has(machine.machineId) && !view.isRefused(machine.machineId, pool)
    while (count.have > count.keep && moves.length < most) {
      const machineId = leastBusyMachine(count.demand, view, isFree, 0)
      if (machineId === undefined) break
      chosen.add(machineId)
      count.have--
      moves.push({ machineId, from: count.demand.service, to: pool })
    }
  }
  return moves
}
