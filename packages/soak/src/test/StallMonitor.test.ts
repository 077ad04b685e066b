import { expect } from 'chai'
import { StallMonitor } from '../lib/StallMonitor.js'

const cases: ReadonlyArray<{ readonly name: string, readonly beatsMs: readonly number[], readonly longestMs: number }> = [
  { name: 'no stall', beatsMs: [100, 200, 1100], longestMs: 0 },
  { name: 'a stall', beatsMs: [100, 10_100, 10_200], longestMs: 10_000 },
  { name: 'the longest of two stalls', beatsMs: [5000, 5100, 7100], longestMs: 5000 }
]

describe('StallMonitor', () => {
  for (const { name, beatsMs, longestMs } of cases) {
    it(`measures ${name}`, () => {
      const monitor = new StallMonitor(0)
      for (const atMs of beatsMs) monitor.beat(atMs)
      expect(monitor.longestMs).to.equal(longestMs)
    })
  }
})
