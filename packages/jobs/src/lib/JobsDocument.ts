/**
 * The jobs of a zone as they are stored: one document, so that one compare-and-swap carries a batch of changes.
 *
 * @module
 */
import { z } from 'zod'
import { isHostId, labelSelectorSchema, type HostId } from '@quillscale/model'

/** The most jobs that a zone's document holds, well below the platform's value size. @public */
export const MAX_JOBS_PER_ZONE = 2500
/** How long an ended job can be asked about. @public */
export const ENDED_JOB_RETENTION_MS = 600_000
const MAX_COMMAND_LENGTH = 2000

/** Checks a job as it is submitted. @public */
export const jobSubmissionSchema = z.strictObject({
  team: z.string().min(1).max(63),
  /** Sums up jobs of one kind: sizes are learned for each. */
  kind: z.string().min(1).max(63).default('default'),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  /** Which hosts may run it. */
  selector: labelSelectorSchema.default({ matchLabels: {}, matchExpressions: [] }),
  /** Slots that it is said to need. */
  slots: z.number().int().min(1).max(1000).default(1),
  command: z.string().min(1).max(MAX_COMMAND_LENGTH),
  /** A job that may have run is then never started again. */
  atMostOnce: z.boolean().default(false)
})

const jobSchema = jobSubmissionSchema.extend({
  jobId: z.string(),
  /** `starting` is written before the worker is asked; `lost` ends a job that may not run twice and may have run. */
  state: z.enum(['queued', 'starting', 'running', 'done', 'failed', 'cancelled', 'lost']),
  submittedMs: z.number(),
  /** Of the present state. */
  sinceMs: z.number(),
  hostId: z.custom<HostId>(isHostId).optional(),
  attempt: z.number().int().default(0),
  /** Hosts it failed on. */
  failedOn: z.array(z.string()).default([]),
  /** Runs in a row that were lost with their worker before they had gone on for long. */
  lostRuns: z.number().int().default(0),
  checkpoint: z.string().optional(),
  reason: z.string().optional()
})

/** Checks a zone's jobs. @public */
export const jobsDocumentSchema = z.object({
  revision: z.number().int().nonnegative(),
  fencingToken: z.number(),
  jobs: z.record(z.string(), jobSchema)
})

/** A job as it is submitted. @public */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>
/** A job. @public */
export type Job = z.infer<typeof jobSchema>
/** A zone's jobs. @public */
export type JobsDocument = z.infer<typeof jobsDocumentSchema>

/** A zone without jobs. @public */
export const NO_JOBS: JobsDocument = { revision: 0, fencingToken: 0, jobs: {} }

const ENDED_STATES: ReadonlySet<Job['state']> = new Set(['done', 'failed', 'cancelled', 'lost'])

/** @param job - any @returns whether it has ended @public */
export const isEnded = (job: Job): boolean => ENDED_STATES.has(job.state)
/** @param job - any @returns whether it holds slots of a host @public */
export const isPlaced = (job: Job): boolean => job.state === 'starting' || job.state === 'running'
/** @param job - any @returns the id of its present run at a worker @public */
export const taskIdOf = (job: Job): string => `${job.jobId}.${job.attempt}`
