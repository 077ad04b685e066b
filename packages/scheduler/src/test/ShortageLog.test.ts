import { expect } from 'chai'
import type { PoolCount } from '@quillscale/policy'
import { ShortageLog } from '../lib/machines/ShortageLog.js'
import { SERVICE, TestLog } from './TestService.js'

interface Sample { readonly atMs: number, readonly need: number, readonly have: number, readonly usable: number }

const countOf = ({ need, have, usable }: Sample): PoolCount => {
  const runsByMachine = new Map(Array.from({ length: usable }, (_, index) => [`m${index}`, 0]))
  return { need, have, retained: need, demand: { service: SERVICE, wantedMillis: 0, leastMachines: 0, machineMillis: 1000, runsByMachine } }
}

describe('ShortageLog', () => {
  const short = 'service is short of machines'
  const enough = 'service has the machines that it needs'
  const cases: ReadonlyArray<{ name: string, samples: readonly Sample[], expected: readonly string[] }> = [
    { name: 'a service with enough machines', samples: [{ atMs: 0, need: 3, have: 3, usable: 3 }], expected: [] },
    { name: 'machines in the pool that are not usable', samples: [{ atMs: 0, need: 27, have: 39, usable: 0 }], expected: [`${short} 27 39 0`] },
    { name: 'a shortage that does not change', samples: [0, 2000, 4000].map((atMs) => ({ atMs, need: 3, have: 1, usable: 1 })), expected: [`${short} 3 1 1`] },
    {
      name: 'a shortage that changes often',
      samples: [0, 100, 200, 1000].map((atMs) => ({ atMs, need: 3 + atMs / 100, have: 1, usable: 1 })),
      expected: [`${short} 3 1 1`, `${short} 13 1 1`]
    },
    {
      name: 'a shortage that ends',
      samples: [{ atMs: 0, need: 3, have: 1, usable: 1 }, { atMs: 1500, need: 3, have: 3, usable: 3 }],
      expected: [`${short} 3 1 1`, `${enough} 3 3 3`]
    }
  ]
  for (const { name, samples, expected } of cases) {
    it(`logs ${expected.length} lines for ${name}`, () => {
      const log = new TestLog()
      const shortages = new ShortageLog(log)
      for (const sample of samples) shortages.logChanges([countOf(sample)], sample.atMs)
      const lines = log.lines.map((line) => {
        const [message = '', fields = ''] = line.split(' {')
        const { need, have, usable } = JSON.parse(`{${fields}`) as Sample
        return `${message} ${need} ${have} ${usable}`
      })
      expect(lines).to.deep.equal(expected)
    })
  }
})
