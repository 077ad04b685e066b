/**
 * Explains how evacuated availability zones keep the tasks of a job waiting.
 *
 * @module
 */
import type { EvacuationRequest, WorkerInstance } from '@quillscale/ports'
import type { JobSpec } from '@quillscale/policy'

/** What {@link explainEvacuations} needs to know. @public */
export interface EvacuationSources {
  /** Indexes of the ready steps with tasks that are neither done nor placed. */
  readonly waitingSteps: readonly number[]
  readonly evacuations: readonly EvacuationRequest[]
  /** Registered workers of the job's service. */
  readonly workers: readonly WorkerInstance[]
}

/**
 * Explains which evacuations keep a job waiting.
 *
 * @param spec - the job
 * @param sources - what waits, evacuations and workers
 * @returns one line for each evacuated zone with workers of the service, then one for each waiting step that no other worker may run
 * @public
 */
export function explainEvacuations ({ steps }: JobSpec, { waitingSteps, evacuations, workers }: EvacuationSources): string[] {
  if (waitingSteps.length === 0) return []
  const evacuated = new Set(evacuations.map(({ availabilityZone }) => availabilityZone))
  const zoneLines = evacuations.flatMap(({ availabilityZone, revision }) => {
    const count = workers.filter((worker) => worker.availabilityZone === availabilityZone).length
    return count === 0 ? [] : [`availability zone ${availabilityZone} is evacuated since revision ${revision}: ${count} of ${workers.length} workers there get no new work`]
  })
  const stepLines = waitingSteps.flatMap((index) => {
    const label = steps[index]?.requiredLabel ?? ''
    const able = workers.filter(({ labels }) => label === '' || labels.includes(label))
    if (able.length === 0 || able.some(({ availabilityZone }) => !evacuated.has(availabilityZone))) return []
    return [`step ${index}${label === '' ? '' : ` needs ${label} and`} has no worker outside evacuated availability zones`]
  })
  return [...zoneLines, ...stepLines]
}
