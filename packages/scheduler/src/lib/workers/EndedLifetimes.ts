/**
 * Remembers which worker lifetimes have ended although they may still be registered.
 *
 * A worker may restart under its id before its registration has lapsed, so the records are kept per lifetime: a superseded lifetime by its
 * own id, and the lifetimes of a worker whose machine was down by the time at which they began.
 *
 * @module
 */
import { lifetimeStartMsOf, workerIdOf, type WorkerId, type WorkerInstance } from '@quillscale/ports'
import type { EventLog } from '../duties/EventLog.js'
import type { RegisteredWorkers } from './WorkerRegistrations.js'

/** Reason for the end of a lifetime. @public */
export const MACHINE_GONE = 'its machine is down or gone'
/** Reason for the end of a lifetime: something else answers at its address. @public */
export const OTHER_LIFETIME = 'it answered as another lifetime'

/**
 * The machine list may lag, and the clocks of hosts and workers may step by some seconds. A lifetime younger than this when the list was
 * requested may have begun after the machine was down, so only its own answers decide whether it has ended.
 */
const LIFETIME_START_MARGIN_MS = 6000

/**
 * Tells whether a machine list shows that a lifetime has ended.
 *
 * @param instanceId - id of the lifetime
 * @param listedWallMs - wall-clock time when a list was requested that shows its machine down
 * @returns whether the lifetime began early enough to have ended with the machine
 * @public
 */
export function isEndedByMachineList (instanceId: string, listedWallMs: number): boolean {
  const startMs = lifetimeStartMsOf(instanceId)
  return startMs === undefined || startMs + LIFETIME_START_MARGIN_MS <= listedWallMs
}

/** Records ended worker lifetimes and why they ended. @public */
export class EndedLifetimes {
  readonly #log: EventLog
  /** Wall-clock times when the lists were requested that show the workers' machines down. */
  readonly #machineDownMs = new Map<WorkerId, number>()
  readonly #superseded = new Set<string>()
  /** Registered lifetimes that have been logged as not used. */
  readonly #loggedUnused = new Set<string>()

  /** @param log - receives the log lines */
  constructor (log: EventLog) {
    this.#log = log
  }

  /** Records that the machine of a worker is down or gone. @param workerId - the worker @param listedWallMs - when the machine list was requested */
  recordMachineDown (workerId: WorkerId, listedWallMs: number): void {
    this.#machineDownMs.set(workerId, Math.max(listedWallMs, this.#machineDownMs.get(workerId) ?? -Infinity))
  }

  /** Records that a lifetime has been superseded by another one. @param instanceId - id of the superseded lifetime */
  recordSuperseded (instanceId: string): void {
    this.#superseded.add(instanceId)
  }

  /** Returns why a lifetime has ended. @param instanceId - its id @returns the reason, `undefined` if it is not known to have ended */
  endReasonOf (instanceId: string): string | undefined {
    const listedMs = this.#machineDownMs.get(workerIdOf(instanceId))
    if (listedMs !== undefined && isEndedByMachineList(instanceId, listedMs)) return MACHINE_GONE
    return this.#superseded.has(instanceId) ? OTHER_LIFETIME : undefined
  }

  /** Logs once that a registered lifetime is not used. @param instance - its registration @param reason - why it has ended */
  logUnused ({ instanceId, machineId, address }: WorkerInstance, reason: string): void {
    if (this.#loggedUnused.has(instanceId)) return
    this.#loggedUnused.add(instanceId)
    this.#log.info({ instanceId, machineId, address, reason }, 'registered worker not used: its lifetime is over')
  }

  /**
   * Removes the records of lifetimes that are no longer registered.
   *
   * @param registered - the current registrations
   * @returns the workers for which no record of a machine list is kept any more
   */
  pruneUnregistered ({ workers, registeredIds }: RegisteredWorkers): WorkerId[] {
    const lifetimes = new Map(workers.map(({ instanceId }) => [workerIdOf(instanceId), instanceId]))
    const isRegistered = (instanceId: string): boolean => {
      const workerId = workerIdOf(instanceId)
      return registeredIds.has(workerId) && (lifetimes.get(workerId) ?? instanceId) === instanceId
    }
    for (const instanceIds of [this.#superseded, this.#loggedUnused]) {
      for (const instanceId of instanceIds) if (!isRegistered(instanceId)) instanceIds.delete(instanceId)
    }
    const prunedIds = [...this.#machineDownMs].flatMap(([workerId, listedMs]) => {
      const current = lifetimes.get(workerId)
      const isNeeded = registeredIds.has(workerId) && (current === undefined || isEndedByMachineList(current, listedMs))
      return isNeeded ? [] : [workerId]
    })
    for (const workerId of prunedIds) this.#machineDownMs.delete(workerId)
    return prunedIds
  }
}
