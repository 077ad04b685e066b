import { expect } from 'chai'
import { delay, SeededRandom } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { createJob, jobSpecSchema } from '@quillscale/policy'
import { decodeProgress, encodeProgress, restoreProgress } from '../lib/jobs/jobProgress.js'
import { silentWorkersKey } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { SERVICE, TestService, type Tenure } from './TestService.js'

/** Results in leases of 6.5 s, as in production. */
const MAX_LEASE_MS = 10_000
/** The wait of a single holder: such a lease on a clock that runs 2 % slow, 20 ms for a stop and 300 ms for late timers. */
const SINGLE_WAIT_MS = 6500 / 0.98 + 20 + 300
/** Results in leases of 1.6 s; the wait of a single holder with these follows. */
const SHORT_MAX_LEASE_MS = 2000
const SHORT_WAIT_MS = 1600 / 0.98 + 20 + 300
/** Time for a new holder to find that a worker does not answer, a polling interval of the timers, and scheduling rounds and commits. */
const ALLOWANCE_MS = 1300
const FLUSH_MS = 600

interface TenureEnd { readonly how: string, readonly end: (tenure: Tenure) => Promise<void> }

const endings: readonly TenureEnd[] = [
  {
    how: 'is stopped as planned',
    end: async ({ scheduler }) => {
      await scheduler.flush(FLUSH_MS)
      scheduler.close()
    }
  },
  { how: 'is killed', end: async ({ scheduler }) => scheduler.close() }
]

