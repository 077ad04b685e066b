import { expect } from 'chai'
import { dutyClaimDelayMs } from '../lib/duties/dutyClaimDelayMs.js'

describe('dutyClaimDelayMs', () => {
  const STRONG = { capacityCores: 1.35, maxCapacityCores: 1.35 }
  const WEAK = { capacityCores: 0.25, maxCapacityCores: 1.35 }
  const cases = [
    { name: 'a host without duties before one with a duty', first: { ...STRONG, heldDuties: 0 }, second: { ...STRONG, heldDuties: 1 } },
    { name: 'a strong host with three duties before a weak one without any', first: { ...STRONG, heldDuties: 3 }, second: { ...WEAK, heldDuties: 0 } },
    { name: 'a host of half the capacity without duties before a strong one with two', first: { capacityCores: 0.7, maxCapacityCores: 1.35, heldDuties: 0 }, second: { ...STRONG, heldDuties: 2 } }
  ]
  for (const { name, first, second } of cases) {
    it(`prefers ${name}, whatever the jitter`, () => {
      expect(dutyClaimDelayMs({ ...first, random: 0.99 })).to.be.below(dutyClaimDelayMs({ ...second, random: 0 }) + 30)
    })
  }

  it('never delays a claim by more than 1.1 s', () => {
    expect(dutyClaimDelayMs({ capacityCores: 0.01, maxCapacityCores: 10, heldDuties: 20, random: 1 })).to.be.below(1100)
  })
})
