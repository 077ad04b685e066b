import { expect } from 'chai'
import type { FleetConfiguration } from '@quillscale/ports'
import { createCrashRecord } from '../lib/jobs/CrashRecord.js'
import { createJob, tasksOf, type Job } from '../lib/jobs/JobState.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { PlacementRound } from '../lib/placement/PlacementRound.js'
import { WorkerHealth } from '../lib/placement/WorkerHealth.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'
import { testJobId } from './testJobId.js'

const QUEUE = 'q'
const NOW_MS = 100_000
const CPU_MILLIS = 8000
const configuration: FleetConfiguration = {
  version: 1,
  maxBodyBytes: 1000,
  services: [{ name: 's', isHeadroom: false, refusesOverload: true, healthPath: '' }],
  queues: [{ name: QUEUE, host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 3, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000 }]
}

const jobOf = (number: number, steps: ReadonlyArray<Partial<StepSpec>>): Job =>
  createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: QUEUE, command: '', submittedMs: 0, steps: steps.map((step) => ({ taskCount: 2, cpuMillis: 1000, ...step })) }))

function workerOf (instanceId: string): WorkerView {
  const capacity = { cpuMillis: CPU_MILLIS, memoryMb: 10_000, gpus: 0 }
  return {
    instance: { instanceId, machineId: instanceId, service: 's', address: '10.0.0.1', port: 80, availabilityZone: 'z', state: 'ready', labels: ['a', instanceId], capacity },
    acceptsRuns: true,
    runs: new Map(),
    clock: { isKnown: true },
    health: new WorkerHealth(),
    refusingUntilMs: -Infinity,
    isRecordedSilent: false,
    isAnswering: () => true
  }
}

function roundOf (jobs: readonly Job[], links: readonly WorkerView[]): PlacementRound {
  return new PlacementRound({
    configuration,
    jobs,
    workerViews: links,
    runTimes: new RunTimeEstimator(),
    advice: { ticketsFor: () => undefined },
    accountQuotaOf: () => undefined,
    availability: { isMachineDraining: () => false, isEvacuated: () => false },
    nowMs: NOW_MS,
    wallMs: NOW_MS
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
