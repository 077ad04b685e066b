import { expect } from 'chai'
import type { FleetConfiguration } from '@quillscale/ports'
import { createCrashRecord } from '../lib/jobs/CrashRecord.js'
import { createJob, type Job, type Run } from '../lib/jobs/JobState.js'
import { allTasks, tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { PlacementRound, type PlacementRoundOptions } from '../lib/placement/PlacementRound.js'
import { WorkerHealth } from '../lib/placement/WorkerHealth.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'
import { testJobId } from '../testing/testJobId.js'

const QUEUE = 'q'
const NOW_MS = 100_000
const CPU_MILLIS = 8000
/** Starts that may be under way in the tests of that limit. */
const MAX_STARTS_UNDER_WAY = 1000
const configuration: FleetConfiguration = {
  version: 1,
  maxBodyBytes: 1000,
  services: [{ name: 's', isHeadroom: false, refusesOverload: true, healthPath: '' }],
  queues: [{ name: QUEUE, host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 3, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000 }]
}

const jobOf = (number: number, steps: ReadonlyArray<Partial<StepSpec>>, submittedMs = 0): Job =>
  createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: QUEUE, command: '', submittedMs, steps: steps.map((step) => ({ taskCount: 2, cpuMillis: 1000, ...step })) }))

function workerOf (instanceId: string, coldUntilMs = -Infinity): WorkerView {
  const capacity = { cpuMillis: CPU_MILLIS, memoryMb: 10_000, gpus: 0 }
  return {
    instance: { instanceId, machineId: instanceId, service: 's', address: '10.0.0.1', port: 80, availabilityZone: 'z', state: 'ready', labels: ['a', instanceId], capacity },
    acceptsRuns: true,
    runs: new Map(),
    clock: { isKnown: true },
    health: new WorkerHealth(),
    refusingUntilMs: -Infinity,
    coldUntilMs,
    isRecordedSilent: false,
    isAnswering: () => true
  }
}

function roundOf (
  jobs: readonly Job[], links: readonly WorkerView[], runTimes = new RunTimeEstimator(), overrides: Partial<PlacementRoundOptions> = {}
): PlacementRound {
  return new PlacementRound({
    configuration,
    jobs,
    workerViews: links,
    runTimes,
    advice: { ticketsFor: () => undefined },
    accountQuotaOf: () => undefined,
    availability: { isMachineDraining: () => false, isEvacuated: () => false },
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    ...overrides
  })
}

/** Crash points of the first task of the first job, and the expected placements. */
const cases: ReadonlyArray<{
  readonly name: string
  readonly points: number
  /** Time since the last loss; giving up waits until related losses are detected. */
  readonly judgedAgoMs?: number
  readonly siblingPoints?: number
  readonly steps?: Partial<StepSpec>
  readonly workers: number
  /** Runs of the first job, and how many of its workers have runs of the second. */
  readonly expected: { readonly placed: number, readonly shared: number, readonly givenUp: number }
}> = [
  { name: 'no crash: workers are shared', points: 0, workers: 1, expected: { placed: 2, shared: 1, givenUp: 0 } },
  { name: 'one crash: the task gets a worker without other jobs', points: 2, workers: 2, expected: { placed: 2, shared: 0, givenUp: 0 } },
  { name: 'one crash and a single worker: it is reserved for the job', points: 2, workers: 1, expected: { placed: 2, shared: 0, givenUp: 0 } },
  { name: 'enough points: the task is given up and nothing of its job is placed', points: 5, workers: 2, expected: { placed: 0, shared: 0, givenUp: 1 } },
  {
    name: 'enough points, just detected: giving up waits, and so does another suspect task of the step',
    points: 5,
    judgedAgoMs: 10,
    siblingPoints: 4,
    workers: 2,
    expected: { placed: 0, shared: 0, givenUp: 0 }
  },
  { name: 'enough points, in a gang', points: 5, steps: { isGang: true }, workers: 2, expected: { placed: 0, shared: 0, givenUp: 1 } }
]

describe('PlacementRound, with a task that may crash its worker', () => {
  for (const { name, points, judgedAgoMs, siblingPoints = 0, steps = {}, workers, expected } of cases) {
    it(`places: ${name}`, () => {
      const jobs = [jobOf(1, [steps]), jobOf(2, [{ taskCount: 4 }])]
      const suspect = tasksOf(jobs[0] as Job, 0)[0]?.[0]
      if (suspect !== undefined) suspect.crashes = { ...createCrashRecord(points), lastLossMs: judgedAgoMs === undefined ? undefined : NOW_MS - judgedAgoMs }
      const sibling = tasksOf(jobs[0] as Job, 0)[0]?.[1]
      if (sibling !== undefined) sibling.crashes = createCrashRecord(siblingPoints)
      const round = roundOf(jobs, Array.from({ length: workers }, (_, index) => workerOf(`w${index}`)))
      const runs = round.place()
      const own = runs.filter(({ task }) => task.job === jobs[0])
      const others = new Set(runs.filter(({ task }) => task.job !== jobs[0]).map(({ instanceId }) => instanceId))
      const shared = new Set(own.map(({ instanceId }) => instanceId).filter((instanceId) => others.has(instanceId))).size
      expect({ placed: own.length, shared, givenUp: round.tasksToGiveUp.length }).to.deep.equal(expected)
    })
  }
})

