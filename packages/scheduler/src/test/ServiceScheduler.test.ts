import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import { workerIdOf } from '@quillscale/ports'
import type { StandInWorker } from '@quillscale/standins'
import { cancelKey, goneKey, inboxPrefix, progressPrefix, vacateKey } from '../lib/records/storeKeys.js'
import { QUEUE, SERVICE, TestService } from './TestService.js'

describe('ServiceScheduler', () => {
  let service: TestService
  afterEach(() => service.close())

  it('runs steps in the order of their dependencies, and shows the job as succeeded', async () => {
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

  it('a job sent twice is one job', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 10 }, [{}], 2)
    await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records).to.have.length(1)
  })

  it('a job whose task fails as often as the queue allows has failed, and is not tried again', async () => {
    service = new TestService(2)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 10, fails: true })
    await service.untilStatus(jobId, 'failed')
    await delay(100)
    expect(service.runs.records).to.have.length(2)
  })

  it('a cancelled job is stopped, and shown so', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true }])
    await service.until('both run', () => service.runs.records.length === 2)
    expect(await service.desk.cancel(jobId, [SERVICE], performance.now() + 1000)).to.equal('accepted')
    await service.untilStatus(jobId, 'cancelled')
    await service.until('both stopped', () => service.runs.records.every(({ end }) => end === 'stopped'))
    expect(service.runs.records).to.have.length(2)
  })

  it('runs of a worker whose machine is down run again elsewhere at once, and its registration is not believed', async () => {
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
    await service.until('the note is removed', async () => (await service.store.get(goneKey(SERVICE, workerIdOf(lostId)))).unwrap() === undefined)
  })

  const leavings = [
    { name: 'says that it drains', leave: () => { service.addWorker(0, 1, 2000, 'draining') } },
    { name: 'is not registered any more and serves on', leave: () => service.unlist('w0-1') }
  ]
  for (const { name, leave } of leavings) {
    it(`lasting tasks of a worker that ${name} move, no more at once than may be away`, async () => {
      service = new TestService(1, 2000)
      service.maxLeaseMs = 10_000
      await service.takeOver()
      await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true, maxAway: 1 }])
      const leaving = service.runs.workers.get('w0-1') as StandInWorker
      await service.until('both are at work', () => leaving.active.size === 2)
      // A registration that is missing right after the store was away would only be late.
      await delay(2600)
      const next = service.addWorker(1, 1, 2000)
      leave()
      await service.until('both moved', () => leaving.active.size === 0 && next.active.size === 2, 3000)
      const ends = leaving.records.map(({ endedMs }) => endedMs ?? Infinity).sort((a, b) => a - b)
      expect(ends[1]).to.be.above(Math.min(...next.records.map(({ startedMs }) => startedMs)))
    })
  }

  it('a lasting task whose worker crashed runs again elsewhere once its lease is over', async () => {
    service = new TestService(2)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const [first] = service.runs.records
    service.runs.workers.get(first?.instanceId ?? '')?.crash()
    await service.until('it runs again', () => service.runs.records.length === 2)
    expect(service.runs.records[1]?.instanceId).not.to.equal(first?.instanceId)
  })

  describe('a next holder', () => {
    it('notes ends that came while nobody held the duty, also when it meets workers before it has read the jobs', async () => {
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

    it('asks for its workers while it reads the jobs: a list on a slow link is waited for once, not once each', async () => {
      service = new TestService(2)
      const former = await service.takeOver()
      former.scheduler.close()
      for (const prefix of [progressPrefix(SERVICE), inboxPrefix(SERVICE), 'workers/']) service.store.listDelayMs.set(prefix, 400)
      const jobId = await service.submit(1, { runMs: 100 })
      const tookOverMs = performance.now()
      await service.takeOver()
      await service.until(`${jobId} runs`, () => service.runs.records.length === 1)
      expect(performance.now() - tookOverMs).to.be.below(1100)
    })

    it('goes on with what runs', async () => {
      service = new TestService(2)
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 400 }, [{ taskCount: 4 }])
      await service.until('all run', () => service.runs.records.length === 4)
      await service.takeOver()
      await service.untilStatus(jobId, 'succeeded')
      expect(service.runs.records).to.have.length(4)
      expect(service.duplicatedTasks).to.deep.equal([])
    })

    it('makes no copies of what runs before its workers had time to answer', async () => {
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

    it('deposes the former one, whose orders have no effect any more', async () => {
      service = new TestService(1)
      const first = await service.takeOver()
      await service.until('it is met', () => service.log.lines.some((line) => line.startsWith('worker met')))
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 20 }, [{ taskCount: 3 }])
      await service.untilStatus(jobId, 'succeeded')
      await service.until('the former is deposed', () => first.isDeposed)
      expect(service.duplicatedTasks).to.deep.equal([])
    })

    it('leaves a task on a worker that does not answer alone until its lease is over', async () => {
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

  it('a start without an answer is stopped before the task is placed again, also if it is carried out late', async () => {
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

  it('lost answers of the store neither lose nor double work', async () => {
    service = new TestService(3)
    let calls = 0
    service.store.loseAnswers = () => ++calls % 3 === 0
    await service.takeOver()
    const jobs = await Promise.all([1, 2, 3, 4].map((number) => service.submit(number, { runMs: 20 }, [{ taskCount: 3 }, { dependsOn: [0] }])))
    for (const jobId of jobs) await service.untilStatus(jobId, 'succeeded')
    expect(service.runs.records).to.have.length(16)
  })

  it('ends are not acknowledged while the store is away, and are not lost', async () => {
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

  it('a draining worker gets no new work', async () => {
    service = new TestService(1)
    const draining = service.runs.workers.get('w0-1')
    await service.takeOver()
    if (draining !== undefined) service.list({ ...draining.instance, state: 'draining' })
    service.addWorker(1, 1)
    await service.until('the other is met', () => service.log.lines.some((line) => line.startsWith('worker met') && line.includes('w1-1')))
    const jobId = await service.submit(1, { runMs: 10 }, [{ taskCount: 4 }])
    await service.untilStatus(jobId, 'succeeded')
    expect(draining?.records).to.have.length(0)
  })

  it('a task whose worker is silent gets a copy before its lease is over, where copies are allowed', async () => {
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

  it('a job whose starts get no answer waits, and is counted so', async () => {
    service = new TestService(1)
    await service.takeOver()
    await service.until('it is met', () => service.log.lines.some((line) => line.startsWith('worker met')))
    await delay(50)
    for (const worker of service.runs.workers.values()) worker.faults.isSilent = true
    const jobId = await service.submit(1, { runMs: 20 })
    await service.until('it was placed', () => service.log.lines.some((line) => line.startsWith('tasks placed')))
    await delay(1300)
    expect(await service.desk.countWaiting(QUEUE, SERVICE, performance.now() + 1000)).to.equal(1)
    expect(await service.status(jobId)).to.equal('queued')
    service.tenures[0]?.scheduler.close()
    await delay(2600)
    expect(await service.desk.countWaiting(QUEUE, SERVICE, performance.now() + 1000)).to.equal(1)
  })

  it('a cancel that is listed before its job holds', async () => {
    service = new TestService(1)
    const jobId = await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    service.write(cancelKey(SERVICE, jobId), '1')
    await service.takeOver()
    await service.untilStatus(jobId, 'cancelled')
    expect(service.runs.records).to.have.length(0)
  })

  it('a next holder takes no lasting task away while another of its step, stopped by the former one, is away', async () => {
    service = new TestService(2, 1000)
    service.maxLeaseMs = 10_000
    const [first, second] = ['w1-1', 'w0-1'].map((instanceId) => service.runs.workers.get(instanceId) as StandInWorker)
    const former = await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 2, isLasting: true, maxAway: 1 }])
    await service.until('both are at work', () => first?.active.size === 1 && second?.active.size === 1)
    await delay(100)
    if (first !== undefined) first.stopTakesMs = 400
    const next = service.addWorker(2, 1, 2000)
    service.write(vacateKey(SERVICE, 'm1'), 'upkeep 1.1')
    await service.until('one is being stopped', () => first?.stopsTaken === 1)
    former.scheduler.close()
    service.write(vacateKey(SERVICE, 'm0'), 'upkeep 1.1')
    await service.takeOver()
    await service.until('both moved', () => next.active.size === 2 && second?.active.size === 0)
    const firstIsBackMs = Math.min(...next.records.map(({ startedMs }) => startedMs))
    expect(first?.records[0]?.endedMs).to.be.below(firstIsBackMs)
    expect(second?.records[0]?.endedMs).to.be.above(firstIsBackMs)
  })
})
