/**
 * Summarizes the availability zones of a fleet for operators: which are evacuated, and what still runs there.
 *
 * @module
 */
import { workerIdOf, type EvacuationRequest, type WorkerInstance } from '@quillscale/ports'

/** An availability zone with its workers and runs. @public */
export interface ZoneRow {
  /** `undefined` for runs on workers without a readable registration, which may be in any zone. */
  readonly availabilityZone: string | undefined
  /** Revision of the store at which its evacuation was requested; `undefined` if it is not evacuated. */
  readonly evacuatedSinceRevision: number | undefined
  /** Number of workers by service. */
  readonly workers: ReadonlyMap<string, number>
  /** Number of recorded runs that are not known to have ended, by service. */
  readonly runs: ReadonlyMap<string, number>
}

/** Records from which the zones are summarized. @public */
export interface ZoneRecords {
  readonly evacuations: readonly EvacuationRequest[]
  /** Registered workers of all services. */
  readonly workers: readonly WorkerInstance[]
  /** Recorded runs of all services. */
  readonly runs: ReadonlyArray<{ readonly service: string, readonly instanceId: string }>
}

/**
 * Summarizes the availability zones.
 *
 * @param records - evacuations, workers and runs
 * @returns one row for each zone that has workers or is evacuated, by name, then one for runs whose zone is unknown if there are any
 * @public
 */
export function listZones ({ evacuations, workers, runs }: ZoneRecords): ZoneRow[] {
  // A run that is recorded for an earlier lifetime of a worker counts where the worker is now.
  const zones = new Map(workers.map(({ instanceId, availabilityZone }) => [workerIdOf(instanceId), availabilityZone]))
  const revisions = new Map(evacuations.map(({ availabilityZone, revision }) => [availabilityZone, revision]))
  const located = runs.map((run) => ({ service: run.service, availabilityZone: zones.get(workerIdOf(run.instanceId)) }))
  const rowOf = (zone: string | undefined): ZoneRow => ({
    availabilityZone: zone,
    evacuatedSinceRevision: zone === undefined ? undefined : revisions.get(zone),
    workers: countByService(workers.filter(({ availabilityZone }) => availabilityZone === zone)),
    runs: countByService(located.filter(({ availabilityZone }) => availabilityZone === zone))
  })
  const rows = [...new Set([...zones.values(), ...revisions.keys()])].sort().map(rowOf)
  const unknown = rowOf(undefined)
  return unknown.runs.size === 0 ? rows : [...rows, unknown]
}

function countByService (items: ReadonlyArray<{ readonly service: string }>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { service } of items) counts.set(service, (counts.get(service) ?? 0) + 1)
  return new Map([...counts].sort(([a], [b]) => a < b ? -1 : 1))
}
