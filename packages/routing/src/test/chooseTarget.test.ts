import { expect } from 'chai'
import { SeededRandom } from '@quillscale/utils'
import { createAvailabilityZone, createEntryHostId, createHostId } from '@quillscale/model'
import { chooseTarget } from '../lib/chooseTarget.js'
import { computeSlotShare } from '../lib/computeSlotShare.js'
import { RetryBudget } from '../lib/RetryBudget.js'
import { TargetState } from '../lib/TargetState.js'

const TARGETS = 8

interface TargetBehavior { readonly fails?: boolean, readonly latencyMs: number }
interface Case {
  readonly name: string
  readonly outlier: TargetBehavior
  /** Maximum share of the requests that the outlier may get; an even share is 1/8. */
  readonly maxShare: number
}

const CASES: Case[] = [
  { name: 'a target that fails all requests immediately', outlier: { fails: true, latencyMs: 0.1 }, maxShare: 0.02 },
  { name: 'a target that is 20 times slower', outlier: { latencyMs: 200 }, maxShare: 0.05 },
  { name: 'a target that is twice as fast', outlier: { latencyMs: 5 }, maxShare: 0.4 }
]

function createTargetStates (): TargetState[] {
  return Array.from({ length: TARGETS }, (_, index) => {
    const state = new TargetState({ hostId: createHostId(`h${index}`), availabilityZone: createAvailabilityZone('z'), address: 'x', port: 1 })
    state.allottedSlots = 4
    return state
  })
}

/** Sends requests in virtual time, where one target is an outlier, and returns the outlier's share of the requests. */
function measureOutlierShare (outlier: TargetBehavior): number {
  const random = new SeededRandom(3)
  const states = createTargetStates()
  const running: Array<{ state: TargetState, endsMs: number, tookMs: number, fails: boolean }> = []
  let sentToOutlier = 0
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
    const isOutlier = state === states[0]
    if (isOutlier) sentToOutlier++
    const tookMs = isOutlier ? outlier.latencyMs : 10
    state.inFlight++
    running.push({ state, endsMs: nowMs + tookMs, tookMs, fails: isOutlier && outlier.fails === true })
  }
  return sentToOutlier / total
}

describe('chooseTarget', () => {
  for (const { name, outlier, maxShare } of CASES) {
    it(`limits the share of ${name}`, () => expect(measureOutlierShare(outlier)).to.be.at.most(maxShare))
  }

  it('never ejects more than half of the targets, so that the others are not overloaded', () => {
    const states = createTargetStates()
    for (const state of states) for (let count = 0; count < 20; count++) state.recordResult('failed', 1, 0)
    const random = new SeededRandom(5)
    const chosen = new Set(Array.from({ length: 200 }, () => chooseTarget(states, new Set(), 1, () => random.next())))
    expect(chosen.size).to.be.at.least(TARGETS / 2)
  })

  it('skips targets that are leaving or have been tried', () => {
    const states = createTargetStates()
    const [remaining, ...others] = states
    for (const state of others.slice(1)) state.isLeaving = true
    const excluded = new Set([others[0]?.target.hostId ?? createHostId('x')])
    expect(chooseTarget(states, excluded, 0, () => 0.5)).to.equal(remaining)
  })
})

describe('computeSlotShare', () => {
  for (const [slots, members] of [[8, 1], [8, 2], [8, 3], [8, 5], [3, 5], [1, 2]] as const) {
    it(`divides ${slots} slots among ${members} entry hosts without overcommitting`, () => {
      const ids = Array.from({ length: members }, (_, index) => createEntryHostId(`e${index}`))
      const shares = ids.map((selfId) => computeSlotShare(createHostId('h1'), slots, ids, selfId))
      expect(shares.reduce((sum, share) => sum + share, 0)).to.equal(slots)
    })
  }
})

describe('RetryBudget', () => {
  it('limits retries to a fraction of the requests', () => {
    const budget = new RetryBudget({ ratio: 0.1, maxSaved: 2 })
    let retries = 0
    for (let index = 0; index < 1000; index++) {
      budget.earn()
      if (budget.trySpend()) retries++
    }
    expect(retries).to.be.within(95, 105)
  })
})
