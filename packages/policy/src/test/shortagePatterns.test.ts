import { expect } from 'chai'
import { SeededRandom } from '@quillscale/utils'
import type { FleetConfiguration } from '@quillscale/ports'
import { createJob, isJobDone, stepOf, type Job, type Run } from '../lib/jobs/JobState.js'
import { jobSpecSchema } from '../lib/jobs/JobSpec.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { PlacementRound } from '../lib/placement/PlacementRound.js'
import { RoomGrowth } from '../lib/placement/RoomGrowth.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'
import { createTestWorker } from './createTestWorker.js'
import { testJobId } from './testJobId.js'

const WORKERS = 10
const CPU_MILLIS = 16_000
const TASK_MILLIS = 1000
const STRETCH = 1.6
const TARGET_LATENCY_MS = 600
const TICK_MS = 20
/** From a placement to the start on the worker. */
const START_MS = 100
const LENGTH_MS = 24_000
const FINISH_MS = 10_000
const MEAN_TASKS = 6
const MEAN_STEPS = 1.5
const RUN_MS = 1000
/** Tasks of a step differ by this. */
const UNEVEN = 0.2
/** Rate at which jobs of mean size use the whole room. */
const JOBS_PER_S = WORKERS * CPU_MILLIS / TASK_MILLIS / (MEAN_TASKS * MEAN_STEPS * RUN_MS / 1000)

const configuration: FleetConfiguration = {
  version: 1,
  maxBodyBytes: 1000,
  services: [{ name: 's', isHeadroom: false, refusesOverload: true, healthPath: '' }],
  queues: [{
    name: 'q', service: 's', host: 'h', pathPrefix: '/', timeoutMs: 3000, priority: 0, attempts: 3, stretch: STRETCH, targetLatencyMs: TARGET_LATENCY_MS
  }]
}

interface Handed { readonly job: Job, readonly atMs: number, readonly objectiveMs: number, readonly tasks: number, doneMs: number }

/** What is handed in and when, and when nothing is decided. */
interface Pattern {
  /** Load at a time, as a multiple of the room. */
  readonly loadAt: (atMs: number) => number
  /** No scheduler during this time; what clients send meanwhile arrives at its end. */
  readonly outage?: { readonly fromMs: number, readonly toMs: number }
  /** Every other job is of an account beyond its share from then on. */
  readonly floodFromMs?: number
}

function drawJobs ({ loadAt, outage, floodFromMs = Infinity }: Pattern): Handed[] {
  const random = new SeededRandom(7)
  const handed: Handed[] = []
  for (let atMs = 0; atMs < LENGTH_MS; atMs += -Math.log(1 - random.next()) * 1000 / (JOBS_PER_S * loadAt(atMs))) {
    const taskCounts = Array.from({ length: random.next() < MEAN_STEPS - 1 ? 2 : 1 }, () => Math.ceil(random.next() ** 3 * 4 * MEAN_TASKS))
    const knownMs = outage !== undefined && atMs >= outage.fromMs && atMs < outage.toMs ? outage.toMs : atMs
    const job = createJob(jobSpecSchema.parse({
      jobId: testJobId(handed.length),
      queue: 'q',
      command: '',
      submittedMs: knownMs,
      steps: taskCounts.map((taskCount, index) => ({ taskCount, cpuMillis: TASK_MILLIS, estimateMs: RUN_MS, dependsOn: index === 0 ? [] : [index - 1] }))
    }))
    job.isOverShare = atMs >= floodFromMs && handed.length % 2 === 0
    const objectiveMs = STRETCH * RUN_MS * taskCounts.length + TARGET_LATENCY_MS
    handed.push({ job, atMs: knownMs, objectiveMs, tasks: taskCounts.reduce((sum, count) => sum + count, 0), doneMs: Infinity })
  }
  return handed
}

