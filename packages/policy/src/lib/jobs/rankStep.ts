/**
 * Orders waiting steps by which should be placed first.
 *
 * Under overload (peak load of a service, a partitioned zone, recovery after an outage), earliest deadline first starts every job and finishes
 * most of them too late. Jobs that have made the most progress therefore go first, which also lets more of the largest jobs finish in time.
 *
 * @module
 */
import { dueMs, stepOf, type Job, type Task } from './JobState.js'
import { criticalPathMs } from './criticalPathMs.js'
import { countUnfinished, isStepDone } from './jobTasks.js'
import type { QueueTerms } from './QueueTerms.js'
import type { RunTimeEstimator } from './RunTimeEstimator.js'

/** A job still has some value up to this multiple of its objective. @public */
export const LATE_FACTOR = 3

/**
 * Tier of a step; lower goes first: lasting tasks, lasting fillers, jobs that can finish in time, late jobs of some value, jobs beyond their
 * account's share, and jobs that nobody waits for any more.
 *
 * @public
 */
export const RANK_TIERS = { lasting: 0, filler: 1, inTime: 2, late: 3, overShare: 4, pastUse: 5 } as const
/** One of {@link RANK_TIERS}. @public */
export type RankTier = typeof RANK_TIERS[keyof typeof RANK_TIERS]

/** Sort key of a step. @public */
export interface StepRank {
  readonly tier: RankTier
  readonly priority: number
  /** Share of the job's work that is done or placed. */
  readonly placedShare: number
  /** Remaining work of the job, in thousandths of a core times ms. */
  readonly workLeft: number
  /** Latest start that still meets the objective. */
  readonly startByMs: number
}

/** Work of the finite tasks of an occurrence, in thousandths of a core times ms. @public */
export interface OccurrenceWork { readonly total: number, readonly left: number }

/**
 * Sums the work of an occurrence.
 *
 * @param job - a job
 * @param occurrence - index of the occurrence
 * @param runTimes - learned run times
 * @returns the work of all tasks, and that of the tasks that are neither done nor placed
 */
export function sumWork (job: Job, occurrence: number, runTimes: RunTimeEstimator): OccurrenceWork {
  const steps = job.occurrences.get(occurrence)
  let total = 0
  let left = 0
  job.spec.steps.forEach((step, index) => {
    if (step.isLasting) return
    const each = step.cpuMillis * runTimes.expectedMs(step)
    const created = steps?.[index] ?? []
    total += step.taskCount * each
    left += (created.length === 0 ? step.taskCount : countUnfinished(created, ({ isDone, runs }) => !isDone && runs.length === 0)) * each
  })
  return { total, left }
}

/**
 * Ranks a step.
 *
 * @param task - a waiting task of the step
 * @param queue - the terms of the job's queue, `undefined` if they are not known
 * @param runTimes - learned run times
 * @param wallMs - current wall-clock time
 * @param work - the work of the task's occurrence
 * @returns the rank of the step
 * @public
 */
export function rankStep (
  task: Task, queue: QueueTerms | undefined, runTimes: RunTimeEstimator, wallMs: number, work = sumWork(task.job, task.occurrence, runTimes)
): StepRank {
  const { job, occurrence } = task
  const step = stepOf(task)
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER
  const startMs = dueMs(job, task.occurrence)
  if (step.isLasting) return { tier: step.isFiller ? RANK_TIERS.filler : RANK_TIERS.lasting, priority, placedShare: 0, workLeft: 0, startByMs: startMs }
  const objectiveMs = (queue?.stretch ?? 1) * criticalPathMs(job.spec.steps, (each) => runTimes.expectedMs(each)) + (queue?.targetLatencyMs ?? 0)
  const leftMs = criticalPathMs(job.spec.steps, (each, index) => isStepDone(job, occurrence, index) ? 0 : runTimes.expectedMs(each))
  const tier = tierOf(wallMs + leftMs, startMs, objectiveMs)
  return {
    tier: job.isOverShare && tier < RANK_TIERS.overShare ? RANK_TIERS.overShare : tier,
    priority,
    placedShare: 1 - work.left / Math.max(1, work.total),
    workLeft: work.left,
    startByMs: startMs + objectiveMs - leftMs
  }
}

/** @param earliestEndMs - end with unlimited capacity @param startMs - when the job is due @param objectiveMs - time allowed from then on */
function tierOf (earliestEndMs: number, startMs: number, objectiveMs: number): RankTier {
  if (earliestEndMs <= startMs + objectiveMs) return RANK_TIERS.inTime
  return earliestEndMs <= startMs + LATE_FACTOR * objectiveMs ? RANK_TIERS.late : RANK_TIERS.pastUse
}

/**
 * Compares two ranks. Among jobs that nobody waits for any more, the least remaining work goes first, so that most of them end soon.
 *
 * @param a - a rank
 * @param b - another
 * @returns a negative number if the first goes first
 * @public
 */
export function compareRanks (a: StepRank, b: StepRank): number {
  return a.tier - b.tier || a.priority - b.priority ||
    (a.tier === RANK_TIERS.pastUse ? a.workLeft - b.workLeft : b.placedShare - a.placedShare) || a.startByMs - b.startByMs
}
