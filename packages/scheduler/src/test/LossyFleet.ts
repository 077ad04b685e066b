/**
 * Test harness: a service whose workers are lost and return under their ids, and whose duty holders are replaced.
 *
 * @module
 */
import { delay, SeededRandom } from '@quillscale/utils'
import type { RunRecord, StandInWorker } from '@quillscale/standins'
import { TestService, type Tenure } from './TestService.js'

const WORKERS = 5
const WORKER_CPU_MILLIS = 8000
const WORKERS_BORN_MS = 1000
/** Time until a lost worker is registered again, with a new lifetime. */
const RESTART_MS = 400
/** Time between two random crashes. */
const MIN_CRASH_GAP_MS = 150
const MAX_CRASH_GAP_MS = 450

/** A service whose workers are lost and return, and whose duty holders are replaced. */
export class LossyFleet {
  readonly service = new TestService(WORKERS, WORKER_CPU_MILLIS, WORKERS_BORN_MS)
  #tenure: Tenure | undefined

  /** @param maxLeaseMs - the longest lease that a worker accepts */
  constructor (maxLeaseMs: number) {
    this.service.maxLeaseMs = maxLeaseMs
  }

  /** Kills the duty holder, if there is one, and starts the next. */
  async takeOver (): Promise<void> {
    this.#tenure?.scheduler.close()
    this.#tenure = await this.service.takeOver()
  }

  /** Finds the runs in progress of a job or task. @param key - a job id or task key @returns their records */
  runsOf (key: string): RunRecord[] {
    return this.service.runs.records.filter(({ taskKey, endedMs }) => `${taskKey}.`.startsWith(`${key}.`) && endedMs === undefined)
  }

  /** Returns the worker of a run. @param run - a run in progress */
  workerOf ({ instanceId }: RunRecord): StandInWorker {
    return this.service.runs.workers.get(instanceId) as StandInWorker
  }

  /** The workers whose present lifetime has not ended. */
  get liveWorkers (): StandInWorker[] {
    return [...this.service.runs.workers.values()].filter(({ hasEnded }) => !hasEnded)
  }

  /** Ends the lifetime of a worker, and begins the next one after a while. @param worker - the worker */
  async crash (worker: StandInWorker): Promise<void> {
    if (worker.hasEnded) return
    worker.crash()
    await delay(RESTART_MS)
    this.service.restartWorker(worker)
  }

  /**
   * Crashes a worker at random every 150 to 450 ms, and kills two duty holders meanwhile.
   *
   * @param seed - of the random numbers
   * @param lengthMs - for how long
   */
  async crashAtRandom (seed: number, lengthMs: number): Promise<void> {
    const random = new SeededRandom(seed)
    const startMs = performance.now()
    const takeOversMs = [1 / 3, 2 / 3].map((share) => startMs + lengthMs * share)
    while (performance.now() < startMs + lengthMs) {
      await delay(MIN_CRASH_GAP_MS + random.next() * (MAX_CRASH_GAP_MS - MIN_CRASH_GAP_MS))
      if (performance.now() > (takeOversMs[0] ?? Infinity)) {
        takeOversMs.shift()
        await this.takeOver()
      }
      const live = this.liveWorkers
      if (live.length > 0) void this.crash(random.pick(live))
    }
  }

  /** Log lines that tell why a job failed. */
  get evidence (): string {
    return this.service.log.lines.filter((line) => /^(worker ended|task given up|run ended early)/.test(line)).join('\n')
  }
}
