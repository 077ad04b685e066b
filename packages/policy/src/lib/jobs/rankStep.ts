/**
 * Orders waiting steps by which should get room first.
 *
 * The load it answers: more work that can be in time than room, at the height of a service's turn, while a zone is cut off, or after an
 * outage. Earliest deadline first then begins every job and finishes most of them too late; so what is begun goes first, which also lets more
 * of the largest jobs be in time.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import { dueMs, stepOf, type Job, type Task } from './JobState.js'
import type { RunTimeEstimator } from './RunTimeEstimator.js'

/** Up to this multiple of its objective a job still earns something; from the users' rules page. */
const LATE_FACTOR = 3

/**
 * Which kind of need a step has; lower goes first: tasks that last, then what can be in time, late but of some use, what its account sends
 * beyond its share, or what nobody waits for any more.
 *
 * @public
 */
export const RANK_TIERS = { lasting: 0, filler: 1, inTime: 2, late: 3, overShare: 4, pastUse: 5 } as const
/** One of them. @public */
export type RankTier = typeof RANK_TIERS[keyof typeof RANK_TIERS]

/** Where a step stands in the order. @public */
export interface StepRank {
  readonly tier: RankTier
  readonly priority: number
  /** Share of its job's work that is done or placed. */
  readonly placedShare: number
  /** What is left of that work, in thousandths of a core times ms. */
  readonly workLeft: number
  /** By when it should start. */
  readonly startByMs: number
}

/** @param job - any @param times - learned @param isLeft - which steps count @returns its longest chain of work */
function criticalPathMs (job: Job, times: RunTimeEstimator, isLeft: (stepIndex: number) => boolean): number {
  const endMs: number[] = []
  job.spec.steps.forEach((step, index) => {
    const startMs = Math.max(0, ...step.dependsOn.map((earlier) => endMs[earlier] ?? 0))
    endMs[index] = startMs + (isLeft(index) ? times.expectedMs(step) : 0)
  })
  return Math.max(0, ...endMs)
}

/** @returns the work of those tasks of a job that a condition holds for; steps that nobody asked for yet count whole */
function sumWork (job: Job, steps: readonly Task[][], times: RunTimeEstimator, isCounted: (task: Task) => boolean): number {
  return job.spec.steps.reduce((sum, step, index) => {
    const tasks = steps[index]?.filter(isCounted).length ?? step.taskCount
    return sum + (step.isLasting ? 0 : tasks * step.cpuMillis * times.expectedMs(step))
  }, 0)
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
export function rankStep (task: Task, queue: QueueConfiguration | undefined, times: RunTimeEstimator, wallMs: number): StepRank {
  const { job } = task
  const step = stepOf(task)
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER
  const startMs = dueMs(job, task.occurrence)
  if (step.isLasting) return { tier: step.isFiller ? RANK_TIERS.filler : RANK_TIERS.lasting, priority, placedShare: 0, workLeft: 0, startByMs: startMs }
  const steps = job.occurrences.get(task.occurrence) ?? []
  const objectiveMs = (queue?.stretch ?? 1) * criticalPathMs(job, times, () => true) + (queue?.targetLatencyMs ?? 0)
  const leftMs = criticalPathMs(job, times, (index) => steps[index]?.every(({ isDone }) => isDone) !== true)
  const workLeft = sumWork(job, steps, times, ({ isDone, runs }) => !isDone && runs.length === 0)
  const placedShare = 1 - workLeft / Math.max(1, sumWork(job, steps, times, () => true))
  const tier = tierOf(wallMs + leftMs, startMs, objectiveMs)
  return {
    tier: job.isOverShare && tier < RANK_TIERS.overShare ? RANK_TIERS.overShare : tier,
    priority,
    placedShare,
    workLeft,
    startByMs: startMs + objectiveMs - leftMs
  }
}

/** @param earliestEndMs - if it had all the room @param startMs - from when it counts @param objectiveMs - in time until then */
function tierOf (earliestEndMs: number, startMs: number, objectiveMs: number): RankTier {
  if (earliestEndMs <= startMs + objectiveMs) return RANK_TIERS.inTime
  return earliestEndMs <= startMs + LATE_FACTOR * objectiveMs ? RANK_TIERS.late : RANK_TIERS.pastUse
}

/**
 * Compares two ranks. Nobody waits any more for what is too late: there the least work goes first, so that most of it is over soon.
 *
 * @param a - a rank
 * @param b - another
 * @returns below 0 if the first goes first
 * @public
 */
export function compareRanks (a: StepRank, b: StepRank): number {
  return a.tier - b.tier || a.priority - b.priority ||
    (a.tier === RANK_TIERS.pastUse ? a.workLeft - b.workLeft : b.placedShare - a.placedShare) || a.startByMs - b.startByMs
}
