import { expect } from 'chai'
import { ShortageMonitor } from '../lib/jobs/ShortageMonitor.js'
import { SERVICE, TestLog } from './TestService.js'

interface Sample { readonly atMs: number, readonly postponed: readonly string[] }

describe('ShortageMonitor', () => {
  const begins = 'more work than room: jobs without room in time go last'
  const ends = 'room for all jobs again'
  const cases: ReadonlyArray<{ readonly name: string, readonly samples: readonly Sample[], readonly expected: readonly string[], readonly counted: number }> = [
    { name: 'room for all', samples: [{ atMs: 0, postponed: [] }], expected: [], counted: 0 },
    {
      name: 'a shortage that goes on',
      samples: [{ atMs: 0, postponed: ['a'] }, { atMs: 2000, postponed: ['a', 'b'] }],
      expected: [`${begins} 1`],
      counted: 2
    },
    {
      name: 'a shortage that ends',
      samples: [{ atMs: 0, postponed: ['a'] }, { atMs: 500, postponed: ['a', 'b'] }, { atMs: 1500, postponed: [] }],
      expected: [`${begins} 1`, `${ends} 0 of 2`],
      counted: 2
    },
    {
      name: 'a shortage that comes and goes from round to round',
      samples: [0, 20, 40, 60, 80].map((atMs, index) => ({ atMs, postponed: index % 2 === 0 ? ['a'] : [] })),
      expected: [`${begins} 1`],
      counted: 3
    }
  ]
  for (const { name, samples, expected, counted } of cases) {
    it(`logs ${expected.length} lines for ${name}`, () => {
      const log = new TestLog()
      let count = 0
      const monitor = new ShortageMonitor({ service: SERVICE, log, count: (_, by) => { count += by } })
      for (const { atMs, postponed } of samples) monitor.observe({ postponed: new Set(postponed), waiting: 3, aheadMs: 1234.5 }, atMs)
      const lines = log.lines.map((line) => {
        const [message = '', fields = ''] = line.split(' {')
        const { postponed, mostPostponed } = JSON.parse(`{${fields}`) as { postponed: number, mostPostponed?: number }
        return `${message} ${postponed}${mostPostponed === undefined ? '' : ` of ${mostPostponed}`}`
      })
      expect({ lines, count }).to.deep.equal({ lines: expected, count: counted })
    })
  }
})
