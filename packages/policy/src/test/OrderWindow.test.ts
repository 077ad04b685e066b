import { expect } from 'chai'
import { OrderWindow } from '../lib/placement/OrderWindow.js'

/** Answers that use the window up some times, each after the same wait; `isFull` tells whether tasks waited for it meanwhile. */
interface Answers { readonly windows: number, readonly waitedMs: number, readonly isFull?: boolean }

const FAST: Answers = { windows: 20, waitedMs: 5, isFull: true }

function windowAfter (answers: readonly Answers[]): OrderWindow {
  const window = new OrderWindow()
  for (const { windows, waitedMs, isFull = false } of answers) {
    for (let at = 0; at < windows; at++) {
      if (isFull) window.recordFull()
      for (let left = window.size; left > 0; left--) window.recordAnswer(waitedMs)
    }
  }
  return window
}

describe('OrderWindow', () => {
  const initial = new OrderWindow().size
  const cases: ReadonlyArray<{ readonly name: string, readonly answers: readonly Answers[], readonly size: number }> = [
    { name: 'grows while it is full and starts are answered soon', answers: [{ windows: 1, waitedMs: 5, isFull: true }], size: 4 * initial },
    { name: 'stays while nothing waits for it', answers: [{ windows: 5, waitedMs: 5 }], size: initial },
    { name: 'stays at the target', answers: [{ ...FAST, windows: 2 }, { windows: 3, waitedMs: 150, isFull: true }], size: 16 * initial },
    { name: 'grows no further than its largest size', answers: [FAST], size: 1000 },
    { name: 'shrinks with the wait', answers: [FAST, { windows: 1, waitedMs: 200, isFull: true }], size: 750 },
    { name: 'shrinks whether it is full or not', answers: [FAST, { windows: 1, waitedMs: 200 }], size: 750 },
    { name: 'shrinks to a quarter at most at a time', answers: [FAST, { windows: 1, waitedMs: 10_000 }], size: 250 },
    { name: 'shrinks to its smallest size while starts are given up without an answer', answers: [FAST, { windows: 20, waitedMs: 700, isFull: true }], size: 8 }
  ]
  for (const { name, answers, size } of cases) {
    it(name, () => {
      expect(windowAfter(answers).size).to.equal(size)
    })
  }

  // Guards against starts that wait for longer on a slower host, behind a number of others that is the same for all hosts (LOST).
  for (const perSecond of [10, 100, 1000, 10_000]) {
    it(`holds the wait of a start below half of the time limit of its call, at ${perSecond} starts a second`, () => {
      const window = new OrderWindow()
      for (let burst = 0; burst < 50; burst++) {
        window.recordFull()
        // All starts of a window are sent at once, and answered one after the other.
        for (let at = 1, { size } = window; at <= size; at++) window.recordAnswer(at * 1000 / perSecond)
      }
      expect((window.size - new OrderWindow().size) * 1000 / perSecond).to.be.at.most(350)
      expect(window.size).to.be.at.least(Math.min(900, perSecond / 5))
    })
  }
})
