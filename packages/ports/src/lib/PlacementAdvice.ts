/**
 * The service that decides for some queues which workers may run a step.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'

/** A worker that may run the step, until the advice's validity is over. @public */
export interface AdvisedWorker {
  readonly instanceId: string
  /** To be sent with each start of the step there. */
  readonly ticket: string
}

/** Which of the workers that were asked about may run the step. @public */
export interface StepAdvice {
  readonly workers: readonly AdvisedWorker[]
  readonly validMs: number
}

/** Advice on placements. It handles one call of a host at a time. @public */
export interface PlacementAdvice {
  /** @param stepKey - JOB.TIME.STEP @param instanceIds - at most 100 workers @returns those that may run it */
  advise(stepKey: string, instanceIds: readonly string[]): Promise<Result<StepAdvice, PlatformError>>
}
