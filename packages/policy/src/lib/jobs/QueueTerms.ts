/**
 * What a queue lays down for its jobs, as recorded with a job and as configured now.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import type { JobSpec } from './JobSpec.js'

/** What a queue lays down for its jobs. @public */
export type QueueTerms = Pick<QueueConfiguration, 'priority' | 'attempts' | 'stretch' | 'targetLatencyMs' | 'advice'>

/**
 * Returns the terms that apply to an accepted job. Its attempts are those of its acceptance, also when its queue has changed or is gone. Priority and
 * objective, which operators adjust for waiting jobs too, are those of the present queue while there is one. Tickets are needed if the queue needed
 * them at its acceptance or needs them now, since workers ask for them by the job's queue.
 *
 * @param spec - the job
 * @param present - its queue in the present configuration, `undefined` if it was removed
 * @returns the terms; `undefined` if the queue was removed and an older program version accepted the job
 * @public
 */
export function effectiveTerms ({ queueTerms: recorded }: JobSpec, present: QueueTerms | undefined): QueueTerms | undefined {
  if (present === undefined || recorded === undefined) return present ?? recorded
  const { priority, stretch, targetLatencyMs, advice } = present
  return { priority, stretch, targetLatencyMs, attempts: recorded.attempts, advice: advice ?? recorded.advice }
}

/**
 * Returns the terms to record with a job.
 *
 * @param queue - the queue that the job is submitted to
 * @returns its terms
 * @public
 */
export function queueTermsOf ({ priority, attempts, stretch, targetLatencyMs, advice }: QueueTerms): QueueTerms {
  return { priority, attempts, stretch, targetLatencyMs, ...(advice === undefined ? {} : { advice }) }
}

/** Attempts for jobs of a removed queue whose record does not tell them; the value that most queues have. */
const DEFAULT_ATTEMPTS = 3

/**
 * Returns the number of failed runs of one task after which a job fails.
 *
 * @param spec - the job
 * @param present - its queue in the present configuration, `undefined` if it was removed
 * @returns the number of runs
 * @public
 */
export const maxAttemptsOf = (spec: JobSpec, present: QueueTerms | undefined): number => effectiveTerms(spec, present)?.attempts ?? DEFAULT_ATTEMPTS
