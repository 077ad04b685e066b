import { expect } from 'chai'
import { coldUntilMs } from '../lib/placement/warmup.js'

/** Registrations of one worker in turn: the warm-up that each reports, and when it was read. */
const cases: ReadonlyArray<{ name: string, registrations: ReadonlyArray<readonly [warmupLeftMs: number | undefined, readMs: number]>, untilMs: number }> = [
  { name: 'no warm-up reported', registrations: [[undefined, 100], [undefined, 900]], untilMs: -Infinity },
  { name: 'warm from the start', registrations: [[0, 100], [0, 900]], untilMs: -Infinity },
  { name: 'cold', registrations: [[500, 100]], untilMs: 600 },
  { name: 'reported again as it passes', registrations: [[500, 100], [300, 250]], untilMs: 550 },
  { name: 'prolonged', registrations: [[500, 100], [500, 300]], untilMs: 800 },
  { name: 'warm earlier than expected', registrations: [[500, 100], [0, 300]], untilMs: 300 },
  { name: 'warm as expected; the past stays known', registrations: [[500, 100], [0, 900], [undefined, 950]], untilMs: 600 }
]

describe('coldUntilMs', () => {
  for (const { name, registrations, untilMs } of cases) {
    it(name, () => expect(registrations.reduce((previous, [left, readMs]) => coldUntilMs(previous, left, readMs), -Infinity)).to.equal(untilMs))
  }
})
