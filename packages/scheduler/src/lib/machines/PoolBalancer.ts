/**
 * Chooses machines to move between pools, within the platform's order rate.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'
import { countPools, NEED_WINDOW_MS, planPools, type PoolMove, type PoolPlanningInput, MachineNeedTracker } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { ShortageLog } from './ShortageLog.js'

/** Dependencies and settings of a {@link PoolBalancer}. @public */
export interface PoolBalancerOptions {
  readonly log: EventLog
  /** Orders per second that the platform accepts from all hosts together. */
  readonly ordersPerS: () => number
  /** Whether machines of an availability zone provide no capacity, and are not moved, because the zone is evacuated. */
  readonly isEvacuated: (availabilityZone: string) => boolean
}

/** Current demands, pools and machines. @public */
export type PoolSnapshot = Pick<PoolPlanningInput, 'demands' | 'headroomPools' | 'machines' | 'busy'>

/** Share of the platform's order rate that moves may use: maintenance and retried orders need the rest. */
const MOVE_RATE_SHARE = 0.8
/** Unused move budget accumulates for at most this time, because the platform enforces the rate for each second. */
const MAX_BUDGET_INTERVAL_MS = 250
/** Longer than a worker takes to register after a start, or to return after a store outage. */
const UNUSABLE_AFTER_MS = 4000
const MS_PER_S = 1000

/** Plans moves of machines between pools during one tenure of the machine duty. @public */
export class PoolBalancer {
  readonly #options: PoolBalancerOptions
  readonly #needs = new MachineNeedTracker()
  readonly #shortages: ShortageLog
  readonly #refused = new Set<string>()
  readonly #noUsableWorkerSinceMs = new Map<string, number>()
  #firstPlanMs: number | undefined
  #lastPlanMs = -Infinity

  /** @param options - dependencies and settings */
  constructor (options: PoolBalancerOptions) {
    this.#options = options
    this.#shortages = new ShortageLog(options.log)
  }

  /** Excludes a move that the platform refused. @param machineId - the machine @param pool - the pool that it cannot move to */
  recordRefusal (machineId: string, pool: string): void {
    this.#refused.add(`${machineId} ${pool}`)
  }

  /** Plans the next moves. @param snapshot - current state @param nowMs - monotonic time @returns the moves to start now */
  plan (snapshot: PoolSnapshot, nowMs: number): PoolMove[] {
    this.#firstPlanMs ??= nowMs
    const { demands } = snapshot
    const input: PoolPlanningInput = {
      ...snapshot,
      evacuatedMachines: this.#findEvacuated(snapshot),
      unusableMachines: this.#findUnusable(snapshot, nowMs),
      isRefused: (machineId, pool) => this.#refused.has(`${machineId} ${pool}`),
      recentPeakNeed: this.#needs.trackRecentPeak(demands, nowMs),
      predictedNeed: this.#needs.predictNeed(demands, nowMs),
      maxMoves: this.#takeMoveBudget(nowMs),
      mayReleaseMachines: nowMs - this.#firstPlanMs > NEED_WINDOW_MS
    }
    const counts = countPools(input)
    this.#shortages.logChanges(counts, nowMs)
    return planPools(input, counts)
  }

  #findEvacuated ({ machines }: PoolSnapshot): Set<string> {
    const evacuated = [...machines.values()].filter(({ availabilityZone }) => this.#options.isEvacuated(availabilityZone))
    return new Set(evacuated.map(({ machineId }) => machineId))
  }

  /** Finds machines that have been up for {@link UNUSABLE_AFTER_MS} without a usable worker: it is unreachable, about to end or unknown. */
  #findUnusable ({ demands, machines, busy }: PoolSnapshot, nowMs: number): Set<string> {
    const usableMachinesByService = new Map(demands.map(({ service, runsByMachine }) => [service, runsByMachine]))
    const hasNoUsableWorker = ({ machineId, pool, state }: ListedMachine): boolean =>
      state === 'up' && !busy.has(machineId) && usableMachinesByService.get(pool)?.has(machineId) === false
    const withoutUsableWorker = new Set([...machines.values()].filter(hasNoUsableWorker).map(({ machineId }) => machineId))
    for (const machineId of this.#noUsableWorkerSinceMs.keys()) if (!withoutUsableWorker.has(machineId)) this.#noUsableWorkerSinceMs.delete(machineId)
    for (const machineId of withoutUsableWorker) if (!this.#noUsableWorkerSinceMs.has(machineId)) this.#noUsableWorkerSinceMs.set(machineId, nowMs)
    return new Set([...withoutUsableWorker].filter((machineId) => nowMs - (this.#noUsableWorkerSinceMs.get(machineId) ?? nowMs) >= UNUSABLE_AFTER_MS))
  }

  /** Returns how many moves may start now: as many as the rate allows for the time since the last plan, but at least one. */
  #takeMoveBudget (nowMs: number): number {
    const sinceMs = Math.min(MAX_BUDGET_INTERVAL_MS, nowMs - this.#lastPlanMs)
    this.#lastPlanMs = nowMs
    return Math.max(1, Math.floor(this.#options.ordersPerS() * MOVE_RATE_SHARE * sinceMs / MS_PER_S))
  }
}
