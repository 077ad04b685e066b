import { expect } from 'chai'
import { createJob } from '../lib/jobs/JobState.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { demandOf } from '../lib/machines/demandOf.js'
import { RunTimes } from '../lib/jobs/RunTimes.js'
import { ServiceNeeds } from '../lib/machines/ServiceNeeds.js'
import type { ServiceDemand } from '../lib/machines/planPools.js'
import { testJobId } from './testJobId.js'

const NOW_MS = 100_000
/** Of 1.5 core-seconds. */
const STEP: Partial<StepSpec> = { taskCount: 3, cpuMillis: 1000, estimateMs: 500 }

describe('demandOf', () => {
  const cases = [
    { name: 'six jobs of the last moment, as if they went on so', agesMs: [100, 200, 300, 400, 500, 600], step: STEP, expectedMillis: 12_000 },
    { name: 'too few to tell a rate', agesMs: [100, 200, 300], step: STEP, expectedMillis: 0 },
    { name: 'jobs of earlier', agesMs: [800, 900, 1000, 2000, 3000], step: STEP, expectedMillis: 0 },
    { name: 'jobs that an earlier holder may have seen', agesMs: [undefined, undefined, undefined, undefined], step: STEP, expectedMillis: 0 },
    { name: 'lasting jobs, which stay', agesMs: [100, 200, 300, 400], step: { ...STEP, isLasting: true }, expectedMillis: 0 }
  ]
  for (const { name, agesMs, step, expectedMillis } of cases) {
    it(`counts ${expectedMillis} as arriving for ${name}`, () => {
      const jobs = agesMs.map((ageMs, index) => {
        const spec = jobSpecSchema.parse({ jobId: testJobId(index), queue: 'q', command: '', submittedMs: 0, steps: [step] })
        return createJob(spec, ageMs === undefined ? undefined : NOW_MS - ageMs)
      })
      expect(demandOf({ service: 's', jobs, links: [], times: new RunTimes(), nowMs: NOW_MS, wallMs: 0 }).arrivingMillis).to.equal(expectedMillis)
    })
  }
})

describe('ServiceNeeds', () => {
  const demand = (wantedCores: number, arrivingCores: number): ServiceDemand => ({
    service: 's', wantedMillis: wantedCores * 1000, arrivingMillis: arrivingCores * 1000, leastMachines: 1, machineMillis: 10_000, runsByMachine: new Map()
  })
  const cases = [
    { name: 'a steady need', before: 17, now: 17, arriving: 0, expected: 2 },
    { name: 'a growing need, extended by how long a move takes', before: 17, now: 34, arriving: 0, expected: 7 },
    { name: 'one that grows fast, at most twice', before: 0, now: 34, arriving: 0, expected: 8 },
    { name: 'arrivals that ask for clearly more', before: 17, now: 17, arriving: 85, expected: 10 },
    { name: 'arrivals that ask for little more', before: 85, now: 85, arriving: 100, expected: 10 }
  ]
  for (const { name, before, now, arriving, expected } of cases) {
    it(`foresees ${expected} machines for ${name}`, () => {
      const needs = new ServiceNeeds()
      needs.recent([demand(before, 0)], NOW_MS)
      needs.recent([demand(now, arriving)], NOW_MS + 1000)
      expect(needs.coming([demand(now, arriving)], NOW_MS + 1000).get('s')).to.equal(expected)
    })
  }
})
