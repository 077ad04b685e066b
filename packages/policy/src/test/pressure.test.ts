import { expect } from 'chai'
import * as fc from 'fast-check'
import type { AccountName } from '@quillscale/ports'
import { createJob, type Job } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type JobSpec, type StepSpec } from '../lib/jobs/JobSpec.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import type { Backlog } from '../lib/pressure/Backlog.js'
import { computeBacklog } from '../lib/pressure/computeBacklog.js'
import { decideAdmission, type AdmissionInput } from '../lib/pressure/decideAdmission.js'
import { predictWaitMs } from '../lib/pressure/predictWaitMs.js'
import { createTestWorker } from '../testing/createTestWorker.js'
import { createTestRun, NO_RULES, playFlood, QUEUE, QUEUES } from './PressurePlay.js'
import { testJobId } from '../testing/testJobId.js'

const NOW_MS = 100_000
const TIMES = { nowMs: NOW_MS, wallMs: NOW_MS }
const ROOM_MILLIS = 4000
/** Of use until 3 x (1.6 x 3 s + 0.6 s) = 16.2 s: 3 s is the margin for a guess of 1 s. */
const STEP: Partial<StepSpec> = { taskCount: 1, cpuMillis: 1000, estimateMs: 1000 }
const LATE_BOUND_MS = 16_200
const USEFUL_START_MS = LATE_BOUND_MS - 3000

const specOf = (step: Partial<StepSpec> = {}, rest: Partial<JobSpec> = {}): JobSpec =>
  jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: NOW_MS, steps: [{ ...STEP, ...step }], ...rest })

describe('computeBacklog', () => {
  interface Case {
    readonly name: string
    readonly count?: number
    readonly queue?: string
    readonly step?: Partial<StepSpec>
    readonly ageMs?: number
    readonly isOverShare?: boolean
    readonly limitMillis?: number
    /** Wait of a job whose priority is lower than that of all others. */
    readonly expectedMs: number
  }
  const cases: readonly Case[] = [
    { name: 'the work of a higher priority over the room', expectedMs: 2000 },
    { name: 'what starts in time of more work than that', count: 1000, expectedMs: 8000 },
    { name: 'no late jobs', ageMs: 13_000, expectedMs: 0 },
    { name: 'no jobs beyond their account\'s share', isOverShare: true, expectedMs: 0 },
    { name: 'no tasks that need a label', step: { requiredLabel: 'disk' }, expectedMs: 0 },
    { name: 'no tasks that need a GPU', step: { gpus: 1 }, expectedMs: 0 },
    { name: 'no lasting tasks', step: { isLasting: true }, expectedMs: 0 },
    { name: 'no jobs whose queue was removed', queue: 'gone', expectedMs: 0 },
    { name: 'nothing of an account whose limit leaves room to others', limitMillis: 2000, expectedMs: 0 },
    { name: 'all of an account whose limit leaves none', limitMillis: 4000, expectedMs: 2000 }
  ]
  for (const { name, count = 8, queue = 'first', step, ageMs = 0, isOverShare = false, limitMillis, expectedMs } of cases) {
    it(`counts ${name}`, () => {
      const owner = { account: 'a' as AccountName, keyTag: '' }
      const jobs = Array.from({ length: count }, (): Job => ({ ...createJob(specOf(step, { queue, owner, submittedMs: NOW_MS - ageMs })), isOverShare }))
      const limitOf = (): { cpuMillis: number, memoryMb: number, gpus: number } | undefined =>
        limitMillis === undefined ? undefined : { cpuMillis: limitMillis, memoryMb: Infinity, gpus: Infinity }
      const backlog = computeBacklog({
        ...NO_RULES, limitOf, jobs, workerViews: [createTestWorker(ROOM_MILLIS)], runTimes: new RunTimeEstimator(), queueOf: (each) => QUEUES[each], ...TIMES
      })
      expect(predictWaitMs(backlog, Infinity, 0)).to.be.closeTo(expectedMs, 10)
      expect(predictWaitMs(backlog, 0, 0)).to.equal(0)
    })
  }

  it('counts the rest of running tasks, takes lasting ones from the room and reports learned run times', () => {
    const worker = createTestWorker(ROOM_MILLIS)
    const runTimes = new RunTimeEstimator()
    const running = specOf({ image: 'i', taskCount: 3 }, { queue: 'first' })
    runTimes.addSample(running.steps[0]!, 2000)
    const jobs = [createJob(running), createJob(specOf({ isLasting: true }, { queue: 'first' }))]
    const tasks = [...tasksOf(jobs[0]!, 0)[0]!.slice(0, 2), ...tasksOf(jobs[1]!, 0)[0]!]
    for (const task of tasks) worker.runs.set(task.key + jobs.indexOf(task.job), createTestRun(task, NOW_MS - 500))
    const backlog = computeBacklog({ ...NO_RULES, jobs, workerViews: [worker], runTimes, queueOf: (name) => QUEUES[name], ...TIMES })
    expect(backlog).to.deep.equal({
      roomMillis: 3000,
      freeMillis: 1000,
      largestFreeMillis: 1000,
      ahead: [{ priority: 0, waitMs: 1667, taskMillis: 1000 }],
      runTimes: [['i', 2000]]
    })
  })
})

