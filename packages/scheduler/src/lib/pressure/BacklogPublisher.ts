/**
 * Publishes the backlog of a service while new jobs have to wait long.
 *
 * @module
 */
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'
import { computeBacklog, type Backlog, type BacklogSources, type Job, predictWaitMs, type RunTimeEstimator } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import { backlogKey } from '../records/storeKeys.js'
import { encodeBacklog } from './backlogRecord.js'

/** Dependencies of a {@link BacklogPublisher}. @public */
export interface BacklogPublisherOptions extends Pick<BacklogSources, 'limitOf' | 'isEvacuated'> {
  readonly service: string
  readonly fencingToken: number
  /** Whether jobs are refused under pressure; otherwise nothing is published. */
  readonly managesPressure: boolean
  readonly log: EventLog
  readonly runTimes: RunTimeEstimator
  readonly configuration: () => FleetConfiguration | undefined
  /** Tells whether the store has a record of the backlog, as far as this host knows. */
  readonly hasBacklogRecord?: (() => boolean) | undefined
  /** Writes a record to the store, without delay if it is urgent. */
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
}

/** Shorter waits leave every job with a usual objective of some value. */
const PRESSURE_WAIT_MS = 2000
/** Interval at which the backlog is computed, and the shortest between two records. */
const COMPUTE_INTERVAL_MS = 350
/** An unchanged backlog is written again at this interval, since hosts do not use old ones. */
const REFRESH_INTERVAL_MS = 1000
/** Machines follow demand within about 2 s. Until the room has not grown for this long, more of it may be on its way. */
const ROOM_SETTLED_MS = 3000
/** Changes of the wait by less than this factor are not written at once. */
const NOTICEABLE_FACTOR = 1.2

/** Writes the backlog of a service while it stands, and removes it afterwards. @public */
export class BacklogPublisher {
  readonly #options: BacklogPublisherOptions
  #computedMs = -Infinity
  #writtenMs = -Infinity
  #writtenWaitMs = 0
  #isPublished = false
  /** Since when there has been pressure without any growth of the room; `undefined` without pressure. */
  #pressureSinceMs: number | undefined
  #roomMillis = 0

  /** @param options - dependencies */
  constructor (options: BacklogPublisherOptions) {
    this.#options = options
  }

  /**
   * Writes or removes the record if that is due.
   *
   * @param jobs - jobs of the service
   * @param workerViews - workers of the service
   * @param nowMs - current monotonic time
   * @param wallMs - current wall-clock time
   */
  write (jobs: readonly Job[], workerViews: BacklogSources['workerViews'], nowMs: number, wallMs: number): void {
    if (!this.#options.managesPressure || nowMs - this.#computedMs < COMPUTE_INTERVAL_MS) return
    this.#computedMs = nowMs
    const { configuration } = this.#options
    const queues = new Map(configuration()?.queues.map((queue) => [queue.name, queue]))
    if (!hasWorkOfSeveralPriorities(jobs, queues)) return this.#remove(nowMs)
    const backlog = computeBacklog({ ...this.#options, jobs, workerViews, queueOf: (name) => queues.get(name), nowMs, wallMs })
    const waitMs = predictWaitMs(backlog, Infinity, 0)
    if (this.#isRoomSettled(backlog, waitMs, nowMs)) this.#publish(backlog, waitMs, nowMs)
    else this.#remove(nowMs)
  }

  #isRoomSettled ({ roomMillis }: Backlog, waitMs: number, nowMs: number): boolean {
    const isPressure = waitMs > PRESSURE_WAIT_MS
    if (!isPressure) this.#pressureSinceMs = undefined
    else if (this.#pressureSinceMs === undefined || roomMillis > this.#roomMillis) this.#pressureSinceMs = nowMs
    this.#roomMillis = roomMillis
    return this.#pressureSinceMs !== undefined && nowMs - this.#pressureSinceMs >= ROOM_SETTLED_MS
  }

  #publish (backlog: Backlog, waitMs: number, nowMs: number): void {
    const { service, fencingToken, log, put } = this.#options
    const isNoticeable = waitMs > this.#writtenWaitMs * NOTICEABLE_FACTOR || waitMs < this.#writtenWaitMs / NOTICEABLE_FACTOR
    if (this.#isPublished && !isNoticeable && nowMs - this.#writtenMs < REFRESH_INTERVAL_MS) return
    if (!this.#isPublished) log.info({ service, waitMs: Math.round(waitMs), roomMillis: backlog.roomMillis }, 'backlog published')
    this.#isPublished = true
    this.#writtenMs = nowMs
    this.#writtenWaitMs = waitMs
    put(backlogKey(service), () => encodeBacklog({ fencingToken, backlog }), false)
  }

  /** Removes the own record, or that of a former holder. */
  #remove (nowMs: number): void {
    const { service, log, put, hasBacklogRecord } = this.#options
    const isLeftOver = hasBacklogRecord?.() === true && nowMs - this.#writtenMs >= REFRESH_INTERVAL_MS
    if (!this.#isPublished && !isLeftOver) return
    log.info({ service }, 'backlog removed')
    this.#isPublished = false
    this.#writtenMs = nowMs
    this.#writtenWaitMs = 0
    put(backlogKey(service), () => undefined, false)
  }
}

/** Without it, no work is certain to go before a new job, and there is no backlog to compute. */
function hasWorkOfSeveralPriorities (jobs: readonly Job[], queues: ReadonlyMap<string, QueueConfiguration>): boolean {
  const [first] = queues.values()
  const isSeveral = [...queues.values()].some(({ priority }) => priority !== first?.priority)
  return isSeveral && jobs.some(({ status }) => status === 'queued' || status === 'running')
}
