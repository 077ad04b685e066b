/**
 * Detects workers whose machine went down or was removed, from the platform's lists of machines.
 *
 * @module
 */
import type { ListedMachine, WorkerId } from '@quillscale/ports'

/** A worker whose machine is down or was removed. @public */
export interface LostWorker {
  readonly machineId: string
  readonly service: string
  readonly workerId: WorkerId
}

/**
 * Compares each list of machines with the previous one.
 *
 * A machine is listed as down when its worker crashed or lost power, not when it is only disconnected from the network. A machine that
 * was removed is not listed. Workers that ended through an order of this holder are not reported, because their machines were drained
 * first. While the duty had no holder, for example during a restart of the whole fleet, a machine may go down and come back between two
 * lists. In the first list after {@link restore}, a different worker is therefore enough proof: the previous worker's runs are restarted
 * at once instead of after their leases expire (7.3 s with leases of 6.5 s).
 *
 * @public
 */
export class MachineLossDetector {
  #lastList: ReadonlyMap<string, ListedMachine> = new Map()
  /** Machines missing from the last list only. The pages of a list are not a consistent snapshot, so a machine must be missing twice. */
  #missingOnce = new Map<string, ListedMachine>()
  /** Whether the last list was a previous holder's: machines may have gone down and come back since. */
  #isRestored = false

  /** Starts from the machines that previous holders listed last. @param last - these machines by id */
  restore (last: ReadonlyMap<string, ListedMachine>): void {
    this.#lastList = last
    this.#isRestored = true
  }

  /** Compares a new list with the previous one. @param list - the new list by machine id @returns the workers that it proves lost, each reported once */
  detect (list: ReadonlyMap<string, ListedMachine>): LostWorker[] {
    const down = [...this.#lastList.values()].filter(({ machineId }) => list.get(machineId)?.state === 'down')
    const removedMachines = [...this.#missingOnce.values()].filter(({ machineId }) => !list.has(machineId))
    this.#missingOnce = new Map([...this.#lastList].filter(([machineId]) => !list.has(machineId)))
    const replaced = this.#isRestored ? [...this.#lastList.values()].filter((machine) => hasDifferentWorker(machine, list)) : []
    this.#isRestored = false
    this.#lastList = list
    return [...down, ...removedMachines, ...replaced].flatMap(({ machineId, pool, workerId }) => workerId === '' ? [] : [{ machineId, service: pool, workerId }])
  }
}

function hasDifferentWorker ({ machineId, workerId }: ListedMachine, list: ReadonlyMap<string, ListedMachine>): boolean {
  const currentWorkerId = list.get(machineId)?.workerId ?? ''
  return currentWorkerId !== '' && currentWorkerId !== workerId
}
