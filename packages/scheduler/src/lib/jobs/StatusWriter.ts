/**
 * Publishes the state of a service in the store: how many jobs wait, how many machines it needs, and how long new jobs wait.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import { type AvailabilityContext, computeServiceDemand, countUnavailable, type Job, machinesNeeded } from '@quillscale/policy'
import { BacklogPublisher, type BacklogPublisherOptions } from '../pressure/BacklogPublisher.js'
import { JobMemoryPublisher, type JobMemoryPublisherOptions } from '../pressure/JobMemoryPublisher.js'
import { demandKey, encodeDemand } from '../records/serviceDemand.js'
import { waitingKey } from '../records/storeKeys.js'
import type { WorkerTracker } from '../workers/WorkerTracker.js'

/** Dependencies of a {@link StatusWriter}. @public */
export interface StatusWriterOptions extends BacklogPublisherOptions, JobMemoryPublisherOptions {
  readonly clock: Clock
  readonly availability: Omit<AvailabilityContext, 'nowMs'>
}

/** Interval between writes of the waiting job counts; readers treat counts that are much older as outdated. */
const WAITING_COUNT_INTERVAL_MS = 1000
/** Interval at which the demand for machines is computed. It is written at once if another machine is needed. */
const DEMAND_INTERVAL_MS = 100
/** Least pause after a computation as a multiple of the time that it took, which grows with the ready steps of all jobs. */
const PAUSE_PER_COMPUTATION = 20
/** Minimum interval between writes of any other change of the demand. */
const DEMAND_CHANGE_INTERVAL_MS = 400
/** An unchanged demand is rewritten at this interval as a heartbeat. */
const DEMAND_REFRESH_INTERVAL_MS = 2000

/** Writes the waiting job counts, the machine demand and the backlog of a service to the store. @public */
export class StatusWriter {
  readonly #options: StatusWriterOptions
  #waitingText = ''
  #waitingWrittenMs = -Infinity
  #demandText = ''
  #writtenNeed = 0
  #demandDueMs = -Infinity
  #demandWrittenMs = -Infinity
  readonly #backlogPublisher: BacklogPublisher
  readonly #jobMemoryPublisher: JobMemoryPublisher

  /** @param options - dependencies */
  constructor (options: StatusWriterOptions) {
    this.#options = options
    this.#backlogPublisher = new BacklogPublisher(options)
    this.#jobMemoryPublisher = new JobMemoryPublisher(options)
  }

  /**
   * Writes the records that are due.
   *
   * @param jobs - jobs of the service
   * @param workers - workers of the service
   * @param nowMs - current monotonic time
   */
  write (jobs: readonly Job[], workers: WorkerTracker, nowMs: number): void {
    if (nowMs - this.#waitingWrittenMs >= WAITING_COUNT_INTERVAL_MS) this.#writeWaiting(jobs, nowMs)
    if (nowMs >= this.#demandDueMs) {
      const startedMs = this.#options.clock.monotonicMs()
      this.#writeDemand(jobs, workers, nowMs)
      const tookMs = this.#options.clock.monotonicMs() - startedMs
      this.#demandDueMs = nowMs + Math.max(DEMAND_INTERVAL_MS, tookMs * PAUSE_PER_COMPUTATION)
    }
    this.#jobMemoryPublisher.write(jobs, nowMs)
    this.#backlogPublisher.write(jobs, workers.links, nowMs, this.#options.clock.wallMs())
  }

  #writeWaiting (jobs: readonly Job[], nowMs: number): void {
    const counts: Record<string, number> = {}
    for (const { status, spec } of jobs) {
      if (status === 'queued' && spec.schedule === undefined) counts[spec.queue] = (counts[spec.queue] ?? 0) + 1
    }
    const text = JSON.stringify(counts)
    if (text === this.#waitingText && text === '{}') return
    this.#waitingText = text
    this.#waitingWrittenMs = nowMs
    const { service, clock, put } = this.#options
    const atMs = clock.wallMs()
    put(waitingKey(service), () => JSON.stringify({ atMs, counts }), false)
  }

  /** Writes the demand: at once if more machines are needed, otherwise no more often than its intervals allow. */
  #writeDemand (jobs: readonly Job[], workers: WorkerTracker, nowMs: number): void {
    const { service, clock, log, limitOf, availability, put } = this.#options
    const { links: workerViews } = workers
    const demand = computeServiceDemand({ ...availability, service, jobs, workerViews, limitOf, nowMs, wallMs: clock.wallMs() })
    const need = machinesNeeded(demand)
    const text = encodeDemand(demand)
    const isMore = need > this.#writtenNeed
    const ageMs = nowMs - this.#demandWrittenMs
    if (!isMore && ageMs < (text === this.#demandText ? DEMAND_REFRESH_INTERVAL_MS : DEMAND_CHANGE_INTERVAL_MS)) return
    if (need !== this.#writtenNeed) {
      const { wantedMillis, runsByMachine } = demand
      const withoutNewRuns = countUnavailable(workerViews, { ...availability, nowMs })
      log.info({ service, need, machines: runsByMachine.size, wantedMillis, workers: workers.counts(nowMs), withoutNewRuns }, 'need of machines')
    }
    this.#demandWrittenMs = nowMs
    this.#demandText = text
    this.#writtenNeed = need
    put(demandKey(service), () => text, isMore)
  }
}
