/**
 * Tells whether a run that was placed a while ago may still be started: its worker may have shrunk since.
 *
 * @module
 */
import { stepOf, type Run } from '../jobs/JobState.js'
import { cpuDemandOf } from './placeTasks.js'
import type { WorkerView } from './WorkerView.js'

/**
 * A placement waits for the store, 10 ms as a rule and seconds at times. Workers that do not refuse what is too much would be overloaded by
 * a start that comes after they have said how much less they have now.
 *
 * @param workerView - the worker as it describes itself now
 * @param run - placed there, in phase `recording`
 * @returns whether it fits beside all that was ordered there, runs that are being stopped among it
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
