/**
 * Guards against a finite job or gang that fails, or is left standing, because workers under its tasks are lost for reasons that no task causes.
 */
import { expect } from 'chai'
import { delay, SeededRandom } from '@quillscale/utils'
import type { RunRecord, StandInCommand, StandInWorker } from '@quillscale/standins'
import type { JobId, StepSpec } from '@quillscale/policy'
import { TestService, type Tenure } from './TestService.js'

const WORKERS = 5
const WORKER_CPU_MILLIS = 8000
const WORKERS_BORN_MS = 1000
/** Time until a lost worker is registered again, with a new lifetime. */
const RESTART_MS = 400
/** Time from the registration of a worker as draining to its end. */
const DRAIN_MS = 100
const MAX_LEASE_MS = 1500
/** Longer than the leases, so that the runs of a worker without answers are lost. */
const CUT_OFF_MS = 2500
/** Time between two random crashes. */
const MIN_CRASH_GAP_MS = 150
const MAX_CRASH_GAP_MS = 450
const RANDOM_LOSSES_MS = 12_000
/** Time after the last loss in which every job has to succeed: the longest lease, the wait for a worker without other jobs, and the runs. */
const RECOVERY_MS = 15_000
/** More than the losses of uncertain cause after which a task is given up. */
const LOSSES = 8
const ENDED: ReadonlySet<string> = new Set(['succeeded', 'failed'])

/** A service whose workers are lost and return, and whose duty holders are replaced. */
class LossyFleet {
  readonly service = new TestService(WORKERS, WORKER_CPU_MILLIS, WORKERS_BORN_MS)
  #tenure: Tenure | undefined

  async takeOver (): Promise<void> {
    this.#tenure?.scheduler.close()
    this.#tenure = await this.service.takeOver()
  }

  /** Waits until a run of a job is in progress, and returns its workers; none if the job has ended. */
  async workersOf (jobId: JobId): Promise<StandInWorker[]> {
    const find = (): RunRecord[] => this.service.runs.records.filter(({ taskKey, endedMs }) => taskKey.startsWith(jobId) && endedMs === undefined)
    await this.service.until(`${jobId} runs or has ended`, async () => find().length > 0 || ENDED.has(await this.service.status(jobId)))
    return find().map(({ instanceId }) => this.service.runs.workers.get(instanceId) as StandInWorker)
  }

  get liveWorkers (): StandInWorker[] {
    return [...this.service.runs.workers.values()].filter(({ hasEnded }) => !hasEnded)
  }

  /** Ends the lifetime of a worker, and begins the next one after a while. */
  async crash (worker: StandInWorker): Promise<void> {
    if (worker.hasEnded) return
    worker.crash()
    await delay(RESTART_MS)
    this.service.restartWorker(worker)
  }

  /** Crashes a worker together with another one on which no task of the job runs. */
  async crashWithOther (worker: StandInWorker, jobId: JobId): Promise<void> {
    const other = this.liveWorkers.find((each) => each !== worker && ![...each.active.keys()].some((key) => key.startsWith(jobId)))
    await Promise.all([this.crash(worker), ...other === undefined ? [] : [this.crash(other)]])
  }

  /** Ends a worker as its operator does: it is registered as draining first. */
  async restart (worker: StandInWorker): Promise<void> {
    this.service.list({ ...worker.instance, state: 'draining' })
    await delay(DRAIN_MS)
    await this.crash(worker)
  }

  /** Disconnects a worker until the runs on it are lost. */
  async cutOff (worker: StandInWorker): Promise<void> {
    worker.faults.isSilent = true
    await delay(CUT_OFF_MS)
    worker.faults.isSilent = false
    worker.step()
  }

  /** Log lines that tell why a job failed. */
  get evidence (): string {
    return this.service.log.lines.filter((line) => /^(worker ended|task given up|run ended early)/.test(line)).join('\n')
  }
}

interface SeriesCase {
  readonly name: string
  /** Time from each start to the loss of its worker. */
  readonly lostAfterMs: number
  /** Whether a new duty holder takes over right before each loss, and the worker never answers it. */
  readonly replacesHolder?: boolean
  readonly lose: (fleet: LossyFleet, worker: StandInWorker, jobId: JobId) => Promise<void>
}

