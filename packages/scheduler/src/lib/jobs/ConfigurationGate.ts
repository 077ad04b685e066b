/**
 * Holds back jobs that another host accepted by a newer configuration than this host knows.
 *
 * Jobs and the configuration reach a host by separate watches, in any order. If it started such a job, workers would see the effect of a version whose
 * queues and accounts this host still denies to its clients. A job that was read before may have been sent again under a newer version since. So a
 * placement is recorded only on the condition that the version which the service requires has not changed, and is withdrawn if this host does not know it.
 *
 * @module
 */
import type { FleetConfiguration } from '@quillscale/ports'
import { hasEnded, type Job, type Run } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'
import type { WriteGuard } from '../records/FencedBatchWriter.js'
import { requiredVersionKey } from '../records/storeKeys.js'
import { decodeRequiredVersion } from './requiredVersionRecord.js'

/** Dependencies of a {@link ConfigurationGate}. @public */
export interface ConfigurationGateOptions {
  readonly service: string
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  /** Returns the configuration that this host knows. */
  readonly configuration: () => FleetConfiguration | undefined
  /** Reads the configuration if it is older than a version, and resolves with whether that version is known then. */
  readonly requireConfiguration: (version: number) => Promise<boolean>
  /** Called when a version that jobs wait for is known. */
  readonly onKnown: () => void
  /** Removes a run whose start was not sent. */
  readonly withdraw: (run: Run) => void
}

/** The newest version that jobs wait for, and since when they wait. */
interface Wait { readonly version: number, readonly sinceMs: number }

/** Separates the jobs whose configuration is known from those that have to wait for it. @public */
export class ConfigurationGate {
  /** Prevents records of placements while the service requires a version that this host does not know. */
  readonly guard: WriteGuard
  readonly #options: ConfigurationGateOptions
  /** Runs whose placement may not be durable yet. */
  readonly #recording = new Set<Run>()
  /** The version that all jobs of the service wait for, and the revision of its record; 0 before it was read. */
  #required = { version: 0, modRevision: 0 }
  #wait: Wait | undefined

  /** @param options - dependencies */
  constructor (options: ConfigurationGateOptions) {
    this.#options = options
    this.guard = {
      conditions: () => this.#hasPlacements() ? [{ key: requiredVersionKey(options.service), modRevision: this.#required.modRevision }] : [],
      onConflict: (items) => {
        for (const item of items) this.#required = { version: decodeRequiredVersion(item), modRevision: item.modRevision }
        if (this.#required.version > (options.configuration()?.version ?? 0)) this.#withdrawPlacements()
      }
    }
  }

  /** Registers new runs, whose placement is about to be recorded. @param runs - runs in phase `recording` */
  addPlacements (runs: readonly Run[]): void {
    for (const run of runs) this.#recording.add(run)
  }

  /**
   * Selects the jobs that may be placed, and has the configuration read for the others.
   *
   * @param jobs - all jobs of the service
   * @param configuration - the configuration that this host knows
   * @param nowMs - the current monotonic time
   * @returns the jobs that need this configuration, an older one, or one that their record does not tell
   */
  admit (jobs: Iterable<Job>, { version }: FleetConfiguration, nowMs: number): Job[] {
    const all = [...jobs]
    const waiting = new Set(all.filter((job) => !hasEnded(job) && this.#versionNeededBy(job) > version))
    this.#updateWait(version, waiting, nowMs)
    return waiting.size === 0 ? all : all.filter((job) => !waiting.has(job))
  }

  #updateWait (version: number, waiting: ReadonlySet<Job>, nowMs: number): void {
    const { service, log, metrics } = this.#options
    const before = this.#wait
    if (waiting.size === 0) {
      if (before !== undefined) metrics.record('configuration_wait', service, nowMs - before.sinceMs)
      this.#wait = undefined
      return
    }
    const needed = Math.max(...[...waiting].map((job) => this.#versionNeededBy(job)))
    if (before?.version !== needed) log.info({ service, version, needed, jobs: waiting.size }, 'jobs wait for a newer configuration')
    this.#wait = { version: needed, sinceMs: before?.sinceMs ?? nowMs }
    void this.#read(needed)
  }

  /** Records of older program versions do not tell a version; their jobs wait only for what the service requires. */
  #versionNeededBy ({ spec }: Job): number {
    return Math.max(spec.configurationVersion ?? 0, this.#required.version)
  }

  #hasPlacements (): boolean {
    for (const run of this.#recording) if (!isBeingRecorded(run)) this.#recording.delete(run)
    return this.#recording.size > 0
  }

  #withdrawPlacements (): void {
    const { log, service, withdraw } = this.#options
    for (const run of this.#recording) {
      if (!isBeingRecorded(run)) continue
      log.info({ service, taskKey: run.taskKey, runNumber: run.runNumber, needed: this.#required.version }, 'placement withdrawn: its service requires a newer configuration')
      withdraw(run)
    }
    this.#recording.clear()
  }

  async #read (version: number): Promise<void> {
    if (await this.#options.requireConfiguration(version)) this.#options.onKnown()
  }
}

const isBeingRecorded = (run: Run): boolean => run.phase === 'recording' && run.task.runs.includes(run)
