/**
 * Remembers which lifetimes of workers are over although they may still be registered.
 *
 * A worker may start again under its id before its registration has ended. So what is remembered concerns lifetimes: one by its own
 * id, and those of a worker whose machine was down by when they were born.
 *
 * @module
 */
import { bornMsOf, workerIdOf, type WorkerId, type WorkerInstance } from '@quillscale/ports'
import type { EventLog } from '../duties/EventLog.js'
import type { RegisteredWorkers } from './WorkerRegistrations.js'

/** Why a lifetime is over. @public */
export const MACHINE_GONE = 'its machine is down or gone'
/** The same. @public */
export const OTHER_LIFETIME = 'it answered as another lifetime'

/**
 * A list of machines may lag, and the clocks of hosts and workers may step by some seconds. A lifetime younger than this at the time of
 * the list may have begun after the machine was down: what becomes of it is known from itself.
 */
const BIRTH_TIME_MARGIN_MS = 6000

/** @param instanceId - of a lifetime @param listedWallMs - when a list was asked for that shows its machine down @returns whether it is over by that @public */
export function isEndedByMachineList (instanceId: string, listedWallMs: number): boolean {
  const bornMs = bornMsOf(instanceId)
  return bornMs === undefined || bornMs + BIRTH_TIME_MARGIN_MS <= listedWallMs
}

/** The lifetimes. @public */
export class EndedLifetimes {
  readonly #log: EventLog
  /** When the lists were asked for that show the workers' machines down. */
  readonly #machineDownMs = new Map<WorkerId, number>()
  readonly #superseded = new Set<string>()
  /** Of which it was logged that they are registered and not used. */
  readonly #loggedUnused = new Set<string>()

  /** @param log - where lines go */
  constructor (log: EventLog) {
    this.#log = log
  }

  /** @param workerId - whose machine is down or gone @param listedWallMs - when that was asked */
  recordMachineDown (workerId: WorkerId, listedWallMs: number): void {
    this.#machineDownMs.set(workerId, Math.max(listedWallMs, this.#machineDownMs.get(workerId) ?? -Infinity))
  }

  /** @param instanceId - of a lifetime that another one has followed */
  recordSuperseded (instanceId: string): void {
    this.#superseded.add(instanceId)
  }

  /** @param instanceId - of any lifetime @returns why it is over, `undefined` if it is not known to be */
  endReasonOf (instanceId: string): string | undefined {
    const listedMs = this.#machineDownMs.get(workerIdOf(instanceId))
    if (listedMs !== undefined && isEndedByMachineList(instanceId, listedMs)) return MACHINE_GONE
    return this.#superseded.has(instanceId) ? OTHER_LIFETIME : undefined
  }

  /** Logs once that a registered lifetime is not used. @param instance - as registered @param reason - why */
  logUnused ({ instanceId, machineId, address }: WorkerInstance, reason: string): void {
    if (this.#loggedUnused.has(instanceId)) return
    this.#loggedUnused.add(instanceId)
    this.#log.info({ instanceId, machineId, address, reason }, 'registered worker not used: its lifetime is over')
  }

  /**
   * Forgets lifetimes that are not registered any more.
   *
   * @param registered - who is registered now
   * @returns the workers of which no lifetime is remembered any more as over by a list
   */
  pruneUnregistered ({ workers, registeredIds }: RegisteredWorkers): WorkerId[] {
    const lifetimes = new Map(workers.map(({ instanceId }) => [workerIdOf(instanceId), instanceId]))
    const isRegistered = (instanceId: string): boolean => {
      const workerId = workerIdOf(instanceId)
      return registeredIds.has(workerId) && (lifetimes.get(workerId) ?? instanceId) === instanceId
    }
    for (const known of [this.#superseded, this.#loggedUnused]) {
      for (const instanceId of known) if (!isRegistered(instanceId)) known.delete(instanceId)
    }
    const forgotten = [...this.#machineDownMs].flatMap(([workerId, listedMs]) => {
      const present = lifetimes.get(workerId)
      const isNeeded = registeredIds.has(workerId) && (present === undefined || isEndedByMachineList(present, listedMs))
      return isNeeded ? [] : [workerId]
    })
    for (const workerId of forgotten) this.#machineDownMs.delete(workerId)
    return forgotten
  }
}
