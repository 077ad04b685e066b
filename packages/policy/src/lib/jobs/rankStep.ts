/**
 * Orders waiting steps by which should be placed first.
 *
 * Under overload (peak load of a service, a partitioned zone, recovery after an outage), earliest deadline first starts every job and finishes
 * most of them too late. Jobs that have made the most progress therefore go first, which also lets more of the largest jobs finish in time.
 *
 * @module
 */
import type { StepSpec } from './JobSpec.js'
import { dueMs, type Job } from './JobState.js'
import { criticalPathMs } from './criticalPathMs.js'
import { countUnfinished, doneStepsOf, type StepOfOccurrence } from './jobTasks.js'
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

/** What the rank of an occurrence follows from, besides the time. */
export interface OccurrenceOutlook {
  readonly work: OccurrenceWork
  /** Length of the critical path. */
  readonly totalMs: number
  /** Length of the critical path through the steps that are not done. */
  readonly leftMs: number
}

/** @param job - a job @param runTimes - learned run times @returns the length of the critical path of each of its occurrences */
export const totalPathMs = ({ spec: { steps } }: Job, runTimes: RunTimeEstimator): number => criticalPathMs(steps, (each) => runTimes.expectedMs(each))

/**
 * Computes the outlook of an occurrence. All occurrences of a job that have not begun share one.
 *
 * @param job - a job
 * @param occurrence - index of the occurrence
 * @param runTimes - learned run times
 * @param totalMs - length of the critical path, which all occurrences share
 * @returns its work and critical path
 */
export function outlookOf (job: Job, occurrence: number, runTimes: RunTimeEstimator, totalMs = totalPathMs(job, runTimes)): OccurrenceOutlook {
  const isDone = doneStepsOf(job, occurrence)
  return {
    work: sumWork(job, occurrence, runTimes),
    totalMs,
    leftMs: criticalPathMs(job.spec.steps, (each, index) => isDone(index) ? 0 : runTimes.expectedMs(each))
  }
}

const objectiveMsOf = (queue: QueueTerms | undefined, { totalMs }: OccurrenceOutlook): number => (queue?.stretch ?? 1) * totalMs + (queue?.targetLatencyMs ?? 0)

/**
 * Ranks a step.
 *
 * @param ready - a step that is ready
 * @param queue - the terms of the job's queue, `undefined` if they are not known
 * @param runTimes - learned run times
 * @param wallMs - current wall-clock time
 * @param outlook - the outlook of its occurrence
 * @returns the rank of the step
 * @public
 */
export function rankStep (
  ready: StepOfOccurrence, queue: QueueTerms | undefined, runTimes: RunTimeEstimator, wallMs: number,
  outlook = outlookOf(ready.job, ready.occurrence, runTimes)
): StepRank {
  const { job, occurrence, stepIndex } = ready
  const step = job.spec.steps[stepIndex] as StepSpec
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER
  const startMs = dueMs(job, occurrence)
  if (step.isLasting) return { tier: step.isFiller ? RANK_TIERS.filler : RANK_TIERS.lasting, priority, placedShare: 0, workLeft: 0, startByMs: startMs }
  const { work, leftMs } = outlook
  const objectiveMs = objectiveMsOf(queue, outlook)
  const tier = tierOf(wallMs + leftMs, startMs, objectiveMs)
  return {
    tier: job.isOverShare && tier < RANK_TIERS.overShare ? RANK_TIERS.overShare : tier,
    priority,
    placedShare: 1 - work.left / Math.max(1, work.total),
    workLeft: work.left,
    startByMs: startMs + objectiveMs - leftMs
  }
}

/** Occurrences that follow each other: from the first up to, but not including, the other. @public */
export interface OccurrenceRange { readonly from: number, readonly to: number }

/**
 * Divides the due occurrences of a job by the tier that their finite steps have if they have not begun. Within a range, the first one goes first.
 *
 * @param job - a job with a schedule
 * @param due - number of its due occurrences
 * @param queue - the terms of the job's queue, `undefined` if they are not known
 * @param wallMs - current wall-clock time
 * @param outlook - the outlook of an occurrence that has not begun
 * @returns the ranges that are not empty
 */
export function divideByTier (job: Job, due: number, queue: QueueTerms | undefined, wallMs: number, outlook: OccurrenceOutlook): OccurrenceRange[] {
  const objectiveMs = objectiveMsOf(queue, outlook)
  const earliestEndMs = wallMs + outlook.leftMs
  const late = firstStartingFrom(job, due, earliestEndMs - LATE_FACTOR * objectiveMs)
  const inTime = Math.max(late, firstStartingFrom(job, due, earliestEndMs - objectiveMs))
  return [{ from: inTime, to: due }, { from: late, to: inTime }, { from: 0, to: late }].filter(({ from, to }) => from < to)
}

/** Returns the first due occurrence that is due at a time or after it, the number of due ones if none is. */
function firstStartingFrom (job: Job, due: number, startMs: number): number {
  const intervalMs = job.spec.schedule?.intervalMs ?? 0
  const sinceFirstMs = startMs - dueMs(job, 0)
  if (intervalMs <= 0) return sinceFirstMs <= 0 ? 0 : due
  return Math.min(due, Math.max(0, Math.ceil(sinceFirstMs / intervalMs)))
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