/** Worker `w1` is cold and `w0` is warm; without a preference the first goes. Jobs are due at 0, so those with a late objective are past use. */
const preferences: ReadonlyArray<{ name: string, step: Partial<StepSpec>, submittedMs: number, coldIds?: readonly string[], expected: string }> = [
  { name: 'a task in time goes to the warm worker', step: {}, submittedMs: NOW_MS, expected: 'w0' },
  { name: 'a lasting task too', step: { isLasting: true }, submittedMs: NOW_MS, expected: 'w0' },
  { name: 'lasting tasks of a step are spread over both', step: { isLasting: true, taskCount: 2 }, submittedMs: NOW_MS, expected: 'w0 w1' },
  { name: 'one that nobody waits for goes to the first, cold or not', step: {}, submittedMs: 0, expected: 'w1' },
  { name: 'a filler too', step: { isLasting: true, isFiller: true }, submittedMs: NOW_MS, expected: 'w1' },
  { name: 'one whose data is near the cold worker goes there', step: { preferredRack: 'w1' }, submittedMs: NOW_MS, expected: 'w1' },
  { name: 'one that needs the cold worker goes there', step: { requiredLabel: 'w1' }, submittedMs: NOW_MS, expected: 'w1' },
  { name: 'with all workers cold the first goes', step: {}, submittedMs: NOW_MS, coldIds: ['w0', 'w1'], expected: 'w1' },
  { name: 'with all workers warm the first goes', step: {}, submittedMs: NOW_MS, coldIds: [], expected: 'w1' }
]

/** A run began 1000 ms ago; its image takes 100 ms, so that it is a straggler after 250 ms on a warm worker. */
const stragglers: ReadonlyArray<{ name: string, coldUntilMs: number, isSilent?: boolean, isCopied: boolean }> = [
  { name: 'on a worker that was never cold gets a copy', coldUntilMs: -Infinity, isCopied: true },
  { name: 'on a cold worker gets none', coldUntilMs: NOW_MS + 1, isCopied: false },
  { name: 'on a worker that is warm for less than that gets none', coldUntilMs: NOW_MS - 250, isCopied: false },
  { name: 'on a worker that is warm for longer gets a copy', coldUntilMs: NOW_MS - 251, isCopied: true },
  { name: 'on a silent cold worker gets a copy', coldUntilMs: NOW_MS + 1, isSilent: true, isCopied: true }
]

describe('PlacementRound, with workers that warm up', () => {
  for (const { name, step, submittedMs, coldIds = ['w1'], expected } of preferences) {
    it(`prefers: ${name}`, () => {
      const job = jobOf(1, [{ taskCount: 1, ...step }], submittedMs)
      const workers = ['w1', 'w0'].map((instanceId) => workerOf(instanceId, coldIds.includes(instanceId) ? NOW_MS + 1 : NOW_MS))
      expect(roundOf([job], workers).place().map(({ instanceId }) => instanceId).join(' ')).to.equal(expected)
    })
  }

  for (const { name, coldUntilMs, isSilent = false, isCopied } of stragglers) {
    it(`a late run ${name}`, () => {
      const job = jobOf(1, [{ taskCount: 1, allowsCopies: true, image: 'i' }])
      const runTimes = new RunTimeEstimator()
      runTimes.addSample(job.spec.steps[0] as StepSpec, 100)
      const [run] = roundOf([job], [workerOf('w0')]).place()
      Object.assign(run ?? {}, { phase: 'running', startedMs: NOW_MS - 1000, progressMs: NOW_MS - 10_000 })
      const worker: WorkerView = { ...workerOf('w0', coldUntilMs), isAnswering: () => !isSilent }
      expect(roundOf([job], [worker, workerOf('w1')], runTimes).place()).to.have.length(isCopied ? 1 : 0)
    })
  }
})

/** Tickets for worker `w1` of two, and where the task of a job goes whose queue was removed; its record tells whether the queue needed tickets. */
const removedQueues = [
  { name: 'that needed tickets: with a ticket', advice: { decisionMs: 5, perWorkerMs: 1, validMs: 3000 }, expected: ['w1 ticket'] },
  { name: 'that needed none: without', advice: undefined, expected: ['w0 undefined'] }
]

