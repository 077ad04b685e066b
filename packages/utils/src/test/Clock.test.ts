import { expect } from 'chai'
import { createClock } from '../lib/Clock.js'

interface Step { readonly monotonicMs: number, readonly wallMs: number }

/** How far each clock advances between two readings, and the expected upper bound on the total elapsed time. */
const cases: ReadonlyArray<{ readonly name: string, readonly steps: readonly Step[], readonly latestMs: number }> = [
  { name: 'a running host', steps: [{ monotonicMs: 1000, wallMs: 1000 }], latestMs: 1000 },
  { name: 'a slewed wall clock', steps: [{ monotonicMs: 1000, wallMs: 1020 }, { monotonicMs: 1000, wallMs: 980 }], latestMs: 2000 },
  { name: 'a suspended host', steps: [{ monotonicMs: 10, wallMs: 5010 }], latestMs: 5010 },
  { name: 'a host suspended repeatedly', steps: [{ monotonicMs: 10, wallMs: 1010 }, { monotonicMs: 10, wallMs: 1010 }], latestMs: 2020 },
  { name: 'a wall clock set back', steps: [{ monotonicMs: 1000, wallMs: -4000 }], latestMs: 1000 },
  { name: 'a wall clock set back and then forward', steps: [{ monotonicMs: 0, wallMs: -5000 }, { monotonicMs: 0, wallMs: 5000 }], latestMs: 5000 }
]

describe('createClock', () => {
  for (const { name, steps, latestMs } of cases) {
    it(`returns the upper bound on the elapsed time: ${name}`, () => {
      let wallMs = 1_700_000_000_000
      let monotonicMs = 40
      const clock = createClock({ wallMs: () => wallMs, monotonicMs: () => monotonicMs })
      const firstReadingMs = clock.latestMs()
      for (const step of steps) {
        wallMs += step.wallMs
        monotonicMs += step.monotonicMs
        clock.latestMs()
      }
      expect(clock.latestMs() - firstReadingMs).to.equal(latestMs)
      expect(clock.monotonicMs() - 40).to.equal(steps.reduce((sum, step) => sum + step.monotonicMs, 0))
    })
  }
})
