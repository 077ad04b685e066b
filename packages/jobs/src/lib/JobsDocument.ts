/**
 * Defines how the jobs of a zone are stored: in one document, so that a single compare-and-swap writes a batch of changes.
 *
 * @module
 */
import { z } from 'zod'
import { isHostId, labelSelectorSchema, type HostId } from '@quillscale/model'

/** Maximum number of jobs in the document of a zone, which keeps it well below the platform's limit on the size of a value. @public */
export const MAX_JOBS_PER_ZONE = 2500
/** Time for which an ended job is kept and can still be queried. @public */
export const ENDED_JOB_RETENTION_MS = 600_000
const MAX_COMMAND_LENGTH = 2000

/** Schema of a job submission. @public */
export const jobSubmissionSchema = z.strictObject({
  team: z.string().min(1).max(63),
  /** Groups similar jobs of a team; their actual size is estimated per kind. */
  kind: z.string().min(1).max(63).default('default'),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  /** Selects the hosts that may run the job. */
  selector: labelSelectorSchema.default({ matchLabels: {}, matchExpressions: [] }),
  /** Declared number of slots that the job needs. */
  slots: z.number().int().min(1).max(1000).default(1),
  command: z.string().min(1).max(MAX_COMMAND_LENGTH),
  /** Whether the job must never be started again once it may have run. */
  atMostOnce: z.boolean().default(false)
})

const jobSchema = jobSubmissionSchema.extend({
  jobId: z.string(),
  /** `starting` is stored before the worker is asked to start the run; `lost` ends an at-most-once job that may have run. */
  state: z.enum(['queued', 'starting', 'running', 'done', 'failed', 'cancelled', 'lost']),
  submittedMs: z.number(),
  /** Time at which the current state began. */
  sinceMs: z.number(),
  hostId: z.custom<HostId>(isHostId).optional(),
  attempt: z.number().int().default(0),
  /** Hosts on which the job has failed. */
  failedOn: z.array(z.string()).default([]),
  /** Number of consecutive runs that were lost with their worker soon after their start. */
  lostRuns: z.number().int().default(0),
  /** Number of lost runs since `lostRuns` was last 0 that are not counted there, because workers were being lost without the job. */
  excusedLostRuns: z.number().int().optional(),
  checkpoint: z.string().optional(),
  reason: z.string().optional()
})

/** Schema of the stored jobs of a zone. @public */
export const jobsDocumentSchema = z.object({
  revision: z.number().int().nonnegative(),
  fencingToken: z.number(),
  jobs: z.record(z.string(), jobSchema)
})

/** Job submission with its defaults filled in. @public */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>
/** Stored job: its submission and its current state. @public */
export type Job = z.infer<typeof jobSchema>
/** Stored jobs of a zone, by job id. @public */
export type JobsDocument = z.infer<typeof jobsDocumentSchema>

/** Initial document of a zone, without jobs. @public */
export const NO_JOBS: JobsDocument = { revision: 0, fencingToken: 0, jobs: {} }

const ENDED_STATES: ReadonlySet<Job['state']> = new Set(['done', 'failed', 'cancelled', 'lost'])

/**
 * Tells whether a job has ended.
 *
 * @param job - the job
 * @returns whether its state is final
 * @public
 */
export const isEnded = (job: Job): boolean => ENDED_STATES.has(job.state)
/**
 * Tells whether a job is placed, that is, occupies slots of a host.
 *
 * @param job - the job
 * @returns whether it is starting or running
 * @public
 */
export const isPlaced = (job: Job): boolean => job.state === 'starting' || job.state === 'running'
/**
 * Returns the task id under which a worker knows the current run of a job.
 *
 * @param job - the job
 * @returns the task id, which is different for each attempt
 * @public
 */
export const taskIdOf = (job: Job): string => `${job.jobId}.${job.attempt}`
