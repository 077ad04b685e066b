/**
 * Interface to the placement advice service, which decides for some queues which workers may run a step.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'

/** A worker that may run the step as long as the advice is valid. @public */
export interface AdvisedWorker {
  readonly instanceId: string
  /** The ticket to send with every start of a task of the step on this worker. */
  readonly ticket: string
}

/** The advice for one step: those of the requested workers that may run it, and for how long the advice is valid. @public */
export interface StepAdvice {
  readonly workers: readonly AdvisedWorker[]
  readonly validMs: number
}

/** Asks the placement advice service, which handles only one call per host at a time. @public */
export interface PlacementAdvice {
  /** @param stepKey - the step as JOB.TIME.STEP @param instanceIds - at most 100 workers @returns those of them that may run the step */
  advise(stepKey: string, instanceIds: readonly string[]): Promise<Result<StepAdvice, PlatformError>>
}
