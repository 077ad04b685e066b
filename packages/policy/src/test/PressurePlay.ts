/**
 * Simulates a service whose callers offer more work than it has room for.
 *
 * @module
 */
import { SeededRandom } from '@quillscale/utils'
import type { QueueConfiguration } from '@quillscale/ports'
import { createJob, hasEnded, type Job, type Run, type Task } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { listReadySteps } from './listReadySteps.js'
import { jobSpecSchema } from '../lib/jobs/JobSpec.js'
import { compareRanks, rankStep } from '../lib/jobs/rankStep.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import type { Backlog } from '../lib/pressure/Backlog.js'
import { computeBacklog } from '../lib/pressure/computeBacklog.js'
import { decideAdmission } from '../lib/pressure/decideAdmission.js'
import { createTestWorker } from '../testing/createTestWorker.js'
import { testJobId } from '../testing/testJobId.js'

/** The queue of jobs that may wait for seconds. */
export const QUEUE: QueueConfiguration = {
  name: 'q', service: 's', host: 'h', pathPrefix: '/', timeoutMs: 3000, priority: 1, attempts: 3, stretch: 1.6, targetLatencyMs: 600
}
/** All queues; jobs of the one with the higher priority may wait long. */
export const QUEUES: Readonly<Record<string, QueueConfiguration>> = { q: QUEUE, first: { ...QUEUE, name: 'first', priority: 0, stretch: 4, targetLatencyMs: 8000 } }
const ROOM_MILLIS = 20_000
const TICK_MS = 20
const FLOOD_MS = 30_000
const PUBLISH_MS = 350
const LATE_FACTOR = 3
/** Sizes of jobs: queue, tasks, CPU and run time of each. The client's guess is off by up to a factor of two. */
const SIZES = [['q', 1, 500, 300], ['q', 2, 1000, 700], ['q', 6, 1000, 1500], ['first', 6, 1000, 1600]] as const

/** No limits of accounts and no evacuations. */
export const NO_RULES = { limitOf: () => undefined, isEvacuated: () => false } as const

/** A job that a caller offers until it is accepted or of no use. */
export interface Offer {
  readonly job: Job
  readonly offeredMs: number
  readonly usefulUntilMs: number
  readonly runMs: number
  nextTryMs: number
  tries: number
  firstRetryAfterMs: number | undefined
  isAccepted: boolean
  /** Whether the first try would be or was refused. */
  isRefusedFirst: boolean
  endedMs: number
}

/** @param task - a task @param startedMs - monotonic start @returns a run of it, which is added to the task */
export function createTestRun (task: Task, startedMs: number): Run {
  const run = { task, taskKey: task.key, runNumber: 1, instanceId: 'w', phase: 'running', placedMs: startedMs, startedMs } as unknown as Run
  task.runs.push(run)
  return run
}

function createOffers (load: number, random: SeededRandom): Offer[] {
  const meanWork = SIZES.reduce((sum, [, tasks, cpuMillis, runMs]) => sum + tasks * cpuMillis * runMs, 0) / SIZES.length
  const offers: Offer[] = []
  for (let atMs = 0; atMs < FLOOD_MS; atMs += random.exponentialMs(meanWork / ROOM_MILLIS / load)) {
    const [queue, taskCount, cpuMillis, runMs] = random.pick(SIZES)
    const steps = [{ taskCount, cpuMillis, estimateMs: runMs * (0.5 + 1.5 * random.next()), image: `${queue}${runMs}` }]
    const job = createJob(jobSpecSchema.parse({ jobId: testJobId(offers.length), queue, command: '', submittedMs: atMs, steps }))
    const usefulUntilMs = atMs + LATE_FACTOR * (QUEUES[queue]!.stretch * runMs + QUEUES[queue]!.targetLatencyMs)
    const state = { nextTryMs: atMs, tries: 0, firstRetryAfterMs: undefined, isAccepted: false, isRefusedFirst: false, endedMs: Infinity }
    offers.push({ job, offeredMs: atMs, usefulUntilMs, runMs, ...state })
  }
  return offers
}

