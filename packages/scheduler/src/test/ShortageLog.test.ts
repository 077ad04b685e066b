import { expect } from 'chai'
import type { PoolCount } from '@quillscale/policy'
import { ShortageLog } from '../lib/machines/ShortageLog.js'
import { SERVICE, TestLog } from './TestService.js'

interface Moment { readonly atMs: number, readonly need: number, readonly have: number, readonly usable: number }

const countOf = ({ need, have, usable }: Moment): PoolCount => {
  const runsByMachine = new Map(Array.from({ length: usable }, (_, index) => [`m${index}`, 0]))
  return { need, have, retained: need, demand: { service: SERVICE, wantedMillis: 0, leastMachines: 0, machineMillis: 1000, runsByMachine } }
}

describe('ShortageLog', () => {
  const short = 'service is short of machines'
  const enough = 'service has the machines that it needs'
  const cases: ReadonlyArray<{ name: string, moments: readonly Moment[], expected: readonly string[] }> = [
    { name: 'a service with what it needs', moments: [{ atMs: 0, need: 3, have: 3, usable: 3 }], expected: [] },
    { name: 'machines that are in the pool and of no use', moments: [{ atMs: 0, need: 27, have: 39, usable: 0 }], expected: [`${short} 27 39 0`] },
    { name: 'a shortage that stays', moments: [0, 2000, 4000].map((atMs) => ({ atMs, need: 3, have: 1, usable: 1 })), expected: [`${short} 3 1 1`] },
    {
      name: 'a shortage that changes often',
      moments: [0, 100, 200, 1000].map((atMs) => ({ atMs, need: 3 + atMs / 100, have: 1, usable: 1 })),
      expected: [`${short} 3 1 1`, `${short} 13 1 1`]
    },
    {
      name: 'a shortage that ends',
      moments: [{ atMs: 0, need: 3, have: 1, usable: 1 }, { atMs: 1500, need: 3, have: 3, usable: 3 }],
      expected: [`${short} 3 1 1`, `${enough} 3 3 3`]
    }
  ]
  for (const { name, moments, expected } of cases) {
    it(`logs ${expected.length} lines of ${name}`, () => {
      const log = new TestLog()
      const shortages = new ShortageLog(log)
      for (const moment of moments) shortages.logChanges([countOf(moment)], moment.atMs)
      const lines = log.lines.map((line) => {
        const [message = '', fields = ''] = line.split(' {')
        const { need, have, usable } = JSON.parse(`{${fields}`) as Moment
        return `${message} ${need} ${have} ${usable}`
      })
      expect(lines).to.deep.equal(expected)
    })
  }
})
