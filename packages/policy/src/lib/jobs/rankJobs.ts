/**
 * Orders jobs by who should get room first.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import { dueMs, stepOf, type Job, type Task } from './JobState.js'
import type { RunTimes } from './RunTimes.js'

/** Up to this multiple of its objective a job still earns something; from the users' rules page. */
const LATE_FACTOR = 3

/** Where a step stands in the order; lower goes first. @public */
export interface StepRank {
  /** Lasting tasks first, then what can be on time, then what can still be of some use, then the rest. */
  readonly tier: number
  readonly priority: number
  /** Within a tier: the time by which it should be done. */
  readonly byMs: number
}

/** @param job - any @param times - learned @param isLeft - which steps count @returns its longest chain of work */
function chainMs (job: Job, times: RunTimes, isLeft: (stepIndex: number) => boolean): number {
  const endMs: number[] = []
  job.spec.steps.forEach((step, index) => {
    const startMs = Math.max(0, ...step.dependsOn.map((earlier) => endMs[earlier] ?? 0))
    endMs[index] = startMs + (isLeft(index) ? times.expectedMs(step) : 0)
  })
  return Math.max(0, ...endMs)
}

/**
 * Ranks a step.
 *
 * @param task - one of its waiting tasks
 * @param queue - of its job, `undefined` when the queue was removed
 * @param times - learned run times
 * @param wallMs - the present time of day
 * @returns its place
 * @public
 */
export function rankStep (task: Task, queue: QueueConfiguration | undefined, times: RunTimes, wallMs: number): StepRank {
  const { job } = task
  const step = stepOf(task)
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER
  const startMs = dueMs(job, task.time)
  if (step.isLasting) return { tier: step.isFiller ? TIERS.filler : TIERS.lasting, priority, byMs: startMs }
  const objectiveMs = (queue?.stretch ?? 1) * chainMs(job, times, () => true) + (queue?.targetLatencyMs ?? 0)
  const steps = job.times.get(task.time) ?? []
  const leftMs = chainMs(job, times, (index) => steps[index]?.every(({ isDone }) => isDone) !== true)
  const earliestEndMs = wallMs + leftMs
  const tier = earliestEndMs <= startMs + objectiveMs
    ? TIERS.onTime
    : earliestEndMs <= startMs + LATE_FACTOR * objectiveMs ? TIERS.late : TIERS.tooLate
  return { tier, priority, byMs: startMs + objectiveMs - leftMs }
}

const TIERS = { lasting: 0, filler: 1, onTime: 2, late: 3, tooLate: 4 } as const

/** @param a - a rank @param b - another @returns below 0 if the first goes first @public */
export function compareRanks (a: StepRank, b: StepRank): number {
  return a.tier - b.tier || a.priority - b.priority || a.byMs - b.byMs
}
