/**
 * Records workers that do not answer, so that no jobs are started there until they answer again.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'

/** Keeps, for each worker that did not answer its last call, when its silence began. @public */
export class SilentHosts {
  readonly #sinceMs = new Map<HostId, number>()

  /** The hosts whose workers did not answer their last call. */
  get hostIds (): readonly HostId[] {
    return [...this.#sinceMs.keys()]
  }

  /**
   * Records whether a worker answered a call.
   *
   * @param hostId - its host
   * @param hasAnswered - whether it did
   * @param nowMs - the current time
   */
  record (hostId: HostId, hasAnswered: boolean, nowMs: number): void {
    if (hasAnswered) this.#sinceMs.delete(hostId)
    else if (!this.has(hostId)) this.#sinceMs.set(hostId, nowMs)
  }

  /** @param hostId - a host @returns whether its worker did not answer the last call */
  has (hostId: HostId): boolean {
    return this.#sinceMs.has(hostId)
  }

  /**
   * Returns for how long a worker has not answered.
   *
   * @param hostId - its host
   * @param nowMs - the current time
   * @returns the time since its first unanswered call, 0 if it answered the last call
   */
  silentForMs (hostId: HostId, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(hostId) ?? nowMs)
  }

  /** Deletes the record of a host that is no longer in use. @param hostId - the host */
  forget (hostId: HostId): void {
    this.#sinceMs.delete(hostId)
  }
}
