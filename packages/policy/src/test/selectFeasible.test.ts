import { expect } from 'chai'
import fc from 'fast-check'
import { selectFeasible, type FeasibilityCandidate } from '../lib/jobs/selectFeasible.js'
import { compareRanks, RANK_TIERS, type StepRank } from '../lib/jobs/rankStep.js'
import { NO_RESOURCES } from '../lib/quotas/resources.js'

const NOW_MS = 100_000
const CORES = 10
const capacity = { cpuMillis: CORES * 1000, memoryMb: CORES * 2000, gpus: 0 }

/** A job, whose work keeps the whole capacity busy for `workMs`. */
interface Sample {
  readonly workMs: number
  readonly slackMs: number
  readonly memoryFactor?: number
  readonly placedShare?: number
  readonly priority?: number
  readonly tier?: StepRank['tier']
}

function candidateOf (sample: Sample, at: number): FeasibilityCandidate {
  const { workMs, slackMs, memoryFactor = 0.5, placedShare = 0, priority = 0, tier = RANK_TIERS.inTime } = sample
  const work = { cpuMillis: workMs * capacity.cpuMillis, memoryMb: workMs * capacity.memoryMb * memoryFactor, gpus: 0 }
  const startByMs = NOW_MS + slackMs
  return { key: `${at}`, rank: { tier, priority, placedShare, workLeft: work.cpuMillis, queuedWork: work, leftMs: 1000, startByMs, useByMs: startByMs + 5000, isPostponed: false } }
}

const select = (samples: readonly Sample[], workUnderWayMs = 0): string[] => {
  const workUnderWay = { ...NO_RESOURCES, cpuMillis: workUnderWayMs * capacity.cpuMillis }
  return [...selectFeasible(samples.map(candidateOf), { capacity, workUnderWay }, NOW_MS).postponed].sort()
}

describe('selectFeasible', () => {
  const cases: ReadonlyArray<{
    readonly name: string
    readonly samples: readonly Sample[]
    readonly workUnderWayMs?: number
    /** Indexes of the samples that are postponed. */
    readonly expected: readonly string[]
  }> = [
    { name: 'nothing with enough room', samples: [{ workMs: 300, slackMs: 1000 }, { workMs: 300, slackMs: 1500 }], expected: [] },
    {
      name: 'the job whose turn comes too late',
      samples: [{ workMs: 2000, slackMs: 2000 }, { workMs: 2000, slackMs: 2600 }, { workMs: 2000, slackMs: 2700 }],
      expected: ['2']
    },
    {
      name: 'the job before it that is worth less for its work',
      samples: [{ workMs: 3000, slackMs: 1550 }, { workMs: 500, slackMs: 1600 }, { workMs: 5000, slackMs: 9000 }],
      expected: ['0']
    },
    { name: 'no job of the largest fifth instead of a later one', samples: [{ workMs: 3000, slackMs: 1550 }, { workMs: 500, slackMs: 1600 }], expected: ['1'] },
    { name: 'a job behind the work under way', samples: [{ workMs: 100, slackMs: 800 }], workUnderWayMs: 4000, expected: ['0'] },
    {
      name: 'a job behind those that have begun, never one of these',
      samples: [{ workMs: 100, slackMs: 700 }, { workMs: 2000, slackMs: 100, placedShare: 0.5 }],
      expected: ['0']
    },
    { name: 'a job that waits for memory', samples: [{ workMs: 500, slackMs: 2000, memoryFactor: 8 }, { workMs: 100, slackMs: 2100 }], expected: ['1'] },
    { name: 'the less urgent one', samples: [{ workMs: 2000, slackMs: 1000, priority: 1 }, { workMs: 2000, slackMs: 2000 }], expected: ['0'] },
    {
      name: 'a late job only if it would be of no use any more',
      samples: [{ workMs: 1000, slackMs: -1000, tier: RANK_TIERS.late }, { workMs: 20_000, slackMs: -900, tier: RANK_TIERS.late }],
      expected: ['1']
    },
    {
      name: 'only the jobs of a flood that are beyond their account\'s share',
      samples: [{ workMs: 500, slackMs: 1500 }, ...Array.from({ length: 9 }, () => ({ workMs: 200, slackMs: 200, tier: RANK_TIERS.overShare }))],
      expected: ['1', '2', '3', '4', '5', '6', '7', '8', '9']
    }
  ]
  for (const { name, samples, workUnderWayMs, expected } of cases) {
    it(`postpones ${name}`, () => expect(select(samples, workUnderWayMs)).to.deep.equal(expected))
  }

  it('postpones every job that has not begun without capacity', () => {
    const candidates = [candidateOf({ workMs: 1, slackMs: 1000 }, 0), candidateOf({ workMs: 1, slackMs: 1000, placedShare: 0.1 }, 1)]
    expect([...selectFeasible(candidates, { capacity: NO_RESOURCES, workUnderWay: NO_RESOURCES }, NOW_MS).postponed]).to.deep.equal(['0'])
  })

  const sample = fc.record({
    workMs: fc.integer({ min: 1, max: 400 }),
    slackMs: fc.integer({ min: 0, max: 3000 }),
    placedShare: fc.constantFrom(0, 0, 0.3),
    priority: fc.integer({ min: 0, max: 1 }),
    tier: fc.constantFrom(RANK_TIERS.inTime, RANK_TIERS.late, RANK_TIERS.overShare)
  })

  it('keeps the order as long as the work of all is done before the first latest start', () => {
    fc.assert(fc.property(fc.array(sample, { maxLength: 30 }), (samples) => {
      const totalMs = samples.reduce((sum, { workMs }) => sum + workMs, 0)
      expect(select(samples.map((one) => ({ ...one, slackMs: one.slackMs + 2 * totalMs })))).to.deep.equal([])
    }))
  })

  it('puts no postponed job before a kept one of the same tier and priority, and drops none', () => {
    fc.assert(fc.property(fc.array(sample, { maxLength: 30 }), (samples) => {
      const postponed = new Set(select(samples))
      const ranks = samples.map(candidateOf).map(({ key, rank }) => ({ ...rank, isPostponed: postponed.has(key) })).sort(compareRanks)
      expect(ranks).to.have.length(samples.length)
      ranks.forEach((rank, at) => {
        const next = ranks[at + 1]
        if (next === undefined || next.tier !== rank.tier || next.priority !== rank.priority) return
        expect(rank.isPostponed && !next.isPostponed).to.equal(false)
      })
    }))
  })
})
