import { expect } from 'chai'
import { delay, SeededRandom, systemClock } from '@quillscale/utils'
import type { AccountName, FleetConfiguration } from '@quillscale/ports'
import { createJob, jobSpecSchema, QuotaAdmission, tasksOf, type QuotaClaim, type Resources, type Run, type Task } from '@quillscale/policy'
import { accountsOf } from '../lib/accounts/AccountDirectory.js'
import { QuotaLedger } from '../lib/accounts/QuotaLedger.js'
import { encodeQuotaRecord, quotaKey } from '../lib/accounts/quotaRecord.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { testJobId } from '@quillscale/policy/testing'
import { FaultyStore, TestLog } from './TestService.js'

const PRESS = 'press' as AccountName
const TASK_MILLIS = 100
const ROUND_MS = 5
/** Users' requirement: a changed limit is respected and used within this time. */
const LIMIT_CHANGE_BOUND_MS = 2000
const OBSERVATION_MS = 1500
/** Users' requirement: a job of which nothing runs starts within this time if its account uses less than half of its limit. */
const START_BOUND_MS = 3000
/** Time until the last leases have expired and every host has received the configuration. */
const REMOVED_SERVICE_BOUND_MS = 8000

/** Simulates the duty holder of one service: starts the tasks that fit its grant, and ends each after {@link runMs}. */
class Holder {
  readonly ledger: QuotaLedger
  readonly running = new Set<Run>()
  readonly stop = new AbortController()
  readonly #fleet: Fleet
  waiting: Task[]
  startedMs: number | undefined
  runMs = 30

  constructor (fleet: Fleet, readonly service: string, fencingToken: number, tasks: readonly Task[]) {
    this.#fleet = fleet
    this.waiting = [...tasks]
    const { store, log, metrics, records } = fleet
    this.ledger = new QuotaLedger({
      service,
      dutyKey: `duty/${service}`,
      fencingToken,
      store,
      clock: systemClock,
      log,
      records,
      accounts: () => accountsOf(fleet.configuration),
      configuration: () => fleet.configuration,
      longestLeaseMs: () => 100,
      count: (kind) => metrics.count('quota_writes', kind),
      onChange: () => {}
    })
    this.ledger.start(this.stop.signal)
    void this.#rounds()
  }

  async #rounds (): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.round(performance.now())
      await delay(ROUND_MS)
    }
  }

  round (nowMs: number): void {
    const quota = new QuotaAdmission((account) => this.ledger.quotaFor(account, nowMs))
    const admitted = this.waiting.slice(0, quota.countAdmitted(this.waiting, this.waiting.length))
    for (const task of admitted) quota.consume(task)
    this.waiting = this.waiting.slice(admitted.length)
    for (const task of admitted) this.#start(task)
    this.ledger.reconcile(quota.shortages, nowMs)
  }

  #start (task: Task): void {
    this.startedMs ??= performance.now()
    const run = { task } as unknown as Run
    this.running.add(run)
    this.ledger.addRun(run)
    this.#fleet.updatePeak()
    setTimeout(() => this.end(run), this.runMs)
  }

  end (run: Run): void {
    if (this.stop.signal.aborted || !this.running.delete(run)) return
    this.ledger.removeRun(run)
  }
}

/** Simulates services that share an account's limit. */
class Fleet {
  readonly store = new FaultyStore()
  readonly log = new TestLog()
  readonly metrics = new SchedulerMetrics()
  readonly records = new RecordReader(this.log, this.metrics)
  readonly holders = new Map<string, Holder>()
  configuration: FleetConfiguration
  peakMillis = 0
  #jobs = 0

  constructor (limitMillis: number) {
    this.configuration = this.#configurationOf(1, limitMillis)
  }

