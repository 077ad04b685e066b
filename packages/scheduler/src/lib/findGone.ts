/**
 * Finds workers whose machine went down, by two lists of the platform.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** A lifetime that is over. @public */
export interface GoneWorker {
  readonly machineId: string
  readonly service: string
  readonly instanceId: string
}

/**
 * A machine is listed as down when its worker has crashed or lost power, not when it is only cut off. Lifetimes that ended by
 * an order of ours are left out: their machines were empty.
 *
 * @param before - an earlier list
 * @param now - a later one
 * @returns the workers of the earlier list whose machine is down now
 * @public
 */
export function findGone (before: ReadonlyMap<string, ListedMachine>, now: ReadonlyMap<string, ListedMachine>): GoneWorker[] {
  return [...before.values()].flatMap(({ machineId, pool, instanceId }) => {
    const isDown = instanceId !== '' && now.get(machineId)?.state === 'down'
    return isDown ? [{ machineId, service: pool, instanceId }] : []
  })
}
