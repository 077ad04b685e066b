/**
 * Finds workers whose machine went down or is not there any more, by the lists of the platform.
 *
 * @module
 */
import type { ListedMachine, WorkerId } from '@quillscale/ports'

/** A worker whose machine is down or not there any more. @public */
export interface LostWorker {
  readonly machineId: string
  readonly service: string
  readonly workerId: WorkerId
}

/**
 * Compares lists. A machine is listed as down when its worker has crashed or lost power, not when it is only cut off; one that
 * was taken away is not listed. Lifetimes that ended by an order of this holder are left out: their machines were empty. After a
 * restart of the whole fleet a machine may have been down and back unseen: there another worker is proof enough, and spares what ran
 * on the former one the wait for its leases, 7.3 s with leases of 6.5 s.
 *
 * @public
 */
export class MachineLossDetector {
  #lastList: ReadonlyMap<string, ListedMachine> = new Map()
  /** Not in the last list, though in the one before: the pages of a list are no snapshot, so one list proves nothing. */
  #missingOnce = new Map<string, ListedMachine>()
  /** The last list is a former holder's: machines may have gone down and come back since. */
  #isRestored = false

  /** @param last - the machines as former holders last saw them */
  restore (last: ReadonlyMap<string, ListedMachine>): void {
    this.#lastList = last
    this.#isRestored = true
  }

  /** @param list - the present one @returns the workers that it shows to be gone, each once */
  detect (list: ReadonlyMap<string, ListedMachine>): LostWorker[] {
    const down = [...this.#lastList.values()].filter(({ machineId }) => list.get(machineId)?.state === 'down')
    const takenAway = [...this.#missingOnce.values()].filter(({ machineId }) => !list.has(machineId))
    this.#missingOnce = new Map([...this.#lastList].filter(([machineId]) => !list.has(machineId)))
    const replaced = this.#isRestored ? [...this.#lastList.values()].filter((machine) => hasDifferentWorker(machine, list)) : []
    this.#isRestored = false
    this.#lastList = list
    return [...down, ...takenAway, ...replaced].flatMap(({ machineId, pool, workerId }) => workerId === '' ? [] : [{ machineId, service: pool, workerId }])
  }
}

function hasDifferentWorker ({ machineId, workerId }: ListedMachine, list: ReadonlyMap<string, ListedMachine>): boolean {
  const now = list.get(machineId)?.workerId ?? ''
  return now !== '' && now !== workerId
}