describe('a series of takeovers', () => {
  let service: TestService
  afterEach(() => service.close())

  /** Starts a long-running task and silences its worker. */
  async function loseWorker (otherTasks = 0): Promise<{ readonly tenure: Tenure, readonly worker: StandInWorker, readonly lostMs: number }> {
    service = new TestService(1)
    service.maxLeaseMs = MAX_LEASE_MS
    const tenure = await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    if (otherTasks > 0) await service.submit(2, { runMs: 1500 }, [{ taskCount: otherTasks }])
    await service.until('all run', () => service.runs.records.length === 1 + otherTasks)
    service.addWorker(1, 1)
    await delay(300)
    const instanceId = service.runs.records[0]?.instanceId ?? ''
    const worker = service.runs.workers.get(instanceId) as StandInWorker
    worker.faults.isSilent = true
    service.unlist(instanceId)
    return { tenure, worker, lostMs: performance.now() }
  }

  /** Advances a worker that receives no calls. */
  async function advance (worker: StandInWorker, forMs: number): Promise<void> {
    const untilMs = performance.now() + forMs
    while (performance.now() < untilMs) {
      worker.step()
      await delay(5)
    }
  }

  const series = endings.flatMap((ending) => [
    { ending, takeOvers: 1, tenureMs: 1300 }, { ending, takeOvers: 5, tenureMs: 1300 }, { ending, takeOvers: 6, tenureMs: 1000 }
  ])
  for (const { ending: { how, end }, takeOvers, tenureMs } of series) {
    it(`does not prolong the wait for a lost run: the holder ${how} ${takeOvers} times, after ${tenureMs} ms each`, async () => {
      const lost = await loseWorker()
      let tenure = lost.tenure
      const isBack = (): boolean => service.runs.records.length === 2
      for (let number = 0; number < takeOvers; number++) {
        await end(tenure)
        tenure = await service.takeOver()
        expect(isBack(), `back before takeover ${number + 1}`).to.equal(false)
        await delay(tenureMs)
      }
      await service.until('it runs again', isBack)
      lost.worker.step()
      expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
      const again = service.runs.records.find(({ runNumber }) => runNumber === 2)
      expect((again?.startedMs ?? Infinity) - lost.lostMs).to.be.below(SINGLE_WAIT_MS + ALLOWANCE_MS)
    }).timeout(30_000)
  }

  it('waits no longer than the granted leases, even if the first holder allowed for longer ones', async () => {
    service = new TestService(1)
    service.maxLeaseMs = SHORT_MAX_LEASE_MS
    const tenure = await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    service.addWorker(1, 1)
    await delay(300)
    const worker = service.runs.workers.get(service.runs.records[0]?.instanceId ?? '') as StandInWorker
    worker.faults.isSilent = true
    service.unlist(worker.instance.instanceId)
    tenure.scheduler.close()
    const takenMs = performance.now()
    await service.takeOver()
    await service.until('it runs again', () => service.runs.records.length === 2)
    worker.step()
    expect(performance.now() - takenMs).to.be.below(SHORT_WAIT_MS + ALLOWANCE_MS)
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
  }).timeout(30_000)

  it('does not treat a run as lost whose worker answered in between', async () => {
    const { tenure, worker } = await loseWorker()
    // A pending hold is still answered.
    await delay(2600)
    await endings[0]?.end(tenure)
    expect((await service.store.get(silentWorkersKey(SERVICE))).unwrap()?.value).to.include(worker.instance.instanceId)
    const next = await service.takeOver()
    worker.faults.isSilent = false
    service.list(worker.instance)
    await service.until('the worker is removed from the record', async () => (await service.store.get(silentWorkersKey(SERVICE))).unwrap()?.value.includes('"workers":[]') === true)
    // The timer of the first silence has expired, and the lease has been extended until now.
    await delay(SINGLE_WAIT_MS)
    expect(worker.active.size).to.equal(1)
    worker.faults.isSilent = true
    next.scheduler.close()
    await service.takeOver()
    await service.until('it runs again', () => service.runs.records.length === 2)
    worker.step()
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
  }).timeout(30_000)

  it('waits for leases of a previous holder if the worker answered the new one before it could grant any', async () => {
    const { tenure, worker } = await loseWorker()
    await delay(2300)
    await endings[0]?.end(tenure)
    worker.faults.isSilent = false
    service.list(worker.instance)
    const before = service.log.lines.length
    await service.takeOver()
    service.store.refusesWrites = true
    await service.until('the worker is connected', () => service.log.lines.slice(before).some((line) => line.startsWith('worker met') && line.includes(worker.instance.instanceId)))
    await delay(50)
    worker.faults.isSilent = true
    await delay(800)
    service.store.refusesWrites = false
    await advance(worker, 7000)
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
  }).timeout(30_000)

  it('keeps polling a worker with unacknowledged ends while leases may not be extended', async () => {
    // A run ends there while the worker is silent, so its end is unacknowledged.
    const { tenure, worker } = await loseWorker(1)
    await delay(2300)
    await endings[0]?.end(tenure)
    worker.faults.isSilent = false
    service.list(worker.instance)
    await service.takeOver()
    service.store.refusesWrites = true
    await advance(worker, 3000)
    service.store.refusesWrites = false
    await advance(worker, 4000)
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
    expect(worker.records.filter(({ taskKey, end }) => taskKey.startsWith('0000000000000001') && end !== undefined)).to.deep.equal([])
  }).timeout(30_000)

  it('does not rely on a timer that was created before the lease was granted', async () => {
    const { tenure, worker } = await loseWorker()
    await delay(1200)
    tenure.scheduler.close()
    service.list(worker.instance)
    service.store.timerAnswerMs = 800
    const next = await service.takeOver()
    await delay(1250)
    worker.faults.isSilent = false
    await delay(1420)
    worker.faults.isSilent = true
    await delay(50)
    next.scheduler.close()
    await service.takeOver()
    await advance(worker, 9500)
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
  }).timeout(30_000)

  it('grants no lease to a worker that may be recorded as silent', async () => {
    const { tenure, worker } = await loseWorker()
    // The registration stays, because a long-running task would be moved off a worker that comes back without one.
    service.list(worker.instance)
    await advance(worker, 3900)
    service.store.refusesWrites = true
    worker.faults.isSilent = false
    await advance(worker, 1500)
    worker.faults.isSilent = true
    await advance(worker, 2800)
    tenure.scheduler.close()
    service.store.refusesWrites = false
    await service.takeOver()
    await advance(worker, 3000)
    expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
  }).timeout(30_000)

  const changes = [
    { name: 'before a takeover', change: async () => { service.maxLeaseMs = 2000 }, then: async () => {} },
    { name: 'after a takeover', change: async () => {}, then: async () => { service.maxLeaseMs = 2000 } }
  ]
  for (const { name, change, then } of changes) {
    it(`waits for the lease duration at the time of the grant, even if the settings are shortened ${name}`, async () => {
      const { tenure, worker } = await loseWorker()
      tenure.scheduler.close()
      await change()
      await service.takeOver()
      await then()
      await advance(worker, 8000)
      expect(service.runs.records).to.have.length(2)
      expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
    }).timeout(30_000)
  }

  it('records no worker that has not been polled yet', async () => {
    const { tenure, worker } = await loseWorker()
    worker.faults.isSilent = false
    service.list(worker.instance)
    service.store.listDelayMs.set('workers/', 900)
    tenure.scheduler.close()
    const next = await service.takeOver()
    await delay(800)
    await next.scheduler.flush(FLUSH_MS)
    expect((await service.store.get(silentWorkersKey(SERVICE))).unwrap()?.value).to.include('"workers":[]')
  }).timeout(30_000)

  it('preserves a recorded stop across holders', () => {
    const spec = jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 1, steps: [{ taskCount: 1, cpuMillis: 1, isLasting: true, maxAway: 0 }] })
    const run = { runNumber: 1, instanceId: 'w', isStopping: true }
    const first = { status: 'running' as const, tasks: [{ key: `${spec.jobId}.0.0.0`, lastRunNumber: 1, runs: [run] }] }
    const second = createJob(spec)
    restoreProgress(second, first, 0)
    expect(decodeProgress(encodeProgress(second)).unwrap().tasks[0]?.runs).to.deep.equal([run])
  })

  it('neither duplicates nor loses long-running tasks, whichever workers become silent', async () => {
    const series = SEEDS.map((seed) => new TakeOverFuzz(seed))
    service = new TestService(0)
    try {
      await Promise.all(series.map((each) => each.play()))
      for (const { seed, service: played } of series) expect(played.duplicatedTasks, `seed ${seed}\n${played.log.lines.join('\n')}`).to.deep.equal([])
    } finally {
      for (const each of series) each.close()
    }
  }).timeout(60_000)
})

