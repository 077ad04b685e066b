/**
 * Drains machines on request and reports when nothing runs on them any more; moves lasting tasks away from workers that are about to end.
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

/** Dependencies of a {@link MachineDrainer}. @public */
export interface MachineDrainerOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
  readonly stop: (run: Run) => void
}

interface DrainRequest { readonly value: string, readonly sinceMs: number, isEmpty: boolean }

/** Tracks which machines of one service are to be drained, and stops the runs on them. @public */
export class MachineDrainer {
  readonly #options: MachineDrainerOptions
  readonly #requests = new Map<string, DrainRequest>()

  /** @param options - the service and the dependencies */
  constructor (options: MachineDrainerOptions) {
    this.#options = options
  }

  /** Starts to drain a machine. @param machineId - the machine @param value - identifies the request; the report that the machine is empty repeats it */
  request (machineId: string, value: string): void {
    if (this.#requests.get(machineId)?.value === value) return
    this.#requests.set(machineId, { value, sinceMs: this.#options.clock.monotonicMs(), isEmpty: false })
    this.#options.log.info({ machineId, request: value }, 'machine is being emptied')
  }

  /** Cancels the drain of a machine. @param machineId - the machine, which may accept work again */
  withdraw (machineId: string): void {
    if (!this.#requests.delete(machineId)) return
    this.#options.put(vacatedKey(this.#options.service, machineId), () => undefined, true)
    this.#options.log.info({ machineId }, 'machine drain cancelled: it accepts work again')
  }

  /** @param machineId - a machine @returns whether it is being drained and accepts no work */
  isDraining (machineId: string): boolean {
    return this.#requests.has(machineId)
  }

  /** Moves lasting tasks away from workers that are about to end. @param leaving - these workers @param nowMs - monotonic time */
  drainLeavingWorkers (leaving: readonly WorkerLink[], nowMs: number): void {
    for (const { instance, runs } of leaving) {
      if (this.isDraining(instance.machineId)) continue
      for (const run of planLeavingWorkerDrain([...runs.values()], nowMs)) {
        this.#options.log.info({ taskKey: run.taskKey, runNumber: run.runNumber, instanceId: run.instanceId, state: instance.state }, 'lasting task leaves its worker')
        this.#options.stop(run)
      }
    }
  }

  /**
   * Stops the runs that are due on machines being drained, and reports machines that are empty.
   *
   * @param workers - all workers of the service; one that is not registered at the moment may still run what a previous holder placed
   * @param nowMs - monotonic time
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