const crashWithOther: SeriesCase['lose'] = async (fleet, worker, jobId) => { await fleet.crashWithOther(worker, jobId) }
const restart: SeriesCase['lose'] = async (fleet, worker) => { await fleet.restart(worker) }
const cutOff: SeriesCase['lose'] = async (fleet, worker) => { await fleet.cutOff(worker) }
const seriesCases: readonly SeriesCase[] = [
  { name: 'crash a second after each start, each with a worker of other jobs', lostAfterMs: 1000, lose: crashWithOther },
  { name: 'crash 0.1 s after each start, each with a worker of other jobs', lostAfterMs: 100, lose: crashWithOther },
  { name: 'are restarted as planned a second after each start', lostAfterMs: 1000, lose: restart },
  { name: 'are restarted as planned right after each start', lostAfterMs: 0, lose: restart },
  { name: 'are restarted as planned a second after each start, before they answer a new duty holder', lostAfterMs: 1000, replacesHolder: true, lose: restart },
  { name: 'are cut off a second after each start', lostAfterMs: 1000, lose: cutOff },
  { name: 'are cut off right after each start', lostAfterMs: 0, lose: cutOff },
  { name: 'are cut off a second after each start, before they answer a new duty holder', lostAfterMs: 1000, replacesHolder: true, lose: cutOff }
]

interface Shape {
  readonly name: string
  readonly step: Partial<StepSpec>
}

const shapes: readonly Shape[] = [
  { name: 'a finite task', step: {} },
  { name: 'a gang', step: { taskCount: 2, isGang: true, maxPerWorker: 1 } }
]
const LONG: StandInCommand = { runMs: 2000 }

describe('a finite job that crashes no worker', () => {
  let fleet: LossyFleet
  beforeEach(() => {
    fleet = new LossyFleet()
    fleet.service.maxLeaseMs = MAX_LEASE_MS
  })
  afterEach(() => fleet.service.close())

  /** Checks that jobs succeed once no worker is lost any more, that no lost run counts as an attempt, and that no task runs twice. */
  async function expectSuccess (jobIds: readonly JobId[]): Promise<void> {
    const { service } = fleet
    const ended = async (): Promise<boolean> => (await Promise.all(jobIds.map((jobId) => service.status(jobId)))).every((status) => !['queued', 'running'].includes(status))
    await service.until('all jobs have ended', ended, RECOVERY_MS).catch(() => {})
    expect(await Promise.all(jobIds.map((jobId) => service.status(jobId))), fleet.evidence).to.deep.equal(jobIds.map(() => 'succeeded'))
    expect(service.log.lines.filter((line) => line.startsWith('run ended early') && !line.includes('"failures":0'))).to.deep.equal([])
    expect(service.duplicatedTasks).to.deep.equal([])
  }

  for (const { name: shapeName, step } of shapes) {
    for (const { name, lostAfterMs, replacesHolder = false, lose } of seriesCases) {
      it(`succeeds, although its workers ${name}: ${shapeName}`, async () => {
        await fleet.takeOver()
        const jobId = await fleet.service.submit(1, LONG, [step])
        for (let loss = 0; loss < LOSSES; loss++) {
          await fleet.workersOf(jobId)
          await delay(lostAfterMs)
          const workers = await fleet.workersOf(jobId)
          if (replacesHolder) for (const { faults } of workers) faults.isSilent = true
          if (replacesHolder) await fleet.takeOver()
          await Promise.all(workers.map((worker) => lose(fleet, worker, jobId)))
        }
        await expectSuccess([jobId])
      }).timeout(90_000)
    }
  }

  for (const seed of [1, 2, 3]) {
    it(`succeeds, although workers crash at random and two duty holders are killed: seed ${seed}`, async () => {
      const random = new SeededRandom(seed)
      await fleet.takeOver()
      const jobIds = await Promise.all([1, 2, 3, 4].map((number) => fleet.service.submit(number, LONG, [shapes[number % shapes.length]?.step ?? {}])))
      const startMs = performance.now()
      const takeOvers = [1 / 3, 2 / 3].map((share) => startMs + RANDOM_LOSSES_MS * share)
      while (performance.now() < startMs + RANDOM_LOSSES_MS) {
        await delay(MIN_CRASH_GAP_MS + random.next() * (MAX_CRASH_GAP_MS - MIN_CRASH_GAP_MS))
        if (performance.now() > (takeOvers[0] ?? Infinity)) {
          takeOvers.shift()
          await fleet.takeOver()
        }
        if (fleet.liveWorkers.length > 0) void fleet.crash(random.pick(fleet.liveWorkers))
      }
      await expectSuccess(jobIds)
    }).timeout(90_000)
  }
})
