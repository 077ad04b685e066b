/**
 * Measures the capacity that finite tasks of a service share, and how much of it the runs under way still take.
 *
 * @module
 */
import { stepOf, type Run } from '../jobs/JobState.js'
import type { RunTimeEstimator } from '../jobs/RunTimeEstimator.js'
import type { FeasibilityRoom } from '../jobs/selectFeasible.js'
import { mapResources, minus, NO_RESOURCES, plus, resourcesOf, type Resources } from '../quotas/resources.js'
import { cpuDemandOf } from './placeTasks.js'
import type { WorkerView } from './WorkerView.js'

/** A run that takes longer than expected counts with at least this share of the expected time. */
const MIN_LEFT_SHARE = 0.1

/**
 * Measures the room of a service.
 *
 * @param workerViews - the available workers
 * @param runTimes - learned run times
 * @param nowMs - monotonic
 * @returns capacity without lasting runs, and the expected remaining work of the others
 * @public
 */
export function measureFeasibilityRoom (workerViews: readonly WorkerView[], runTimes: RunTimeEstimator, nowMs: number): FeasibilityRoom {
  const sum = (parts: readonly Resources[]): Resources => parts.reduce(plus, NO_RESOURCES)
  const runs = workerViews.flatMap((workerView) => [...workerView.runs.values()])
  const lasting = runs.filter(({ task }) => stepOf(task).isLasting).map(({ task }) => ({ ...resourcesOf(stepOf(task)), cpuMillis: cpuDemandOf(stepOf(task)) }))
  const underWay = runs.filter(({ task }) => !stepOf(task).isLasting).map((run) => remainingWork(run, runTimes, nowMs))
  return { capacity: minus(sum(workerViews.map(({ instance }) => instance.capacity)), sum(lasting)), workUnderWay: sum(underWay) }
}

function remainingWork ({ task, startedMs, placedMs }: Run, runTimes: RunTimeEstimator, nowMs: number): Resources {
  const step = stepOf(task)
  const expectedMs = runTimes.expectedMs(step)
  const leftMs = Math.max(MIN_LEFT_SHARE * expectedMs, expectedMs - (nowMs - (startedMs ?? placedMs ?? nowMs)))
  return mapResources((kind) => step[kind] * leftMs)
}
