import { expect } from 'chai'
import type { FleetConfiguration } from '@quillscale/ports'
import { createJob, type Job, type Run } from '../lib/jobs/JobState.js'
import { allTasks, createTasks } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type JobSpec, type StepSpec } from '../lib/jobs/JobSpec.js'
import { StartBudget } from '../lib/placement/StartBudget.js'
import { createTestWorker } from '../testing/createTestWorker.js'
import { playRound } from '../testing/playRound.js'
import { testJobId } from '../testing/testJobId.js'

const WALL_MS = 1e12
const MAX_STARTS_UNDER_WAY = 20
const ROUNDS = 5
const WORKERS = 4
const CPU_MILLIS = 8000
const configuration: FleetConfiguration = {
  version: 1,
  maxBodyBytes: 1000,
  services: [{ name: 's', isHeadroom: false, refusesOverload: true, healthPath: '' }],
  queues: [{ name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 3, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000 }]
}

const jobOf = (number: number, steps: ReadonlyArray<Partial<StepSpec>>, schedule?: JobSpec['schedule']): Job => createJob(jobSpecSchema.parse({
  jobId: testJobId(number), queue: 'q', command: '', submittedMs: WALL_MS - 1000, schedule, steps: steps.map((step) => ({ cpuMillis: 1000, estimateMs: 1000, ...step }))
}))

/** Plays some placement rounds in which no run ends, and returns the runs. */
function playRounds (jobs: readonly Job[]): Run[] {
  const workers = Array.from({ length: WORKERS }, (_, index) => createTestWorker(CPU_MILLIS, `w${index}`))
  return Array.from({ length: ROUNDS }, (_, round) =>
    playRound({ configuration, jobs, workers, maxStartsUnderWay: MAX_STARTS_UNDER_WAY, nowMs: 1000 * round, wallMs: WALL_MS + 1000 * round }).runs).flat()
}

/** Work that waits, in sizes that grow tenfold; `ready` is the number of its ready steps. */
const forms: ReadonlyArray<{ readonly name: string, readonly ready: number, readonly jobs: (size: number) => Job[] }> = [
  { name: 'lasting tasks that no worker can run', ready: 40, jobs: (size) => [1, 2, 3, 4].map((number) => jobOf(number, Array.from({ length: 10 }, () => ({ taskCount: size, isLasting: true, requiredLabel: 'none' })))) },
  { name: 'lasting tasks beyond the room', ready: 4, jobs: (size) => [1, 2, 3, 4].map((number) => jobOf(number, [{ taskCount: size, isLasting: true }])) },
  { name: 'fillers beyond the starts', ready: 4, jobs: (size) => [1, 2, 3, 4].map((number) => jobOf(number, [{ taskCount: size, isLasting: true, isFiller: true }])) },
  { name: 'gangs that do not fit', ready: 40, jobs: (size) => [1, 2, 3, 4].map((number) => jobOf(number, Array.from({ length: 10 }, () => ({ taskCount: size, isGang: true })))) },
  { name: 'gangs that do not fit on one rack', ready: 10, jobs: (size) => [jobOf(1, Array.from({ length: 10 }, () => ({ taskCount: size, isGang: true, wantsOneRack: true })))] },
  { name: 'finite tasks beyond the room', ready: 4, jobs: (size) => [1, 2, 3, 4].map((number) => jobOf(number, [{ taskCount: size }])) }
]

