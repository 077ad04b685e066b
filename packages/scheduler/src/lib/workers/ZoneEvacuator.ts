/**
 * Keeps new runs of a service out of evacuated availability zones, and moves its lasting tasks out of them.
 *
 * A placement is recorded only on the condition that the store holds no evacuation of its zone, so none is recorded after the operator's
 * request, whatever this holder's watch has missed. Placements that were recorded before are withdrawn unless their start was already sent.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { EvacuationRequest, KeyValue } from '@quillscale/ports'
import { createWorkerRoom, EVACUATION_STATES, type EvacuationState, findUnavailability, planEvacuation, type Run, stepOf, type Task, type WorkerRoom } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'
import type { WriteGuard } from '../records/FencedBatchWriter.js'
import type { WorkerLink } from './WorkerLink.js'

/** The evacuations that this host knows of. @public */
export interface EvacuationSource {
  readonly evacuations: readonly EvacuationRequest[]
  isEvacuated (availabilityZone: string): boolean
  /** Takes note of evacuations that a transaction found in the store. */
  addFindings (items: readonly KeyValue[]): void
}

/** Dependencies of a {@link ZoneEvacuator}. @public */
export interface ZoneEvacuatorOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly evacuations: EvacuationSource
  /** Key of the request to evacuate a zone, `undefined` if none can name it; `undefined` where operators do not evacuate zones. */
  readonly evacuationKey: ((availabilityZone: string) => string | undefined) | undefined
  readonly links: () => readonly WorkerLink[]
  readonly linkOf: (run: Run) => WorkerLink | undefined
  readonly isMachineDraining: (machineId: string) => boolean
  /** Removes a run whose start was not sent. */
  readonly withdraw: (run: Run) => void
  /** Stops a run of a lasting task, so that it is placed elsewhere. */
  readonly evict: (run: Run) => void
}

interface Progress { readonly sinceMs: number, isEmpty: boolean }

/** Applies the evacuations of availability zones to the runs of one service. @public */
export class ZoneEvacuator {
  /** Prevents records of placements in zones that are evacuated. */
  readonly guard: WriteGuard
  readonly #options: ZoneEvacuatorOptions
  /** Runs whose placement may not be durable yet. */
  readonly #recording = new Set<Run>()
  readonly #progress = new Map<string, Progress>()
  readonly #runsLeft = new Map<EvacuationState, number>()

