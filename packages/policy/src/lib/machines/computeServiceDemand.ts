/**
 * Computes the demand of a service for machines.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'
import type { StepSpec } from '../jobs/JobSpec.js'
import { hasEnded, isOpen, stepOf, type Job } from '../jobs/JobState.js'
import { countReadyTasks } from '../jobs/jobTasks.js'
import { cpuDemandOf, demandOf } from '../placement/suitability.js'
import { mapResources, NO_RESOURCES, plus, RESOURCE_KINDS, resourcesOf, times, type Resources } from '../quotas/resources.js'
import { MachineSizes } from './MachineSizes.js'
import { LASTING_RUN_WEIGHT, MAX_UTILIZATION, type ServiceDemand } from './planPools.js'
import { type AvailabilityContext, countsAsCapacity } from '../placement/unavailability.js'
import type { WorkerView } from '../placement/WorkerView.js'

/** State from which the demand of a service is computed. @public */
export interface DemandSources {
  readonly service: string
  readonly jobs: readonly Job[]
  readonly workerViews: readonly WorkerView[]
  /** Limit of an account, `undefined` if it has none; work beyond it needs no machines. */
  readonly limitOf: (account: AccountName) => Resources | undefined
  readonly isEvacuated: AvailabilityContext['isEvacuated']
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** Lasting tasks are spread over at least this many machines, so that the loss of one takes only a part of them. */
const MIN_MACHINES = 2

/** @param sources - jobs and workers of a service @returns the demand of the service @public */
export function computeServiceDemand ({ service, jobs, workerViews, limitOf, isEvacuated, nowMs, wallMs }: DemandSources): ServiceDemand {
  const availableWorkers = workerViews.filter((workerView) => countsAsCapacity(workerView, { nowMs, isEvacuated, isMachineDraining: () => false }))
  const sizes = new MachineSizes(availableWorkers.map(({ instance }) => instance.capacity))
  const wanted = new DemandByAccount(limitOf, sizes)
  let leastMachines = MIN_MACHINES
  for (const job of jobs) {
    if (hasEnded(job)) continue
    for (const { stepIndex, count } of countReadyTasks(job, wallMs, isOpen)) {
      const step = job.spec.steps[stepIndex] as StepSpec
      const { isLasting, maxPerWorker, taskCount } = step
      wanted.add(job.spec.owner?.account, step, count)
      if (isLasting && maxPerWorker > 0) leastMachines = Math.max(leastMachines, Math.ceil(taskCount / maxPerWorker) + 1)
    }
  }
  return {
    service,
    wantedMillis: wanted.cpuMillis(),
    leastMachines: Math.max(leastMachines, wanted.machines()),
    machineMillis: sizes.mean.cpuMillis,
    runsByMachine: new Map(availableWorkers.filter(({ instance }) => instance.machineId !== '').map((workerView) => [workerView.instance.machineId, weightOf(workerView)]))
  }
}

/**
 * Demand of the tasks of an account: their resources as limits count them, their CPU, and the machines that they fill. The latter are counted by resource:
 * in `shares` by the size of the tasks, in `places` by how many of them fit on one machine.
 */
interface AccountDemand { cpuMillis: number, resources: Resources, shares: Resources, places: Resources }

/** Sums the demand of unfinished tasks by account, and caps it at the account's limit. */
class DemandByAccount {
  readonly #limitOf: DemandSources['limitOf']
  readonly #sizes: MachineSizes
  readonly #demands = new Map<AccountName | undefined, AccountDemand>()

  constructor (limitOf: DemandSources['limitOf'], sizes: MachineSizes) {
    this.#limitOf = limitOf
    this.#sizes = sizes
  }

  add (account: AccountName | undefined, step: StepSpec, taskCount: number): void {
    const demand = this.#demands.get(account) ?? { cpuMillis: 0, resources: NO_RESOURCES, shares: NO_RESOURCES, places: NO_RESOURCES }
    this.#demands.set(account, demand)
    demand.cpuMillis += cpuDemandOf(step) * taskCount
    demand.resources = plus(demand.resources, times(resourcesOf(step), taskCount))
    const each = demandOf(step)
    if (!this.#sizes.isWithinLargest(each)) return
    demand.shares = plus(demand.shares, scale(this.#sizes.sharesOf(each), taskCount))
    demand.places = plus(demand.places, scale(this.#sizes.placesOf(each), taskCount))
  }

  cpuMillis (): number {
    return this.#sum(({ cpuMillis }) => cpuMillis, Math.ceil)
  }

  /** Returns how many machines the tasks fill by their scarcest resource. */
  machines (): number {
    const byShare = RESOURCE_KINDS.map((kind) => this.#sum(({ shares }) => shares[kind] / MAX_UTILIZATION))
    const byPlace = RESOURCE_KINDS.map((kind) => this.#sum(({ places }) => places[kind]))
    return Math.ceil(Math.max(...byShare, ...byPlace))
  }

  #sum (amountOf: (demand: AccountDemand) => number, round = (amount: number): number => amount): number {
    return [...this.#demands].reduce((sum, [account, demand]) => {
      const limit = account === undefined ? undefined : this.#limitOf(account)
      const shares = limit === undefined ? [] : RESOURCE_KINDS.map((kind) => demand.resources[kind] === 0 ? 1 : limit[kind] / demand.resources[kind])
      return sum + round(amountOf(demand) * Math.min(1, ...shares))
    }, 0)
  }
}

const scale = (amounts: Resources, factor: number): Resources => mapResources((kind) => amounts[kind] * factor)

function weightOf (workerView: WorkerView): number {
  return [...workerView.runs.values()].reduce((sum, run) => sum + (stepOf(run.task).isLasting ? LASTING_RUN_WEIGHT : 1), 0)
}
