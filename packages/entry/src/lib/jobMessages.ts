/**
 * What callers see of a job, and the messages in which entry hosts ask the holder of a zone about jobs.
 *
 * @module
 */
import { z } from 'zod'
import { jobSubmissionSchema, type Job } from '@quillscale/jobs'

/** The topics of this concern. @public */
export const JOB_TOPICS = { submit: 'jobs/submit', get: 'jobs/get', cancel: 'jobs/cancel' } as const

/** Checks a submission that another entry host passes on. @internal */
export const submitSchema = z.object({ jobId: z.string().max(100), submission: jobSubmissionSchema })
/** Checks a question about one job. @internal */
export const jobIdSchema = z.object({ jobId: z.string() })
/** Checks the holder's answer. @internal */
export const holderAnswerSchema = z.union([
  z.object({ job: z.looseObject({ jobId: z.string(), state: z.string() }) }),
  z.object({ refusal: z.object({ kind: z.string(), detail: z.string() }) })
])

/** What callers see of a job. @public */
export type JobView = Pick<Job, 'jobId' | 'state' | 'team' | 'priority' | 'submittedMs' | 'sinceMs' | 'attempt' | 'hostId' | 'reason'>

/** @param job - as it is stored @returns what callers see of it @internal */
export function viewOf ({ jobId, state, team, priority, submittedMs, sinceMs, attempt, hostId, reason }: Job): JobView {
  return { jobId, state, team, priority, submittedMs, sinceMs, attempt, hostId, reason }
}
