/**
 * A worker as decisions see it.
 *
 * @module
 */
import type { WorkerInstance } from '@quillscale/ports'
import type { Run } from '../jobs/JobState.js'
import type { WorkerHealth } from './WorkerHealth.js'

/** The view. @public */
export interface WorkerView {
  /** As last registered. */
  readonly instance: WorkerInstance
  /** Whether it is registered now and says that it takes new work. */
  readonly takesWork: boolean
  /** Runs placed there that are not known to be over. */
  readonly runs: ReadonlyMap<string, Run>
  /** Whether its clock was read: without that no lease can be given. */
  readonly clock: { readonly isKnown: boolean }
  readonly health: WorkerHealth
  /** Monotonic; it refused work and is left alone until then. */
  readonly refusingUntilMs: number
  /** Whether it must not be given any lease. */
  readonly isNotedSilent: boolean
  /** @param nowMs - monotonic @returns whether it has answered lately */
  isAnswering (nowMs: number): boolean
}
