/**
 * Computes the demand of a service for machines.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'
import { hasEnded, listReadySteps, stepOf, type Job, type Task } from '../jobs/JobState.js'
import { cpuDemandOf } from '../placement/suitability.js'
import { NO_RESOURCES, plus, RESOURCE_KINDS, resourcesOf, times, type Resources } from '../quotas/resources.js'
import { LASTING_RUN_WEIGHT, type ServiceDemand } from './planPools.js'
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
/** Assumed machine size for a service without available workers: the smallest machine in use, in thousandths of a core. */
const DEFAULT_MACHINE_MILLIS = 16_000

/** @param sources - jobs and workers of a service @returns the demand of the service @public */
export function computeServiceDemand ({ service, jobs, workerViews, limitOf, isEvacuated, nowMs, wallMs }: DemandSources): ServiceDemand {
  const wanted = new DemandByAccount(limitOf)
  let leastMachines = MIN_MACHINES
  for (const job of jobs) {
    if (hasEnded(job)) continue
    for (const step of listReadySteps(job, wallMs)) {
      const first = step[0]
      if (first === undefined) continue
      const { isLasting, maxPerWorker, taskCount } = stepOf(first)
      wanted.add(first, step.filter(({ isDone }) => !isDone).length)
      if (isLasting && maxPerWorker > 0) leastMachines = Math.max(leastMachines, Math.ceil(taskCount / maxPerWorker) + 1)
    }
  }
  const availableWorkers = workerViews.filter((workerView) => countsAsCapacity(workerView, { nowMs, isEvacuated, isMachineDraining: () => false }))
  const sizes = availableWorkers.map(({ instance }) => instance.capacity.cpuMillis)
  return {
    service,
    wantedMillis: wanted.cpuMillis(),
    leastMachines,
    machineMillis: sizes.length === 0 ? DEFAULT_MACHINE_MILLIS : sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    runsByMachine: new Map(availableWorkers.filter(({ instance }) => instance.machineId !== '').map((workerView) => [workerView.instance.machineId, weightOf(workerView)]))
  }
}

interface AccountDemand { cpuMillis: number, resources: Resources }

/** Sums the demand of unfinished tasks by account, and caps it at the account's limit. */
class DemandByAccount {
  readonly #limitOf: DemandSources['limitOf']
  readonly #demands = new Map<AccountName | undefined, AccountDemand>()

  constructor (limitOf: DemandSources['limitOf']) {
    this.#limitOf = limitOf
  }

  add (first: Task, taskCount: number): void {
    const account = first.job.spec.owner?.account
    const demand = this.#demands.get(account) ?? { cpuMillis: 0, resources: NO_RESOURCES }
    this.#demands.set(account, demand)
    demand.cpuMillis += cpuDemandOf(stepOf(first)) * taskCount
    demand.resources = plus(demand.resources, times(resourcesOf(stepOf(first)), taskCount))
  }

  cpuMillis (): number {
    return [...this.#demands].reduce((sum, [account, { cpuMillis, resources }]) => {
      const limit = account === undefined ? undefined : this.#limitOf(account)
      const shares = limit === undefined ? [] : RESOURCE_KINDS.map((kind) => resources[kind] === 0 ? 1 : limit[kind] / resources[kind])
      return sum + Math.ceil(cpuMillis * Math.min(1, ...shares))
    }, 0)
  }
}

function weightOf (workerView: WorkerView): number {
  return [...workerView.runs.values()].reduce((sum, run) => sum + (stepOf(run.task).isLasting ? LASTING_RUN_WEIGHT : 1), 0)
}