  #configurationOf (version: number, limitMillis: number, services = ['a', 'b', 'c']): FleetConfiguration {
    return {
      version,
      queues: [],
      maxBodyBytes: 0,
      services: services.map((name) => ({ name, isHeadroom: false, refusesOverload: true, healthPath: '' })),
      accounts: [{ name: PRESS, keyHashes: [], weight: 1, limit: { cpuMillis: limitMillis, memoryMb: 0, gpus: 0 } }]
    }
  }

  setLimit (limitMillis: number, services?: string[]): void {
    this.configuration = this.#configurationOf(this.configuration.version + 1, limitMillis, services)
  }

  tasks (count: number, cpuMillis = TASK_MILLIS): readonly Task[] {
    const spec = jobSpecSchema.parse({
      jobId: testJobId(++this.#jobs), queue: 'q', command: '', submittedMs: 0, owner: { account: PRESS, keyTag: '' }, steps: [{ taskCount: count, cpuMillis }]
    })
    return tasksOf(createJob(spec), 0)[0] ?? []
  }

  /** Gives a service's duty to a new holder, which takes over the runs and waiting tasks of its predecessor. */
  async takeOver (service: string, tasks: readonly Task[] = []): Promise<Holder> {
    const predecessor = this.holders.get(service)
    predecessor?.stop.abort()
    const key = `duty/${service}`
    const held = (await this.store.get(key)).unwrap()
    const taken = (await this.store.compareAndSwap({ key, expectedModRevision: held?.modRevision ?? 0, value: 'x' })).unwrap()
    const holder = new Holder(this, service, taken.swapped ? taken.modRevision : 0, [...tasks, ...predecessor?.waiting ?? []])
    for (const run of predecessor?.running ?? []) {
      holder.running.add(run)
      holder.ledger.addRun(run)
      setTimeout(() => holder.end(run), holder.runMs)
    }
    this.holders.set(service, holder)
    return holder
  }

  get runningMillis (): number {
    return [...this.holders.values()].flatMap(({ running }) => [...running]).reduce((sum, { task }) => sum + (task.job.spec.steps[0]?.cpuMillis ?? 0), 0)
  }

  updatePeak (): void {
    this.peakMillis = Math.max(this.peakMillis, this.runningMillis)
  }

  async until (what: string, condition: () => boolean, timeoutMs: number): Promise<number> {
    const startedMs = performance.now()
    while (!condition()) {
      if (performance.now() - startedMs > timeoutMs) throw new Error(`timed out waiting for: ${what}\n${this.log.lines.slice(-20).join('\n')}`)
      await delay(ROUND_MS)
    }
    return performance.now() - startedMs
  }

  close (): void {
    for (const { stop } of this.holders.values()) stop.abort()
  }
}

