/**
 * Computes the backlog of a service.
 *
 * Only work that is certain to go before a new job counts: ready tasks of higher priority that wait for nothing but CPU, as long as their jobs can
 * start in time. Jobs of the same priority do not count, as a new job goes before those that have become late.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import type { AccountName } from '@quillscale/ports'
import { hasEnded, stepOf, type Job, type Run, type Task } from '../jobs/JobState.js'
import { countReadyTasks } from '../jobs/jobTasks.js'
import type { StepSpec } from '../jobs/JobSpec.js'
import { effectiveTerms, type QueueTerms } from '../jobs/QueueTerms.js'
import { rankStep, RANK_TIERS } from '../jobs/rankStep.js'
import type { RunTimeEstimator } from '../jobs/RunTimeEstimator.js'
import { createWorkerRoom } from '../placement/createWorkerRoom.js'
import { cpuDemandOf } from '../placement/suitability.js'
import { countsAsCapacity } from '../placement/unavailability.js'
import type { WorkerView } from '../placement/WorkerView.js'
import type { Resources } from '../quotas/resources.js'
import type { Backlog, BacklogRow } from './Backlog.js'

/** State from which the backlog of a service is computed. @public */
export interface BacklogSources {
  readonly jobs: readonly Job[]
  readonly workerViews: readonly WorkerView[]
  readonly runTimes: RunTimeEstimator
  /** Returns the queue of a job, `undefined` if it was removed. */
  readonly queueOf: (name: string) => QueueTerms | undefined
  /** Returns the limit of an account, `undefined` if it has none. */
  readonly limitOf: (account: AccountName) => Resources | undefined
  readonly isEvacuated: (availabilityZone: string) => boolean
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** Room of the service, and what accounts may take of it. */
interface Room extends Pick<BacklogSources, 'limitOf'> { readonly roomMillis: number }

/** Waiting work of one job that can still be in time. */
interface WaitingJob {
  readonly account: AccountName | undefined
  readonly priority: number
  /** Time until its latest start in time, after which it goes behind others. */
  readonly leftMs: number
  readonly work: number
  /** CPU of its largest waiting task. */
  readonly taskMillis: number
}

/** Images whose run times are part of a backlog, some 50 bytes each. */
const MAX_IMAGES = 40
/** Latest starts are rounded down to powers of two, from this one on. */
const FIRST_BUCKET_MS = 250
/** Steps towards the time at which the limited accounts' work is done; each ends nearer to it. */
const LIMIT_ITERATIONS = 50

/** @param sources - jobs and workers of a service @returns its backlog @public */
export function computeBacklog (sources: BacklogSources): Backlog {
  const { jobs, workerViews, runTimes, isEvacuated, nowMs } = sources
  const available = workerViews.filter((workerView) => countsAsCapacity(workerView, { nowMs, isEvacuated, isMachineDraining: () => false }))
  const runs = available.flatMap((workerView) => [...workerView.runs.values()])
  const lastingMillis = sum(runs.filter(({ task }) => stepOf(task).isLasting).map(({ task }) => cpuDemandOf(stepOf(task))))
  const free = available.map((workerView) => Math.max(0, createWorkerRoom(workerView, nowMs).cpuMillis))
  const runningWork = sum(runs.map((run) => remainingWork(run, runTimes, nowMs)))
  const roomMillis = Math.max(0, sum(available.map(({ instance }) => instance.capacity.cpuMillis)) - lastingMillis)
  const waiting = jobs.flatMap((job) => waitingJobOf(job, sources) ?? [])
  return {
    roomMillis,
    freeMillis: sum(free),
    largestFreeMillis: largestOf(free, 0),
    ahead: roomMillis === 0 ? [] : createRows(waiting, runningWork, { roomMillis, limitOf: sources.limitOf }),
    runTimes: learnedRunTimes(jobs, runTimes)
  }
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

function remainingWork ({ task, startedMs, placedMs }: Run, runTimes: RunTimeEstimator, nowMs: number): number {
  const step = stepOf(task)
  const sinceMs = startedMs ?? placedMs ?? nowMs
  return step.isLasting ? 0 : cpuDemandOf(step) * Math.max(0, runTimes.expectedMs(step) - (nowMs - sinceMs))
}

/** Tells whether tasks of a step wait for CPU alone, so that no other task passes them. */
function waitsForCpu (step: StepSpec): boolean {
  return !step.isLasting && !step.isFiller && step.requiredLabel === '' && step.gpus === 0 && step.maxPerWorker === 0
}

function waitingJobOf (job: Job, { runTimes, queueOf, wallMs }: BacklogSources): WaitingJob | undefined {
  const queue = effectiveTerms(job.spec, queueOf(job.spec.queue))
  if (hasEnded(job) || queue === undefined || queue.advice !== undefined) return undefined
  const isWaiting = ({ isDone, runs }: Task): boolean => !isDone && runs.length === 0
  const waiting = countReadyTasks(job, wallMs, isWaiting).flatMap((ready) => {
    const step = job.spec.steps[ready.stepIndex] as StepSpec
    return waitsForCpu(step) && ready.count > 0 ? [{ ready, step, count: ready.count }] : []
  })
  const first = waiting[0]?.ready
  if (first === undefined) return undefined
  const { tier, priority, startByMs } = rankStep(first, queue, runTimes, wallMs)
  if (tier !== RANK_TIERS.inTime) return undefined
  const work = sum(waiting.map(({ step, count }) => count * cpuDemandOf(step) * runTimes.expectedMs(step)))
  const taskMillis = largestOf(waiting.map(({ step }) => cpuDemandOf(step)))
  return { account: job.spec.owner?.account, priority, leftMs: startByMs - wallMs, work, taskMillis }
}

function createRows (waiting: readonly WaitingJob[], runningWork: number, room: Room): BacklogRow[] {
  const priorities = [...new Set(waiting.map(({ priority }) => priority))].sort((a, b) => a - b)
  return priorities.map((priority) => {
    const feasible = selectStartable(waiting.filter((job) => job.priority <= priority), runningWork, room)
    const buckets = new Set(feasible.map(({ leftMs }) => bucketOf(leftMs)))
    const waits = [...buckets].map((bucketMs) => fillsRoomMs(feasible.filter(({ leftMs }) => leftMs >= bucketMs), bucketMs, runningWork, room))
    return { priority, waitMs: Math.round(largestOf(waits, 0)), taskMillis: largestOf(feasible.map(({ taskMillis }) => taskMillis), 0) }
  })
}

const bucketOf = (leftMs: number): number => leftMs < FIRST_BUCKET_MS ? 0 : FIRST_BUCKET_MS * 2 ** Math.floor(Math.log2(leftMs / FIRST_BUCKET_MS))

/** Selects the jobs that start in time if those with an earlier latest start go first; the others may go behind later jobs. */
function selectStartable (waiting: readonly WaitingJob[], runningWork: number, { roomMillis }: Room): WaitingJob[] {
  let work = runningWork
  return [...waiting].sort((a, b) => a.leftMs - b.leftMs).filter((job) => {
    if (work / roomMillis > job.leftMs) return false
    work += job.work
    return true
  })
}

/**
 * Returns for how long jobs fill the room, up to a time until which all of them stay in time. An account at its limit leaves the rest of the
 * room to others.
 */
function fillsRoomMs (jobs: readonly WaitingJob[], untilMs: number, runningWork: number, { roomMillis, limitOf }: Room): number {
  const workByAccount = new Map<AccountName | undefined, number>()
  for (const { account, work } of jobs) workByAccount.set(account, (workByAccount.get(account) ?? 0) + work)
  const limitMillisOf = (account: AccountName | undefined): number => (account === undefined ? undefined : limitOf(account)?.cpuMillis) ?? Infinity
  const demands = [...workByAccount].map(([account, work]) => ({ work, limitMillis: limitMillisOf(account) }))
  let filledMs = untilMs
  for (let iteration = 0; iteration < LIMIT_ITERATIONS; iteration++) {
    const work = sum(demands.map((demand) => Math.min(demand.work, demand.limitMillis * filledMs)))
    const nextMs = Math.min(untilMs, (runningWork + work) / roomMillis)
    if (nextMs === filledMs) break
    filledMs = nextMs
  }
  return filledMs
}

function learnedRunTimes (jobs: readonly Job[], runTimes: RunTimeEstimator): Array<[string, number]> {
  const learned = new Map<string, number>()
  for (const { spec } of jobs) {
    for (const step of spec.steps) {
      if (learned.size >= MAX_IMAGES) return [...learned]
      if (!step.isLasting && runTimes.hasSamples(step)) learned.set(step.image, Math.round(runTimes.expectedMs(step)))
    }
  }
  return [...learned]
}
