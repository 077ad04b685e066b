/**
 * Guards against workers that start again under their id and are never used again, while jobs wait that they could run.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { TestService, type Tenure } from './TestService.js'

/** Until the list of machines shows that one was down. */
const NOTICED_MS = 100
const WORKERS = 3
const CPU_MILLIS = 4000
/** Long before any list of machines that a test tells of. */
const BORN_MS = Date.now() - 600_000
/** Far more than clocks differ, so that a list asked for now concerns any lifetime. */
const LATER_MS = 60_000
/** Longer than what counts as soon after a start. */
const RUNS_FOR_MS = 600

describe('workers that start again under their id', () => {
  let service: TestService
  afterEach(() => service.close())

  /** Every worker ends and is back at once: its registration goes on. The holder of machines tells that its machine was down. */
  async function restartAll (): Promise<StandInWorker[]> {
    const ended = [...service.runs.workers.values()]
    const restarted = ended.map((worker) => service.restartWorker(worker))
    await delay(NOTICED_MS)
    for (const { instance } of ended) service.reportGone(instance)
    return restarted
  }

  it('are given work again after their machines were down, although their registrations never ended', async () => {
    service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
    await service.takeOver()
    const before = await service.submit(1, { runMs: 50 })
    await service.untilStatus(before, 'succeeded')
    const restarted = await restartAll()
    await delay(NOTICED_MS)
    const after = await service.submit(2, { runMs: 50 }, [{ taskCount: WORKERS }])
    await service.untilStatus(after, 'succeeded')
    expect(restarted.flatMap(({ records }) => records).length).to.equal(WORKERS)
    expect(service.duplicatedTasks).to.deep.equal([])
  })

  interface Case {
    readonly remembered: string
    /** Of the first job's tasks. */
    readonly runMs: number
    readonly isLasting?: boolean
    /** Before the first job is handed in. */
    readonly prepare?: (worker: StandInWorker) => void
    /** Once its task runs, or its start was sent. @returns the present lifetime, and the holder */
    readonly strike: (worker: StandInWorker, tenure: Tenure) => Promise<{ readonly worker: StandInWorker, readonly tenure: Tenure }>
  }

  const restart = async (worker: StandInWorker, tenure: Tenure): Promise<{ worker: StandInWorker, tenure: Tenure }> =>
    ({ worker: service.restartWorker(worker), tenure })

  /** The worker starts again right before the next start reaches it, and registers itself a little later. */
  function restartBeforeStart (): void {
    const own = service
    const start = own.runs.start.bind(own.runs)
    own.runs.start = async (instance, order) => {
      own.runs.start = start
      const [worker] = own.runs.workers.values()
      const next = own.restartWorker(worker as StandInWorker, false)
      setTimeout(() => own.list(next.instance), 200).unref()
      return await start(instance, order)
    }
  }

  const cases: readonly Case[] = [
    { remembered: 'runs: one that ended with the former lifetime', runMs: 300, strike: restart },
    { remembered: 'runs: a lasting one', runMs: 0, isLasting: true, strike: restart },
    {
      remembered: 'runs: the new lifetime is not registered yet, and answers',
      runMs: 300,
      strike: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker, false)
        setTimeout(() => own.list(next.instance), 300).unref()
        return { worker: next, tenure }
      }
    },
    {
      remembered: 'registrations: the former lifetime writes its own late',
      runMs: 300,
      strike: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker)
        await delay(NOTICED_MS)
        own.list(worker.instance)
        setTimeout(() => own.list(next.instance), 300).unref()
        return { worker: next, tenure }
      }
    },
    {
      remembered: 'ends: the former lifetime had many, the new one counts them from 1',
      runMs: 20,
      prepare: () => { void service.submit(9, { runMs: 5 }, [{ taskCount: 30 }]) },
      strike: async (worker, tenure) => {
        await service.until('ends were listed', () => worker.records.length >= 31)
        return await restart(worker, tenure)
      }
    },
    { remembered: 'clocks: the new one is far ahead', runMs: 300, prepare: (worker) => { worker.clockShiftMs = -7_200_000 }, strike: restart },
    { remembered: 'clocks: the new one is far behind', runMs: 300, prepare: (worker) => { worker.clockShiftMs = 7_200_000 }, strike: restart },
    {
      remembered: 'fences: the next holder meets a lifetime that has seen none',
      runMs: 300,
      strike: async (worker, tenure) => {
        tenure.scheduler.close()
        const next = service.restartWorker(worker)
        return { worker: next, tenure: await service.takeOver() }
      }
    },
    {
      remembered: 'runs: the next holder knows them from what was recorded',
      runMs: 0,
      isLasting: true,
      strike: async (worker, tenure) => {
        const next = service.restartWorker(worker)
        tenure.scheduler.close()
        return { worker: next, tenure: await service.takeOver() }
      }
    },
    {
      remembered: 'silence: the worker was written down as silent',
      runMs: 0,
      isLasting: true,
      strike: async (worker, tenure) => {
        worker.faults.isSilent = true
        await service.until('it is written down', () => service.log.lines.some((line) => line.startsWith('silent workers written down')))
        return await restart(worker, tenure)
      }
    },
    {
      remembered: 'machines: a list shows late that one was down',
      runMs: 300,
      strike: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker)
        setTimeout(() => own.reportGone(worker.instance), 200).unref()
        setTimeout(() => own.reportGone(worker.instance), 400).unref()
        return { worker: next, tenure }
      }
    },
    {
      remembered: 'machines: one that was down is down again, under a new lifetime that has run for a while',
      runMs: 900,
      strike: async (worker, tenure) => {
        const next = service.restartWorker(worker)
        await service.until('it runs again', () => next.records.length > 0)
        await delay(RUNS_FOR_MS)
        next.crash()
        service.reportGone(next.instance, Date.now() + LATER_MS)
        await service.until('that is over', () => service.log.lines.some((line) => line.startsWith('worker lifetime is over') && line.includes(next.instance.instanceId)))
        return { worker: service.restartWorker(next, true, Date.now() + 2 * LATER_MS), tenure }
      }
    },
    {
      remembered: 'calls: the start is on its way as the worker starts again, and reaches the new lifetime',
      runMs: 600,
      prepare: (worker) => { worker.faults.startsLateMs = 60 },
      strike: restart
    },
    {
      remembered: 'calls: the start was carried out by the new lifetime before it was met',
      runMs: 600,
      prepare: () => restartBeforeStart(),
      strike: async (worker, tenure) => ({ worker: [...service.runs.workers.values()].at(-1) ?? worker, tenure })
    }
  ]

  for (const { remembered, runMs, isLasting = false, prepare, strike } of cases) {
    it(`are judged as new ones: ${remembered}`, async () => {
      service = new TestService(1, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      const first = await service.takeOver()
      await service.until('it is met', () => service.log.lines.some((line) => line.startsWith('worker met')))
      const [former] = service.runs.workers.values()
      prepare?.(former as StandInWorker)
      await delay(50)
      const jobId = await service.submit(1, { runMs }, [{ isLasting }])
      await service.until('it was placed', () => service.log.lines.some((line) => line.startsWith('tasks placed') && line.includes(jobId)))
      if (former?.faults.startsLateMs === 0) await service.until('it runs', () => service.runs.records.some(({ taskKey }) => taskKey.startsWith(jobId)))
      const struckMs = performance.now()
      const { worker, tenure } = await strike(former as StandInWorker, first)
      if (isLasting) await service.until('it runs there', () => [...worker.active.values()].length > 0, 4000)
      else await service.untilStatus(jobId, 'succeeded')
      expect(performance.now() - struckMs, service.log.lines.slice(-30).join('\n')).to.be.below(4000)
      const next = await service.submit(2, { runMs: 20 }, [{ taskCount: 2 }])
      await service.untilStatus(next, 'succeeded')
      expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
      expect(tenure.isDeposed).to.equal(false)
      expect(worker.records.filter(({ taskKey }) => taskKey.startsWith(next)).length).to.equal(2)
    })
  }

  it('have no end held against a task that only their next lifetime was told to start', async () => {
    service = new TestService(1, CPU_MILLIS, BORN_MS)
    await service.takeOver()
    await service.until('it is met', () => service.log.lines.some((line) => line.startsWith('worker met')))
    restartBeforeStart()
    const jobId = await service.submit(1, { runMs: 600 })
    await service.untilStatus(jobId, 'succeeded')
    expect(service.log.lines.filter((line) => line.startsWith('worker ended under tasks'))).to.deep.equal([])
    expect(service.runs.records.length).to.equal(1)
  })

  it('have their ends held against the tasks that ended them', async () => {
    service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
    service.maxLeaseMs = 10_000
    service.runs.onCrash = (worker) => {
      setTimeout(() => service.restartWorker(worker), 30).unref()
      setTimeout(() => service.reportGone(worker.instance), NOTICED_MS).unref()
    }
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 400, crashesAfterMs: 10 }, [{ taskCount: 2 }])
    await service.untilStatus(jobId, 'failed')
    await delay(500)
    const crashes = service.runs.records.filter(({ taskKey, end }) => taskKey.startsWith(jobId) && end === undefined)
    const mostOfATask = Math.max(...[0, 1].map((index) => crashes.filter(({ taskKey }) => taskKey.endsWith(`.${index}`)).length))
    expect(mostOfATask).to.be.within(2, 5)
    const sound = await service.submit(2, { runMs: 20 }, [{ taskCount: WORKERS }])
    await service.untilStatus(sound, 'succeeded')
  })
})