describe('QuotaLedger', () => {
  let fleet: Fleet
  afterEach(() => fleet.close())

  it('runs all waiting tasks in the end, and never exceeds the limit', async () => {
    fleet = new Fleet(1000)
    const holders = await Promise.all(['a', 'b', 'c'].map((service) => fleet.takeOver(service, fleet.tasks(60))))
    await fleet.until('all tasks have run', () => holders.every(({ waiting }) => waiting.length === 0), 10_000)
    expect(fleet.peakMillis).to.be.at.most(1000)
    expect(fleet.peakMillis).to.be.at.least(900)
  })

  it('collects the unused grants of other services for a task that needs all of them', async () => {
    fleet = new Fleet(1000)
    const [a, b] = [await fleet.takeOver('a', fleet.tasks(9)), await fleet.takeOver('b', fleet.tasks(1))]
    await fleet.until('both services have run their tasks', () => a.waiting.length + b.waiting.length === 0, 2000)
    const c = await fleet.takeOver('c', fleet.tasks(1, 1000))
    expect(await fleet.until('the large task runs', () => c.startedMs !== undefined, START_BOUND_MS)).to.be.below(START_BOUND_MS)
  })

  it('starts nothing after a limit was lowered until the running tasks fit, and continues then', async () => {
    fleet = new Fleet(2000)
    const a = await fleet.takeOver('a', fleet.tasks(20))
    a.runMs = 400
    await fleet.until('all tasks run', () => a.running.size === 20, 2000)
    fleet.setLimit(300)
    a.waiting.push(...fleet.tasks(10))
    const b = await fleet.takeOver('b', fleet.tasks(3))
    await delay(150)
    expect(fleet.runningMillis).to.equal(2000)
    fleet.peakMillis = 0
    await fleet.until('the remaining tasks run', () => a.waiting.length + b.waiting.length === 0, 8000)
    expect(fleet.peakMillis).to.be.at.most(300)
  })

  const loweredLimits: ReadonlyArray<{ readonly services: readonly string[], readonly limits: readonly number[], readonly taskMillis: number }> = [
    { services: ['a', 'b'], limits: [4000, 1500], taskMillis: 500 },
    { services: ['a', 'b'], limits: [4000, 700], taskMillis: 500 },
    { services: ['a', 'b', 'c'], limits: [4000, 1500, 3000, 1100], taskMillis: 500 },
    { services: ['a', 'b', 'c', 'd', 'e'], limits: [6000, 2100, 900], taskMillis: 300 }
  ]
  for (const { services, limits, taskMillis } of loweredLimits) {
    for (const seed of [1, 2, 3]) {
      it(`makes progress under the limits ${limits.join(', ')} in ${services.length} services whose holders change, seed ${seed}`, async () => {
        const random = new SeededRandom(seed)
        const [firstLimit = 0, ...later] = limits
        fleet = new Fleet(firstLimit)
        for (const service of services) (await fleet.takeOver(service, fleet.tasks(2000, taskMillis))).runMs = 40
        for (const limitMillis of later) {
          await delay(100 + random.integer(100))
          const taken = await fleet.takeOver(random.pick(services))
          taken.runMs = 40
          fleet.setLimit(limitMillis, [...services])
          await delay(LIMIT_CHANGE_BOUND_MS)
          const before = [...fleet.holders.values()].map(({ waiting }) => waiting.length)
          fleet.peakMillis = 0
          await delay(OBSERVATION_MS)
          const started = [...fleet.holders.values()].map(({ waiting }, at) => (before[at] ?? 0) - waiting.length)
          expect(Math.min(...started), `fewest tasks started by a service, of ${started.join(', ')}, with the limit ${limitMillis}`).to.be.above(0)
          expect(fleet.peakMillis).to.be.at.most(limitMillis)
        }
      }).timeout(30_000)
    }
  }

  it('makes progress if the recorded grants together exceed the limit', async () => {
    fleet = new Fleet(1500)
    const amounts = (cpuMillis: number): Resources => ({ cpuMillis, memoryMb: 0, gpus: 0 })
    const claimOf = (service: string, granted: number): QuotaClaim =>
      ({ service, granted: amounts(granted), wanted: amounts(100_000), first: amounts(0), lackingSinceMs: 1 })
    const value = encodeQuotaRecord({ account: PRESS, claims: [claimOf('a', 750), claimOf('b', 1000)] })
    await fleet.store.transact({ conditions: [], puts: [{ key: quotaKey(PRESS), value }], removals: [] })
    const holders = await Promise.all(['a', 'b'].map((service) => fleet.takeOver(service, fleet.tasks(200, 500))))
    await fleet.until('both start tasks', () => holders.every(({ startedMs }) => startedMs !== undefined), START_BOUND_MS)
    expect(fleet.peakMillis).to.be.at.most(1500)
  })

  it('uses a raised limit', async () => {
    fleet = new Fleet(200)
    const a = await fleet.takeOver('a', fleet.tasks(30))
    a.runMs = 1000
    await fleet.until('the limit is used', () => a.running.size === 2, 2000)
    fleet.setLimit(1500)
    await fleet.until('the raised limit is used', () => a.running.size === 15, 1000)
  })

  it('passes a grant on to the next holder, which gives it up for a service that lacks quota', async () => {
    fleet = new Fleet(1000)
    const a = await fleet.takeOver('a', fleet.tasks(10))
    await fleet.until('all tasks have run', () => a.waiting.length === 0 && a.running.size === 0, 2000)
    a.stop.abort()
    const b = await fleet.takeOver('b', fleet.tasks(10))
    b.runMs = 2000
    await delay(100)
    expect(b.running.size).to.be.below(10)
    await fleet.takeOver('a')
    expect(await fleet.until('the other service has the quota', () => b.running.size === 10, START_BOUND_MS)).to.be.below(START_BOUND_MS)
  })

  it('frees the grant of a service that is no longer configured, once its last leases have expired', async () => {
    fleet = new Fleet(1000)
    const a = await fleet.takeOver('a', fleet.tasks(10))
    await fleet.until('all tasks have run', () => a.waiting.length === 0 && a.running.size === 0, 2000)
    a.stop.abort()
    fleet.setLimit(1000, ['b', 'c'])
    const b = await fleet.takeOver('b', fleet.tasks(10))
    b.runMs = 20_000
    await fleet.until('the other service has the quota', () => b.running.size === 10, REMOVED_SERVICE_BOUND_MS)
  })

  it('starts nothing while the record is unreadable, and writes it anew', async () => {
    fleet = new Fleet(1000)
    await fleet.store.transact({ conditions: [], puts: [{ key: quotaKey(PRESS), value: '{"account":"press","claims":7}' }], removals: [] })
    const a = await fleet.takeOver('a', fleet.tasks(3))
    await delay(300)
    expect(a.running.size).to.equal(0)
    await fleet.until('the tasks have run', () => a.waiting.length === 0, START_BOUND_MS)
  })

  it('writes no record for accounts without a limit', async () => {
    fleet = new Fleet(0)
    const a = await fleet.takeOver('a', fleet.tasks(500))
    await fleet.until('all tasks have run', () => a.waiting.length === 0, 1000)
    expect((await fleet.store.list('quotas/')).unwrap().items).to.deep.equal([])
  })

  for (const seed of [1, 2, 3, 4, 5, 6]) {
    it(`never exceeds the limit with lost store responses, slow writes and changing holders, seed ${seed}`, async () => {
      fleet = new Fleet(1000)
      const random = new SeededRandom(seed)
      fleet.store.loseAnswers = () => random.next() < 0.15
      fleet.store.writeDelayMs = () => Math.floor(random.next() * 25)
      const services = ['a', 'b', 'c']
      for (const service of services) await fleet.takeOver(service, fleet.tasks(40))
      for (let change = 0; change < 6; change++) {
        await delay(60)
        await fleet.takeOver(services[Math.floor(random.next() * services.length)] ?? 'a')
      }
      await fleet.until('all tasks have run', () => [...fleet.holders.values()].every(({ waiting }) => waiting.length === 0), 15_000)
      expect(fleet.peakMillis).to.be.at.most(1000)
    })
  }
})