/** Due times of scheduled jobs, in sizes that grow tenfold. */
const scheduled = (size: number, intervalMs: number): JobSpec['schedule'] => ({ runs: size, firstRunMs: WALL_MS - 1e9, intervalMs })
const times: ReadonlyArray<{ readonly name: string, readonly jobs: (size: number) => Job[] }> = [
  { name: 'all of them long ago', jobs: (size) => [jobOf(1, [{ taskCount: 1 }], scheduled(size, 1))] },
  { name: 'all at one time', jobs: (size) => [jobOf(1, [{ taskCount: 1 }], scheduled(size, 0))] },
  { name: 'up to now', jobs: (size) => [jobOf(1, [{ taskCount: 1 }, { taskCount: 2, dependsOn: [0] }], scheduled(Math.floor(size / 3), 3e9 / size))] },
  { name: 'of several jobs', jobs: (size) => [1, 2, 3, 4, 5].map((number) => jobOf(number, [{ taskCount: 1 }, { taskCount: 1 }], scheduled(size / 5, 1))) },
  { name: 'of lasting tasks that do not fit', jobs: (size) => [jobOf(1, [{ taskCount: 1, isLasting: true, requiredLabel: 'none' }], scheduled(size, 1))] },
  { name: 'of gangs that do not fit', jobs: (size) => [jobOf(1, [{ taskCount: 100, isGang: true }], scheduled(size / 100, 1))] }
]

