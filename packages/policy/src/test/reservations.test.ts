import { expect } from 'chai'
import type { AccountName, FleetConfiguration } from '@quillscale/ports'
import { createCrashRecord } from '../lib/jobs/CrashRecord.js'
import { createJob, type Job, type Run, type Task } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { NO_RESOURCES } from '../lib/quotas/resources.js'
import { PlacementRound, type PlacementRoundOptions } from '../lib/placement/PlacementRound.js'
import { createTestWorker } from '../testing/createTestWorker.js'
import { testJobId } from '../testing/testJobId.js'

const QUEUE = 'q'
const ADVISED_QUEUE = 'advised'
const NOW_MS = 100_000
const CAPACITY = { cpuMillis: 16_000, memoryMb: 32_000, gpus: 1 }
const configuration: FleetConfiguration = {
  version: 1,
  maxBodyBytes: 1000,
  services: [{ name: 's', isHeadroom: false, refusesOverload: true, healthPath: '' }],
  queues: [QUEUE, ADVISED_QUEUE].map((name) => ({
    name,
    host: 'h',
    pathPrefix: '/',
    service: 's',
    priority: 0,
    attempts: 3,
    stretch: 2,
    targetLatencyMs: 100,
    timeoutMs: 3000,
    advice: name === ADVISED_QUEUE ? { decisionMs: 1, perWorkerMs: 1, validMs: 3000 } : undefined
  }))
}

type Worker = ReturnType<typeof createTestWorker>

function workersOf (count: number): Worker[] {
  return Array.from({ length: count }, (_, index) => {
    const worker = createTestWorker(CAPACITY.cpuMillis, `w${index}`)
    return { ...worker, instance: { ...worker.instance, capacity: CAPACITY, labels: ['a', `r${index}`] } }
  })
}

function jobOf (number: number, step: Partial<StepSpec>, queue = QUEUE, account?: AccountName): Job {
  const steps = [{ taskCount: 1, cpuMillis: 1000, memoryMb: 256, ...step }]
  const owner = account === undefined ? undefined : { account, keyTag: 't' }
  return createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue, owner, command: '', submittedMs: NOW_MS, steps }))
}

const tasksOfJob = (job: Job): readonly Task[] => tasksOf(job, 0)[0] ?? []

function roundOf (jobs: readonly Job[], workerViews: readonly Worker[], overrides: Partial<PlacementRoundOptions> = {}): PlacementRound {
  return new PlacementRound({
    configuration,
    jobs,
    workerViews,
    runTimes: new RunTimeEstimator(),
    advice: { ticketsFor: () => new Map() },
    accountQuotaOf: () => undefined,
    availability: { isMachineDraining: () => false, isEvacuated: () => false },
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    ...overrides
  })
}

/** Places the tasks of a job on workers, where they run. */
function run (job: Job, workers: readonly Worker[]): void {
  for (const placed of roundOf([job], workers).place()) {
    Object.assign(placed, { phase: 'running', startedMs: NOW_MS - 60_000, progressMs: NOW_MS })
    workers.find(({ instance }) => instance.instanceId === placed.instanceId)?.runs.set(`${placed.taskKey}#1`, placed as Run)
  }
}

const placedOf = (job: Job): number => tasksOfJob(job).filter(({ runs }) => runs.length > 0).length

/** Tasks that can't run however long they wait, beside small tasks for which there is room. */
const hopeless: ReadonlyArray<{ readonly name: string, readonly step: Partial<StepSpec>, readonly running?: Partial<StepSpec>, readonly queue?: string }> = [
  { name: 'that need more memory than any worker has', step: { memoryMb: 64_000 } },
  { name: 'that need more CPU than any worker has', step: { cpuMillis: 17_000 } },
  { name: 'that need more GPUs than any worker has', step: { gpus: 2 } },
  { name: 'that need a label that no worker has', step: { requiredLabel: 'b', cpuMillis: 16_000 } },
  { name: 'that need tickets and get none', step: { cpuMillis: 16_000 }, queue: ADVISED_QUEUE },
  { name: 'that need a whole worker, where each has a lasting task', step: { memoryMb: 32_000 }, running: { taskCount: 2, isLasting: true, maxPerWorker: 1 } },
  { name: 'that need a GPU, where lasting tasks have them all', step: { gpus: 1 }, running: { taskCount: 2, gpus: 1, isLasting: true } },
  { name: 'in a gang that needs more workers than there are', step: { isGang: true, taskCount: 3, cpuMillis: 16_000 } }
]

