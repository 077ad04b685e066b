/**
 * Gathers what the planning of jobs needs to know of a zone's workers.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { dueMaintenance, hostLabels, windowOpenUntilMs } from '@quillscale/fleet'
import type { JobWorker } from '@quillscale/jobs'
import type { ServiceRegistry } from './ServiceRegistry.js'

/** Where the facts come from. @internal */
export interface JobWorkerSources {
  readonly registry: ServiceRegistry
  readonly replica: ConfigurationReplica
  /** Whether a worker gets no jobs for a while because jobs failed on it. */
  readonly isApart: (hostId: HostId) => boolean
}

/**
 * Lists a zone's workers that have slots for jobs.
 *
 * @param sources - placements, declarations, the health of workers
 * @param wallMs - the present time of day
 * @returns all of them; open are those that may be given jobs
 * @internal
 */
export function listJobWorkers ({ registry, replica, isApart }: JobWorkerSources, wallMs: number): JobWorker[] {
  const pools = replica.declarations('pool')
  const declared = replica.declarations('host')
  const maintenances = [...replica.declarations('maintenance').values()]
  return [...registry.placed.values()].flatMap(({ host, pool, isLeaving }): JobWorker[] => {
    const slots = pool === undefined ? 0 : pools.get(pool)?.spec.jobSlots ?? 0
    if (slots === 0) return []
    const labels = hostLabels(host, declared.get(host.hostId)?.spec, pool)
    const due = dueMaintenance({ labels, version: host.version }, maintenances)
    // Work is not placed where it would be drained soon.
    const isDue = due !== undefined && windowOpenUntilMs(due.spec.windows, wallMs) !== undefined
    return [{ hostId: host.hostId, labels, slots, isSchedulable: !isLeaving && !isDue && !isApart(host.hostId) }]
  })
}
