/**
 * Checks whether placed runs still fit their worker, whose capacity may have shrunk since.
 *
 * @module
 */
import { stepOf, type Run } from '../jobs/JobState.js'
import { minus, type Resources } from '../quotas/resources.js'
import { demandOf } from './suitability.js'
import type { WorkerView } from './WorkerView.js'

/**
 * The room on a worker for runs in phase `recording`. A placement waits for the store, usually 10 ms and sometimes seconds. Workers that do not refuse
 * excess load would be overloaded by a start after they reported less capacity.
 *
 * It is valid until the worker or other runs on it change.
 *
 * @public
 */
export class StartRoom {
  #left: Resources

  /** @param workerView - the worker as it describes itself now, with all runs already requested there, including those being stopped */
  constructor ({ instance, runs }: WorkerView) {
    this.#left = instance.capacity
    for (const run of runs.values()) if (run.phase !== 'recording') this.#left = minus(this.#left, demandOf(stepOf(run.task)))
  }

  /** Takes the room of a run. @param run - a run placed on the worker, in phase `recording` @returns whether it fits; if not, nothing is taken */
  take (run: Run): boolean {
    const left = minus(this.#left, demandOf(stepOf(run.task)))
    if (left.cpuMillis < 0 || left.memoryMb < 0 || left.gpus < 0) return false
    this.#left = left
    return true
  }
}
