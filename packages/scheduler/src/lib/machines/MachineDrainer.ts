/**
 * Empties machines on request, and says so once nothing runs there any more; moves lasting tasks away from workers that end.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import { planLeavingWorkerDrain, planDrain, type Run } from '@quillscale/policy'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import type { EventLog } from '../duties/EventLog.js'
import { vacatedKey } from '../records/storeKeys.js'
import type { WorkerLink } from '../workers/WorkerLink.js'
import type { WorkerTracker } from '../workers/WorkerTracker.js'

/** What the vacator works with. @public */
export interface MachineDrainerOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
  readonly stop: (run: Run) => void
}

interface DrainRequest { readonly value: string, readonly sinceMs: number, isEmpty: boolean }

/** Machines of one service that are to be emptied. @public */
export class MachineDrainer {
  readonly #options: MachineDrainerOptions
  readonly #requests = new Map<string, DrainRequest>()

  /** @param options - what it works with */
  constructor (options: MachineDrainerOptions) {
    this.#options = options
  }

  /** @param machineId - to be emptied @param value - names the request, repeated in the answer */
  request (machineId: string, value: string): void {
    if (this.#requests.get(machineId)?.value === value) return
    this.#requests.set(machineId, { value, sinceMs: this.#options.clock.monotonicMs(), isEmpty: false })
    this.#options.log.info({ machineId, request: value }, 'machine is being emptied')
  }

  /** @param machineId - may take work again */
  withdraw (machineId: string): void {
    if (!this.#requests.delete(machineId)) return
    this.#options.put(vacatedKey(this.#options.service, machineId), () => undefined, true)
    this.#options.log.info({ machineId }, 'machine takes work again')
  }

  /** @param machineId - any @returns whether it takes no work */
  isVacating (machineId: string): boolean {
    return this.#requests.has(machineId)
  }

  /** Moves lasting tasks away from workers that are about to end. @param leaving - those workers @param nowMs - monotonic */
  drainLeavingWorkers (leaving: readonly WorkerLink[], nowMs: number): void {
    for (const { instance, runs } of leaving) {
      if (this.isVacating(instance.machineId)) continue
      for (const run of planLeavingWorkerDrain([...runs.values()], nowMs)) {
        this.#options.log.info({ taskKey: run.taskKey, runNumber: run.runNumber, instanceId: run.instanceId, state: instance.state }, 'lasting task leaves its worker')
        this.#options.stop(run)
      }
    }
  }

  /**
   * Stops what is to be stopped now, and reports machines that are empty.
   *
   * @param workers - all; one that is not registered at the moment may still run what an earlier holder placed
   * @param nowMs - monotonic
   */
  reconcile (workers: Pick<WorkerTracker, 'links' | 'hasOrphanedRuns'>, nowMs: number): void {
    for (const [machineId, request] of this.#requests) {
      if (request.isEmpty) continue
      const links = workers.links.filter(({ instance }) => instance.machineId === machineId)
      const runs = links.flatMap((link) => [...link.runs.values()])
      for (const run of planDrain(runs, request.sinceMs, nowMs)) this.#options.stop(run)
      if (runs.length > 0 || (links.length === 0 && workers.hasOrphanedRuns)) continue
      request.isEmpty = true
      this.#options.put(vacatedKey(this.#options.service, machineId), () => request.value, true)
      this.#options.log.info({ machineId, request: request.value, tookMs: nowMs - request.sinceMs }, 'machine is empty')
    }
  }
}
