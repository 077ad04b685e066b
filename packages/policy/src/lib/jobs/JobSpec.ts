/**
 * A job as a client submits it, and as it is kept.
 *
 * @module
 */
import * as z from 'zod'
import type { AccountName } from '@quillscale/ports'

/** Names a job; the client chooses it. @public */
export type JobId = string & { readonly __jobId: true }

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/i

/** @param value - anything @returns whether it can name a job: 16 hexadecimal digits @public */
export const isJobId = (value: unknown): value is JobId => typeof value === 'string' && JOB_ID_PATTERN.test(value)

const count = z.number().int().nonnegative()

/** Checks a step. @public */
export const stepSpecSchema = z.object({
  /** How many tasks it has. */
  taskCount: count.min(1).max(10_000),
  cpuMillis: count.default(0),
  memoryMb: count.default(0),
  gpus: count.default(0),
  /** The client's rough guess of how long a task takes. */
  estimateMs: z.number().nonnegative().default(0),
  /** Earlier steps, by number, that must be done first. */
  dependsOn: z.array(count).default([]),
  isCheckpointing: z.boolean().default(false),
  /** Its tasks work only together. */
  isGang: z.boolean().default(false),
  /** Its gang is slow unless it is within one rack. */
  wantsOneRack: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  /** The rack that holds its data. */
  preferredRack: z.string().default(''),
  /** The most tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: count.default(0),
  /** Copies of a task may run side by side. */
  allowsCopies: z.boolean().default(false),
  /** Its tasks run until the job is cancelled. */
  isLasting: z.boolean().default(false),
  /** Tasks of one image behave alike. */
  image: z.string().default(''),
  /** Of lasting tasks: the tail of their answer times is to stay below it; 0 for none. */
  targetTailMs: z.number().nonnegative().default(0),
  /** Its tasks take the processor time that others leave; it is not counted against a worker's room. */
  isFiller: z.boolean().default(false),
  /** Of lasting tasks: how many may be away at once through this system's doing; `undefined` for no limit. */
  maxAway: count.optional()
})

/** Checks who handed a job in. @public */
export const jobOwnerSchema = z.object({
  account: z.custom<AccountName>((value) => typeof value === 'string' && value !== ''),
  /** The start of the hash of its key: the account is still known by it after it was renamed. */
  keyTag: z.string()
})

/** Checks a job as it is kept. @public */
export const jobSpecSchema = z.object({
  jobId: z.custom<JobId>(isJobId),
  queue: z.string(),
  /** `undefined` for a job that was handed in without a key. */
  owner: jobOwnerSchema.optional(),
  /** Its queue was public: anybody may ask for it and cancel it. */
  isPublic: z.boolean().default(false),
  command: z.string(),
  steps: z.array(stepSpecSchema).min(1),
  /** On the accepting host's clock, since 1970. */
  submittedMs: z.number(),
  /** The steps run so often, the first time at `firstRunMs`, then each `intervalMs`; `undefined` for once at once. */
  schedule: z.object({ runs: count.min(1), firstRunMs: z.number(), intervalMs: z.number() }).optional()
})

/** A step of a job. @public */
export type StepSpec = z.infer<typeof stepSpecSchema>
/** The client account that handed a job in, as recorded with it. @public */
export type JobOwner = z.infer<typeof jobOwnerSchema>
/** A job. @public */
export type JobSpec = z.infer<typeof jobSpecSchema>

/**
 * Tells whether a caller may ask for a job or cancel it.
 *
 * @param owner - of the job, `undefined` if everybody may
 * @param caller - by its present account and key, `undefined` without a key
 * @returns whether account or key are the owner's: keys are replaced and accounts renamed while jobs run
 * @public
 */
export function isOwnedBy (owner: JobOwner | undefined, caller: JobOwner | undefined): boolean {
  if (owner === undefined) return true
  return caller !== undefined && (caller.account === owner.account || caller.keyTag === owner.keyTag)
}

/** Finds what no schema sees. @param steps - of a job @returns the field that is wrong and why, `undefined` if none @public */
export function findDependencyProblem (steps: readonly StepSpec[]): string | undefined {
  const index = steps.findIndex((step, at) => step.dependsOn.some((earlier) => earlier >= at))
  return index < 0 ? undefined : `steps.${index}.dependsOn: names a step that does not come before it`
}
