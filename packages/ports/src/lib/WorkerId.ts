/**
 * Names of workers and of their lifetimes.
 *
 * @module
 */

/** Names a worker. One that ends may start again under the same id, knowing nothing of before. @public */
export type WorkerId = string & { readonly __workerId: true }

/** Not allowed in a worker's id. */
const SEPARATOR = '/'

/**
 * Names one lifetime of a worker: what is remembered of one lifetime says nothing about the next.
 *
 * @param workerId - of the worker
 * @param lifetimeStartMs - Unix time of its start, `undefined` where workers do not tell; then each lifetime has an id of its own
 * @returns the lifetime's id
 * @public
 */
export function createInstanceId (workerId: WorkerId, lifetimeStartMs: number | undefined): string {
  return lifetimeStartMs === undefined ? workerId : `${workerId}${SEPARATOR}${lifetimeStartMs}`
}

/** @param instanceId - of a lifetime @returns the id of its worker @public */
export function workerIdOf (instanceId: string): WorkerId {
  const [workerId = ''] = instanceId.split(SEPARATOR)
  return workerId as WorkerId
}

/** @param instanceId - of a lifetime @returns Unix time of its start by the worker's clock, `undefined` where its worker did not tell @public */
export function lifetimeStartMsOf (instanceId: string): number | undefined {
  const [, lifetimeStartMs] = instanceId.split(SEPARATOR)
  return lifetimeStartMs === undefined ? undefined : Number(lifetimeStartMs)
}
