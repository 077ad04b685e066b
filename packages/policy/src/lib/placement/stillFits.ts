/**
 * Checks whether a placed run still fits its worker, whose capacity may have shrunk since.
 *
 * @module
 */
import { stepOf, type Run } from '../jobs/JobState.js'
import { cpuDemandOf } from './suitability.js'
import type { WorkerView } from './WorkerView.js'

/**
 * Checks whether a placed run still fits. A placement waits for the store, usually 10 ms and sometimes seconds. Workers that do not refuse excess
 * load would be overloaded by a start after they reported less capacity.
 *
 * @param workerView - the worker as it describes itself now
 * @param run - a run placed on it, in phase `recording`
 * @returns whether it fits beside all runs already requested there, including those being stopped
 * @public
 */
export function stillFits (workerView: WorkerView, run: Run): boolean {
  const room = { ...workerView.instance.capacity }
  for (const other of workerView.runs.values()) {
    if (other !== run && other.phase === 'recording') continue
    const step = stepOf(other.task)
    room.cpuMillis -= cpuDemandOf(step)
    room.memoryMb -= step.memoryMb
    room.gpus -= step.gpus
  }
  return room.cpuMillis >= 0 && room.memoryMb >= 0 && room.gpus >= 0
}
