/**
 * Records lost workers, to distinguish jobs that crash their workers from jobs whose workers are lost for other reasons.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'

/** Workers that are lost together are noticed within this time: one by its restart, another by the end of its leases of 10 s. */
const RELATED_TIME_MS = 15_000

interface WorkerLoss { readonly atMs: number, readonly jobIds: ReadonlySet<string> }

/** Keeps the last loss of each worker for as long as it tells about the cause of others. @public */
export class WorkerLosses {
  readonly #losses = new Map<HostId, WorkerLoss>()

  /**
   * Records that a worker has restarted, or does not answer.
   *
   * @param hostId - the host of the worker
   * @param jobIds - the jobs that ran there, any of which may be the cause
   * @param nowMs - the current time
   */
  record (hostId: HostId, jobIds: readonly string[], nowMs: number): void {
    for (const [id, { atMs }] of this.#losses) if (nowMs - atMs > RELATED_TIME_MS) this.#losses.delete(id)
    this.#losses.set(hostId, { atMs: nowMs, jobIds: new Set([...jobIds, ...this.#losses.get(hostId)?.jobIds ?? []]) })
  }

  /**
   * Tells whether another worker was lost recently that a job cannot have crashed.
   *
   * @param jobId - the job
   * @param hostId - the host on which it ran
   * @param nowMs - the current time
   * @returns whether something other than the job ends workers
   */
  hasOthers (jobId: string, hostId: HostId | undefined, nowMs: number): boolean {
    return [...this.#losses].some(([id, { atMs, jobIds }]) => id !== hostId && nowMs - atMs <= RELATED_TIME_MS && !jobIds.has(jobId))
  }
}
