/**
 * Tells workers that fail everything from jobs that fail everywhere.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'

/** When a worker is set apart. @public */
export interface WorkerHealthOptions {
  /** Different jobs in a row that must fail on it; 3 by default. */
  readonly failedJobsInRow: number
  /** How long it gets no jobs; 120000 by default, doubled each time up to 16 times. */
  readonly quarantineMs: number
}

/** The documented defaults. @public */
export const WORKER_HEALTH_DEFAULTS: WorkerHealthOptions = { failedJobsInRow: 3, quarantineMs: 120_000 }
const MAX_QUARANTINE_FACTOR = 16

interface WorkerFailures { failedJobs: Set<string>, quarantinedUntilMs: number, factor: number }

/** Judges workers by the jobs they fail. @public */
export class WorkerHealth {
  readonly #workers = new Map<HostId, WorkerFailures>()
  readonly #options: WorkerHealthOptions

  /** @param options - when a worker is set apart, the defaults without them */
  constructor (options: Partial<WorkerHealthOptions> = {}) {
    this.#options = { ...WORKER_HEALTH_DEFAULTS, ...options }
  }

  /** @param hostId - a worker on which a job succeeded */
  succeeded (hostId: HostId): void {
    this.#workers.delete(hostId)
  }

  /**
   * Notes a failure.
   *
   * @param hostId - the worker
   * @param jobId - the job; failing twice it counts once
   * @param failedElsewhere - it failed on other workers as well, so it says nothing about this one
   * @param nowMs - the present time
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

  /** @param hostId - a worker @param nowMs - the present time @returns whether it gets no jobs */
  isQuarantined (hostId: HostId, nowMs: number): boolean {
    return (this.#workers.get(hostId)?.quarantinedUntilMs ?? 0) > nowMs
  }
}
