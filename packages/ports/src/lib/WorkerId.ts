/**
 * Identifiers of workers and of their lifetimes.
 *
 * @module
 */

/** Identifies a worker. A restarted worker may keep its id, but it has lost all state of its earlier lifetime. @public */
export type WorkerId = string & { readonly __workerId: true }

/** Separates the worker id from the start time; it can't occur in a worker id. */
const SEPARATOR = '/'

/**
 * Creates the id of one lifetime of a worker, so that records of one lifetime are never applied to the next.
 *
 * @param workerId - the worker's id
 * @param lifetimeStartMs - Unix time of the worker's start; `undefined` if workers don't report it, in which case each lifetime has its own worker id
 * @returns the instance id
 * @public
 */
export function createInstanceId (workerId: WorkerId, lifetimeStartMs: number | undefined): string {
  return lifetimeStartMs === undefined ? workerId : `${workerId}${SEPARATOR}${lifetimeStartMs}`
}

/** @param instanceId - the id of a lifetime @returns the id of its worker @public */
export function workerIdOf (instanceId: string): WorkerId {
  const [workerId = ''] = instanceId.split(SEPARATOR)
  return workerId as WorkerId
}

/** @param instanceId - the id of a lifetime @returns Unix time of its start by the worker's clock, `undefined` if the worker didn't report it @public */
export function lifetimeStartMsOf (instanceId: string): number | undefined {
  const [, lifetimeStartMs] = instanceId.split(SEPARATOR)
  return lifetimeStartMs === undefined ? undefined : Number(lifetimeStartMs)
}

/** @param instanceId - the id of a lifetime @param previous - the id of another @returns whether the first is a later lifetime of the same worker @public */
export function isNextLifetime (instanceId: string, previous: string): boolean {
  return workerIdOf(instanceId) === workerIdOf(previous) && (lifetimeStartMsOf(instanceId) ?? -Infinity) > (lifetimeStartMsOf(previous) ?? -Infinity)
}