const SEEDS = process.env.FUZZ_SEED === undefined ? [21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32] : [Number(process.env.FUZZ_SEED)]
const WORKERS = 4
const TASKS = 6
/** Results in leases of 4.8 s, so that several silences and takeovers occur while a lease is active. */
const SERIES_MAX_LEASE_MS = 6000
const SERIES_MS = 20_000
const MEAN_GAP_MS = 250
const LOST_ANSWERS_SHARE = 0.3
const SLOW_WRITE_MS = 450
const ORDERS_PAUSE_MS = 1500
const MOST_JOBS = 12

/** Exposes one service to frequent planned and unplanned takeovers while workers become silent and the store loses answers. */
class TakeOverFuzz {
  readonly service = new TestService(WORKERS)
  readonly #random: SeededRandom
  readonly #workers = [...this.service.runs.workers.values()]
  readonly #clock = setInterval(() => { for (const worker of this.#workers) worker.step() }, 5)

  constructor (readonly seed: number) {
    this.#random = new SeededRandom(seed)
    this.service.maxLeaseMs = SERIES_MAX_LEASE_MS
  }

  async play (): Promise<void> {
    const { service } = this
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true, taskCount: TASKS }])
    let jobs = 1
    const actions: Array<() => Promise<void> | void> = [
      () => this.#setSilent(this.#random.pick(this.#workers), true),
      () => this.#setSilent(this.#random.pick(this.#workers), false),
      () => this.#setSilent(this.#random.pick(this.#workers), false),
      () => this.#takeOver(),
      () => this.#takeOver(),
      () => { service.store.loseAnswers = () => this.#random.next() < LOST_ANSWERS_SHARE },
      () => { service.store.writeDelayMs = () => this.#random.integer(SLOW_WRITE_MS) },
      () => { service.store.refusesWrites = true },
      () => this.#healStore(),
      () => this.#healStore(),
      () => this.#pauseOrders(),
      () => { if (jobs < MOST_JOBS) void service.submit(++jobs, { runMs: 300 }, [{ taskCount: 3 }]) }
    ]
    const endMs = performance.now() + SERIES_MS
    while (performance.now() < endMs) {
      await this.#random.pick(actions)()
      await delay(this.#random.exponentialMs(MEAN_GAP_MS))
    }
    this.#healStore()
    for (const worker of this.#workers) this.#setSilent(worker, false)
    const running = (): number => this.#workers.flatMap(({ active }) => [...active.keys()]).filter((key) => key.startsWith(testJobId(1))).length
    await service.until(`all run again with seed ${this.seed}`, () => running() === TASKS)
  }

  #healStore (): void {
    Object.assign(this.service.store, { refusesWrites: false, loseAnswers: () => false, writeDelayMs: () => 0 })
  }

  /** Suspends the holder's duty, as when its renewals get no answers. */
  #pauseOrders (): void {
    const tenure = this.service.tenures.at(-1)
    if (tenure === undefined) return
    tenure.holdsDuty = false
    setTimeout(() => { tenure.holdsDuty = true }, ORDERS_PAUSE_MS)
  }

  close (): void {
    clearInterval(this.#clock)
    this.service.close()
  }

  #setSilent (worker: StandInWorker, isSilent: boolean): void {
    worker.faults.isSilent = isSilent
    if (isSilent && this.#random.next() < 0.5) this.service.unlist(worker.instance.instanceId)
    if (!isSilent) this.service.list(worker.instance)
  }

  async #takeOver (): Promise<void> {
    const tenure = this.service.tenures.at(-1)
    // Some holders are not stopped and continue until they notice the takeover.
    const isStopped = this.#random.next() < 0.8
    if (tenure !== undefined && isStopped) await this.#random.pick(endings).end(tenure)
    if (tenure !== undefined) tenure.holdsDuty = false
    await this.service.takeOver()
  }
}
