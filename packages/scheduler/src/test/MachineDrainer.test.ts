import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import { MachineDrainer } from '../lib/machines/MachineDrainer.js'
import { vacatedKey } from '../lib/records/storeKeys.js'
import type { WorkerLink } from '../lib/workers/WorkerLink.js'
import { TestLog } from './TestService.js'

describe('MachineDrainer', () => {
  const link = { instance: { machineId: 'm1' }, runs: new Map() } as unknown as WorkerLink
  const cases = [
    { name: 'an idle worker', links: [link], hasOrphanedRuns: false, isReported: true },
    { name: 'no registered worker, while runs of a previous holder may continue somewhere', links: [], hasOrphanedRuns: true, isReported: false },
    { name: 'no registered worker and no unaccounted runs', links: [], hasOrphanedRuns: false, isReported: true },
    { name: 'an idle worker, while runs may continue elsewhere', links: [link], hasOrphanedRuns: true, isReported: true }
  ]
  for (const { name, links, hasOrphanedRuns, isReported } of cases) {
    it(`${isReported ? 'reports' : 'does not report'} a machine as empty with ${name}`, () => {
      const written: string[] = []
      const drainer = new MachineDrainer({ service: 'grids', clock: systemClock, log: new TestLog(), put: (key) => written.push(key), stop: () => {} })
      drainer.request('m1', 'upkeep 1.1')
      drainer.reconcile({ links, hasOrphanedRuns }, systemClock.monotonicMs())
      expect(written).to.deep.equal(isReported ? [vacatedKey('grids', 'm1')] : [])
    })
  }

  it('keeps the next service\'s report when the previous service is told late that the machine has moved away', () => {
    const stored = new Map<string, string | undefined>()
    const put = (key: string, source: () => string | undefined): void => { stored.set(key, source()) }
    const [previousDrainer, nextDrainer] = ['grids', 'checks'].map((service) => new MachineDrainer({ service, clock: systemClock, log: new TestLog(), put, stop: () => {} }))
    const reconcile = (drainer: MachineDrainer | undefined): void => drainer?.reconcile({ links: [link], hasOrphanedRuns: false }, systemClock.monotonicMs())
    previousDrainer?.request('m1', 'move 1.1')
    reconcile(previousDrainer)
    nextDrainer?.request('m1', 'upkeep 1.2')
    reconcile(nextDrainer)
    previousDrainer?.withdraw('m1')
    expect([...stored.values()]).to.include('upkeep 1.2')
  })
})
