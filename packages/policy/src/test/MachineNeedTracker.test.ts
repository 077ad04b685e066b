import { expect } from 'chai'
import { MachineNeedTracker } from '../lib/machines/MachineNeedTracker.js'
import type { ServiceDemand } from '../lib/machines/planPools.js'

const NOW_MS = 100_000

describe('MachineNeedTracker', () => {
  const demand = (wantedCores: number): ServiceDemand => ({
    service: 's', wantedMillis: wantedCores * 1000, leastMachines: 1, machineMillis: 10_000, runsByMachine: new Map()
  })
  const cases = [
    { name: 'a steady need', before: 17, now: 17, expected: 2 },
    { name: 'a growing need, extrapolated by the lead time of a move', before: 17, now: 34, expected: 7 },
    { name: 'a fast-growing need, at most doubled', before: 0, now: 34, expected: 8 }
  ]
  for (const { name, before, now, expected } of cases) {
    it(`predicts ${expected} machines for ${name}`, () => {
      const needs = new MachineNeedTracker()
      needs.trackRecentPeak([demand(before)], NOW_MS)
      needs.trackRecentPeak([demand(now)], NOW_MS + 1000)
      expect(needs.predictNeed([demand(now)], NOW_MS + 1000).get('s')).to.equal(expected)
    })
  }
})
