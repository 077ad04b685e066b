import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { JobId } from '@quillscale/policy'
import { demandKey } from '../lib/records/serviceDemand.js'
import { cancelKey, chainKey, inboxPrefix, jobKey, progressKey, silentWorkersKey, vacatedKey, vacateKey, waitingKey } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { QUEUE, SERVICE, TestService } from './TestService.js'

const DEADLINE_MS = 2000
const JUNK = ['', '{', 'null', '[]', '7', '"text"', '{"status":"paused","tasks":[]}', '{"jobId":7}', '\uFFFD\uFFFD']
/** A valid job but for what would keep a holder busy, or end it for lack of memory, each time that it reads the job. */
const LARGE_JOB = { jobId: 'a'.repeat(16), queue: QUEUE, command: '', submittedMs: 0, steps: [{ taskCount: 1 }] }
const LARGE_JOBS = [
  { ...LARGE_JOB, schedule: { runs: 2 ** 53 - 1, firstRunMs: 0, intervalMs: 0 } },
  { ...LARGE_JOB, steps: Array.from({ length: 5000 }, () => ({ taskCount: 10_000 })) }
]
const OTHER_JOB = 'a'.repeat(16) as JobId

/** Guards against failures caused by records that another writer left, or that are truncated. */
describe('malformed records', () => {
  let service: TestService
  afterEach(() => service.close())

  const unreadableLines = (): string[] => service.log.lines.filter((line) => line.startsWith('a record cannot be read'))

  const keys: ReadonlyArray<{ name: string, key: string }> = [
    { name: 'of a job', key: jobKey(SERVICE, OTHER_JOB) },
    { name: 'of the progress of a job', key: progressKey(SERVICE, OTHER_JOB) },
    { name: 'of silent workers', key: silentWorkersKey(SERVICE) },
    { name: 'of the last transaction', key: chainKey(SERVICE) },
    { name: 'of demand', key: demandKey(SERVICE) },
    { name: 'of waiting jobs', key: waitingKey(SERVICE) },
    { name: 'of a cancellation', key: cancelKey(SERVICE, testJobId(1)) },
    { name: 'under an unknown key', key: `${inboxPrefix(SERVICE)}else/where/at/all` },
    { name: 'of a worker', key: 'workers/w0-9' }
  ]
  for (const { name, key } of keys) {
    it(`${name}: jobs still run, before and after a takeover`, async () => {
      service = new TestService(2)
      for (const value of JUNK) {
        service.write(key, value)
        const tenure = await service.takeOver()
        const number = JUNK.indexOf(value) + 1
        const jobId = await service.submit(number, { runMs: 10 }, [{ taskCount: 2 }])
        await service.untilStatus(jobId, 'succeeded')
        expect(tenure.isDeposed, value).to.equal(false)
        tenure.scheduler.close()
      }
      expect(service.duplicatedTasks).to.deep.equal([])
      expect(service.runs.records).to.have.length(2 * JUNK.length)
    })
  }

  // The holder of a service ended each time that it read a job of more tasks than it can hold, and so did the next ones.
  for (const [index, job] of LARGE_JOBS.entries()) {
    it(`of a job of too many tasks (${index}): it is not used, and other jobs still run`, async () => {
      service = new TestService(2)
      service.write(jobKey(SERVICE, OTHER_JOB), JSON.stringify(job))
      await service.takeOver()
      await service.untilStatus(await service.submit(1, { runMs: 10 }), 'succeeded')
      expect(unreadableLines()).to.have.length(1)
    })
  }

  // No timer, loop or list may be as long as a valid entry says.
  const extremes = [
    { name: 'room without end', change: { capacity: { cpuMillis: Number.MAX_SAFE_INTEGER, memoryMb: Number.MAX_SAFE_INTEGER, gpus: Number.MAX_SAFE_INTEGER } } },
    { name: 'a warm-up without end', change: { warmupLeftMs: Number.MAX_VALUE } },
    { name: 'very many labels', change: { labels: Array.from({ length: 20_000 }, (_, index) => `l${index}`) } }
  ]
  for (const { name, change } of extremes) {
    it(`jobs still run beside a valid worker with ${name}`, async () => {
      service = new TestService(2)
      const { instance } = service.addWorker(9, 1)
      service.list({ ...instance, ...change })
      await service.takeOver()
      await service.until('it is met', () => service.log.lines.some((line) => line.startsWith('worker met') && line.includes(instance.instanceId)))
      for (let number = 1; number <= 3; number++) await service.untilStatus(await service.submit(number, { runMs: 10 }, [{ taskCount: 6 }]), 'succeeded')
      expect(service.duplicatedTasks).to.deep.equal([])
    })
  }

  it('logs each malformed revision once, and counts them by reason', async () => {
    service = new TestService(1)
    service.write('workers/w9-1', '{')
    await service.takeOver()
    await service.until('it is logged', () => unreadableLines().length === 1)
    for (let index = 0; index < 20; index++) service.addWorker(0, 1)
    await delay(300)
    expect(unreadableLines()).to.have.length(1)
    service.write('workers/w9-1', '{"instanceId":7}')
    await service.until('the next one is logged', () => unreadableLines().length === 2)
    expect(service.metrics.counts('unreadable_records')).to.deep.equal({ 'not-json': 1, 'wrong-field': 1 })
  })

  it('a worker whose registration becomes malformed keeps its runs, and gets no new ones until it is valid again', async () => {
    service = new TestService(1)
    service.maxLeaseMs = 3000
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    service.write('workers/w0-1', '{"instanceId":"w0-1"}')
    const jobId = await service.submit(2, { runMs: 10 })
    // Longer than its lease, and than the time after which a missing registration counts as removed.
    await delay(3500)
    expect(service.runs.records).to.have.length(1)
    expect(service.runs.records[0]?.end).to.equal(undefined)
    service.addWorker(0, 1)
    await service.untilStatus(jobId, 'succeeded')
    expect(service.duplicatedTasks).to.deep.equal([])
  })

  it('a new holder reruns the task of a worker whose registration is malformed only after its lease has expired', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 2000
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const instanceId = service.runs.records[0]?.instanceId ?? ''
    service.write(`workers/${instanceId}`, '{')
    service.tenures[0]?.scheduler.close()
    await service.takeOver()
    await service.until('it runs elsewhere', () => service.runs.records.length === 2, 8000)
    // Nobody calls this worker any more, so the test has to make it end the runs whose lease has expired.
    service.runs.workers.get(instanceId)?.step()
    expect(service.duplicatedTasks).to.deep.equal([])
  })

  it('a registration that names the machine of a live worker does not end that worker, unless a worker answers at its address', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 5000
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    const worker = service.runs.workers.get(service.runs.records[0]?.instanceId ?? '')
    if (worker === undefined) throw new Error('no worker')
    service.list({ ...worker.instance, instanceId: 'foreign', address: '10.9.9.9' })
    service.unlist(worker.instance.instanceId)
    await delay(600)
    expect(service.runs.records).to.have.length(1)
  })

  it('connects only once to a registration at whose address another lifetime answers', async () => {
    service = new TestService(1)
    await service.takeOver()
    const { instance } = service.runs.workers.get('w0-1') ?? {}
    if (instance === undefined) throw new Error('no worker')
    service.list({ ...instance, instanceId: 'copy', machineId: 'm-copy' })
    for (let index = 0; index < 5; index++) {
      await delay(200)
      service.addWorker(7, index + 1)
    }
    expect(service.log.lines.filter((line) => line.startsWith('worker met') && line.includes('"copy"'))).to.have.length(1)
  })

  it('does not treat a worker as lost because of a report that names another machine', async () => {
    service = new TestService(1)
    service.maxLeaseMs = 5000
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    service.reportGone({ instanceId: 'w0-1', machineId: 'some other machine' })
    await delay(300)
    expect(service.runs.records).to.have.length(1)
  })

  it('a job whose progress is malformed is neither restarted nor stopped, and clients get no state for it', async () => {
    service = new TestService(2)
    service.maxLeaseMs = 5000
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 1500 })
    const other = await service.submit(2, { runMs: 100 })
    await service.until('both run', () => service.runs.records.length === 2)
    await service.untilStatus(other, 'succeeded')
    service.tenures[0]?.scheduler.close()
    service.write(progressKey(SERVICE, jobId), '{"status":')
    await service.takeOver()
    await delay(2500)
    const runs = service.runs.records.filter(({ taskKey }) => taskKey.startsWith(jobId))
    expect(runs.map(({ end }) => end)).to.deep.equal(['done'])
    expect(await service.status(jobId)).to.equal('unavailable')
    const explained = await service.report.explain(jobId, Date.now())
    expect(explained.err && explained.val.detail).to.match(/^progress.*cannot be read/)
  })

  it('a job whose progress is malformed can be cancelled, which stops its runs', async () => {
    service = new TestService(1)
    service.maxLeaseMs = 5000
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    service.tenures[0]?.scheduler.close()
    service.write(progressKey(SERVICE, jobId), '{}')
    await service.takeOver()
    await delay(300)
    expect(service.runs.records[0]?.end).to.equal(undefined)
    expect(await service.jobApi.cancel(jobId, [SERVICE], performance.now() + DEADLINE_MS)).to.equal('accepted')
    await service.until('it is stopped', () => service.runs.records[0]?.end === 'stopped')
    expect(await service.status(jobId)).to.equal('cancelled')
  })

  it('accepts and runs a job whose key holds a malformed record', async () => {
    service = new TestService(1)
    await service.takeOver()
    for (const [index, value] of JUNK.entries()) {
      service.write(jobKey(SERVICE, testJobId(index + 1)), value)
      await delay(30)
      const jobId = await service.submit(index + 1, { runMs: 5 })
      await service.untilStatus(jobId, 'succeeded')
    }
  })

  it('does not report a malformed record under the key of a job as a job', async () => {
    service = new TestService(1)
    service.write(jobKey(SERVICE, OTHER_JOB), '{"jobId":')
    expect(await service.status(OTHER_JOB)).to.equal('unavailable')
    expect(await service.jobApi.countWaiting(QUEUE, SERVICE, performance.now() + DEADLINE_MS)).to.equal(0)
  })

  it('confirms a drained machine with the text of the request, whatever it is', async () => {
    service = new TestService(1)
    await service.takeOver()
    service.write(vacateKey(SERVICE, 'm0'), '\uFFFD{')
    await service.until('it is empty', async () => (await service.store.get(vacatedKey(SERVICE, 'm0'))).unwrap()?.value === '\uFFFD{')
  })
})
