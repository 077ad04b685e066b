/**
 * Guards against a lasting job that is shown as failed because workers under its tasks are lost for other reasons.
 */
import { expect } from 'chai'
import { delay, SeededRandom } from '@quillscale/utils'
import type { RunRecord, StandInCommand, StandInWorker } from '@quillscale/standins'
import type { JobId, StepSpec } from '@quillscale/policy'
import { TestService, type Tenure } from './TestService.js'

const WORKERS = 5
const WORKER_CPU_MILLIS = 8000
const WORKERS_BORN_MS = 1000
/** Time until a crashed worker is registered again, with a new lifetime. */
const RESTART_MS = 400
/** Time between two random crashes. */
const MIN_CRASH_GAP_MS = 150
const MAX_CRASH_GAP_MS = 450
const RANDOM_CRASHES_MS = 12_000
const LASTING: StandInCommand = { runMs: 0 }
/** Time after the last crash in which every task has to run again: the longest lease, and the wait for a worker without other jobs. */
const RECOVERY_MS = 6000

/** Ends the lifetime of a worker, and begins the next one after a while. */
async function crash ({ service }: LossyFleet, worker: StandInWorker): Promise<void> {
  if (worker.hasEnded) return
  worker.crash()
  await delay(RESTART_MS)
  service.restartWorker(worker)
}

/** A service whose workers crash and restart, and whose duty holders are replaced. */
class LossyFleet {
  readonly service = new TestService(WORKERS, WORKER_CPU_MILLIS, WORKERS_BORN_MS)
  #tenure: Tenure | undefined

  async takeOver (): Promise<void> {
    this.#tenure?.scheduler.close()
    this.#tenure = await this.service.takeOver()
  }

  /** Finds the run of a task that is in progress. */
  runOf (taskKey: string): RunRecord | undefined {
    return this.service.runs.records.find((record) => record.taskKey === taskKey && record.endedMs === undefined)
  }

  /** Waits until a task runs, and returns its worker. */
  async workerOf (taskKey: string): Promise<StandInWorker> {
    await this.service.until(`${taskKey} runs`, () => this.runOf(taskKey) !== undefined)
    return this.service.runs.workers.get(this.runOf(taskKey)?.instanceId ?? '') as StandInWorker
  }

  /** Log lines that tell why a job failed. */
  get evidence (): string {
    return this.service.log.lines.filter((line) => /^(worker ended|task given up)/.test(line)).join('\n')
  }
}

interface SeriesCase {
  readonly name: string
  /** Time from each start of the task to the loss of its worker. */
  readonly lostAfterMs: readonly number[]
  /** Whether a new duty holder takes over before each loss. */
  readonly replacesHolder?: boolean
  readonly isSilent?: boolean
}

const repeat = (times: number, ms: number): number[] => Array.from({ length: times }, () => ms)

const seriesCases: readonly SeriesCase[] = [
  { name: 'crash a second after each start', lostAfterMs: repeat(6, 1000) },
  { name: 'crash a second after each start, each under a new duty holder', lostAfterMs: repeat(6, 1000), replacesHolder: true },
  { name: 'crash early and late by turns', lostAfterMs: [100, 1600, 100, 1600, 100, 1600, 100, 1600] },
  { name: 'crash two seconds after each start, each before it answers a new duty holder', lostAfterMs: repeat(6, 2000), replacesHolder: true, isSilent: true }
]

describe('a lasting task that crashes no worker', () => {
  let fleet: LossyFleet
  beforeEach(() => {
    fleet = new LossyFleet()
    fleet.service.maxLeaseMs = 2500
  })
  afterEach(() => fleet.service.close())

  const submit = (number: number, steps: ReadonlyArray<Partial<StepSpec>>): Promise<JobId> => fleet.service.submit(number, LASTING, steps)

  for (const { name, lostAfterMs, replacesHolder = false, isSilent = false } of seriesCases) {
    it(`is never given up, although its workers ${name}`, async () => {
      await fleet.takeOver()
      const jobId = await submit(1, [{ isLasting: true }])
      const taskKey = `${jobId}.0.0.0`
      for (const afterMs of lostAfterMs) {
        const worker = await fleet.workerOf(taskKey)
        await delay(afterMs)
        worker.faults.isSilent = isSilent
        if (replacesHolder) await fleet.takeOver()
        await crash(fleet, worker)
      }
      await fleet.workerOf(taskKey)
      expect(await fleet.service.status(jobId), fleet.evidence).to.equal('running')
      expect(fleet.service.duplicatedTasks).to.deep.equal([])
    }).timeout(60_000)
  }

  for (const seed of [1, 2, 3]) {
    it(`is never given up, although workers crash at random and two duty holders are killed: seed ${seed}`, async () => {
      const random = new SeededRandom(seed)
      await fleet.takeOver()
      const jobIds = await Promise.all([1, 2, 3, 4, 5].map((number) => submit(number, [{ isLasting: true, taskCount: 3, cpuMillis: 500 }])))
      const untilMs = performance.now() + RANDOM_CRASHES_MS
      const takeOvers = [1 / 3, 2 / 3].map((share) => untilMs - RANDOM_CRASHES_MS * share).sort((a, b) => a - b)
      while (performance.now() < untilMs) {
        await delay(MIN_CRASH_GAP_MS + random.next() * (MAX_CRASH_GAP_MS - MIN_CRASH_GAP_MS))
        if (performance.now() > (takeOvers[0] ?? Infinity)) {
          takeOvers.shift()
          await fleet.takeOver()
        }
        const live = [...fleet.service.runs.workers.values()].filter(({ hasEnded }) => !hasEnded)
        if (live.length > 0) void crash(fleet, random.pick(live))
      }
      const keys = jobIds.flatMap((jobId) => [0, 1, 2].map((index) => `${jobId}.0.0.${index}`))
      const statuses = await Promise.all(jobIds.map((jobId) => fleet.service.status(jobId)))
      expect(statuses, fleet.evidence).to.deep.equal(jobIds.map(() => 'running'))
      await fleet.service.until('all tasks run again', () => keys.every((key) => fleet.runOf(key) !== undefined), RECOVERY_MS)
      expect(fleet.service.duplicatedTasks).to.deep.equal([])
    }).timeout(60_000)
  }
})
