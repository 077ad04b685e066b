import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import type { EvacuationState, StepSpec } from '@quillscale/policy'
import { progressPrefix } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { SERVICE, TestService } from './TestService.js'

/** Workers 0, 2 and so on are in zone `z0`, which is evacuated; each has room for four tasks. */
const WORKERS = 4
const EVACUATED = 'z0'
/** More than the workers elsewhere hold. */
const MANY_TASKS = 10
const RUN_MS = 60
/** A start that was sent before the request is carried out within this time; members of a gang are repeated for longer. */
const SENT_MS = 60
const GANG_REPEAT_MS = 1700
const LEASE_MS = 600
/** After this long without a report a lasting task does not count as ready. */
const NOT_READY_MS = 1700

describe('evacuation of an availability zone', () => {
  let service: TestService
  afterEach(() => service.close())

  const workersIn = (zone: string): StandInWorker[] => [...service.runs.workers.values()].filter(({ instance }) => instance.availabilityZone === zone)
  const startsIn = (zone: string): number[] => workersIn(zone).flatMap(({ records }) => records.map(({ startedMs }) => startedMs))
  const hasLogged = (text: string): boolean => service.log.lines.some((line) => line.startsWith(text))
  const submit = (number = 1, step: Partial<StepSpec> = { taskCount: MANY_TASKS }, runMs = RUN_MS) => service.submit(number, { runMs }, [step])
  const silence = (isSilent: boolean): void => { for (const { faults } of workersIn(EVACUATED)) faults.isSilent = isSilent }
  function rezone (index: number, availabilityZone: string): void {
    const worker = service.runs.workers.get(`w${index}-1`) as StandInWorker
    const instance = { ...worker.instance, availabilityZone }
    Object.assign(worker, { instance })
    service.list(instance)
  }
  const placed = (): Promise<void> => service.until('tasks are placed', () => hasLogged('tasks placed'))
  const recorded = (): Promise<void> => service.until('the placement is recorded', async () =>
    (await service.store.list(progressPrefix(SERVICE))).unwrap().items.some(({ value }) => value.includes('w0-1')))

  /** Places tasks and requests the evacuation while the workers of the zone do not answer, so that the outcome of the starts is unknown. */
  async function evacuateUnanswered (step: Partial<StepSpec>): Promise<void> {
    silence(true)
    await submit(1, step)
    await recorded()
    await delay(SENT_MS)
    service.evacuate(EVACUATED)
    silence(false)
  }

  interface Failure {
    readonly name: string
    /** Submits job 1 and requests the evacuation, with one failure around it. */
    readonly around: () => Promise<unknown>
    readonly isWatchCutOff?: boolean
    readonly lateMs?: number
    readonly deposed?: number
  }
  const failures: readonly Failure[] = [
    { name: 'the watch reports it', around: async () => { service.evacuate(EVACUATED); await submit() } },
    {
      name: 'the watch misses it',
      isWatchCutOff: true,
      around: async () => {
        service.evacuate(EVACUATED)
        await submit()
        await service.until('the transaction finds it', () => hasLogged('evacuation found by a transaction') && hasLogged('placement withdrawn'))
      }
    },
    {
      name: 'the holder is killed between record and start',
      around: async () => {
        service.store.writeDelayMs = () => 40
        await submit()
        await recorded()
        service.tenures[0]?.scheduler.close()
        service.evacuate(EVACUATED)
        service.store.writeDelayMs = () => 0
        await service.takeOver()
      }
    },
    {
      name: 'the holder is killed between the request and its successor\'s first list',
      isWatchCutOff: true,
      around: async () => {
        service.evacuate(EVACUATED)
        service.tenures[0]?.scheduler.close()
        await submit()
        await service.takeOver()
      }
    },
    { name: 'the outcome of starts there is unknown', around: () => evacuateUnanswered({ taskCount: MANY_TASKS }) },
    { name: 'the outcome of starts of a gang is unknown', lateMs: GANG_REPEAT_MS, around: () => evacuateUnanswered({ taskCount: 8, isGang: true }) },
    {
      name: 'a deposed holder wakes with its tasks placed',
      isWatchCutOff: true,
      deposed: 1,
      around: async () => {
        service.store.writeDelayMs = () => 60
        await submit()
        await placed()
        await service.takeOver()
        service.evacuate(EVACUATED)
        service.store.writeDelayMs = () => 0
      }
    },
    {
      name: 'half of a gang would be recorded there',
      isWatchCutOff: true,
      around: async () => { service.evacuate(EVACUATED); await submit(1, { taskCount: 8, isGang: true }) }
    },
    {
      name: 'answers are lost after the record',
      isWatchCutOff: true,
      around: async () => {
        service.store.loseAnswers = () => true
        void submit()
        await recorded()
        service.evacuate(EVACUATED)
        await delay(SENT_MS + 300)
        service.store.loseAnswers = () => false
      }
    },
    {
      name: 'answers are lost before the record',
      isWatchCutOff: true,
      around: async () => {
        service.evacuate(EVACUATED)
        service.store.loseAnswers = () => true
        void submit()
        await delay(300)
        service.store.loseAnswers = () => false
      }
    },
    {
      name: 'requests and withdrawals alternate within a second',
      around: async () => {
        for (let count = 0; count < 10; count++) {
          service.evacuate(EVACUATED, count % 2 === 0)
          await delay(90)
        }
        service.evacuate(EVACUATED)
        await submit()
      }
    },
    {
      name: 'workers change their zones',
      around: async () => {
        service.evacuate(EVACUATED)
        // Worker 0 leaves the zone, worker 1 joins it.
        rezone(0, 'z1')
        rezone(1, EVACUATED)
        await delay(600)
        await submit()
      }
    },
    {
      name: 'requests of other zones and with more parts are present',
      around: async () => {
        service.evacuate('nowhere')
        // No request can name this zone, so its worker is used.
        rezone(1, `${EVACUATED}/more`)
        service.evacuate(`${EVACUATED}/more`)
        service.evacuate(EVACUATED)
        await delay(600)
        await submit()
        await service.until('the other worker is used', () => startsIn(`${EVACUATED}/more`).length > 0)
      }
    }
  ]
  for (const { name, around, isWatchCutOff = false, lateMs = SENT_MS, deposed = 0 } of failures) {
    it(`starts nothing there and everything elsewhere, and uses the zone again after the withdrawal, when ${name}`, async () => {
      service = new TestService(WORKERS, 4000, undefined, 2)
      service.maxLeaseMs = LEASE_MS
      await service.takeOver()
      await service.until('workers answer', () => service.log.lines.filter((line) => line.startsWith('worker met')).length === WORKERS)
      service.isWatchCutOff = isWatchCutOff
      let requestedMs = Infinity
      const evacuate = service.evacuate.bind(service)
      service.evacuate = (zone, isRequested = true) => {
        if (isRequested && zone === EVACUATED) requestedMs = performance.now()
        evacuate(zone, isRequested)
      }
      await around()
      await service.untilStatus(testJobId(1), 'succeeded')
      expect(startsIn(EVACUATED).filter((startedMs) => startedMs > requestedMs + lateMs), service.log.lines.join('\n')).to.deep.equal([])
      service.isWatchCutOff = false
      evacuate(EVACUATED, false)
      const withdrawnMs = performance.now()
      await service.untilStatus(await submit(9, { taskCount: 14, isGang: true }), 'succeeded')
      expect(startsIn(EVACUATED).filter((startedMs) => startedMs > withdrawnMs)).to.have.length.above(0)
      expect(service.duplicatedTasks).to.deep.equal([])
      expect(service.tenures.filter(({ isDeposed }) => isDeposed)).to.have.length(deposed)
    }).timeout(20_000)
  }

  const allZones: ReadonlyArray<{ name: string, zones: number, evacuated: string[], atWithdrawal: string, down?: boolean }> = [
    { name: 'two of three zones', zones: 3, evacuated: ['z0', 'z1'], atWithdrawal: 'succeeded' },
    { name: 'all zones', zones: 2, evacuated: ['z0', 'z1'], atWithdrawal: 'queued' },
    { name: 'a zone while the store is down', zones: 2, evacuated: ['z0'], atWithdrawal: 'queued', down: true }
  ]
  for (const { name, zones, evacuated, atWithdrawal, down = false } of allZones) {
    it(`${atWithdrawal === 'queued' ? 'keeps jobs until the withdrawal' : 'runs jobs elsewhere'} with an evacuation of ${name}`, async () => {
      service = new TestService(6, 4000, undefined, zones)
      const tenure = await service.takeOver()
      service.isWatchCutOff = down
      for (const zone of evacuated) service.evacuate(zone)
      // Nothing is placed until the store refuses writes.
      tenure.holdsDuty = !down
      const jobId = await submit()
      service.store.refusesWrites = down
      tenure.holdsDuty = true
      if (atWithdrawal === 'succeeded') await service.untilStatus(jobId, 'succeeded')
      else await delay(400)
      expect(await service.status(jobId)).to.equal(atWithdrawal)
      expect(evacuated.flatMap(startsIn)).to.deep.equal([])
      for (const zone of evacuated) service.evacuate(zone, false)
      service.isWatchCutOff = false
      service.store.refusesWrites = false
      await service.untilStatus(await submit(9, { taskCount: 24, isGang: true }), 'succeeded')
      await service.untilStatus(jobId, 'succeeded')
      for (const zone of evacuated) expect(startsIn(zone)).to.have.length.above(0)
      expect(service.duplicatedTasks).to.deep.equal([])
    }).timeout(20_000)
  }

  interface LastingCase { name: string, workers: number, step: Partial<StepSpec>, isOneSilent?: boolean, states: Partial<Record<EvacuationState, number>> }
  const lasting: readonly LastingCase[] = [
    { name: 'leave one at a time for room elsewhere', workers: 4, step: { taskCount: 4, maxAway: 1 }, states: {} },
    { name: 'stay while there is no room elsewhere', workers: 2, step: { taskCount: 8 }, states: { 'no-room': 4 } },
    { name: 'stay while none of their step may be away', workers: 4, step: { taskCount: 4, maxAway: 0 }, states: { 'disruption-limit': 2 } },
    {
      name: 'stay while one on a silent worker of the zone uses up the limit',
      workers: 6,
      step: { taskCount: 6, maxAway: 1 },
      isOneSilent: true,
      states: { leaving: 1, 'disruption-limit': 2 }
    },
    { name: 'stay if they are a gang', workers: 2, step: { taskCount: 8, isGang: true }, states: { gang: 4 } }
  ]
  for (const { name, workers, step, isOneSilent = false, states } of lasting) {
    it(`lets lasting tasks ${name}`, async () => {
      service = new TestService(workers, 4000, undefined, 2)
      service.maxLeaseMs = 10_000
      await service.takeOver()
      await service.until('workers answer', () => service.log.lines.filter((line) => line.startsWith('worker met')).length === workers)
      const jobId = await submit(1, { ...step, isLasting: true }, 0)
      await service.until('all run', () => service.runs.records.length === step.taskCount)
      const before = startsIn(EVACUATED).length
      if (isOneSilent) Object.assign(service.runs.workers.get('w0-1')?.faults ?? {}, { isSilent: true })
      await delay(isOneSilent ? NOT_READY_MS : 0)
      service.evacuate(EVACUATED)
      const counts = (): string[] => service.metrics.render().split('\n').filter((line) => line.startsWith('runs_in_evacuated_zones') && !line.endsWith(' 0'))
      const expected = Object.entries(states).map(([state, count]) => `runs_in_evacuated_zones{service="${SERVICE}",of="${state}"} ${count}`)
      const active = (): number => workersIn(EVACUATED).reduce((sum, worker) => sum + worker.active.size, 0)
      await service.until(`${expected.join()} of ${counts().join()}`, () => counts().join() === expected.join() && (expected.length > 0 || active() === 0))
      await delay(300)
      expect([counts(), startsIn(EVACUATED).length, await service.status(jobId)]).to.deep.equal([expected, before, 'running'])
      const away = service.runs.records.filter(({ end }) => end === 'stopped').map(({ taskKey, endedMs }) =>
        ({ fromMs: endedMs ?? 0, toMs: service.runs.records.find((again) => again.taskKey === taskKey && again.runNumber === 2)?.startedMs ?? Infinity }))
      expect(away.length).to.equal(expected.length > 0 ? 0 : before)
      expect(away.filter((one) => away.some((other) => other !== one && other.fromMs <= one.fromMs && one.fromMs < other.toMs))).to.deep.equal([])
    }).timeout(20_000)
  }
})
