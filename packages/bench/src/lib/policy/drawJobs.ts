/**
 * Draws the jobs of a load.
 *
 * @module
 */
import type { SeededRandom } from '@quillscale/utils'
import { jobSpecSchema, type JobId, type JobSpec } from '@quillscale/policy'
import type { JobKind, PolicyLoad, VaryingSize } from './policyLoad.js'

const MS_PER_S = 1000
/** A job earns by its size, within these bounds: a share for any job, the rest by its work against the mean of its kind. */
const FLAT_SHARE = 0.3
const MOST_TIMES_MEAN = 4

/** A job as drawn: what clients say of it, and what only the bench knows. */
export interface DrawnJob {
  readonly spec: JobSpec
  readonly kind: JobKind
  /** When its client sends it first. */
  readonly sentMs: number
  /** How long a task of each step really runs, by the mean of the step. */
  readonly runMs: readonly number[]
  /** How long each task really runs, by step. */
  readonly taskMs: ReadonlyArray<readonly number[]>
  /** The longest chain of its work. */
  readonly chainMs: number
  /** Core-seconds. */
  readonly work: number
  /** What it earns in time; set once the mean work of its kind is known. */
  worth: number
}

function normal (random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}

/** @param random - the source @param size - what to draw @returns a lognormal value with that mean, cut */
function draw (random: SeededRandom, { mean, spread, most }: VaryingSize): number {
  return Math.min(most, mean * Math.exp(spread * normal(random) - spread * spread / 2))
}

/** @param load - any @param service - whose turn @param atS - when @returns its rate against its mean */
function rateShare (load: PolicyLoad, service: string, atS: number): number {
  const burst = load.bursts.find((some) => atS >= some.atS && atS < some.atS + some.forS)
  return (burst?.factor ?? 1) * turnShare(load, service, atS)
}

function turnShare ({ turns, services }: PolicyLoad, service: string, atS: number): number {
  if (turns === undefined) return 1
  const index = services.findIndex(({ name }) => name === service)
  const beginsS = index * turns.periodS / services.length
  const sinceS = ((atS - beginsS) % turns.periodS + turns.periodS) % turns.periodS
  // The mean over a period is 1: a raised cosine has half of its peak as its mean.
  const peak = (1 - turns.idleShare) * turns.periodS / (turns.lengthS / 2)
  return turns.idleShare + (sinceS < turns.lengthS ? peak * (1 - Math.cos(2 * Math.PI * sinceS / turns.lengthS)) / 2 : 0)
}

/** @param load - what to draw @param random - the source @returns jobs in the order of their sending */
export function drawJobs (load: PolicyLoad, random: SeededRandom): DrawnJob[] {
  const jobs = load.jobs.flatMap((kind, index) => drawKind(load, kind, index, random))
  return jobs.sort((a, b) => a.sentMs - b.sentMs)
}

function drawKind (load: PolicyLoad, kind: JobKind, kindIndex: number, random: SeededRandom): DrawnJob[] {
  const jobs: DrawnJob[] = []
  const mostShare = Math.max(...Array.from({ length: 1000 }, (_, at) => rateShare(load, kind.service, at / 1000 * load.lengthS)))
  const meanGapMs = MS_PER_S / (kind.perS * mostShare)
  for (let atMs = random.exponentialMs(meanGapMs); atMs < load.lengthS * MS_PER_S; atMs += random.exponentialMs(meanGapMs)) {
    if (random.next() * mostShare >= rateShare(load, kind.service, atMs / MS_PER_S)) continue
    jobs.push(drawJob(kind, atMs, kindIndex * 1_000_000 + jobs.length, random))
  }
  const meanWork = jobs.reduce((sum, { work }) => sum + work, 0) / Math.max(1, jobs.length)
  for (const job of jobs) job.worth = kind.worth * (FLAT_SHARE + (1 - FLAT_SHARE) * Math.min(MOST_TIMES_MEAN, job.work / meanWork))
  return jobs
}

function drawJob (kind: JobKind, sentMs: number, number: number, random: SeededRandom): DrawnJob {
  const stepCount = Math.max(1, Math.round(draw(random, kind.steps)))
  const runMs = Array.from({ length: stepCount }, () => Math.max(50, draw(random, kind.runMs)))
  const steps = runMs.map((trueMs, index) => ({
    taskCount: Math.max(1, Math.round(draw(random, kind.tasks))),
    cpuMillis: Math.round(draw(random, kind.cpuMillis)),
    memoryMb: Math.round(draw(random, kind.memoryMb)),
    estimateMs: trueMs * Math.exp(kind.guessSpread * normal(random)),
    isCheckpointing: random.next() < kind.checkpointingShare,
    allowsCopies: random.next() < kind.copiesShare,
    dependsOn: index === 0 ? [] : [index - 1]
  }))
  const spec = jobSpecSchema.parse({
    jobId: number.toString(16).padStart(16, '0') as JobId, queue: kind.name, command: '', submittedMs: sentMs, steps
  })
  const work = steps.reduce((sum, step, index) => sum + step.taskCount * step.cpuMillis * (runMs[index] ?? 0), 0) / (MS_PER_S * MS_PER_S)
  const { unevenSpread } = kind
  const taskMs = steps.map(({ taskCount }, index) => Array.from({ length: taskCount }, () =>
    (runMs[index] ?? 0) * (unevenSpread === 0 ? 1 : Math.exp(unevenSpread * normal(random) - unevenSpread ** 2 / 2))))
  return { spec, kind, sentMs, runMs, taskMs, chainMs: taskMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0), work, worth: 0 }
}