// A lasting job that asked for more memory than any worker has stopped all other jobs of its service, beside nearly empty workers (review/1).
describe('lasting tasks that cannot run', () => {
  for (const { name, step, running, queue } of hopeless) {
    for (const isSuspect of [false, true]) {
      it(`${name} keep no room from others${isSuspect ? ', also if they may crash workers' : ''}`, () => {
        const workers = workersOf(isSuspect ? 1 : 2)
        if (running !== undefined) run(jobOf(9, running), workers)
        const large = jobOf(1, { taskCount: 5, isLasting: true, ...step }, queue)
        if (isSuspect) for (const task of tasksOfJob(large)) task.crashes = createCrashRecord(2)
        const lasting = jobOf(2, { isLasting: true })
        const small = jobOf(3, { taskCount: 8 })
        roundOf([large, lasting, small], workers).place()
        expect({ large: placedOf(large), lasting: placedOf(lasting), small: placedOf(small) }).to.deep.equal({ large: 0, lasting: 1, small: 8 })
      })
    }
  }

  it('of a step that already has all the runs that may share a worker keep no room from others', () => {
    const workers = workersOf(2)
    const spread = jobOf(1, { taskCount: 6, cpuMillis: 1000, isLasting: true, maxPerWorker: 1 })
    run(spread, workers)
    const small = jobOf(3, { taskCount: 20 })
    roundOf([spread, small], workers).place()
    expect({ spread: placedOf(spread), small: placedOf(small) }).to.deep.equal({ spread: 2, small: 20 })
  })

  it('hold no quota of their account', () => {
    const account = 'press' as AccountName
    const quota = { used: NO_RESOURCES, usable: NO_RESOURCES, limit: { cpuMillis: 1e6, memoryMb: 1e6, gpus: 9 } }
    const round = roundOf([jobOf(1, { memoryMb: 64_000, isLasting: true }, QUEUE, account)], workersOf(2), { accountQuotaOf: () => quota })
    round.place()
    expect([...round.quota.shortages]).to.deep.equal([])
  })

  it('are not asked advice for', () => {
    let calls = 0
    const advice = { ticketsFor: () => { calls++; return undefined } }
    roundOf([jobOf(1, { memoryMb: 64_000, isLasting: true }, ADVISED_QUEUE)], workersOf(2), { advice }).place()
    expect(calls).to.equal(0)
  })
})

/** Tasks that fit once the finite runs of a worker have ended; both workers are full of such runs but for 6 cores. */
const reserving: ReadonlyArray<{ readonly name: string, readonly step: Partial<StepSpec>, readonly placedSmall: number }> = [
  { name: 'more CPU than is free', step: { cpuMillis: 8000 }, placedSmall: 6 },
  { name: 'more memory than is free', step: { memoryMb: 30_000 }, placedSmall: 6 },
  { name: 'a worker for itself', step: CAPACITY, placedSmall: 6 },
  { name: 'more than any worker has', step: { memoryMb: 33_000 }, placedSmall: 12 }
]

describe('a lasting task that fits once finite runs have ended', () => {
  for (const { name, step, placedSmall } of reserving) {
    it(`and needs ${name}: ${placedSmall} of the 12 free cores go to others`, () => {
      const workers = workersOf(2)
      run(jobOf(9, { taskCount: 20, memoryMb: 1024, maxPerWorker: 10 }), workers)
      const small = jobOf(3, { taskCount: 20 })
      roundOf([jobOf(1, { isLasting: true, ...step }), small], workers).place()
      expect(placedOf(small)).to.equal(placedSmall)
    })
  }
})

