/**
 * Chooses machines to move between pools, as fast as the platform takes such orders.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'
import { countPools, NEED_WINDOW_MS, planPools, type PoolMove, type PoolPlanningInput, MachineNeedTracker } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { ShortageLog } from './ShortageLog.js'

/** What the balancer works with. @public */
export interface PoolBalancerOptions {
  readonly log: EventLog
  /** How many orders the platform takes in a second, from all hosts together. */
  readonly ordersPerS: () => number
}

/** What is known of pools and machines at the moment. @public */
export type PoolSnapshot = Pick<PoolPlanningInput, 'demands' | 'headroomPools' | 'machines' | 'busy'>

/** Share of the platform's rate that is used for moves: upkeep and repeated orders need the rest. */
const MOVES_SHARE = 0.8
/** What was not used for so long is not caught up with: the rate counts each second. */
const MOST_PAUSE_MS = 250
/** Longer than a worker takes to register after a start, or to be back after the store was away. */
const USELESS_MS = 4000
const MS_PER_S = 1000

/** The balancer, for one tenure of the holder of machines. @public */
export class PoolBalancer {
  readonly #options: PoolBalancerOptions
  readonly #needs = new MachineNeedTracker()
  readonly #shortages: ShortageLog
  readonly #refused = new Set<string>()
  readonly #uselessSinceMs = new Map<string, number>()
  #beganMs: number | undefined
  #plannedMs = -Infinity

  /** @param options - what it works with */
  constructor (options: PoolBalancerOptions) {
    this.#options = options
    this.#shortages = new ShortageLog(options.log)
  }

  /** @param machineId - that cannot go to a pool @param pool - which */
  recordRefusal (machineId: string, pool: string): void {
    this.#refused.add(`${machineId} ${pool}`)
  }

  /** @param situation - at the moment @param nowMs - monotonic @returns the moves that should begin now */
  plan (situation: PoolSnapshot, nowMs: number): PoolMove[] {
    this.#beganMs ??= nowMs
    const { demands } = situation
    const view: PoolPlanningInput = {
      ...situation,
      unusableMachines: this.#unusable(situation, nowMs),
      isRefused: (machineId, pool) => this.#refused.has(`${machineId} ${pool}`),
      recentPeakNeed: this.#needs.trackRecentPeak(demands, nowMs),
      predictedNeed: this.#needs.predictNeed(demands, nowMs),
      maxMoves: this.#mostMoves(nowMs),
      mayReleaseMachines: nowMs - this.#beganMs > NEED_WINDOW_MS
    }
    const counts = countPools(view)
    this.#shortages.logChanges(counts, nowMs)
    return planPools(view, counts)
  }

  /** Machines that are up while no worker of theirs is ready for work: it cannot be reached, ends, or is not known. */
  #unusable ({ demands, machines, busy }: PoolSnapshot, nowMs: number): Set<string> {
    const usableBy = new Map(demands.map(({ service, runsByMachine }) => [service, runsByMachine]))
    const isUseless = ({ machineId, pool, state }: ListedMachine): boolean =>
      state === 'up' && !busy.has(machineId) && usableBy.get(pool)?.has(machineId) === false
    const useless = new Set([...machines.values()].filter(isUseless).map(({ machineId }) => machineId))
    for (const machineId of this.#uselessSinceMs.keys()) if (!useless.has(machineId)) this.#uselessSinceMs.delete(machineId)
    for (const machineId of useless) if (!this.#uselessSinceMs.has(machineId)) this.#uselessSinceMs.set(machineId, nowMs)
    return new Set([...useless].filter((machineId) => nowMs - (this.#uselessSinceMs.get(machineId) ?? nowMs) >= USELESS_MS))
  }

  /** As many as the platform takes in the time since they were planned last. */
  #mostMoves (nowMs: number): number {
    const sinceMs = Math.min(MOST_PAUSE_MS, nowMs - this.#plannedMs)
    this.#plannedMs = nowMs
    return Math.max(1, Math.floor(this.#options.ordersPerS() * MOVES_SHARE * sinceMs / MS_PER_S))
  }
}
