import { expect } from 'chai'
import * as fc from 'fast-check'
import { NumberRanges } from '../lib/jobs/NumberRanges.js'

const LIMIT = 40

describe('NumberRanges', () => {
  it('holds what a set of the same numbers holds, in whichever order they are added', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: LIMIT - 1 }), { maxLength: 60 }), (numbers) => {
      const ranges = new NumberRanges()
      const set = new Set<number>()
      for (const number of numbers) {
        ranges.add(number)
        set.add(number)
        expect(ranges.size).to.equal(set.size)
      }
      for (let from = 0; from <= LIMIT; from++) {
        expect(ranges.has(from)).to.equal(set.has(from))
        let end = from
        while (set.has(end)) end++
        expect(ranges.endOf(from)).to.equal(end)
        for (let to = from; to <= LIMIT; to += 7) expect(ranges.countBetween(from, to)).to.equal([...set].filter((each) => each >= from && each < to).length)
      }
    }), { numRuns: 200 })
  })
})
