/**
 * The file that describes a load for the bench of decisions: services, machines, jobs, faults.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'

/** A size that varies: lognormal around its mean, cut at `most`. */
const sizeSchema = z.object({ mean: z.number().positive(), spread: z.number().nonnegative().default(0), most: z.number().positive() })

const jobsSchema = z.object({
  name: z.string(),
  service: z.string(),
  /** Jobs a second over the whole load. */
  perS: z.number().positive(),
  /** What a job of mean size earns in time, and late. */
  worth: z.number().positive(),
  lateWorth: z.number().nonnegative(),
  steps: sizeSchema,
  tasks: sizeSchema,
  runMs: sizeSchema,
  /** Tasks of a step differ from its run time by this, as the spread of a lognormal. */
  unevenSpread: z.number().nonnegative().default(0),
  cpuMillis: sizeSchema,
  memoryMb: sizeSchema,
  /** Clients' guesses of run times are off by this, as the spread of a lognormal. */
  guessSpread: z.number().nonnegative().default(0.5),
  /** Share of steps whose tasks save their progress, and whose tasks may have copies. */
  checkpointingShare: z.number().min(0).max(1).default(0),
  copiesShare: z.number().min(0).max(1).default(0),
  stretch: z.number().positive(),
  targetLatencyMs: z.number().nonnegative(),
  priority: z.number().int().nonnegative().default(0)
})

const turnsSchema = z.object({
  /** From one turn of a service to its next. */
  periodS: z.number().positive(),
  /** How long a turn lasts; its rate rises and falls like a cosine. */
  lengthS: z.number().positive(),
  /** Between turns the rate is this share of its mean. */
  idleShare: z.number().min(0)
})

/** All clients send `factor` times as much. */
const burstSchema = z.object({ atS: z.number().nonnegative(), forS: z.number().positive(), factor: z.number().positive() })

const faultSchema = z.discriminatedUnion('kind', [
  /** Workers of a zone neither hear nor answer. */
  z.object({ kind: z.literal('zone-cut'), atS: z.number(), forS: z.number(), zone: z.string() }),
  /** All entry hosts are gone, and need `startS` more until they decide again. */
  z.object({ kind: z.literal('all-hosts-restart'), atS: z.number(), forS: z.number(), startS: z.number() }),
  /** A share of the workers takes `factor` times as long. */
  z.object({ kind: z.literal('slow-workers'), atS: z.number(), forS: z.number(), share: z.number(), factor: z.number() })
])

const loadSchema = z.object({
  name: z.string(),
  lengthS: z.number().positive(),
  zones: z.array(z.string()).min(1),
  services: z.array(z.object({
    name: z.string(),
    machines: z.number().int().nonnegative(),
    /** Lasting tasks that hold room on its workers. */
    lastingTasks: z.number().int().nonnegative().default(0),
    lastingCpuMillis: z.number().positive().default(1000)
  })).min(1),
  /** Machines that are off at the start. */
  spareMachines: z.number().int().nonnegative(),
  machine: z.object({ cpuMillis: z.number().positive(), memoryMb: z.number().positive() }),
  /** Without turns the rate is even. */
  turns: turnsSchema.optional(),
  bursts: z.array(burstSchema).default([]),
  jobs: z.array(jobsSchema).min(1),
  faults: z.array(faultSchema).default([]),
  /** What a second of a machine that is on costs, and a change of pool, in the unit of worth. */
  prices: z.object({ machineS: z.number().nonnegative(), move: z.number().nonnegative() }),
  /** From a decision to the start on a worker: the record, and the order. */
  startMs: z.number().positive().default(25),
  /** How long a machine is away when its pool changes, and until its new worker is known. */
  moveMs: z.number().positive(),
  /** Leases of runs: what ran on a worker that fell silent may be placed again after this. */
  leaseMs: z.number().positive()
})

/** A load. */
export type PolicyLoad = z.infer<typeof loadSchema>
/** A kind of jobs. */
export type JobKind = z.infer<typeof jobsSchema>
/** A size that varies. */
export type VaryingSize = z.infer<typeof sizeSchema>
/** A fault. */
export type LoadFault = z.infer<typeof faultSchema>

/** @param path - of the file @returns the load @throws with the field that is wrong */
export function readPolicyLoad (path: string): PolicyLoad {
  const parsed = loadSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')))
  if (parsed.success) return parsed.data
  const problems = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
  throw new Error(`${path}: ${problems.join('; ')}`)
}
