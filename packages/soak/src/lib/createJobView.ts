/**
 * Creates the record of a job before its client submits it.
 *
 * @module
 */
import type { JobView } from './History.js'

/** What a client knows of a job before it submits it. */
type NewJob = Pick<JobView, 'jobId' | 'steps' | 'account' | 'crashesWorkers' | 'sentToExtraQueueMs' | 'startsAfterMs' | 'submitted'>

/** @param job - the job @returns its record, without any observation @public */
export function createJobView (job: NewJob): JobView {
  return { ...job, acceptedMs: undefined, cancelAcknowledgedMs: undefined, isCancelSent: false, unknownAtMs: [], failedAtMs: [], finalState: '' }
}
