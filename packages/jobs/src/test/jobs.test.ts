import { expect } from 'chai'
import fc from 'fast-check'
import { createHostId } from '@quillscale/model'
import { isPlaced, jobSubmissionSchema, type Job } from '../lib/JobsDocument.js'
import { planJobs, type JobWorker, type JobsPlanningContext } from '../lib/planJobs.js'
import { applyRunReport, type RunReport } from '../lib/applyRunReport.js'
import { JobSizeEstimator } from '../lib/JobSizeEstimator.js'
import { WorkerHealth } from '../lib/WorkerHealth.js'

const HOST = createHostId('h0')

function job (jobId: string, changes: Partial<Job> = {}): Job {
  const submission = jobSubmissionSchema.parse({ team: 't', command: 'x' })
  return { ...submission, jobId, state: 'queued', submittedMs: 0, sinceMs: 0, attempt: 0, failedOn: [], lostRuns: 0, ...changes }
}

describe('applyRunReport', () => {
  const running = job('a', { state: 'running', hostId: HOST, attempt: 1, sinceMs: 1000 })
  const cases: Array<[string, Job, RunReport, number, Job['state']]> = [
    ['a report that the run is done', running, { state: 'done' }, 2000, 'done'],
    ['a refusal', { ...running, state: 'starting' }, { state: 'refused' }, 2000, 'queued'],
    ['a failure', running, { state: 'failed' }, 2000, 'queued'],
    ['a failure of an at-most-once job', { ...running, atMostOnce: true }, { state: 'failed' }, 2000, 'failed'],
    ['a failure on the third host', { ...running, failedOn: ['x', 'y'] }, { state: 'failed' }, 2000, 'failed'],
    ['an unresponsive worker within the lease', running, { state: 'silent' }, 10_900, 'running'],
    ['an unresponsive worker after the lease', running, { state: 'silent' }, 12_000, 'queued'],
    ['an unresponsive worker after the lease of an at-most-once job', { ...running, atMostOnce: true }, { state: 'silent' }, 12_000, 'lost'],
    ['a worker that does not know the starting run yet', { ...running, state: 'starting' }, { state: 'unknown-task' }, 2000, 'starting'],
    ['a worker that has lost the run', running, { state: 'unknown-task' }, 2000, 'queued'],
    ['an unresponsive worker after four lost runs', { ...running, lostRuns: 4 }, { state: 'silent' }, 12_000, 'failed'],
    ['an unresponsive worker after four lost runs of an at-most-once job', { ...running, lostRuns: 4, atMostOnce: true }, { state: 'silent' }, 12_000, 'lost'],
    ['a worker that has lost the run after four lost runs', { ...running, lostRuns: 4 }, { state: 'unknown-task' }, 2000, 'failed']
  ]
  for (const [name, before, report, nowMs, state] of cases) {
    it(`handles ${name}`, () => expect(applyRunReport(before, report, { nowMs, leaseMs: 10_000, lastAnswerMs: 1500, lastListedMs: undefined, areOthersLost: false }).state).to.equal(state))
  }
})

describe('a job that loses its workers', () => {
  const RUN_MS = 12_000
  const LEASE_MS = 10_000
  const run = { hostId: HOST, state: 'running' as const, sinceMs: 0 }
  const loseRun = (before: Job): Job => applyRunReport({ ...before, ...run }, { state: 'silent' }, { nowMs: RUN_MS, leaseMs: LEASE_MS, lastAnswerMs: 0, lastListedMs: undefined, areOthersLost: false })

  it('is given up after five lost runs in a row', () => {
    let current = job('a')
    let runs = 0
    for (; current.state === 'queued' && runs < 20; runs++) current = loseRun(current)
    expect([current.state, runs]).to.deep.equal(['failed', 5])
    expect(current.reason).to.include('its worker was lost 5 times')
  })

  const excuseCases: Array<[name: string, lastListedMs: number | undefined, areOthersLost: boolean, runs: number]> = [
    ['five, if it survived its start but no others are lost', 5000, false, 5],
    ['five, if others are lost but it is not known to have survived its start', undefined, true, 5],
    ['five, if others are lost and it was listed at its start only', 900, true, 5],
    ['fifteen, if others are lost and it survived its start', 1000, true, 15]
  ]
  for (const [name, lastListedMs, areOthersLost, expectedRuns] of excuseCases) {
    it(`is given up after so many lost runs in a row: ${name}`, () => {
      let current = job('a')
      let runs = 0
      for (; current.state === 'queued' && runs < 30; runs++) {
        current = applyRunReport({ ...current, ...run }, { state: 'silent' }, { nowMs: RUN_MS, leaseMs: LEASE_MS, lastAnswerMs: 0, lastListedMs, areOthersLost })
      }
      expect([current.state, runs]).to.deep.equal(['failed', expectedRuns])
    })
  }

  it('is not given up if its workers are lost long after its start', () => {
    let current = job('a')
    for (let runs = 0; runs < 20; runs++) {
      const survived = applyRunReport({ ...current, ...run }, { state: 'running' }, { nowMs: 60_000, leaseMs: LEASE_MS, lastAnswerMs: 60_000, lastListedMs: 60_000, areOthersLost: false })
      current = loseRun(survived)
    }
    expect(current.state).to.equal('queued')
  })
})

