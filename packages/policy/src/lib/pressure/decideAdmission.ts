/**
 * Decides whether to accept a new job under pressure.
 *
 * A job is refused only if, by all that is known, it ends too late to be of any use. When in doubt it is accepted.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import { criticalPathMs } from '../jobs/criticalPathMs.js'
import type { JobSpec, StepSpec } from '../jobs/JobSpec.js'
import { LATE_FACTOR } from '../jobs/rankStep.js'
import { cpuDemandOf } from '../placement/suitability.js'
import type { Backlog } from './Backlog.js'
import { findRowAhead, predictWaitMs } from './predictWaitMs.js'

/** What an admission depends on. @public */
export interface AdmissionInput {
  readonly spec: Pick<JobSpec, 'steps' | 'schedule'>
  readonly queue: Pick<QueueConfiguration, 'priority' | 'stretch' | 'targetLatencyMs'>
  readonly backlog: Backlog
  /** Time since the backlog became known. */
  readonly ageMs: number
  /** From 0 to 1; spreads the returns of refused callers. */
  readonly random: number
}

/** Whether a job is accepted, and the wait that was predicted for it. A refused caller may return after `retryAfterMs`, whole seconds. @public */
export type AdmissionDecision =
  | { readonly isAccepted: true, readonly predictedWaitMs: number }
  | { readonly isAccepted: false, readonly predictedWaitMs: number, readonly retryAfterMs: number }

/** The room may grow by this factor while a job waits, and predictions err. */
const ROOM_MARGIN = 1.25
/** Without a learned run time, a task may take this multiple of the client's guess, and its objective is longer accordingly. */
const GUESS_MARGIN = 3
/** Used for a step without an estimate. */
const DEFAULT_RUN_MS = 1000
const MS_PER_S = 1000

/**
 * Decides whether to accept a job.
 *
 * @param input - the job, its queue and the backlog
 * @returns the decision
 * @public
 */
export function decideAdmission ({ spec, queue, backlog, ageMs, random }: AdmissionInput): AdmissionDecision {
  const predictedWaitMs = predictWaitMs(backlog, queue.priority, ageMs)
  const pathMs = criticalPathMs(spec.steps, createEstimate(backlog))
  const objectiveMs = queue.stretch * pathMs + queue.targetLatencyMs
  const usefulStartMs = LATE_FACTOR * objectiveMs - pathMs
  const excessMs = predictedWaitMs / ROOM_MARGIN - usefulStartMs
  if (excessMs <= 0 || isExempt(spec) || mayStartEarlier(spec.steps, backlog, queue.priority)) return { isAccepted: true, predictedWaitMs }
  return { isAccepted: false, predictedWaitMs, retryAfterMs: retryAfterMs(excessMs, usefulStartMs, random) }
}

/** Room for lasting, scheduled and filler work does not come from the queue. */
function isExempt ({ steps, schedule }: AdmissionInput['spec']): boolean {
  return schedule !== undefined || steps.some(({ isLasting, isFiller }) => isLasting || isFiller)
}

/** Tells whether the steps that can start at once have room, or are smaller than the tasks ahead and may start in the gaps that these leave. */
function mayStartEarlier (steps: readonly StepSpec[], { freeMillis, largestFreeMillis, ahead }: Backlog, priority: number): boolean {
  const first = steps.filter(({ dependsOn }) => dependsOn.length === 0)
  const aheadMillis = findRowAhead(ahead, priority)?.taskMillis ?? Infinity
  if (first.some((step) => cpuDemandOf(step) < aheadMillis)) return true
  const wantedMillis = first.reduce((sum, step) => sum + cpuDemandOf(step) * step.taskCount, 0)
  return wantedMillis <= freeMillis && first.every((step) => cpuDemandOf(step) <= largestFreeMillis)
}

function createEstimate ({ runTimes }: Backlog): (step: StepSpec) => number {
  const learned = new Map(runTimes)
  return ({ image, estimateMs }) => learned.get(image) ?? (estimateMs > 0 ? estimateMs : DEFAULT_RUN_MS) * GUESS_MARGIN
}

/** Spreads the returns from when enough work is done to twice that, or over the second half of what is left if that is too late. */
function retryAfterMs (excessMs: number, usefulStartMs: number, random: number): number {
  const earliestMs = Math.min(excessMs, usefulStartMs / 2)
  const latestMs = Math.min(usefulStartMs, excessMs + Math.max(MS_PER_S, excessMs))
  const wantedS = Math.ceil((earliestMs + random * Math.max(0, latestMs - earliestMs)) / MS_PER_S)
  return MS_PER_S * Math.max(1, Math.min(wantedS, Math.floor(usefulStartMs / MS_PER_S)))
}
