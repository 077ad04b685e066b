import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import { workerIdOf } from '@quillscale/ports'
import type { StandInWorker } from '@quillscale/standins'
import { cancelKey, goneKey, inboxPrefix, progressPrefix, vacateKey } from '../lib/records/storeKeys.js'
import { QUEUE, SERVICE, TestService } from './TestService.js'

describe('ServiceScheduler', () => {
  let service: TestService
  afterEach(() => service.close())

  it('runs steps in the order of their dependencies, and reports the job as succeeded', async () => {
    service = new TestService(2)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 20 }, [{ taskCount: 3 }, { taskCount: 2, dependsOn: [0] }])
    await service.untilStatus(jobId, 'succeeded')
    const records = service.runs.records
    const firstEnd = Math.max(...records.filter(({ taskKey }) => taskKey.includes('.0.0.')).map(({ endedMs }) => endedMs ?? Infinity))
    const secondStart = Math.min(...records.filter(({ taskKey }) => taskKey.includes('.0.1.')).map(({ startedMs }) => startedMs))
    expect(records).to.have.length(5)
    expect(secondStart).to.be.at.least(firstEnd)
  })

  it('runs a job that is submitted twice only once', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 10 }, [{}], 2)
    await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records).to.have.length(1)
  })

  it('fails a job whose task has used up the attempts of its queue, and does not retry it', async () => {
    service = new TestService(2)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 10, fails: true })
    await service.untilStatus(jobId, 'failed')
    await delay(100)
    expect(service.runs.records).to.have.length(2)
  })

  it('stops a cancelled job, and reports it as cancelled', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true }])
    await service.until('both run', () => service.runs.records.length === 2)
    expect(await service.jobApi.cancel(jobId, [SERVICE], performance.now() + 1000)).to.equal('accepted')
    await service.untilStatus(jobId, 'cancelled')
    await service.until('both stopped', () => service.runs.records.every(({ end }) => end === 'stopped'))
    expect(service.runs.records).to.have.length(2)
  })

  it('reruns the tasks of a worker whose machine is down on another worker at once, although the worker is still registered', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 10_000
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const lostId = service.runs.records[0]?.instanceId ?? ''
    service.runs.workers.get(lostId)?.crash()
    service.reportGone({ instanceId: lostId, machineId: service.runs.workers.get(lostId)?.instance.machineId ?? '' })
    await service.until('it runs again', () => service.runs.records.length === 2, 1000)
    expect(service.runs.records[1]?.instanceId).not.to.equal(lostId)
    service.unlist(lostId)
    await service.until('the report is removed', async () => (await service.store.get(goneKey(SERVICE, workerIdOf(lostId)))).unwrap() === undefined)
  })

  const departures = [
    { name: 'is registered as draining', leave: () => { service.addWorker(0, 1, 2000, 'draining') } },
    { name: 'is no longer registered but keeps running', leave: () => service.unlist('w0-1') }
  ]
  for (const { name, leave } of departures) {
    it(`moves the lasting tasks of a worker that ${name}, within the limit of tasks that may be away at once`, async () => {
      service = new TestService(1, 2000)
      service.maxLeaseMs = 10_000
      await service.takeOver()
      await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true, maxAway: 1 }])
      const leaving = service.runs.workers.get('w0-1') as StandInWorker
      await service.until('both run', () => leaving.active.size === 2)
      // A registration that is missing shortly after the first list counts as late, not as removed.
      await delay(2600)
      const next = service.addWorker(1, 1, 2000)
      leave()
      await service.until('both moved', () => leaving.active.size === 0 && next.active.size === 2, 3000)
      const ends = leaving.records.map(({ endedMs }) => endedMs ?? Infinity).sort((a, b) => a - b)
      expect(ends[1]).to.be.above(Math.min(...next.records.map(({ startedMs }) => startedMs)))
    })
  }

  it('reruns a lasting task whose worker crashed on another worker after its lease has expired', async () => {
    service = new TestService(2)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const [first] = service.runs.records
    service.runs.workers.get(first?.instanceId ?? '')?.crash()
    await service.until('it runs again', () => service.runs.records.length === 2)
    expect(service.runs.records[1]?.instanceId).not.to.equal(first?.instanceId)
  })

  describe('a new holder', () => {
    it('records ends that came while nobody held the duty, even if it could connect workers before it has read the jobs', async () => {
      service = new TestService(2)
      const first = await service.takeOver()
      const jobId = await service.submit(1, { runMs: 150 }, [{ taskCount: 4 }])
      await service.until('all run', () => service.runs.records.length === 4)
      first.scheduler.close()
      await service.until('all have ended', () => service.runs.records.every(({ end, endedMs }) => {
        for (const worker of service.runs.workers.values()) worker.step()
        return end === 'done' && endedMs !== undefined
      }))
      service.store.listDelayMs.set(inboxPrefix(SERVICE), 100)
      await service.takeOver()
      await service.untilStatus(jobId, 'succeeded')
      expect(service.runs.records, service.log.lines.join('\n')).to.have.length(4)
    })

    it('lists workers and jobs in parallel, so that it waits for only one list on a slow link', async () => {
      service = new TestService(2)
      const previous = await service.takeOver()
      previous.scheduler.close()
      for (const prefix of [progressPrefix(SERVICE), inboxPrefix(SERVICE), 'workers/']) service.store.listDelayMs.set(prefix, 400)
      const jobId = await service.submit(1, { runMs: 100 })
      const tookOverMs = performance.now()
      await service.takeOver()
      await service.until(`${jobId} runs`, () => service.runs.records.length === 1)
      expect(performance.now() - tookOverMs).to.be.below(1100)
    })

    it('continues the current runs', async () => {
      service = new TestService(2)
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 400 }, [{ taskCount: 4 }])
      await service.until('all run', () => service.runs.records.length === 4)
      await service.takeOver()
      await service.untilStatus(jobId, 'succeeded')
      expect(service.runs.records).to.have.length(4)
      expect(service.duplicatedTasks).to.deep.equal([])
    })

    it('starts no copies of current runs before the workers had time to answer', async () => {
      service = new TestService(2)
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 600 }, [{ taskCount: 4, allowsCopies: true, maxPerWorker: 3 }])
      await service.until('all run', () => service.runs.records.length === 4)
      const slow = service.runs.workers.get(service.runs.records[0]?.instanceId ?? '')
      if (slow !== undefined) slow.holdDelayMs = 150
      await service.takeOver()
      await service.untilStatus(jobId, 'succeeded')
      expect(service.runs.records).to.have.length(4)
    })

    it('deposes the previous holder, whose orders no longer have an effect', async () => {
      service = new TestService(1)
      const first = await service.takeOver()
      await service.until('it is connected', () => service.log.lines.some((line) => line.startsWith('worker met')))
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 20 }, [{ taskCount: 3 }])
      await service.untilStatus(jobId, 'succeeded')
      await service.until('the previous holder is deposed', () => first.isDeposed)
      expect(service.duplicatedTasks).to.deep.equal([])
    })

    it('does not rerun a task of an unresponsive worker before its lease has expired', async () => {
      service = new TestService(2)
      const first = await service.takeOver()
      await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
      await service.until('it runs', () => service.runs.records.length === 1)
      const worker = service.runs.workers.get(service.runs.records[0]?.instanceId ?? '')
      first.scheduler.close()
      if (worker !== undefined) worker.faults.isSilent = true
      await service.takeOver()
      await service.until('it runs elsewhere', () => service.runs.records.length === 2)
      worker?.step()
      expect(service.duplicatedTasks).to.deep.equal([])
    })
  })

  it('stops a start that was not answered before it places the task again, even if the worker carries the start out late', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 4000
    await service.takeOver()
    for (const worker of service.runs.workers.values()) worker.faults.startsLateMs = 600
    const jobId = await service.submit(1, { runMs: 100 }, [{ taskCount: 2 }])
    await delay(1200)
    for (const worker of service.runs.workers.values()) worker.faults.startsLateMs = 0
    await service.untilStatus(jobId, 'succeeded')
    expect(service.duplicatedTasks).to.deep.equal([])
  })

  it('neither loses nor duplicates work when answers of the store are lost', async () => {
    service = new TestService(3)
    let calls = 0
    service.store.loseAnswers = () => ++calls % 3 === 0
    await service.takeOver()
    const jobs = await Promise.all([1, 2, 3, 4].map((number) => service.submit(number, { runMs: 20 }, [{ taskCount: 3 }, { dependsOn: [0] }])))
    for (const jobId of jobs) await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records).to.have.length(16)
  })

  it('does not acknowledge ends while the store is down, and does not lose them', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 150 }, [{ taskCount: 2 }])
    await service.until('both run', () => service.runs.records.length === 2)
    service.store.isDown = true
    await service.until('both ended', () => service.runs.records.every(({ end }) => end === 'done'))
    await delay(150)
    expect(service.runs.records.some(({ isAcknowledged }) => isAcknowledged)).to.equal(false)
    service.store.isDown = false
    await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records).to.have.length(2)
  })

  it('places no new work on a draining worker', async () => {
    service = new TestService(1)
    const draining = service.runs.workers.get('w0-1')
    await service.takeOver()
    if (draining !== undefined) service.list({ ...draining.instance, state: 'draining' })
    service.addWorker(1, 1)
    await service.until('the other is connected', () => service.log.lines.some((line) => line.startsWith('worker met') && line.includes('w1-1')))
    const jobId = await service.submit(1, { runMs: 10 }, [{ taskCount: 4 }])
    await service.untilStatus(jobId, 'succeeded')
    expect(draining?.records).to.have.length(0)
  })

  it('starts a copy of a task whose worker is silent before its lease has expired, if copies are allowed', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 60_000
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 4500 }, [{ allowsCopies: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const worker = service.runs.workers.get(service.runs.records[0]?.instanceId ?? '')
    if (worker !== undefined) worker.faults.isSilent = true
    await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records.map(({ instanceId }) => instanceId)).to.have.length(2)
  })

  it('reports and counts a job as waiting while its starts get no answer', async () => {
    service = new TestService(1)
    await service.takeOver()
    await service.until('it is connected', () => service.log.lines.some((line) => line.startsWith('worker met')))
    await delay(50)
    for (const worker of service.runs.workers.values()) worker.faults.isSilent = true
    const jobId = await service.submit(1, { runMs: 20 })
    await service.until('it was placed', () => service.log.lines.some((line) => line.startsWith('tasks placed')))
    await delay(1300)
    expect(await service.jobApi.countWaiting(QUEUE, SERVICE, performance.now() + 1000)).to.equal(1)
    expect(await service.status(jobId)).to.equal('queued')
    service.tenures[0]?.scheduler.close()
    await delay(2600)
    expect(await service.jobApi.countWaiting(QUEUE, SERVICE, performance.now() + 1000)).to.equal(1)
  })

  it('applies a cancellation that is listed before its job', async () => {
    service = new TestService(1)
    const jobId = await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    service.write(cancelKey(SERVICE, jobId), '1')
    await service.takeOver()
    await service.untilStatus(jobId, 'cancelled')
    expect(service.runs.records).to.have.length(0)
  })

  it('a new holder evicts no lasting task while another of the same step, which the previous holder stopped, is away', async () => {
    service = new TestService(2, 1000)
    service.maxLeaseMs = 10_000
    const [first, second] = ['w1-1', 'w0-1'].map((instanceId) => service.runs.workers.get(instanceId) as StandInWorker)
    const previous = await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true, maxAway: 1 }])
    await service.until('both run', () => first?.active.size === 1 && second?.active.size === 1)
    await delay(100)
    if (first !== undefined) first.stopDelayMs = 400
    const next = service.addWorker(2, 1, 2000)
    service.write(vacateKey(SERVICE, 'm1'), 'upkeep 1.1')
    await service.until('one is being stopped', () => first?.acceptedStopCount === 1)
    previous.scheduler.close()
    service.write(vacateKey(SERVICE, 'm0'), 'upkeep 1.1')
    await service.takeOver()
    await service.until('both moved', () => next.active.size === 2 && second?.active.size === 0)
    const firstIsBackMs = Math.min(...next.records.map(({ startedMs }) => startedMs))
    expect(first?.records[0]?.endedMs).to.be.below(firstIsBackMs)
    expect(second?.records[0]?.endedMs).to.be.above(firstIsBackMs)
  })
})