/** Plays a pattern on one service. */
function play (pattern: Pattern): Handed[] {
  const handed = drawJobs(pattern)
  const random = new SeededRandom(3)
  const workers = new Map(Array.from({ length: WORKERS }, (_, at) => [`w${at}`, createTestWorker(CPU_MILLIS, `w${at}`)]))
  const ends = new Map<Run, number>()
  const roomGrowth = new RoomGrowth()
  for (let nowMs = 0; nowMs < LENGTH_MS + FINISH_MS; nowMs += TICK_MS) {
    for (const [run, endMs] of ends) if (endMs <= nowMs) endRun(run)
    for (const one of handed) if (one.atMs <= nowMs && one.doneMs === Infinity && isJobDone(one.job)) [one.doneMs, one.job.status] = [nowMs, 'succeeded']
    const { outage } = pattern
    if (outage !== undefined && nowMs >= outage.fromMs && nowMs < outage.toMs) continue
    const round = new PlacementRound({
      configuration,
      jobs: handed.filter(({ atMs, doneMs }) => atMs <= nowMs && doneMs === Infinity).map(({ job }) => job),
      workerViews: [...workers.values()],
      runTimes: new RunTimeEstimator(),
      advice: { ticketsFor: () => undefined },
      accountQuotaOf: () => undefined,
      roomGrowth,
      availability: { isMachineDraining: () => false, isEvacuated: () => false },
      nowMs,
      wallMs: nowMs
    })
    for (const run of round.place()) {
      workers.get(run.instanceId)?.runs.set(run.taskKey, run)
      ends.set(run, nowMs + START_MS + RUN_MS * (1 + UNEVEN * (2 * random.next() - 1)))
      Object.assign(run, { phase: 'starting', startedMs: nowMs + START_MS })
    }
    expectNoIdleRoom([...workers.values()], handed, nowMs)
  }
  return handed

  function endRun (run: Run): void {
    ends.delete(run)
    workers.get(run.instanceId)?.runs.delete(run.taskKey)
    run.task.isDone = true
    run.task.runs.length = 0
  }
}

/** Work is conserved: no task waits while a worker has room for it. */
function expectNoIdleRoom (workers: readonly WorkerView[], handed: readonly Handed[], nowMs: number): void {
  const hasRoom = workers.some(({ runs }) => [...runs.values()].reduce((sum, { task }) => sum + stepOf(task).cpuMillis, 0) + TASK_MILLIS <= CPU_MILLIS)
  if (!hasRoom) return
  const waits = handed.some(({ job, atMs, doneMs }) => atMs <= nowMs && doneMs === Infinity &&
    (job.occurrences.get(0)?.[0] ?? []).some(({ isDone, runs }) => !isDone && runs.length === 0))
  expect(waits, `idle room at ${nowMs} ms`).to.equal(false)
}

const isInTime = ({ atMs, objectiveMs, doneMs }: Handed): boolean => doneMs - atMs <= objectiveMs
const shareInTime = (handed: readonly Handed[]): number => handed.filter(isInTime).length / Math.max(1, handed.length)
const largestTenth = (handed: readonly Handed[]): Handed[] => [...handed].sort((a, b) => b.tasks - a.tasks).slice(0, Math.ceil(handed.length / 10))
const between = (handed: readonly Handed[], fromMs: number, toMs: number): Handed[] => handed.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)

describe('patterns of more work than room', () => {
  const cases: ReadonlyArray<{
    readonly name: string
    readonly pattern: Pattern
    readonly fromMs: number
    readonly toMs: number
    readonly minInTime: number
  }> = [
    {
      name: 'a burst of all clients, 2.2 times the room for 6 s',
      pattern: { loadAt: (atMs) => atMs >= 6000 && atMs < 12_000 ? 2.2 : 0.7 },
      fromMs: 6000,
      toMs: 12_000,
      minInTime: 0.35
    },
    {
      name: 'catching up after an outage of 6 s',
      pattern: { loadAt: () => 0.8, outage: { fromMs: 6000, toMs: 12_000 } },
      fromMs: 6000,
      toMs: 18_000,
      minInTime: 0.35
    },
    {
      name: 'a turn at five times the mean for 4.5 s',
      pattern: { loadAt: (atMs) => atMs >= 6000 && atMs < 10_500 ? 2.5 : 0.5 },
      fromMs: 6000,
      toMs: 10_500,
      minInTime: 0.35
    }
  ]
  for (const { name, pattern, fromMs, toMs, minInTime } of cases) {
    it(`serves a part of the jobs in time, large ones too: ${name}`, () => {
      const during = between(play(pattern), fromMs, toMs)
      expect(shareInTime(during)).to.be.at.least(minInTime)
      expect(shareInTime(largestTenth(during))).to.be.at.least(shareInTime(during) / 2)
    }).timeout(10_000)
  }

  it('serves other accounts in time during a flood of one', () => {
    const handed = between(play({ loadAt: (atMs) => atMs >= 6000 && atMs < 12_000 ? 1.6 : 0.7, floodFromMs: 6000 }), 6000, 12_000)
    expect(shareInTime(handed.filter(({ job }) => !job.isOverShare))).to.be.at.least(0.9)
  }).timeout(10_000)

  it('serves all in time with enough room', () => {
    expect(shareInTime(play({ loadAt: () => 0.5 }))).to.be.at.least(0.98)
  }).timeout(10_000)
})
