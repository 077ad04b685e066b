/**
 * Writes what others want to know of a service: how many jobs wait, and how many machines it needs.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { AccountName } from '@quillscale/ports'
import { computeServiceDemand, type Job, machinesNeeded, type Resources } from '@quillscale/policy'
import type { RecordEncoder } from '../records/FencedBatchWriter.js'
import type { EventLog } from '../duties/EventLog.js'
import { demandKey, encodeDemand } from '../records/serviceDemand.js'
import { waitingKey } from '../records/storeKeys.js'
import type { WorkerTracker } from '../workers/WorkerTracker.js'

/** What the writer works with. @public */
export interface StatusWriterOptions {
  readonly service: string
  readonly clock: Clock
  readonly log: EventLog
  /** What an account may have running, `undefined` without a limit. */
  readonly limitOf: (account: AccountName) => Resources | undefined
  readonly put: (key: string, source: RecordEncoder, isUrgent: boolean) => void
}

/** How often the counts of waiting jobs are written at least; readers take older ones for outdated. */
const WAITING_COUNT_INTERVAL_MS = 1000
/** The demand for machines is summed up this often; written at once if it grew by a machine, else this often if it changed, and as a sign of life. */
const DEMAND_INTERVAL_MS = 100
const DEMAND_CHANGE_INTERVAL_MS = 400
const DEMAND_REFRESH_INTERVAL_MS = 2000

/** The writer. @public */
export class StatusWriter {
  readonly #options: StatusWriterOptions
  #waitingText = ''
  #waitingWrittenMs = -Infinity
  #demandText = ''
  #writtenNeed = 0
  #demandComputedMs = -Infinity
  #demandWrittenMs = -Infinity

  /** @param options - what it works with */
  constructor (options: StatusWriterOptions) {
    this.#options = options
  }

  /** Writes what has changed. @param jobs - of the service @param workers - of the service @param nowMs - monotonic */
  write (jobs: readonly Job[], workers: WorkerTracker, nowMs: number): void {
    if (nowMs - this.#waitingWrittenMs >= WAITING_COUNT_INTERVAL_MS) this.#writeWaiting(jobs, nowMs)
    if (nowMs - this.#demandComputedMs >= DEMAND_INTERVAL_MS) this.#writeDemand(jobs, workers, nowMs)
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

  /** More need is told at once, anything else now and then. */
  #writeDemand (jobs: readonly Job[], workers: WorkerTracker, nowMs: number): void {
    this.#demandComputedMs = nowMs
    const { service, clock, log, limitOf, put } = this.#options
    const demand = computeServiceDemand({ service, jobs, workerViews: workers.links, limitOf, nowMs, wallMs: clock.wallMs() })
    const need = machinesNeeded(demand)
    const text = encodeDemand(demand)
    const isMore = need > this.#writtenNeed
    const ageMs = nowMs - this.#demandWrittenMs
    if (!isMore && ageMs < (text === this.#demandText ? DEMAND_REFRESH_INTERVAL_MS : DEMAND_CHANGE_INTERVAL_MS)) return
    if (need !== this.#writtenNeed) {
      const { wantedMillis, runsByMachine } = demand
      log.info({ service, need, machines: runsByMachine.size, wantedMillis, workers: workers.counts(nowMs) }, 'need of machines')
    }
    this.#demandWrittenMs = nowMs
    this.#demandText = text
    this.#writtenNeed = need
    put(demandKey(service), () => text, isMore)
  }
}
