import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { AccountName, ClientAccount } from '@quillscale/ports'
import type { JobOwner } from '@quillscale/policy'
import { FleetReport } from '../lib/jobs/FleetReport.js'
import { TestService } from './TestService.js'

const account = (name: string, weight: number, cpuMillis: number): ClientAccount =>
  ({ name: name as AccountName, keyHashes: [], weight, limit: { cpuMillis, memoryMb: 0, gpus: 0 } })
const ownerOf = (name: string): JobOwner => ({ account: name as AccountName, keyTag: 'test' })

describe('a service whose accounts are limited', () => {
  let service: TestService
  afterEach(() => service.close())

  function limited (workers: number, ...accounts: readonly ClientAccount[]): void {
    service = new TestService(workers)
    service.configuration = { ...service.configuration, accounts }
  }

  /** Most that ran of a job's tasks at once, by the workers' own records. */
  function mostAtOnce (jobIds: readonly string[]): number {
    const mine = service.runs.records.filter(({ taskKey }) => jobIds.some((jobId) => taskKey.startsWith(jobId)))
    const isOn = (atMs: number): number => mine.filter(({ startedMs, endedMs }) => startedMs <= atMs && (endedMs ?? Infinity) > atMs).length
    return Math.max(0, ...mine.map(({ startedMs }) => isOn(startedMs)))
  }

  it('runs no more of an account than it may have, all of it in the end, and others beside it', async () => {
    limited(3, account('press', 1000, 3000), account('herald', 1000, 0))
    await service.takeOver()
    const mine = await Promise.all([1, 2].map((number) => service.submit(number, { runMs: 60 }, [{ taskCount: 6 }], 1, undefined, ownerOf('press'))))
    const other = await service.submit(3, { runMs: 60 }, [{ taskCount: 6 }], 1, undefined, ownerOf('herald'))
    for (const jobId of [...mine, other]) await service.untilStatus(jobId, 'succeeded')
    expect(mostAtOnce(mine)).to.equal(3)
    expect(mostAtOnce([other])).to.equal(6)
  })

  it('holds the limit over changes of the holder', async () => {
    limited(3, account('press', 1000, 2000))
    service.maxLeaseMs = 400
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 150 }, [{ taskCount: 8 }], 1, undefined, ownerOf('press'))
    for (let change = 0; change < 4; change++) {
      await delay(120)
      service.tenures.at(-1)?.scheduler.close()
      await service.takeOver()
    }
    await service.untilStatus(jobId, 'succeeded')
    expect(mostAtOnce([jobId])).to.equal(2)
  })

  it('goes on with what fits while a task exceeds the limit, and tells that once', async () => {
    limited(1, account('press', 1000, 1500))
    await service.takeOver()
    const large = await service.submit(1, { runMs: 10 }, [{ cpuMillis: 1600 }], 1, undefined, ownerOf('press'))
    const small = await service.submit(2, { runMs: 10 }, [{ taskCount: 3 }], 1, undefined, ownerOf('press'))
    await service.untilStatus(small, 'succeeded')
    expect(await service.status(large)).to.equal('queued')
    expect(service.log.lines.filter((line) => line.startsWith('tasks wait: one of them exceeds'))).to.have.length(1)
  })

  it('goes on with accepted jobs of an account that was removed', async () => {
    limited(1, account('press', 1000, 1000))
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 50 }, [{ taskCount: 4 }], 1, undefined, ownerOf('press'))
    service.configuration = { ...service.configuration, version: 2, accounts: [] }
    await service.untilStatus(jobId, 'succeeded')
  })

  it('explains that a job waits for its account', async () => {
    limited(2, account('press', 1000, 1000))
    service.maxLeaseMs = 10_000
    await service.takeOver()
    const first = await service.submit(1, { runMs: 5000 }, [{}], 1, undefined, ownerOf('press'))
    await service.untilStatus(first, 'running')
    const jobId = await service.submit(2, { runMs: 10 }, [{}], 1, undefined, ownerOf('press'))
    await service.until('its need is known', async () => (await new FleetReport(service.store).services()).unwrap().length > 0)
    const reasons = async (): Promise<readonly string[]> => (await new FleetReport(service.store).explain(jobId, Date.now())).unwrap()?.lines ?? []
    await service.until('it is told', async () => (await reasons()).some((line) => line.startsWith('account press has 1000 mcpu')))
  })

  it('takes what an account sends beyond its share after what others are owed', async () => {
    limited(1, account('press', 2, 0), account('herald', 100, 0))
    const blocker = await service.submit(1, { runMs: 300 }, [{ taskCount: 4 }])
    await service.takeOver()
    await service.untilStatus(blocker, 'running')
    const flood = await Promise.all(Array.from({ length: 6 }, (_, at) => service.submit(10 + at, { runMs: 100 }, [{ taskCount: 4 }], 1, undefined, ownerOf('press'))))
    const owed = await service.submit(30, { runMs: 100 }, [{ taskCount: 4 }], 1, undefined, ownerOf('herald'))
    await service.untilStatus(owed, 'succeeded')
    const over = await Promise.all(flood.map((jobId) => service.status(jobId)))
    expect(over.filter((status) => status === 'succeeded')).to.have.length.at.most(2)
    for (const jobId of flood) await service.untilStatus(jobId, 'succeeded')
  })
})
