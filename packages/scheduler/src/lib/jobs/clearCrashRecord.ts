/**
 * Takes back the points of a task whose run is known to have survived its start.
 *
 * @module
 */
import { createCrashRecord, knownSurvivalMs, type Job, type Run, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** Dependencies of {@link clearCrashRecord}. @public */
export interface ClearCrashRecordOptions {
  readonly log: EventLog
  /** Called with the job if its task had points. */
  readonly onChanged: (job: Job, tasks: readonly Task[]) => void
}

/**
 * Clears the points of a task, if it has any.
 *
 * @param run - the run that has survived
 * @param aliveMs - monotonic time at which its worker is known to have been alive
 * @param options - the log, and what to call if the task had points
 */
export function clearCrashRecord (run: Run, aliveMs: number, { log, onChanged }: ClearCrashRecordOptions): void {
  const { task, instanceId } = run
  const { points } = task.crashes
  if (points === 0) return
  task.crashes = createCrashRecord()
  log.info({ taskKey: task.key, instanceId, points, survivedMs: Math.round(knownSurvivalMs(run, aliveMs)) }, 'task survived its start')
  onChanged(task.job, [task])
}
