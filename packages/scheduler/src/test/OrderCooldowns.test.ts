import { expect } from 'chai'
import { OrderCooldowns, type OrderCooldown } from '../lib/machines/OrderCooldowns.js'

const PAUSE_MS = 3500
/** Until an order without an answer has surely been carried out, or never will be. */
const LATE_MS = 1500

interface Case {
  readonly name: string
  /** What is done by a holder that took over at 10 s. */
  readonly act: (pauses: OrderCooldowns) => void
  readonly atMs: number
  readonly left: readonly OrderCooldown[]
  readonly allLeftMs?: number
  readonly isPaused: boolean
}

const cases: readonly Case[] = [
  { name: 'nothing was ordered', act: () => {}, atMs: 10_000, left: [], isPaused: false },
  {
    name: 'an order that is not over leaves the whole pause and the time in which it may arrive, however long ago it began',
    act: (pauses) => pauses.beginOrder('m'),
    atMs: 60_000,
    left: [{ machineId: 'm', remainingMs: PAUSE_MS + LATE_MS }],
    isPaused: false
  },
  { name: 'an own order counts from its answer', act: (pauses) => pauses.endOrder('m', 11_000), atMs: 12_000, left: [{ machineId: 'm', remainingMs: 2500 }], isPaused: false },
  { name: 'an own order long ago is forgotten', act: (pauses) => pauses.endOrder('m', 11_000), atMs: 14_500, left: [], isPaused: false },
  {
    name: 'what a former holder left goes on',
    act: (pauses) => pauses.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000),
    atMs: 10_400,
    left: [{ machineId: 'm', remainingMs: 600 }],
    isPaused: true
  },
  { name: 'and ends', act: (pauses) => pauses.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000), atMs: 11_000, left: [], isPaused: false },
  {
    name: 'a former holder of the version before may have ordered any machine',
    act: (pauses) => pauses.restore([], Infinity, 10_000),
    atMs: 13_000,
    left: [],
    allLeftMs: 500 + LATE_MS,
    isPaused: true
  },
  {
    name: 'the longer of two',
    act: (pauses) => {
      pauses.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000)
      pauses.endOrder('m', 10_500)
    },
    atMs: 10_600,
    left: [{ machineId: 'm', remainingMs: 3400 }],
    isPaused: true
  }
]

describe('OrderPauses', () => {
  for (const { name, act, atMs, left, allLeftMs = 0, isPaused } of cases) {
    it(name, () => {
      const pauses = new OrderCooldowns(() => PAUSE_MS)
      act(pauses)
      expect(pauses.isCoolingDown('m', atMs)).to.equal(isPaused)
      expect(pauses.left(atMs)).to.deep.equal(left)
      expect(pauses.globalRemainingMs(atMs)).to.equal(allLeftMs)
    })
  }
})