describe('work that waits', () => {
  for (const { name, jobs } of times) {
    // Guards against a holder that visits each due time in each round, until it has lost the duty.
    it(`takes no visit of each of 1,000, 10,000 and 100,000 due times: ${name}`, () => {
      for (const size of [1000, 10_000, 100_000]) {
        const waiting = jobs(size)
        let looks = 0
        for (const job of waiting) {
          const { spec: { schedule } } = job
          // Each look at the time at which an occurrence is due asks for the interval.
          const intervalMs = schedule?.intervalMs ?? 0
          if (schedule !== undefined) Object.defineProperty(schedule, 'intervalMs', { get: () => { looks++; return intervalMs } })
        }
        const runs = playRounds(waiting)
        expect(looks, `${size}`).to.be.at.most(40 * (ROUNDS * waiting.length + runs.length))
        expect(waiting.flatMap((job) => [...job.occurrences]).length, `${size}`).to.be.at.most(runs.length)
      }
    })
  }

  // Guards against a list from a caller that is passed as arguments, of which there may be only some 120,000.
  it('is placed whatever a step depends on, and however often it says so', () => {
    const job = jobOf(1, [{ taskCount: 1 }, { taskCount: 1, dependsOn: Array.from({ length: 200_000 }, () => 0) }])
    expect(job.spec.steps[1]?.dependsOn).to.deep.equal([0])
    const old = jobOf(2, [{ taskCount: 1 }, { taskCount: 1 }])
    old.spec.steps[1]!.dependsOn = Array.from({ length: 200_000 }, () => 0)
    expect(playRounds([job, old, jobOf(3, [{ taskCount: 1 }])])).to.have.length(3)
  })

  // Guards against one job that throws in each round and stops all others of its service.
  it('is placed beside a job that cannot be', () => {
    const broken = jobOf(1, [{ taskCount: 1 }])
    Object.defineProperty(broken.spec, 'steps', { get: () => { throw new RangeError('broken') } })
    expect(playRounds([broken, jobOf(2, [{ taskCount: 1 }])])).to.have.length(1)
  })

  // Guards against tasks without any demand, which fit everywhere, until their runs take all memory of the holder.
  it('that needs no resources leaves room for runs of others, in any number of jobs', () => {
    const flood = Array.from({ length: 4 }, (_, index) => jobOf(index + 1, [{ taskCount: 10_000, cpuMillis: 0, isLasting: true }]))
    const runsOf = new Map(flood.map((job) => [job, 3900]))
    const groups = flood.map((job) => ({ tasks: createTasks(job, 0, 0, 1), further: { count: 9999, create: () => undefined }, mayReserve: true }))
    const budget = new StartBudget(1000, new Map(), groups, { most: 20_000, runsOf })
    expect(groups.map((group) => budget.admit(group))).to.deep.equal([250, 250, 250, 250])
    const ordinary = jobOf(9, [{ taskCount: 10 }])
    const full = new StartBudget(1000, new Map(), groups, { most: 20_000, runsOf: new Map(flood.map((job) => [job, 4000])) })
    expect(groups.map((group) => full.admit(group))).to.deep.equal([0, 0, 0, 0])
    expect(full.admit({ tasks: createTasks(ordinary, 0, 0, 10), mayReserve: false })).to.equal(1000)
  })

  // Guards against a round that visits each ready step of all jobs, until the holder has lost the duty.
  it('has ready steps that take turns, and all get theirs', () => {
    const last = 9000
    const waiting = [1, 2, 3].map((number) => jobOf(number, Array.from({ length: last }, (_, index) => ({ taskCount: 1, cpuMillis: 500, requiredLabel: index === last - 1 ? '' : 'none' }))))
    const placed: Run[] = []
    for (let rounds = 0; rounds < 2; rounds++) for (const run of playRounds(waiting)) placed.push(run)
    expect(placed.map(({ task }) => task.stepIndex)).to.deep.equal([last - 1, last - 1, last - 1])
    const ordinary = jobOf(4, [{ taskCount: 1 }])
    expect(playRounds([...[5, 6, 7].map((number) => jobOf(number, waiting[0]!.spec.steps)), ordinary]).some(({ task }) => task.job === ordinary)).to.equal(true)
  })

  // Guards against a round that visits all steps of each due time that has begun, until the holder has lost the duty.
  it('has due times that have begun and take turns, and all get theirs', () => {
    const steps = Array.from({ length: 1000 }, (_, index) => ({ taskCount: 1, cpuMillis: 0, dependsOn: index === 0 ? [] : [index - 1] }))
    for (const [count, begun] of [[1, 10], [1, 100], [10, 100]] as const) {
      let looks = 0
      const waiting = Array.from({ length: count }, (_, number) => jobOf(number + 1, steps, scheduled(begun, 1)))
      for (const job of waiting) {
        for (let occurrence = 0; occurrence < begun; occurrence++) createTasks(job, occurrence, 0, 1)[0]!.isDone = true
        for (const step of job.spec.steps) {
          const { dependsOn } = step
          Object.defineProperty(step, 'dependsOn', { get: () => { looks++; return dependsOn } })
        }
      }
      const startedBefore = looks
      const placed = playRounds(waiting)
      expect((looks - startedBefore) / ROUNDS, `${count} x ${begun}`).to.be.at.most(4 * 200_000)
      // A round starts as many as may be under way, and begins with others each time.
      expect(new Set(placed.map(({ task }) => `${task.job.spec.jobId} ${task.occurrence}`)).size, `${count} x ${begun}`).to.equal(Math.min(count * begun, ROUNDS * MAX_STARTS_UNDER_WAY))
      expect(placed.every(({ task }) => task.stepIndex === 1)).to.equal(true)
    }
  })

  it('starts due times beside each other, the oldest of a tier first', () => {
    const runs = playRounds([jobOf(1, [{ taskCount: 2 }], scheduled(1000, 1))])
    expect(runs).to.have.length(32)
    expect([...new Set(runs.map(({ task }) => task.occurrence))]).to.deep.equal(Array.from({ length: 16 }, (_, occurrence) => occurrence))
    const [first] = playRounds([jobOf(1, [{ taskCount: 1 }], scheduled(50_001, 2e4))])
    expect(first?.task.occurrence).to.equal(50_000)
  })

  for (const { name, ready, jobs } of forms) {
    // Guards against a holder that keeps an object for each task of each accepted job, until it runs out of memory.
    it(`takes no task of its own for each of 100, 1,000 and 10,000 in a step: ${name}`, () => {
      for (const size of [100, 1000, 10_000]) {
        const waiting = jobs(size)
        const runs = playRounds(waiting)
        expect(waiting.flatMap(allTasks).length, `${size}`).to.be.at.most(ready + runs.length)
        expect(runs.length, `${size}`).to.be.at.most(ROUNDS * MAX_STARTS_UNDER_WAY)
      }
    })
  }

  it('starts as far as there is room and starts', () => {
    expect(playRounds([jobOf(1, [{ taskCount: 1000, isLasting: true }])])).to.have.length(32)
    expect(playRounds([jobOf(1, [{ taskCount: 30, isGang: true }])])).to.have.length(30)
    expect(playRounds([jobOf(1, [{ taskCount: 7 }]), jobOf(2, [{ taskCount: 9, isLasting: true }])])).to.have.length(16)
  })
})
