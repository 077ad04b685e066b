/**
 * Lists the ready steps of a job with their tasks.
 *
 * @module
 */
import type { Job, Task } from '../lib/jobs/JobState.js'
import { countDue, createdTasksOf, createTasks, readyStepsOf } from '../lib/jobs/jobTasks.js'

/** @param job - a job that has not ended @param wallMs - current wall-clock time @returns the created tasks of each ready step, at least one of each */
export function listReadySteps (job: Job, wallMs: number): Task[][] {
  const due = Array.from({ length: countDue(job, wallMs) }, (_, occurrence) => occurrence)
  return due.filter((occurrence) => !job.doneOccurrences.has(occurrence)).flatMap((occurrence) => {
    createdTasksOf(job, occurrence)
    return readyStepsOf(job, occurrence).map((stepIndex) => createTasks(job, occurrence, stepIndex, 1))
  })
}
