import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import { FaultyStore, TestService } from './TestService.js'

/** Counts the calls to a store by method. */
function countCalls (store: FaultyStore): Map<string, number> {
  const counts = new Map<string, number>()
  for (const kind of ['get', 'list', 'transact', 'compareAndSwap', 'watch'] as const) {
    const call = store[kind].bind(store) as (...args: unknown[]) => unknown
    Object.assign(store, {
      [kind]: (...args: unknown[]) => {
        counts.set(kind, (counts.get(kind) ?? 0) + 1)
        return call(...args)
      }
    })
  }
  return counts
}

describe('scheduler at scale', () => {
  let service: TestService
  afterEach(() => service.close())

  const takeoverCases = [{ jobs: 20, workers: 2 }, { jobs: 200, workers: 8 }]
  for (const { jobs, workers } of takeoverCases) {
    it(`takes over ${jobs} jobs on ${workers} workers with a number of store calls that doesn't depend on the number of jobs`, async () => {
      service = new TestService(workers, 1_000_000)
      service.maxLeaseMs = 10_000
      const first = await service.takeOver()
      for (let number = 1; number <= jobs; number++) await service.submit(number, { runMs: 0 }, [{ isLasting: true, taskCount: 2 }])
      await service.until('all run', () => service.runs.records.length === jobs * 2)
      await first.scheduler.flush(1000)
      first.scheduler.close()
      const calls = countCalls(service.store)
      await service.takeOver()
      await delay(1500)
      // One read of the chain key, three lists, watches of up to 3 s, and spaced transactions for waiting counts and demand; no call per job or task.
      expect(calls.get('get')).to.be.at.most(2)
      expect(calls.get('list')).to.be.at.most(3)
      expect(calls.get('transact') ?? 0).to.be.at.most(30)
      expect(calls.get('watch') ?? 0).to.be.at.most(60)
      expect(service.runs.records.length).to.equal(jobs * 2)
    }).timeout(30_000)
  }

  it('writes a bounded number of log lines for each job', async () => {
    const jobs = 100
    service = new TestService(4, 100_000)
    service.maxLeaseMs = 10_000
    await service.takeOver()
    await delay(100)
    const before = service.log.lines.length
    for (let number = 1; number <= jobs; number++) await service.submit(number, { runMs: 20 }, [{ taskCount: 4 }, { taskCount: 4, dependsOn: [0] }])
    await service.until('all are done', () => service.runs.records.filter(({ end }) => end === 'done').length === jobs * 8)
    await delay(300)
    // Four lines per job, whatever its number of tasks: accepted, placed for each of two steps, ended. Besides, lines about the service itself.
    expect(service.log.lines.length - before).to.be.at.most(jobs * 4 + 60)
  }).timeout(20_000)
})