/** Both workers are full of finite runs, the second one has a GPU and the label `b`. */
const preempting: ReadonlyArray<{
  readonly name: string, readonly first?: Partial<StepSpec>, readonly step: Partial<StepSpec>, readonly expected: readonly string[]
}> = [
  { name: 'only on a worker with its label', step: { requiredLabel: 'b' }, expected: ['w1'] },
  { name: 'only on a worker with the GPUs that it needs', step: { gpus: 1 }, expected: ['w1'] },
  { name: 'on no worker if none can hold it', step: { gpus: 2 }, expected: [] },
  { name: 'although an earlier one can run on no worker', first: { requiredLabel: 'c' }, step: {}, expected: ['w0'] },
  { name: 'although an earlier one has no room beside lasting tasks', first: { memoryMb: 32_000 }, step: {}, expected: ['w0'] }
]

// One lasting task that could not run kept all others from preempting, and runs were stopped on workers where the waiting task could not run.
describe('a lasting task that waits preempts', () => {
  for (const { name, first, step, expected } of preempting) {
    it(name, () => {
      const workers = workersOf(2).map((worker, index): Worker => ({
        ...worker,
        instance: { ...worker.instance, labels: [index === 1 ? 'b' : 'a', `r${index}`], capacity: { ...CAPACITY, gpus: index } }
      }))
      run(jobOf(8, { taskCount: 2, isLasting: true, maxPerWorker: 1 }), workers)
      run(jobOf(9, { taskCount: 30 }), workers)
      const jobs = [...(first === undefined ? [] : [jobOf(1, { isLasting: true, ...first })]), jobOf(2, { isLasting: true, ...step })]
      for (const task of jobs.flatMap(tasksOfJob)) task.waitingSinceMs = NOW_MS - 10_000
      const round = roundOf(jobs, workers)
      round.place()
      expect(round.runsToStop.map(({ instanceId }) => instanceId)).to.deep.equal(expected)
    })
  }
})

/** What keeps the workers from a task: `w0` has a GPU run that lasts, `w1` is full of finite runs. */
const obstacles: ReadonlyArray<{ readonly name: string, readonly step: Partial<StepSpec>, readonly queue?: string, readonly expected: object }> = [
  { name: 'its label', step: { requiredLabel: 'b' }, expected: { reason: 'workers', workers: { label: 2 } } },
  { name: 'its memory', step: { memoryMb: 64_000 }, expected: { reason: 'workers', workers: { memory: 2 } } },
  { name: 'lasting runs and finite ones', step: { gpus: 1, cpuMillis: 2000 }, expected: { reason: 'workers', workers: { 'lasting-runs': 1, full: 1 } } },
  { name: 'missing tickets', step: {}, queue: ADVISED_QUEUE, expected: { reason: 'workers', workers: { ticket: 2 } } },
  { name: 'a gang that does not fit', step: { isGang: true, taskCount: 17 }, expected: { reason: 'workers', workers: { others: 1, full: 1 } } }
]

describe('a task that waits is explained', () => {
  for (const { name, step, queue, expected } of obstacles) {
    it(`by ${name}`, () => {
      const workers = workersOf(2)
      run(jobOf(8, { isLasting: true, gpus: 1, requiredLabel: 'r0' }), workers)
      run(jobOf(9, { taskCount: 16, requiredLabel: 'r1' }), workers)
      const job = jobOf(1, step, queue)
      for (const task of tasksOfJob(job)) task.waitingSinceMs = NOW_MS - 5000
      const round = roundOf([job], workers)
      round.place()
      const [unplaced] = round.listUnplaced(3000, 10)
      expect(unplaced).to.deep.include({ ...expected, waitedMs: 5000 })
      expect(round.listUnplaced(6000, 10)).to.deep.equal([])
    })
  }
})
