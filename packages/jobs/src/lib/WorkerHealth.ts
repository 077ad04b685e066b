/**
 * Distinguishes workers that fail every job from jobs that fail on every worker.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'

/** Settings of {@link WorkerHealth}. @public */
export interface WorkerHealthOptions {
  /** Number of different jobs that must fail in a row on a worker before it is quarantined; 3 by default. */
  readonly failedJobsInRow: number
  /** Duration of the first quarantine; 120000 by default. It doubles with each further one, up to 16 times this value. */
  readonly quarantineMs: number
}

/** Default settings, as documented. @public */
export const WORKER_HEALTH_DEFAULTS: WorkerHealthOptions = { failedJobsInRow: 3, quarantineMs: 120_000 }
const MAX_QUARANTINE_FACTOR = 16

interface WorkerFailures { failedJobs: Set<string>, quarantinedUntilMs: number, factor: number }

/** Quarantines workers on which several different jobs fail in a row. A quarantined worker gets no jobs. @public */
export class WorkerHealth {
  readonly #workers = new Map<HostId, WorkerFailures>()
  readonly #options: WorkerHealthOptions

  /** @param options - settings that differ from {@link WORKER_HEALTH_DEFAULTS} */
  constructor (options: Partial<WorkerHealthOptions> = {}) {
    this.#options = { ...WORKER_HEALTH_DEFAULTS, ...options }
  }

  /**
   * Records that a job succeeded, which clears the failures and the quarantine of its worker.
   *
   * @param hostId - the host of the worker
   */
  succeeded (hostId: HostId): void {
    this.#workers.delete(hostId)
  }

  /**
   * Records that a job failed, and quarantines its worker after enough failures.
   *
   * @param hostId - the host of the worker
   * @param jobId - the job; repeated failures of the same job count once
   * @param failedElsewhere - whether the job also failed on other workers; then its failure says nothing about this one
   * @param nowMs - the current time
   */
  failed (hostId: HostId, jobId: string, failedElsewhere: boolean, nowMs: number): void {
    if (failedElsewhere) return
    const worker = this.#workers.get(hostId) ?? { failedJobs: new Set<string>(), quarantinedUntilMs: 0, factor: 1 }
    this.#workers.set(hostId, worker)
    worker.failedJobs.add(jobId)
    if (worker.failedJobs.size < this.#options.failedJobsInRow) return
    worker.quarantinedUntilMs = nowMs + this.#options.quarantineMs * worker.factor
    worker.factor = Math.min(MAX_QUARANTINE_FACTOR, worker.factor * 2)
    worker.failedJobs.clear()
  }

  /**
   * Tells whether a worker is quarantined.
   *
   * @param hostId - the host of the worker
   * @param nowMs - the current time
   * @returns whether it must not get jobs
   */
  isQuarantined (hostId: HostId, nowMs: number): boolean {
    return (this.#workers.get(hostId)?.quarantinedUntilMs ?? 0) > nowMs
  }
}
