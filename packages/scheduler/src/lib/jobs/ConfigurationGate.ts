/**
 * Holds back jobs that another host accepted by a newer configuration than this host knows.
 *
 * Jobs and the configuration reach a host by separate watches, in any order. Until it knows that version, it may know neither the queue of such a job nor
 * the limit of its account.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import type { FleetConfiguration } from '@quillscale/ports'
import { hasEnded, type Job } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'

/** Dependencies of a {@link ConfigurationGate}. @public */
export interface ConfigurationGateOptions {
  readonly service: string
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  /** Reads the configuration if it is older than a version, and resolves with whether that version is known then. */
  readonly requireConfiguration: (version: number) => Promise<boolean>
  /** Called when a version that jobs wait for is known. */
  readonly onKnown: () => void
}

/** The newest version that jobs wait for, and since when they wait. */
interface Wait { readonly version: number, readonly sinceMs: number }

/** Separates the jobs whose configuration is known from those that have to wait for it. @public */
export class ConfigurationGate {
  readonly #options: ConfigurationGateOptions
  #wait: Wait | undefined

  /** @param options - dependencies */
  constructor (options: ConfigurationGateOptions) {
    this.#options = options
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
    const waiting = new Set(all.filter((job) => !hasEnded(job) && versionNeededBy(job) > version))
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
    const needed = largestOf([...waiting].map((job) => versionNeededBy(job)))
    if (before?.version !== needed) log.info({ service, version, needed, jobs: waiting.size }, 'jobs wait for a newer configuration')
    this.#wait = { version: needed, sinceMs: before?.sinceMs ?? nowMs }
    void this.#read(needed)
  }

  async #read (version: number): Promise<void> {
    if (await this.#options.requireConfiguration(version)) this.#options.onKnown()
  }
}

/** Records of older program versions do not tell a version. */
const versionNeededBy = ({ spec }: Job): number => spec.configurationVersion ?? 0
