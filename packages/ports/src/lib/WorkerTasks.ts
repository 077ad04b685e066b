/**
 * Interface for starting, renewing and stopping tasks on worker hosts.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'

/** The network address at which a worker accepts tasks. @public */
export interface WorkerAddress { readonly address: string, readonly port: number }

/** A request to start a task. The worker stops the task when its lease is not renewed in time. @public */
export interface TaskStart {
  readonly taskId: string
  readonly fencingToken: number
  readonly leaseMs: number
  readonly slots: number
  /** The command to run, exactly as the job's submitter wrote it. */
  readonly command: string
  /** The last checkpoint of an earlier run, from which this one resumes. */
  readonly checkpoint?: string | undefined
}

/** A worker's report on a task; it may lag behind. `unknown-task`: the task was never started on this worker, or its lease expired. @public */
export interface TaskReport {
  readonly taskId: string
  readonly state: 'running' | 'done' | 'failed' | 'unknown-task'
  /** The observed number of slots in use. */
  readonly usedSlots: number
  readonly checkpoint?: string | undefined
  readonly detail?: string | undefined
}

/** Starts, renews and stops tasks on worker hosts. @public */
export interface WorkerTasks {
  /** @param worker - the worker to start the task on @param task - the task @returns whether it started; `refused` guarantees that it did not run */
  start(worker: WorkerAddress, task: TaskStart): Promise<Result<'started' | 'refused', PlatformError>>
  /** @param worker - the worker @param taskIds - the tasks to renew @param leaseMs - the new lease duration from now @returns a report on each task */
  renew(worker: WorkerAddress, taskIds: readonly string[], leaseMs: number): Promise<Result<readonly TaskReport[], PlatformError>>
  /** @param worker - the worker @param taskId - the task to stop @returns a report with its last checkpoint, once the task has stopped */
  stop(worker: WorkerAddress, taskId: string): Promise<Result<TaskReport, PlatformError>>
}