describe('JobSizeEstimator', () => {
  it('learns the actual usage of jobs of a kind', () => {
    const estimator = new JobSizeEstimator()
    for (let count = 0; count < 60; count++) estimator.addSample('t', 'k', 2, 8)
    expect(estimator.estimate('t', 'k', 2)).to.be.within(7, 8)
  })

  it('does not change an estimate for a single outlier', () => {
    const estimator = new JobSizeEstimator()
    estimator.addSample('t', 'k', 4, 400)
    expect(estimator.estimate('t', 'k', 4)).to.equal(4)
  })
})

describe('WorkerHealth', () => {
  it('quarantines a worker on which different jobs fail in a row', () => {
    const health = new WorkerHealth()
    for (const jobId of ['a', 'b', 'c']) health.failed(HOST, jobId, false, 0)
    expect([health.isQuarantined(HOST, 1), health.isQuarantined(HOST, 120_001)]).to.deep.equal([true, false])
  })

  it('ignores jobs that also fail elsewhere, and repeated failures of the same job', () => {
    const health = new WorkerHealth()
    for (const jobId of ['a', 'b', 'c', 'd']) health.failed(HOST, jobId, true, 0)
    for (let count = 0; count < 5; count++) health.failed(HOST, 'e', false, 0)
    expect(health.isQuarantined(HOST, 1)).to.equal(false)
  })
})

describe('planJobs', () => {
  const workers = Array.from({ length: 3 }, (_, index): JobWorker => ({ hostId: createHostId(`h${index}`), labels: {}, slots: 4, isSchedulable: index !== 2 }))
  const context: JobsPlanningContext = { sizeOf: ({ slots }) => slots, quotaOf: () => 6, weightOf: () => 1 }
  const hostsOf = (jobs: readonly Job[], hosts: number, nowMs: number): string[] =>
    planJobs(jobs, workers.slice(0, hosts), context, nowMs).start.map(({ hostId }) => hostId)
  const failureCases: Array<[name: string, failedOn: string[], hosts: number, failedAgoMs: number, expected: string[]]> = [
    ['on a worker on which it has not failed', ['h0'], 2, 0, ['h1']],
    ['on no worker right after it has failed on all', ['h0', 'h1'], 2, 59_999, []],
    ['on a worker again a while after it has failed on all', ['h0', 'h1'], 2, 60_000, ['h0']],
    ['on no worker while one that cannot be used now has not failed it', ['h0', 'h1'], 3, 60_000, []]
  ]
  for (const [name, failedOn, hosts, failedAgoMs, expected] of failureCases) {
    it(`starts a job ${name}`, () => {
      expect(hostsOf([job('a', { failedOn, sinceMs: 1000 })], hosts, 1000 + failedAgoMs)).to.deep.equal(expected.map(createHostId))
    })
  }

  const jobArbitrary = fc.record({
    team: fc.constantFrom('a', 'b'),
    slots: fc.integer({ min: 1, max: 4 }),
    priority: fc.constantFrom('urgent' as const, 'normal' as const, 'batch' as const),
    state: fc.constantFrom('queued' as const, 'queued' as const, 'cancelled' as const, 'done' as const)
  })
  const seed = Number(process.env.FUZZ_SEED ?? 20261202)

  function apply (jobs: readonly Job[], planningWorkers: readonly JobWorker[]): Job[] {
    const plan = planJobs(jobs, planningWorkers, context, 100)
    return jobs.map((one) => {
      const start = plan.start.find(({ jobId }) => jobId === one.jobId)
      const isPreempted = plan.preempt.some(({ jobId }) => jobId === one.jobId)
      if (isPreempted) return { ...one, state: 'queued' as const, hostId: undefined }
      return start === undefined ? one : { ...one, state: 'running' as const, hostId: start.hostId, attempt: one.attempt + 1 }
    })
  }

  function check (jobs: readonly Job[]): void {
    for (const worker of workers) {
      const used = jobs.filter((one) => isPlaced(one) && one.hostId === worker.hostId).reduce((sum, { slots }) => sum + slots, 0)
      expect(used, worker.hostId).to.be.at.most(worker.isSchedulable ? worker.slots : 0)
    }
    for (const team of ['a', 'b']) {
      expect(jobs.filter((one) => isPlaced(one) && one.team === team).reduce((sum, { slots }) => sum + slots, 0), team).to.be.at.most(6)
    }
  }

  const limitsHold = (planningWorkers: readonly JobWorker[]): fc.IProperty<[Array<Array<Pick<Job, 'team' | 'slots' | 'priority' | 'state'>>>]> =>
    fc.property(fc.array(fc.array(jobArbitrary, { maxLength: 6 }), { minLength: 1, maxLength: 6 }), (rounds) => {
      let jobs: Job[] = []
      rounds.forEach((arriving, round) => {
        jobs = apply([...jobs, ...arriving.map((one, index) => job(`${round}-${index}`, one))], planningWorkers)
        check(jobs)
        for (const one of jobs) if (one.state === 'running') expect(one.attempt).to.be.at.least(1)
      })
    })

  it('never exceeds the slots of a worker or a quota, nor starts ended jobs', () => {
    fc.assert(limitsHold(workers), { seed, numRuns: 500 })
  })

  it('fails the property when it may use an unschedulable worker', () => {
    expect(fc.check(limitsHold(workers.map((worker) => ({ ...worker, isSchedulable: true }))), { seed, numRuns: 500 }).failed).to.equal(true)
  })
})
