/**
 * Guards against workers that restart under their id and are never used again, while jobs wait that they could run. The scheduler keeps
 * state of the previous lifetime (runs, registrations, clocks, fencing tokens, silence, machine lists), which must not be applied to the new one.
 */
import { expect } from 'chai'
import { delay, Err } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { TestService, type Tenure } from './TestService.js'

/** Delay until the machine list shows that a machine was down. */
const MACHINE_LIST_DELAY_MS = 100
/** Long enough for a start, for a run, and for another start elsewhere if the first is taken for lost. */
const START_AND_RUN_MS = 1500
const WORKERS = 3
const CPU_MILLIS = 4000
/** Long before any machine list that a test reports. */
const BORN_MS = Date.now() - 600_000
/** Far more than clocks may differ, so that a list requested then covers any lifetime. */
const LATER_MS = 60_000
/** Longer than the period that counts as soon after a start. */
const SETTLED_RUN_MS = 600
/** Time after the start of a crashing task at which its worker ends. */
const CRASH_DELAY_MS = 10

describe('workers that restart under their id', () => {
  let service: TestService
  afterEach(() => service.close())

  /** Restarts every worker at once, so that its registration never lapses, and reports its machine as down. */
  async function restartAll (): Promise<StandInWorker[]> {
    const ended = [...service.runs.workers.values()]
    const restarted = ended.map((worker) => service.restartWorker(worker))
    await delay(MACHINE_LIST_DELAY_MS)
    for (const { instance } of ended) service.reportGone(instance)
    return restarted
  }

  it('get work again after their machines were down, although their registrations never lapsed', async () => {
    service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
    await service.takeOver()
    const before = await service.submit(1, { runMs: 50 })
    await service.untilStatus(before, 'succeeded')
    const restarted = await restartAll()
    await delay(MACHINE_LIST_DELAY_MS)
    const after = await service.submit(2, { runMs: 50 }, [{ taskCount: WORKERS }])
    await service.untilStatus(after, 'succeeded')
    expect(restarted.flatMap(({ records }) => records).length).to.equal(WORKERS)
    expect(service.duplicatedTasks).to.deep.equal([])
  })

  interface Case {
    /** The state of the previous lifetime that must not affect the new one. */
    readonly staleState: string
    /** Run time of the first job's tasks. */
    readonly runMs: number
    readonly isLasting?: boolean
    /** Runs before the first job is submitted. */
    readonly prepare?: (worker: StandInWorker) => void
    /** Restarts the worker once the task runs or its start was sent. @returns the new lifetime and the current holder */
    readonly triggerRestart: (worker: StandInWorker, tenure: Tenure) => Promise<{ readonly worker: StandInWorker, readonly tenure: Tenure }>
  }

  const restart = async (worker: StandInWorker, tenure: Tenure): Promise<{ worker: StandInWorker, tenure: Tenure }> =>
    ({ worker: service.restartWorker(worker), tenure })

  /**
   * Restarts the worker right before the next start order reaches it; the new lifetime registers a little later.
   *
   * @param hasSameClock - whether the clock of the new lifetime goes on as that of the previous one
   */
  function restartBeforeStart (hasSameClock = false): void {
    const own = service
    const start = own.runs.start.bind(own.runs)
    own.runs.start = async (instance, order) => {
      own.runs.start = start
      const worker = own.runs.workers.get(instance.instanceId)
      const next = own.restartWorker(worker as StandInWorker, false)
      if (hasSameClock) next.clockShiftMs = (worker as StandInWorker).clockShiftMs
      setTimeout(() => own.list(next.instance), 200).unref()
      return await start(instance, order)
    }
  }

  const cases: readonly Case[] = [
    { staleState: 'runs: a run that ended with the previous lifetime', runMs: 300, triggerRestart: restart },
    { staleState: 'runs: a long-running one', runMs: 0, isLasting: true, triggerRestart: restart },
    {
      staleState: 'runs: the new lifetime answers but is not registered yet',
      runMs: 300,
      triggerRestart: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker, false)
        setTimeout(() => own.list(next.instance), 300).unref()
        return { worker: next, tenure }
      }
    },
    {
      staleState: 'registrations: the previous lifetime writes its registration late',
      runMs: 300,
      triggerRestart: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker)
        await delay(MACHINE_LIST_DELAY_MS)
        own.list(worker.instance)
        setTimeout(() => own.list(next.instance), 300).unref()
        return { worker: next, tenure }
      }
    },
    {
      staleState: 'ends: the previous lifetime had many, the new one numbers them from 1',
      runMs: 20,
      prepare: () => { void service.submit(9, { runMs: 5 }, [{ taskCount: 30 }]) },
      triggerRestart: async (worker, tenure) => {
        await service.until('ends were listed', () => worker.records.length >= 31)
        return await restart(worker, tenure)
      }
    },
    { staleState: 'clocks: the new clock is far ahead', runMs: 300, prepare: (worker) => { worker.clockShiftMs = -7_200_000 }, triggerRestart: restart },
    { staleState: 'clocks: the new clock is far behind', runMs: 300, prepare: (worker) => { worker.clockShiftMs = 7_200_000 }, triggerRestart: restart },
    {
      staleState: 'fencing: the next holder connects to a lifetime that has no fencing token yet',
      runMs: 300,
      triggerRestart: async (worker, tenure) => {
        tenure.scheduler.close()
        const next = service.restartWorker(worker)
        return { worker: next, tenure: await service.takeOver() }
      }
    },
    {
      staleState: 'runs: the next holder restores them from the records',
      runMs: 0,
      isLasting: true,
      triggerRestart: async (worker, tenure) => {
        const next = service.restartWorker(worker)
        tenure.scheduler.close()
        return { worker: next, tenure: await service.takeOver() }
      }
    },
    {
      staleState: 'silence: the worker was recorded as silent',
      runMs: 0,
      isLasting: true,
      triggerRestart: async (worker, tenure) => {
        worker.faults.isSilent = true
        await service.until('the silence is recorded', () => service.log.lines.some((line) => line.startsWith('silent workers written down')))
        return await restart(worker, tenure)
      }
    },
    {
      staleState: 'machines: a machine list shows late that a machine was down',
      runMs: 300,
      triggerRestart: async (worker, tenure) => {
        const own = service
        const next = own.restartWorker(worker)
        setTimeout(() => own.reportGone(worker.instance), 200).unref()
        setTimeout(() => own.reportGone(worker.instance), 400).unref()
        return { worker: next, tenure }
      }
    },
    {
      staleState: 'machines: a machine goes down again, under a new lifetime that has run for a while',
      runMs: 900,
      triggerRestart: async (worker, tenure) => {
        const next = service.restartWorker(worker)
        await service.until('it runs again', () => next.records.length > 0)
        await delay(SETTLED_RUN_MS)
        next.crash()
        service.reportGone(next.instance, Date.now() + LATER_MS)
        await service.until('that lifetime has ended', () => service.log.lines.some((line) => line.startsWith('worker lifetime is over') && line.includes(next.instance.instanceId)))
        return { worker: service.restartWorker(next, true, Date.now() + 2 * LATER_MS), tenure }
      }
    },
    {
      staleState: 'calls: the start order is in flight during the restart and reaches the new lifetime',
      runMs: 600,
      prepare: (worker) => { worker.faults.startsLateMs = 60 },
      triggerRestart: restart
    },
    {
      staleState: 'calls: the new lifetime carried out the start order before it was registered',
      runMs: 600,
      prepare: () => restartBeforeStart(),
      triggerRestart: async (worker, tenure) => ({ worker: [...service.runs.workers.values()].at(-1) ?? worker, tenure })
    }
  ]

  for (const { staleState, runMs, isLasting = false, prepare, triggerRestart } of cases) {
    it(`do not inherit the state of the previous lifetime: ${staleState}`, async () => {
      service = new TestService(1, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      const first = await service.takeOver()
      await service.until('the worker is connected', () => service.log.lines.some((line) => line.startsWith('worker met')))
      const [previous] = service.runs.workers.values()
      prepare?.(previous as StandInWorker)
      await delay(50)
      const jobId = await service.submit(1, { runMs }, [{ isLasting }])
      await service.until('it was placed', () => service.log.lines.some((line) => line.startsWith('tasks placed') && line.includes(jobId)))
      if (previous?.faults.startsLateMs === 0) await service.until('it runs', () => service.runs.records.some(({ taskKey }) => taskKey.startsWith(jobId)))
      const restartedMs = performance.now()
      const { worker, tenure } = await triggerRestart(previous as StandInWorker, first)
      if (isLasting) await service.until('it runs there', () => [...worker.active.values()].length > 0, 4000)
      else await service.untilStatus(jobId, 'succeeded')
      expect(performance.now() - restartedMs, service.log.lines.slice(-30).join('\n')).to.be.below(4000)
      const next = await service.submit(2, { runMs: 20 }, [{ taskCount: 2 }])
      await service.untilStatus(next, 'succeeded')
      expect(service.duplicatedTasks, service.log.lines.join('\n')).to.deep.equal([])
      expect(tenure.isDeposed).to.equal(false)
      expect(worker.records.filter(({ taskKey }) => taskKey.startsWith(next)).length).to.equal(2)
    })
  }

  it('count no crash for a task that only their next lifetime was told to start', async () => {
    service = new TestService(1, CPU_MILLIS, BORN_MS)
    await service.takeOver()
    await service.until('the worker is connected', () => service.log.lines.some((line) => line.startsWith('worker met')))
    restartBeforeStart()
    const jobId = await service.submit(1, { runMs: 600 })
    await service.untilStatus(jobId, 'succeeded')
    expect(service.log.lines.filter((line) => line.startsWith('worker ended under tasks'))).to.deep.equal([])
    expect(service.runs.records.length).to.equal(1)
  })

  // A task ran twice: the answer to a start came from the next lifetime, whose clock passed for that of the former one, and the run was lost with the former.
  for (const isLasting of [false, true]) {
    it(`keep a run that only the next lifetime started, also if the clocks of both agree: a ${isLasting ? 'lasting' : 'finite'} task`, async () => {
      service = new TestService(2, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      await service.takeOver()
      await service.until('the workers are connected', () => service.log.lines.filter((line) => line.startsWith('worker met')).length === 2)
      restartBeforeStart(true)
      await service.submit(1, { runMs: isLasting ? 0 : 600 }, [{ isLasting }])
      await delay(START_AND_RUN_MS)
      expect(service.duplicatedTasks, service.log.lines.slice(-30).join('\n')).to.deep.equal([])
      expect(service.runs.records.length).to.equal(1)
    })
  }

  // Guards against a sixth start: an order without an answer is sent again, and the next lifetime of the crashed worker may carry it out.
  for (const { isLasting, killDelayMs } of [false, true].flatMap((isLasting) => [0, 50].map((killDelayMs) => ({ isLasting, killDelayMs })))) {
    it(`are not told again to start a task whose order may have ended their previous lifetime: a ${isLasting ? 'lasting' : 'finite'} task, holders killed after ${killDelayMs} ms`, async () => {
      service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
      service.maxLeaseMs = 10_000
      service.runs.onCrash = (worker) => {
        setTimeout(() => service.restartWorker(worker), 30).unref()
        setTimeout(() => service.reportGone(worker.instance), MACHINE_LIST_DELAY_MS).unref()
      }
      // The answer to a start takes longer than the worker lasts.
      const start = service.runs.start.bind(service.runs)
      service.runs.start = async (instance, order) => {
        const crashesBefore = crashCount()
        const answer = await start(instance, order)
        await delay(CRASH_DELAY_MS + 10)
        return crashCount() > crashesBefore && answer.ok ? Err({ kind: 'unknown-effect', detail: 'the connection was reset' }) : answer
      }
      const crashCount = (): number => service.runs.records.filter(({ end, endedMs }) => end === undefined && endedMs !== undefined).length
      let tenure = await service.takeOver()
      const jobId = await service.submit(1, { runMs: isLasting ? 0 : 400, crashesAfterMs: CRASH_DELAY_MS }, [{ isLasting }])
      // Three holders are killed, each some time after a crash: the next ones do not know whether other workers are lost.
      for (let crashes = 1; crashes <= 3; crashes++) {
        await service.until('a worker has crashed', () => crashCount() >= crashes)
        await delay(killDelayMs)
        tenure.scheduler.close()
        tenure = await service.takeOver()
      }
      await service.until('the task is given up', () => service.log.lines.some((line) => line.startsWith('task given up')), 8000)
      await delay(1000)
      const starts = service.runs.records.filter(({ taskKey }) => taskKey.startsWith(jobId))
      const thirdCrashMs = starts[2]?.endedMs ?? Infinity
      expect(starts.filter(({ startedMs }) => startedMs > thirdCrashMs).length, service.log.lines.filter((line) => line.startsWith('worker ended')).join('\n')).to.be.at.most(2)
    }).timeout(20_000)
  }

  it('count crashes for the tasks that caused them', async () => {
    service = new TestService(WORKERS, CPU_MILLIS, BORN_MS)
    service.maxLeaseMs = 10_000
    service.runs.onCrash = (worker) => {
      setTimeout(() => service.restartWorker(worker), 30).unref()
      setTimeout(() => service.reportGone(worker.instance), MACHINE_LIST_DELAY_MS).unref()
    }
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 400, crashesAfterMs: 10 }, [{ taskCount: 2 }])
    await service.untilStatus(jobId, 'failed')
    await delay(500)
    const crashes = service.runs.records.filter(({ taskKey, end }) => taskKey.startsWith(jobId) && end === undefined)
    const maxCrashesOfTask = Math.max(...[0, 1].map((index) => crashes.filter(({ taskKey }) => taskKey.endsWith(`.${index}`)).length))
    expect(maxCrashesOfTask).to.be.within(2, 5)
    const healthy = await service.submit(2, { runMs: 20 }, [{ taskCount: WORKERS }])
    await service.untilStatus(healthy, 'succeeded')
  })
})
