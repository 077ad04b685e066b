import { expect } from 'chai'
import { dutyWaitMs } from '../lib/duties/dutyWaitMs.js'

describe('dutyWaitMs', () => {
  const STRONG = { power: 1.35, mostPower: 1.35 }
  const WEAK = { power: 0.25, mostPower: 1.35 }
  const cases = [
    { name: 'a host without duties before one with a duty', first: { ...STRONG, heldCount: 0 }, second: { ...STRONG, heldCount: 1 } },
    { name: 'a strong host with three duties before a weak one without any', first: { ...STRONG, heldCount: 3 }, second: { ...WEAK, heldCount: 0 } },
    { name: 'a host of half the power without duties before a strong one with two', first: { power: 0.7, mostPower: 1.35, heldCount: 0 }, second: { ...STRONG, heldCount: 2 } }
  ]
  for (const { name, first, second } of cases) {
    it(`lets ${name}, whatever their luck`, () => {
      expect(dutyWaitMs({ ...first, random: 0.99 })).to.be.below(dutyWaitMs({ ...second, random: 0 }) + 30)
    })
  }

  it('makes nobody wait for longer than a second', () => {
    expect(dutyWaitMs({ power: 0.01, mostPower: 10, heldCount: 20, random: 1 })).to.be.below(1100)
  })
})