  /** @param options - dependencies */
  constructor (options: ZoneEvacuatorOptions) {
    this.#options = options
    this.guard = {
      conditions: () => this.#keysOfZonesToRecord().map((key) => ({ key, modRevision: 0 })),
      onConflict: (items) => {
        options.evacuations.addFindings(items)
        this.withoutWithdrawn([...this.#recording])
      }
    }
    for (const state of EVACUATION_STATES) {
      options.metrics.gauge(`runs_in_evacuated_zones{service="${options.service}",of="${state}"}`, () => this.#runsLeft.get(state) ?? 0)
    }
  }

  /** Clears the figures of this service when another host schedules it. */
  close (): void {
    this.#runsLeft.clear()
  }

  /** Registers new runs, whose placement is about to be recorded. @param runs - runs in phase `recording` */
  addPlacements (runs: readonly Run[]): void {
    if (this.#options.evacuationKey !== undefined) for (const run of runs) this.#recording.add(run)
  }

  /**
   * Withdraws those runs whose zone is evacuated, with all members of their gangs, which would wait for each other in vain.
   *
   * @param runs - runs whose start was not sent
   * @returns the others
   */
  withoutWithdrawn (runs: readonly Run[]): readonly Run[] {
    const { log, withdraw } = this.#options
    const gangs = new Set<readonly Task[] | undefined>()
    const forbidden = runs.filter((run) => this.#isForbidden(run))
    for (const { task } of forbidden) if (stepOf(task).isGang) gangs.add(membersOf(task))
    const withdrawn = new Set(runs.filter((run) => forbidden.includes(run) || (stepOf(run.task).isGang && gangs.has(membersOf(run.task)))))
    for (const run of withdrawn) {
      this.#recording.delete(run)
      if (run.phase !== 'recording' || !run.task.runs.includes(run)) continue
      log.info({ taskKey: run.taskKey, runNumber: run.runNumber, instanceId: run.instanceId, workerZone: this.#zoneOf(run) }, 'placement withdrawn: its availability zone is evacuated')
      withdraw(run)
    }
    return runs.filter((run) => !withdrawn.has(run))
  }

  /**
   * Tells whether a start whose outcome is unknown is sent again.
   *
   * @param run - the run
   * @returns false if its zone is evacuated; members of a gang are always sent again, since the others may have started
   */
  mayRepeatStart (run: Run): boolean {
    return stepOf(run.task).isGang || !this.#isForbidden(run)
  }

  /** Moves lasting tasks out of evacuated zones, and reports zones that have become empty. @param nowMs - monotonic time */
  reconcile (nowMs: number): void {
    const { evacuations, log, service } = this.#options
    const zones = new Map(evacuations.evacuations.map((request) => [request.availabilityZone, request]))
    for (const zone of [...this.#progress.keys()]) {
      if (zones.has(zone)) continue
      this.#progress.delete(zone)
      log.info({ service, workerZone: zone }, 'availability zone gets new work again')
    }
    this.#runsLeft.clear()
    if (zones.size === 0) return
    this.#moveLastingTasks(nowMs)
    for (const zone of zones.keys()) this.#reportProgress(zone, nowMs)
  }

  #keysOfZonesToRecord (): string[] {
    const { evacuationKey } = this.#options
    for (const run of this.#recording) if (run.phase !== 'recording' || !run.task.runs.includes(run)) this.#recording.delete(run)
    const zones = new Set([...this.#recording].map((run) => this.#zoneOf(run)))
    return [...zones].map((zone) => zone === undefined ? undefined : evacuationKey?.(zone)).filter((key) => key !== undefined)
  }

  #zoneOf (run: Run): string | undefined {
    return this.#options.linkOf(run)?.instance.availabilityZone
  }

  #isForbidden (run: Run): boolean {
    const zone = this.#zoneOf(run)
    return zone !== undefined && this.#options.evacuations.isEvacuated(zone)
  }

  #moveLastingTasks (nowMs: number): void {
    const { links, evacuations, log, evict } = this.#options
    const runs = links().filter(({ instance }) => evacuations.isEvacuated(instance.availabilityZone)).flatMap((link) => [...link.runs.values()])
    for (const [run, state] of planEvacuation(runs, this.#roomsElsewhere(nowMs), nowMs)) {
      this.#runsLeft.set(state, (this.#runsLeft.get(state) ?? 0) + 1)
      if (state !== 'leaving' || run.phase !== 'running') continue
      log.info({ taskKey: run.taskKey, runNumber: run.runNumber, instanceId: run.instanceId, workerZone: this.#zoneOf(run) }, 'lasting task leaves an evacuated availability zone')
      evict(run)
    }
  }

  #roomsElsewhere (nowMs: number): WorkerRoom[] {
    const { links, evacuations, isMachineDraining } = this.#options
    const context = { nowMs, isMachineDraining, isEvacuated: (zone: string) => evacuations.isEvacuated(zone) }
    return links().filter((link) => findUnavailability(link, context) === undefined).map((link) => createWorkerRoom(link, nowMs))
  }

  #reportProgress (zone: string, nowMs: number): void {
    const { links, log, service } = this.#options
    const progress = this.#progress.get(zone) ?? { sinceMs: nowMs, isEmpty: false }
    this.#progress.set(zone, progress)
    const workers = links().filter(({ instance }) => instance.availabilityZone === zone)
    const isEmpty = workers.every(({ runs }) => runs.size === 0)
    if (isEmpty && !progress.isEmpty) {
      log.info({ service, workerZone: zone, workers: workers.length, tookMs: Math.round(nowMs - progress.sinceMs) }, 'availability zone is empty')
    }
    progress.isEmpty = isEmpty
  }
}

function membersOf ({ job, occurrence, stepIndex }: Task): readonly Task[] | undefined {
  return job.occurrences.get(occurrence)?.[stepIndex]
}
