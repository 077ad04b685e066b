import { expect } from 'chai'
import { OrderCooldowns, type OrderCooldown } from '../lib/machines/OrderCooldowns.js'

const COOLDOWN_MS = 3500
/** Time after which an unanswered order has either been executed or never will be. */
const ORDER_TIMEOUT_MS = 1500

interface Case {
  readonly name: string
  /** Actions of a holder that took over at 10 s. */
  readonly setUp: (cooldowns: OrderCooldowns) => void
  readonly atMs: number
  readonly left: readonly OrderCooldown[]
  readonly allLeftMs?: number
  readonly isCoolingDown: boolean
}

const cases: readonly Case[] = [
  { name: 'no cooldown without an order', setUp: () => {}, atMs: 10_000, left: [], isCoolingDown: false },
  {
    name: 'an order in progress keeps the whole cooldown and its timeout, however long ago it was sent',
    setUp: (cooldowns) => cooldowns.beginOrder('m'),
    atMs: 60_000,
    left: [{ machineId: 'm', remainingMs: COOLDOWN_MS + ORDER_TIMEOUT_MS }],
    isCoolingDown: false
  },
  { name: 'the cooldown of an own order starts with its answer', setUp: (cooldowns) => cooldowns.endOrder('m', 11_000), atMs: 12_000, left: [{ machineId: 'm', remainingMs: 2500 }], isCoolingDown: false },
  { name: 'the cooldown of an own order expires', setUp: (cooldowns) => cooldowns.endOrder('m', 11_000), atMs: 14_500, left: [], isCoolingDown: false },
  {
    name: 'the cooldown of a previous holder continues',
    setUp: (cooldowns) => cooldowns.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000),
    atMs: 10_400,
    left: [{ machineId: 'm', remainingMs: 600 }],
    isCoolingDown: true
  },
  { name: 'the cooldown of a previous holder expires', setUp: (cooldowns) => cooldowns.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000), atMs: 11_000, left: [], isCoolingDown: false },
  {
    name: 'a previous holder with the previous software version may have ordered any machine',
    setUp: (cooldowns) => cooldowns.restore([], Infinity, 10_000),
    atMs: 13_000,
    left: [],
    allLeftMs: 500 + ORDER_TIMEOUT_MS,
    isCoolingDown: true
  },
  {
    name: 'the longer of two cooldowns of a machine applies',
    setUp: (cooldowns) => {
      cooldowns.restore([{ machineId: 'm', remainingMs: 1000 }], 0, 10_000)
      cooldowns.endOrder('m', 10_500)
    },
    atMs: 10_600,
    left: [{ machineId: 'm', remainingMs: 3400 }],
    isCoolingDown: true
  }
]

describe('OrderCooldowns', () => {
  for (const { name, setUp: act, atMs, left, allLeftMs = 0, isCoolingDown } of cases) {
    it(name, () => {
      const cooldowns = new OrderCooldowns(() => COOLDOWN_MS)
      act(cooldowns)
      expect(cooldowns.isCoolingDown('m', atMs)).to.equal(isCoolingDown)
      expect(cooldowns.left(atMs)).to.deep.equal(left)
      expect(cooldowns.globalRemainingMs(atMs)).to.equal(allLeftMs)
    })
  }
})
