/**
 * Computes how long a job takes with unlimited capacity.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import type { StepSpec } from './JobSpec.js'

/**
 * Returns the length of a job's critical path.
 *
 * @param steps - steps of the job, each after those that it depends on
 * @param expectedMs - expected run time of a task of a step, 0 for a step that is done
 * @returns the time from the start of the first step to the end of the last, in ms
 * @public
 */
export function criticalPathMs (steps: readonly StepSpec[], expectedMs: (step: StepSpec, index: number) => number): number {
  const endMs: number[] = []
  steps.forEach((step, index) => {
    let startMs = 0
    for (const earlier of step.dependsOn) startMs = Math.max(startMs, endMs[earlier] ?? 0)
    endMs.push(startMs + expectedMs(step, index))
  })
  return largestOf(endMs, 0)
}
