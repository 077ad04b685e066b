/**
 * Computes the remaining capacity of a worker from the runs on it.
 *
 * @module
 */
import { mayCrashWorker } from '../jobs/crashes.js'
import { occupy } from './placeTasks.js'
import type { WorkerRoom } from './WorkerRoom.js'
import type { WorkerView } from './WorkerView.js'

/**
 * Computes the remaining capacity of a worker.
 *
 * @param workerView - the worker
 * @param nowMs - monotonic
 * @returns its capacity without what its runs take
 * @public
 */
export function createWorkerRoom (workerView: WorkerView, nowMs: number): WorkerRoom {
  const { instanceId, labels, capacity } = workerView.instance
  const room: WorkerRoom = {
    instanceId,
    labels,
    capacity,
    isCold: nowMs < workerView.coldUntilMs,
    cpuMillis: capacity.cpuMillis,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
    reservable: capacity,
    latencySensitiveTasks: 0,
    fillers: 0,
    runsByStep: new Map(),
    runsByJob: new Map(),
    lastingRuns: 0,
    reservedFor: [...workerView.runs.values()].find((run) => mayCrashWorker(run, nowMs))?.task.job
  }
  for (const run of workerView.runs.values()) occupy(room, run.task)
  return room
}
