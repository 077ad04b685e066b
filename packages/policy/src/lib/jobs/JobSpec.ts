/**
 * The specification of a job, as clients submit it and as it is stored.
 *
 * @module
 */
import * as z from 'zod'
import type { AccountName } from '@quillscale/ports'
import type { SubmissionId } from './SubmissionId.js'

/** Identifies a job; chosen by the client. @public */
export type JobId = string & { readonly __jobId: true }

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/i

/** @param value - a value of any type @returns whether it is a job id: 16 hexadecimal digits @public */
export const isJobId = (value: unknown): value is JobId => typeof value === 'string' && JOB_ID_PATTERN.test(value)

const count = z.number().int().nonnegative()

/** Validates a step. @public */
export const stepSpecSchema = z.object({
  /** Number of tasks of the step. */
  taskCount: count.min(1).max(10_000),
  cpuMillis: count.default(0),
  memoryMb: count.default(0),
  gpus: count.default(0),
  /** The client's rough guess of how long a task takes. */
  estimateMs: z.number().nonnegative().default(0),
  /** Indices of earlier steps that must be done first, each once. */
  dependsOn: z.array(count).default([]).transform((indices) => [...new Set(indices)]),
  isCheckpointing: z.boolean().default(false),
  /** Its tasks run only all at once. */
  isGang: z.boolean().default(false),
  /** Its gang is slow unless all members run within one rack. */
  wantsOneRack: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  /** The rack that holds the data of the step. */
  preferredRack: z.string().default(''),
  /** The most tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: count.default(0),
  /** Speculative copies of a task may run side by side. */
  allowsCopies: z.boolean().default(false),
  /** Its tasks run until the job is cancelled. */
  isLasting: z.boolean().default(false),
  /** Tasks of the same image have similar run times. */
  image: z.string().default(''),
  /** Target for the tail latency of lasting tasks; 0 for none. */
  targetTailMs: z.number().nonnegative().default(0),
  /** Its tasks run on leftover CPU time, which is not counted against the worker's capacity. */
  isFiller: z.boolean().default(false),
  /** The most lasting tasks that this system may make unavailable at once; `undefined` for no limit. */
  maxAway: count.optional()
})

/** Validates the submitter of a job. @public */
export const jobOwnerSchema = z.object({
  account: z.custom<AccountName>((value) => typeof value === 'string' && value !== ''),
  /** Prefix of the hash of its key, which identifies the account after it was renamed. */
  keyTag: z.string()
})

const queueTermsSchema = z.object({
  priority: z.number(),
  attempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: z.object({ decisionMs: z.number(), perWorkerMs: z.number(), validMs: z.number() }).optional()
})

/** Most tasks of a job, all its runs together: the holder of its service keeps each in memory. */
const MAX_TASKS = 100_000

/** Validates a stored job. @public */
export const jobSpecSchema = z.object({
  jobId: z.custom<JobId>(isJobId),
  queue: z.string(),
  /** `undefined` for a job submitted without a key. */
  owner: jobOwnerSchema.optional(),
  /** Its queue was public: anybody may query and cancel the job. */
  isPublic: z.boolean().default(false),
  command: z.string(),
  steps: z.array(stepSpecSchema).min(1),
  /** Milliseconds since 1970 on the clock of the accepting host. */
  submittedMs: z.number(),
  /** Version of the configuration by which the job was accepted; `undefined` if the accepting host runs a program version that does not record it. */
  configurationVersion: count.optional(),
  /** The submission that wrote the record; `undefined` before it is recorded, or if the accepting host runs a program version that does not record it. */
  submissionId: z.custom<SubmissionId>((value) => typeof value === 'string').optional(),
  /** What its queue laid down when the job was accepted; `undefined` if the accepting host runs a program version that does not record it. */
  queueTerms: queueTermsSchema.optional(),
  /** Runs of the whole job: the first at `firstRunMs`, then every `intervalMs`; `undefined` for one run at once. */
  schedule: z.object({ runs: count.min(1), firstRunMs: z.number(), intervalMs: z.number() }).optional()
}).superRefine(({ steps, schedule }, context) => {
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0)
  const message = `more than ${MAX_TASKS} tasks`
  if (tasks > MAX_TASKS) context.addIssue({ code: 'custom', path: ['steps'], message })
  else if (tasks * (schedule?.runs ?? 1) > MAX_TASKS) context.addIssue({ code: 'custom', path: ['schedule', 'runs'], message })
})

/** A step of a job. @public */
export type StepSpec = z.infer<typeof stepSpecSchema>
/** The client account that submitted a job, as stored with it. @public */
export type JobOwner = z.infer<typeof jobOwnerSchema>
/** Specification of a job. @public */
export type JobSpec = z.infer<typeof jobSpecSchema>

/**
 * Decides whether a caller may query or cancel a job.
 *
 * @param owner - the owner of the job, `undefined` if everybody may
 * @param caller - the current account and key of the caller, `undefined` without a key
 * @returns whether account or key match the owner: keys are replaced and accounts renamed while jobs run
 * @public
 */
export function isOwnedBy (owner: JobOwner | undefined, caller: JobOwner | undefined): boolean {
  if (owner === undefined) return true
  return caller !== undefined && (caller.account === owner.account || caller.keyTag === owner.keyTag)
}

/** @param job - a job @returns the only client account that may query or cancel it; `undefined` if every account may @public */
export const restrictedOwner = ({ owner, isPublic }: Pick<JobSpec, 'owner' | 'isPublic'>): JobOwner | undefined => isPublic ? undefined : owner

/** Most steps of a job: each takes some 1 KB where it is decoded, and a turn in each placement round of its service. @public */
export const MAX_STEPS = 10_000

/** A step with all fields that may be left out. */
const DEFAULT_STEP: Readonly<Record<string, unknown>> = stepSpecSchema.parse({ taskCount: 1 })
const isDefault = (name: string, value: unknown): boolean => name !== 'taskCount' && (value === DEFAULT_STEP[name] || (Array.isArray(value) && value.length === 0))

/** @param spec - a job @returns its record as text, without the fields of steps that have their default value @public */
export function encodeJobSpec (spec: JobSpec): string {
  const steps = spec.steps.map((step) => Object.fromEntries(Object.entries(step).filter(([name, value]) => !isDefault(name, value))))
  return JSON.stringify({ ...spec, steps })
}

/** Checks the order of dependencies, which the schema cannot. @param steps - steps of a job @returns the invalid field and why, if any @public */
export function findDependencyProblem (steps: readonly StepSpec[]): string | undefined {
  const index = steps.findIndex((step, at) => step.dependsOn.some((earlier) => earlier >= at))
  return index < 0 ? undefined : `steps.${index}.dependsOn: names a step that does not come before it`
}