/**
 * Plays a flood of some seconds.
 *
 * @param load - offered work relative to the room
 * @param isAdmitting - whether refusals take effect; otherwise they are only noted
 * @param seed - of the arrivals
 * @returns the offers and what became of them
 */
export function playFlood (load: number, isAdmitting: boolean, seed: number): Offer[] {
  const random = new SeededRandom(seed)
  const offers = createOffers(load, random)
  const offerOf = new Map(offers.map((offer) => [offer.job, offer]))
  const worker = createTestWorker(ROOM_MILLIS)
  const runTimes = new RunTimeEstimator()
  const jobs = new Set<Job>()
  let published: { readonly backlog: Backlog, readonly atMs: number } | undefined
  for (let nowMs = 0; nowMs < FLOOD_MS + 15_000; nowMs += TICK_MS) {
    for (const [key, { task, startedMs }] of worker.runs) {
      const offer = offerOf.get(task.job)!
      if (nowMs < startedMs! + offer.runMs) continue
      worker.runs.delete(key)
      task.runs.length = 0
      task.isDone = true
      runTimes.addSample(task.job.spec.steps[0]!, offer.runMs)
      if (task.job.occurrences.get(0)!.flat().some(({ isDone }) => !isDone)) continue
      task.job.status = 'succeeded'
      offer.endedMs = nowMs
      jobs.delete(task.job)
    }
    if (nowMs >= (published?.atMs ?? -PUBLISH_MS) + PUBLISH_MS) {
      const backlog = computeBacklog({
        ...NO_RULES, jobs: [...jobs], workerViews: [worker], runTimes, queueOf: (name) => QUEUES[name], nowMs, wallMs: nowMs
      })
      published = { backlog, atMs: nowMs }
    }
    for (const offer of offers) if (!offer.isAccepted && offer.nextTryMs <= nowMs) offerJob(offer, published!, nowMs)
    place(nowMs)
  }
  return offers

  function offerJob (offer: Offer, { backlog, atMs }: NonNullable<typeof published>, nowMs: number): void {
    const decision = decideAdmission({ spec: offer.job.spec, queue: QUEUES[offer.job.spec.queue]!, backlog, ageMs: nowMs - atMs, random: random.next() })
    offer.tries++
    if (offer.tries === 1) offer.isRefusedFirst = !decision.isAccepted
    offer.isAccepted = decision.isAccepted || !isAdmitting
    if (offer.isAccepted) jobs.add(offer.job)
    else if (!decision.isAccepted) {
      offer.nextTryMs = nowMs + decision.retryAfterMs
      offer.firstRetryAfterMs ??= decision.retryAfterMs
    }
    if (offer.nextTryMs > offer.usefulUntilMs) offer.nextTryMs = Infinity
  }

  function place (nowMs: number): void {
    let freeMillis = ROOM_MILLIS - [...worker.runs.values()].reduce((sum, { task }) => sum + task.job.spec.steps[0]!.cpuMillis, 0)
    if (freeMillis < SIZES[0][2]) return
    const steps = [...jobs].filter((job) => !hasEnded(job)).flatMap((job) => {
      tasksOf(job, 0)
      return listReadySteps(job, nowMs)
    })
    const waiting = steps.map((tasks) => tasks.filter(({ isDone, runs }) => !isDone && runs.length === 0)).filter(({ length }) => length > 0)
    const ranked = waiting.map((tasks) => ({ tasks, rank: rankStep(tasks[0]!, QUEUES[tasks[0]!.job.spec.queue], runTimes, nowMs) }))
    for (const task of ranked.sort((a, b) => compareRanks(a.rank, b.rank)).flatMap(({ tasks }) => tasks)) {
      const { cpuMillis } = task.job.spec.steps[0]!
      if (cpuMillis > freeMillis) continue
      freeMillis -= cpuMillis
      worker.runs.set(task.key, createTestRun(task, nowMs))
    }
  }
}
