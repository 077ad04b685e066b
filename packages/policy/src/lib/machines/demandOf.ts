/**
 * Sums up what a service needs of machines.
 *
 * @module
 */
import { hasEnded, openSteps, stepOf, type Job } from '../jobs/JobState.js'
import { cpuDemandOf } from '../placement/placeTasks.js'
import { LASTING_RUN_WEIGHT, type ServiceDemand } from './planPools.js'
import type { WorkerView } from '../placement/WorkerView.js'

/** What the sum is made of. @public */
export interface DemandSources {
  readonly service: string
  readonly jobs: readonly Job[]
  readonly links: readonly WorkerView[]
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** Lasting tasks are spread over so many machines at least: one that is lost takes only a part of them. */
const LEAST_MACHINES = 2
/** For a service none of whose workers is known: the smallest machine known so far, in thousandths of a core. */
const DEFAULT_MACHINE_MILLIS = 16_000

/** @param sources - jobs and workers of a service @returns its demand @public */
export function demandOf ({ service, jobs, links, nowMs, wallMs }: DemandSources): ServiceDemand {
  let wantedMillis = 0
  let leastMachines = LEAST_MACHINES
  for (const job of jobs) {
    if (hasEnded(job)) continue
    for (const step of openSteps(job, wallMs)) {
      const first = step[0]
      if (first === undefined) continue
      const { isLasting, maxPerWorker, taskCount } = stepOf(first)
      wantedMillis += cpuDemandOf(stepOf(first)) * step.filter(({ isDone }) => !isDone).length
      if (isLasting && maxPerWorker > 0) leastMachines = Math.max(leastMachines, Math.ceil(taskCount / maxPerWorker) + 1)
    }
  }
  const open = links.filter((link) => link.takesWork && link.isAnswering(nowMs))
  const sizes = open.map(({ instance }) => instance.capacity.cpuMillis)
  return {
    service,
    wantedMillis,
    leastMachines,
    machineMillis: sizes.length === 0 ? DEFAULT_MACHINE_MILLIS : sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    runsByMachine: new Map(open.filter(({ instance }) => instance.machineId !== '').map((link) => [link.instance.machineId, weightOf(link)]))
  }
}

function weightOf (link: WorkerView): number {
  return [...link.runs.values()].reduce((sum, run) => sum + (stepOf(run.task).isLasting ? LASTING_RUN_WEIGHT : 1), 0)
}
