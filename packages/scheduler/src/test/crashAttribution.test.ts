/**
 * Guards the limit on starts of a task that crashes its workers, where a crash is found out by the next lifetime of the worker, and tasks that harm nobody.
 */
import { expect } from 'chai'
import { delay, SeededRandom } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { TestService } from './TestService.js'

const WORKERS = 3
const CPU_MILLIS = 8000
const BORN_MS = 1000
const RESTART_MS = 730
/** Just after an attempt of the scheduler to reach the worker, the next of which comes 500 ms later. */
const LATE_RESTART_MS = 1230
const REGISTRATION_MS = 600
const MAX_STARTS = 5
const OBSERVATION_MS = 15_000

describe('a lasting task that crashes workers which are back under their id', () => {
  let service: TestService
  let isClosed = false
  afterEach(() => {
    isClosed = true
    service.close()
  })

  for (const restartMs of [RESTART_MS, LATE_RESTART_MS]) {
    it(`is started five times at most, while other jobs are started: back after ${restartMs} ms`, async () => {
      isClosed = false
      service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      const comeBack = async (worker: StandInWorker): Promise<void> => {
        await delay(restartMs)
        if (isClosed) return
        const next = service.restartWorker(worker, false)
        await delay(REGISTRATION_MS)
        if (!isClosed) service.list(next.instance)
      }
      service.runs.onCrash = (worker) => { void comeBack(worker) }
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 0, crashesAfterMs: 10 }, [{ isLasting: true }])
      const untilMs = performance.now() + OBSERVATION_MS
      for (let number = 100; performance.now() < untilMs; number++) {
        await service.submit(number, { runMs: 100 }, [{ taskCount: 2 }])
        await delay(60)
      }
      const starts = service.runs.records.filter(({ taskKey }) => taskKey.startsWith(jobId)).map(({ startedMs, instanceId }) => `${Math.round(startedMs)} ${instanceId}`)
      const evidence = service.log.lines.filter((line) => /^(worker ended|task given up|task survived)/.test(line)).join('\n')
      expect(starts.length, `${starts.join('\n')}\n${evidence}`).to.be.at.most(MAX_STARTS)
    }).timeout(40_000)
  }
})

describe('a job that harms nobody, with tasks on every worker', () => {
  let service: TestService
  afterEach(() => service.close())
  const shapes = [
    { name: 'finite', runMs: 2000, step: { taskCount: 15, cpuMillis: 500 } },
    { name: 'a gang', runMs: 2000, step: { taskCount: 4, cpuMillis: 500, isGang: true } },
    { name: 'lasting', runMs: 0, step: { taskCount: 15, cpuMillis: 500, isLasting: true } }
  ]
  for (const { name, runMs, step } of shapes) {
    for (const seed of [1, 2, 3]) {
      it(`is not given up while workers crash at random: ${name}, seed ${seed}`, async () => {
        service = new TestService(5, CPU_MILLIS, BORN_MS)
        service.maxLeaseMs = 2500
        const random = new SeededRandom(seed)
        await service.takeOver()
        const jobId = await service.submit(1, { runMs }, [step])
        const untilMs = performance.now() + 10_000
        while (performance.now() < untilMs) {
          await delay(150 + random.next() * 300)
          const live = [...service.runs.workers.values()].filter(({ hasEnded }) => !hasEnded)
          if (live.length === 0) continue
          const worker = random.pick(live)
          worker.crash()
          void delay(400).then(() => service.restartWorker(worker))
        }
        await delay(600)
        const evidence = service.log.lines.filter((line) => /^(worker ended|task given up|job ended)/.test(line)).join('\n')
        expect(await service.status(jobId), evidence).to.not.equal('failed')
        expect(service.log.lines.filter((line) => line.startsWith('task given up'))).to.deep.equal([])
      }).timeout(40_000)
    }
  }
})

describe('lasting tasks of one job, one of which crashes its workers', () => {
  let service: TestService
  afterEach(() => service.close())

  for (const workers of [2, 3]) {
    it(`are not given up with it: ${workers} workers`, async () => {
      service = new TestService(workers, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      service.runs.onCrash = (worker) => {
        setTimeout(() => service.reportGone(worker.instance), 100).unref()
        setTimeout(() => { service.restartWorker(worker) }, 700).unref()
      }
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 0, crashesAfterMs: 10, crashingIndex: 0 }, [{ isLasting: true, taskCount: 4 }])
      await service.until('the task is given up', () => service.log.lines.some((line) => line.startsWith('task given up')), 12_000)
      await delay(4000)
      const givenUp = service.log.lines.filter((line) => line.startsWith('task given up'))
      const evidence = service.log.lines.filter((line) => /^(worker ended|task given up|task survived)/.test(line)).join('\n')
      expect(givenUp.length, evidence).to.equal(1)
      const running = service.runs.records.filter(({ taskKey, endedMs }) => taskKey.startsWith(jobId) && endedMs === undefined).map(({ taskKey }) => taskKey)
      expect(new Set(running).size, evidence).to.equal(3)
    }).timeout(40_000)
  }
})