// A job got no tickets any more, and its later steps could not start, because its queue had been removed (review report).
describe('PlacementRound, with a job whose queue was removed', () => {
  for (const { name, advice, expected } of removedQueues) {
    it(`places a task of a queue ${name}`, () => {
      const job = jobOf(1, [{ taskCount: 1 }], NOW_MS)
      Object.assign(job.spec, { queueTerms: { priority: 0, attempts: 3, stretch: 2, targetLatencyMs: 100, advice } })
      const source = { ticketsFor: () => new Map([['w1', 'ticket']]) }
      const runs = roundOf([job], [workerOf('w0'), workerOf('w1')], undefined, { advice: source, configuration: { ...configuration, queues: [] } }).place()
      expect(runs.map(({ instanceId, ticket }) => `${instanceId} ${ticket}`)).to.deep.equal(expected)
    })
  }
})

/** A service with room for all tasks, in which placed runs stay in a phase until it is changed. */
class RoomyService {
  readonly workers: readonly WorkerView[] = ['w0', 'w1'].map((instanceId) => {
    const { instance, ...rest } = workerOf(instanceId)
    return { ...rest, instance: { ...instance, capacity: { cpuMillis: 1e7, memoryMb: 1e7, gpus: 0 } }, isAnswering: () => !this.silent.has(instanceId) }
  })

  readonly silent = new Set<string>()

  /** Places tasks. @param jobs - the jobs @returns the new runs */
  place (...jobs: Job[]): Run[] {
    const runs = roundOf(jobs, this.workers, undefined, { maxStartsUnderWay: MAX_STARTS_UNDER_WAY }).place()
    for (const run of runs) {
      const worker = this.workers.find(({ instance }) => instance.instanceId === run.instanceId)
      ;(worker?.runs as Map<string, Run>).set(`${run.taskKey}#${run.runNumber}`, run)
    }
    return runs
  }
}