describe('decideAdmission', () => {
  const backlogOf = (waitMs: number, more: Partial<Backlog> = {}): Backlog =>
    ({ roomMillis: ROOM_MILLIS, freeMillis: 0, largestFreeMillis: 0, ahead: [{ priority: 0, waitMs, taskMillis: 1000 }], runTimes: [], ...more })
  const inputOf = (input: Partial<AdmissionInput>): AdmissionInput =>
    ({ spec: specOf(), queue: QUEUE, backlog: backlogOf(100_000), ageMs: 0, random: 0.5, ...input })

  const schedule = { runs: 2, firstRunMs: NOW_MS, intervalMs: 1000 }
  const cases: ReadonlyArray<{ readonly name: string, readonly input: Partial<AdmissionInput>, readonly isAccepted: boolean }> = [
    { name: 'a job that would end too late', input: {}, isAccepted: false },
    { name: 'a job that may be of use with a little more room', input: { backlog: backlogOf(USEFUL_START_MS * 1.24) }, isAccepted: true },
    { name: 'a job that a little more room does not help', input: { backlog: backlogOf(USEFUL_START_MS * 1.27) }, isAccepted: false },
    { name: 'a job whose backlog has shrunk since', input: { backlog: backlogOf(USEFUL_START_MS * 1.27), ageMs: 1000 }, isAccepted: true },
    { name: 'a job of the same priority', input: { queue: { ...QUEUE, priority: 0 } }, isAccepted: true },
    { name: 'a lasting job', input: { spec: specOf({ isLasting: true }) }, isAccepted: true },
    { name: 'a filler', input: { spec: specOf({ isFiller: true }) }, isAccepted: true },
    { name: 'a scheduled job', input: { spec: specOf({}, { schedule }) }, isAccepted: true },
    { name: 'a job smaller than the tasks ahead', input: { spec: specOf({ cpuMillis: 999 }) }, isAccepted: true },
    {
      name: 'a job that learned run times show to be longer',
      input: { backlog: backlogOf(USEFUL_START_MS * 1.27, { runTimes: [['i', 5000]] }), spec: specOf({ image: 'i' }) },
      isAccepted: true
    },
    { name: 'a job without any room known', input: { backlog: backlogOf(0, { ahead: [], roomMillis: 0 }) }, isAccepted: true }
  ]
  for (const { name, input, isAccepted } of cases) {
    it(`${isAccepted ? 'accepts' : 'refuses'} ${name}`, () => {
      expect(decideAdmission(inputOf(input)).isAccepted).to.equal(isAccepted)
    })
  }

  const amount = fc.nat(1_000_000)
  const sizes = { cpuMillis: fc.integer({ min: 1, max: 4000 }), taskCount: fc.integer({ min: 1, max: 20 }), estimateMs: fc.nat(20_000) }
  const input = fc.record({ ...sizes, waitMs: amount, random: fc.double({ min: 0, max: 1, noNaN: true }) })

  it('never refuses a job that the room fits now', () => {
    fc.assert(fc.property(input, amount, ({ waitMs, random, ...step }, surplus) => {
      const backlog = backlogOf(waitMs, { freeMillis: step.cpuMillis * step.taskCount + surplus, largestFreeMillis: step.cpuMillis })
      expect(decideAdmission(inputOf({ spec: specOf(step), backlog, random })).isAccepted).to.equal(true)
    }))
  })

  it('lets callers return after whole seconds, and never later than a job is of use', () => {
    fc.assert(fc.property(input, ({ waitMs, random, ...step }) => {
      const decision = decideAdmission(inputOf({ spec: specOf(step), backlog: backlogOf(waitMs, { runTimes: [] }), random }))
      if (decision.isAccepted) return
      const pathMs = 3 * (step.estimateMs > 0 ? step.estimateMs : 1000)
      const usefulStartMs = 3 * (1.6 * pathMs + 600) - pathMs
      expect(decision.retryAfterMs % 1000).to.equal(0)
      expect(decision.retryAfterMs).to.be.within(1000, Math.max(1000, usefulStartMs))
    }))
  })
})

describe('admission under pressure', () => {
  for (const load of [0.8, 2.2, 4, 8]) {
    it(`refuses fewer than 1 in 100 that would have been of use at ${load} times the room`, () => {
      const refused = playFlood(load, false, 1).filter(({ isRefusedFirst }) => isRefusedFirst)
      expect(refused.length > 0).to.equal(load > 3)
      expect(refused.filter(({ endedMs, usefulUntilMs }) => endedMs <= usefulUntilMs).length).to.be.at.most(refused.length / 100)
    }).timeout(10_000)
  }

  for (const load of [2.2, 4, 8]) {
    it(`bounds the tries of callers at ${load} times the room, and spreads their returns`, () => {
      const offers = playFlood(load, true, 1)
      const tries = offers.reduce((sum, offer) => sum + offer.tries, 0)
      const delays = new Set(offers.flatMap(({ firstRetryAfterMs }) => firstRetryAfterMs ?? []))
      expect(tries / offers.length).to.be.below(1.5)
      expect(Math.max(...offers.map(({ tries: own }) => own))).to.be.at.most(6)
      if (load > 3) expect(delays.size).to.be.at.least(3)
    }).timeout(10_000)
  }
})
