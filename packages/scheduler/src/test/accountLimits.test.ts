import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { AccountName, ClientAccount } from '@quillscale/ports'
import type { JobOwner } from '@quillscale/policy'
import { TestService } from './TestService.js'

const account = (name: string, weight: number, cpuMillis: number): ClientAccount =>
  ({ name: name as AccountName, keyHashes: [], weight, limit: { cpuMillis, memoryMb: 0, gpus: 0 } })
const ownerOf = (name: string): JobOwner => ({ account: name as AccountName, keyTag: 'test' })

describe('a service whose accounts are limited', () => {
  let service: TestService
  afterEach(() => service.close())

  function createLimitedService (workers: number, ...accounts: readonly ClientAccount[]): void {
    service = new TestService(workers)
    service.configuration = { ...service.configuration, accounts }
  }

  /** Returns the largest number of runs of the given jobs at one time, according to the records of the workers. */
  function maxConcurrentRuns (jobIds: readonly string[]): number {
    const ownJobs = service.runs.records.filter(({ taskKey }) => jobIds.some((jobId) => taskKey.startsWith(jobId)))
    const countAt = (atMs: number): number => ownJobs.filter(({ startedMs, endedMs }) => startedMs <= atMs && (endedMs ?? Infinity) > atMs).length
    return Math.max(0, ...ownJobs.map(({ startedMs }) => countAt(startedMs)))
  }

  it('keeps an account within its limit, finishes all its jobs, and runs jobs of other accounts meanwhile', async () => {
    createLimitedService(3, account('press', 1000, 3000), account('herald', 1000, 0))
    await service.takeOver()
    const ownJobs = await Promise.all([1, 2].map((number) => service.submit(number, { runMs: 60 }, [{ taskCount: 6 }], 1, undefined, ownerOf('press'))))
    const other = await service.submit(3, { runMs: 60 }, [{ taskCount: 6 }], 1, undefined, ownerOf('herald'))
    for (const jobId of [...ownJobs, other]) await service.untilStatus(jobId, 'succeeded')
    expect(maxConcurrentRuns(ownJobs)).to.equal(3)
    expect(maxConcurrentRuns([other])).to.equal(6)
  })

  it('keeps the limit when the duty holder changes', async () => {
    createLimitedService(3, account('press', 1000, 2000))
    service.maxLeaseMs = 400
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 150 }, [{ taskCount: 8 }], 1, undefined, ownerOf('press'))
    for (let change = 0; change < 4; change++) {
      await delay(120)
      service.tenures.at(-1)?.scheduler.close()
      await service.takeOver()
    }
    await service.untilStatus(jobId, 'succeeded')
    expect(maxConcurrentRuns([jobId])).to.equal(2)
  })

  it('runs the tasks that fit while another task exceeds the limit, and logs that task once', async () => {
    createLimitedService(1, account('press', 1000, 1500))
    await service.takeOver()
    const large = await service.submit(1, { runMs: 10 }, [{ cpuMillis: 1600 }], 1, undefined, ownerOf('press'))
    const small = await service.submit(2, { runMs: 10 }, [{ taskCount: 3 }], 1, undefined, ownerOf('press'))
    await service.untilStatus(small, 'succeeded')
    expect(await service.status(large)).to.equal('queued')
    expect(service.log.lines.filter((line) => line.startsWith('tasks wait: one of them exceeds'))).to.have.length(1)
  })

  it('finishes accepted jobs of an account that was removed', async () => {
    createLimitedService(1, account('press', 1000, 1000))
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 50 }, [{ taskCount: 4 }], 1, undefined, ownerOf('press'))
    service.configuration = { ...service.configuration, version: 2, accounts: [] }
    await service.untilStatus(jobId, 'succeeded')
  })

  it('reports that a job waits because its account is at its limit', async () => {
    createLimitedService(2, account('press', 1000, 1000))
    service.maxLeaseMs = 10_000
    await service.takeOver()
    const first = await service.submit(1, { runMs: 5000 }, [{}], 1, undefined, ownerOf('press'))
    await service.untilStatus(first, 'running')
    const jobId = await service.submit(2, { runMs: 10 }, [{}], 1, undefined, ownerOf('press'))
    await service.until('its demand is published', async () => (await service.report.services()).unwrap().length > 0)
    const reasons = async (): Promise<readonly string[]> => (await service.report.explain(jobId, Date.now())).unwrap()?.lines ?? []
    await service.until('the reason is reported', async () => (await reasons()).some((line) => line.startsWith('account press has 1000 mcpu')))
  })

  it('runs jobs beyond the share of an account after the jobs that other accounts are entitled to', async () => {
    createLimitedService(1, account('press', 2, 0), account('herald', 100, 0))
    const blocker = await service.submit(1, { runMs: 300 }, [{ taskCount: 4 }])
    await service.takeOver()
    await service.untilStatus(blocker, 'running')
    const excessJobs = await Promise.all(Array.from({ length: 6 }, (_, at) => service.submit(10 + at, { runMs: 100 }, [{ taskCount: 4 }], 1, undefined, ownerOf('press'))))
    const entitledJob = await service.submit(30, { runMs: 100 }, [{ taskCount: 4 }], 1, undefined, ownerOf('herald'))
    await service.untilStatus(entitledJob, 'succeeded')
    const statuses = await Promise.all(excessJobs.map((jobId) => service.status(jobId)))
    expect(statuses.filter((status) => status === 'succeeded')).to.have.length.at.most(2)
    for (const jobId of excessJobs) await service.untilStatus(jobId, 'succeeded')
  })
})
