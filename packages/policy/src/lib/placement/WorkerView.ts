/**
 * Read-only state of a worker, as needed for scheduling decisions.
 *
 * @module
 */
import type { WorkerInstance } from '@quillscale/ports'
import type { Run } from '../jobs/JobState.js'
import type { WorkerHealth } from './WorkerHealth.js'

/** Read-only state of a worker. @public */
export interface WorkerView {
  /** Instance as last registered. */
  readonly instance: WorkerInstance
  /** Whether it is registered as ready for new runs. */
  readonly acceptsRuns: boolean
  /** Runs placed on it that are not known to have ended. */
  readonly runs: ReadonlyMap<string, Run>
  /** Whether its clock has been read, which leases require. */
  readonly clock: { readonly isKnown: boolean }
  readonly health: WorkerHealth
  /** Monotonic; it refused a run and gets no new ones until then. */
  readonly refusingUntilMs: number
  /** Monotonic; it is or was slow after its start until then, `-Infinity` if it does not report that. */
  readonly coldUntilMs: number
  /** Whether it is recorded as silent and must not get a lease. */
  readonly isRecordedSilent: boolean
  /** @param nowMs - monotonic @returns whether it has answered recently */
  isAnswering (nowMs: number): boolean
  /** Returns the time since its last answer. @param nowMs - monotonic time @returns `undefined` if it never answered */
  readonly silentForMs?: (nowMs: number) => number | undefined
}
