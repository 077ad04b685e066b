import { expect } from 'chai'
import { SeededRandom } from '@quillscale/utils'
import { createAvailabilityZone, createEntryHostId, createHostId } from '@quillscale/model'
import { chooseTarget } from '../lib/chooseTarget.js'
import { computeSlotShare } from '../lib/computeSlotShare.js'
import { RetryBudget } from '../lib/RetryBudget.js'
import { TargetState } from '../lib/TargetState.js'

const TARGETS = 8

interface Behaviour { readonly fails?: boolean, readonly latencyMs: number }
interface Case {
  readonly name: string
  readonly odd: Behaviour
  /** The largest share of requests that the odd target may get; an even one is 1/8. */
  readonly maxShare: number
}

const CASES: Case[] = [
  { name: 'a target that fails everything at once', odd: { fails: true, latencyMs: 0.1 }, maxShare: 0.02 },
  { name: 'a target that is slow by 20', odd: { latencyMs: 200 }, maxShare: 0.05 },
  { name: 'a target that is fast by 2 and gets more', odd: { latencyMs: 5 }, maxShare: 0.4 }
]

function makeStates (): TargetState[] {
  return Array.from({ length: TARGETS }, (_, index) => {
    const state = new TargetState({ hostId: createHostId(`h${index}`), availabilityZone: createAvailabilityZone('z'), address: 'x', port: 1 })
    state.allottedSlots = 4
    return state
  })
}

/** Sends requests one after the other in virtual time, and returns the odd target's share. */
function shareOfOdd (odd: Behaviour): number {
  const random = new SeededRandom(3)
  const states = makeStates()
  const running: Array<{ state: TargetState, endsMs: number, tookMs: number, fails: boolean }> = []
  let toOdd = 0
  const total = 5000
  for (let index = 0; index < total; index++) {
    const nowMs = index * 1.5
    for (const done of running.filter(({ endsMs }) => endsMs <= nowMs)) {
      running.splice(running.indexOf(done), 1)
      done.state.inFlight--
      done.state.recordResult(done.fails ? 'failed' : 'answered', done.tookMs, nowMs)
    }
    const state = chooseTarget(states, new Set(), nowMs, () => random.next())
    if (state === undefined) continue
    const isOdd = state === states[0]
    if (isOdd) toOdd++
    const tookMs = isOdd ? odd.latencyMs : 10
    state.inFlight++
    running.push({ state, endsMs: nowMs + tookMs, tookMs, fails: isOdd && odd.fails === true })
  }
  return toOdd / total
}

describe('chooseTarget', () => {
  for (const { name, odd, maxShare } of CASES) {
    it(`gives the right share to ${name}`, () => expect(shareOfOdd(odd)).to.be.at.most(maxShare))
  }

  it('never rests so many that the others drown', () => {
    const states = makeStates()
    for (const state of states) for (let count = 0; count < 20; count++) state.recordResult('failed', 1, 0)
    const random = new SeededRandom(5)
    const seen = new Set(Array.from({ length: 200 }, () => chooseTarget(states, new Set(), 1, () => random.next())))
    expect(seen.size).to.be.at.least(TARGETS / 2)
  })

  it('leaves out targets that leave or were tried', () => {
    const states = makeStates()
    const [kept, ...others] = states
    for (const state of others.slice(1)) state.isLeaving = true
    const excluded = new Set([others[0]?.target.hostId ?? createHostId('x')])
    expect(chooseTarget(states, excluded, 0, () => 0.5)).to.equal(kept)
  })
})

describe('shareSlots', () => {
  for (const [slots, members] of [[8, 1], [8, 2], [8, 3], [8, 5], [3, 5], [1, 2]] as const) {
    it(`divides ${slots} slots among ${members} entry hosts without over-commit`, () => {
      const ids = Array.from({ length: members }, (_, index) => createEntryHostId(`e${index}`))
      const shares = ids.map((self) => computeSlotShare(createHostId('h1'), slots, ids, self))
      expect(shares.reduce((sum, share) => sum + share, 0)).to.equal(slots)
    })
  }
})

describe('RetryBudget', () => {
  it('allows retries as a share of the requests', () => {
    const budget = new RetryBudget({ ratio: 0.1, maxSaved: 2 })
    let retries = 0
    for (let index = 0; index < 1000; index++) {
      budget.earn()
      if (budget.trySpend()) retries++
    }
    expect(retries).to.be.within(95, 105)
  })
})