describe('PlacementRound, with more tasks than a holder starts at once', () => {
  const many = 2 * MAX_STARTS_UNDER_WAY + 100
  const countOf = (runs: readonly Run[], job: Job): number => runs.filter(({ task }) => task.job === job).length

  // Guards against a large job whose placed runs fill the service while hardly any of them has started.
  it('places no more than that, and more once starts are answered', () => {
    const service = new RoomyService()
    const job = jobOf(1, [{ taskCount: many }, { taskCount: many }])
    const first = service.place(job)
    expect(first).to.have.length(MAX_STARTS_UNDER_WAY)
    expect(service.place(job)).to.have.length(0)
    for (const run of first) run.phase = 'starting'
    expect(service.place(job)).to.have.length(0)
    for (const run of first.slice(0, 300)) run.phase = 'running'
    for (const run of first.slice(300, 310)) run.phase = 'stopping'
    expect(service.place(job)).to.have.length(310)
  })

  it('places the more important tasks first, and others beside a large job that has waited too long', () => {
    const service = new RoomyService()
    const [large, ordinary] = [jobOf(1, [{ taskCount: many }]), jobOf(2, [{ taskCount: 4 }], NOW_MS)]
    const runs = service.place(large, ordinary)
    expect([countOf(runs, large), countOf(runs, ordinary)]).to.deep.equal([MAX_STARTS_UNDER_WAY - 4, 4])
  })

  // Guards against a large job of lasting tasks, or large gangs, whose starts hold up all others.
  it('places lasting tasks and gangs within it, too, and a gang as a whole', () => {
    const service = new RoomyService()
    const steps = [{ taskCount: many }, { isLasting: true, taskCount: many }, { isGang: true, taskCount: many }]
    const [large, lasting, gang] = steps.map((step, index) => jobOf(index + 1, [step])) as [Job, Job, Job]
    const underWay = service.place(large)
    const placed = (): number[] => {
      const runs = service.place(large, lasting, gang)
      return [large, lasting, gang].map((job) => countOf(runs, job))
    }
    expect(placed()).to.deep.equal([0, 0, 0])
    for (const run of underWay.splice(0, 2)) run.phase = 'running'
    expect(placed()).to.deep.equal([0, 2, 0])
    for (const run of underWay.splice(0, MAX_STARTS_UNDER_WAY / 2)) run.phase = 'running'
    expect(placed()).to.deep.equal([0, Math.floor(MAX_STARTS_UNDER_WAY / 3) - 2, many])
  })

  it('tells that tasks wait for starts, also those that are not created yet', () => {
    const service = new RoomyService()
    const isLimited = (taskCount: number): boolean => {
      const round = roundOf([jobOf(1, [{ taskCount }])], service.workers, undefined, { maxStartsUnderWay: MAX_STARTS_UNDER_WAY })
      round.place()
      return round.isStartLimited
    }
    expect([MAX_STARTS_UNDER_WAY, MAX_STARTS_UNDER_WAY + 1, many].map(isLimited)).to.deep.equal([false, true, true])
  })

  // Guards against rounds that take the longer, the more tasks of a job wait, until the host has lost the duty.
  it('creates no more tasks of a step than may start', () => {
    const service = new RoomyService()
    const job = jobOf(1, Array.from({ length: 5 }, () => ({ taskCount: 10_000 })))
    expect(service.place(job)).to.have.length(MAX_STARTS_UNDER_WAY)
    expect(service.place(job)).to.have.length(0)
    expect(allTasks(job).length).to.be.at.most(5 * 2 * MAX_STARTS_UNDER_WAY)
  })

  // Guards against large jobs that take each start that becomes free, as they go first.
  it('gives each job that waits a fair share of the starts, however large those before it are', () => {
    const service = new RoomyService()
    const [first, second, ordinary] = [many, many, 4].map((taskCount, index) => jobOf(index + 1, [{ taskCount }], NOW_MS)) as [Job, Job, Job]
    const underWay = service.place(first, second)
    expect([countOf(underWay, first), countOf(underWay, second)]).to.deep.equal([MAX_STARTS_UNDER_WAY / 2, MAX_STARTS_UNDER_WAY / 2])
    for (const run of underWay.splice(0, 4)) run.phase = 'running'
    const next = service.place(first, second, ordinary)
    expect([first, second, ordinary].map((job) => countOf(next, job))).to.deep.equal([0, 0, 4])
  })

  it('stops no runs for a lasting task that waits for a start, not for room', () => {
    const service = new RoomyService()
    const running = service.place(jobOf(1, [{ taskCount: 4 }]))
    for (const run of running) Object.assign(run, { phase: 'running' })
    service.place(jobOf(2, [{ taskCount: many }]))
    const lasting = jobOf(3, [{ isLasting: true, taskCount: 1 }])
    for (const task of tasksOf(lasting, 0).flat()) task.waitingSinceMs = 0
    const round = roundOf([lasting], service.workers, undefined, { maxStartsUnderWay: MAX_STARTS_UNDER_WAY })
    expect(round.place()).to.have.length(0)
    expect(round.isStartLimited).to.equal(true)
    expect(round.runsToStop).to.have.length(0)
  })

  it('does not count starts on workers that do not answer', () => {
    const service = new RoomyService()
    const job = jobOf(1, [{ taskCount: many }])
    const first = service.place(job)
    const silentId = first[0]?.instanceId ?? ''
    service.silent.add(silentId)
    const onSilent = first.filter(({ instanceId }) => instanceId === silentId).length
    expect(service.place(job)).to.have.length(onSilent)
  })

  // Guards against starts on workers that have just been cut off, which hold up those on all others.
  it('does not count starts that a worker has left unanswered while others answered, but does while none answers', () => {
    const service = new RoomyService()
    const job = jobOf(1, [{ taskCount: many }])
    const first = service.place(job)
    const ownId = first[0]?.instanceId
    let [ownSilenceMs, otherSilenceMs] = [600, 0]
    for (const worker of service.workers) Object.assign(worker, { silentForMs: () => worker.instance.instanceId === ownId ? ownSilenceMs : otherSilenceMs })
    for (const run of first) Object.assign(run, { placedMs: NOW_MS - 600 })
    expect(service.place(job), 'starts that wait for their record').to.have.length(0)
    for (const run of first) run.phase = 'starting'
    ownSilenceMs = 50
    expect(service.place(job), 'on a worker that answers').to.have.length(0)
    ownSilenceMs = otherSilenceMs = 600
    expect(service.place(job), 'while no worker answers').to.have.length(0)
    otherSilenceMs = 0
    expect(service.place(job)).to.have.length(first.length)
  })

  it('asks for the quota of tasks that it does not place', () => {
    const limit = { cpuMillis: 1e6, memoryMb: 1e6, gpus: 0 }
    const none = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
    const service = new RoomyService()
    service.place(jobOf(1, [{ taskCount: many }]))
    const spec = jobSpecSchema.parse({ jobId: testJobId(2), queue: QUEUE, command: '', submittedMs: 0, owner: { account: 'a', keyTag: '' }, steps: [{ taskCount: 3, cpuMillis: 1000 }] })
    const round = roundOf([createJob(spec)], service.workers, undefined, {
      maxStartsUnderWay: MAX_STARTS_UNDER_WAY, accountQuotaOf: () => ({ used: none, usable: none, limit })
    })
    expect(round.place()).to.have.length(0)
    expect([...round.quota.shortages.values()].map(({ wanted }) => wanted.cpuMillis)).to.deep.equal([3000])
  })
})
