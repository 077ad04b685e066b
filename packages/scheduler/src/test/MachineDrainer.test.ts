import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import { MachineDrainer } from '../lib/machines/MachineDrainer.js'
import { vacatedKey } from '../lib/records/storeKeys.js'
import type { WorkerLink } from '../lib/workers/WorkerLink.js'
import { TestLog } from './TestService.js'

describe('MachineVacator', () => {
  const link = { instance: { machineId: 'm1' }, runs: new Map() } as unknown as WorkerLink
  const cases = [
    { name: 'a worker on which nothing runs', links: [link], hasUnmetRuns: false, isReported: true },
    { name: 'no registered worker, while an earlier holder’s runs may go on somewhere', links: [], hasUnmetRuns: true, isReported: false },
    { name: 'no registered worker, and no runs that are not accounted for', links: [], hasUnmetRuns: false, isReported: true },
    { name: 'a worker on which nothing runs, while runs may go on elsewhere', links: [link], hasUnmetRuns: true, isReported: true }
  ]
  for (const { name, links, hasUnmetRuns, isReported } of cases) {
    it(`${isReported ? 'reports' : 'does not report'} a machine as empty with ${name}`, () => {
      const written: string[] = []
      const vacator = new MachineDrainer({ service: 'grids', clock: systemClock, log: new TestLog(), put: (key) => written.push(key), stop: () => {} })
      vacator.request('m1', 'upkeep 1.1')
      vacator.reconcile({ links, hasOrphanedRuns: hasUnmetRuns }, systemClock.monotonicMs())
      expect(written).to.deep.equal(isReported ? [vacatedKey('grids', 'm1')] : [])
    })
  }

  it('leaves the next service\'s report standing when a former one hears late that its machine has left', () => {
    const kept = new Map<string, string | undefined>()
    const put = (key: string, source: () => string | undefined): void => { kept.set(key, source()) }
    const [former, next] = ['grids', 'checks'].map((service) => new MachineDrainer({ service, clock: systemClock, log: new TestLog(), put, stop: () => {} }))
    const step = (vacator: MachineDrainer | undefined): void => vacator?.reconcile({ links: [link], hasOrphanedRuns: false }, systemClock.monotonicMs())
    former?.request('m1', 'move 1.1')
    step(former)
    next?.request('m1', 'upkeep 1.2')
    step(next)
    former?.withdraw('m1')
    expect([...kept.values()]).to.include('upkeep 1.2')
  })
})
