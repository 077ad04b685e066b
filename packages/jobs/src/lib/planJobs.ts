/**
 * Decides which waiting jobs start where, and which running ones give way to urgent work.
 *
 * @module
 */
import { matchesSelector, type HostId, type Labels } from '@quillscale/model'
import { isPlaced, type Job } from './JobsDocument.js'

/** A worker as the decision sees it. @public */
export interface JobWorker {
  readonly hostId: HostId
  readonly labels: Labels
  /** Slots for jobs. */
  readonly slots: number
  /** It takes new work: healthy, not set apart, not about to be drained. */
  readonly isSchedulable: boolean
}

/** What the decision knows besides jobs and workers. @public */
export interface JobsPlanningContext {
  /** Slots that a job is expected to need. */
  readonly sizeOf: (job: Job) => number
  /** Slots that a team may use in this zone now. */
  readonly quotaOf: (team: string) => number
  /** Shares of teams that wait. */
  readonly weightOf: (team: string) => number
}

/** What to do. @public */
export interface JobsPlan {
  readonly start: ReadonlyArray<{ readonly jobId: string, readonly hostId: HostId }>
  /** Batch jobs to be stopped, with their checkpoint, and queued again. */
  readonly preempt: ReadonlyArray<{ readonly jobId: string, readonly hostId: HostId }>
}

const PRIORITY_RANK: Record<Job['priority'], number> = { urgent: 0, normal: 1, batch: 2 }
/** A job is not stopped twice in a row for others: it would never end. */
const MAX_ATTEMPTS_TO_PREEMPT = 3

/**
 * Tells why no worker could ever run a job.
 *
 * @param job - the job
 * @param workers - all of the zone
 * @param quota - of its team in all zones, `undefined` when the team is not declared
 * @returns the reason, `undefined` when some worker could
 * @public
 */
export function findUnschedulableReason (job: Pick<Job, 'selector' | 'slots' | 'team'>, workers: readonly JobWorker[], quota: number | undefined): string | undefined {
  if (quota === undefined) return `no team ${job.team} is declared`
  if (job.slots > quota) return `it needs ${job.slots} slots and its team has ${quota}`
  const selected = workers.filter(({ labels }) => matchesSelector(job.selector, labels))
  if (selected.length === 0) return 'its selector selects no host'
  const largest = Math.max(...selected.map(({ slots }) => slots))
  return job.slots > largest ? `it needs ${job.slots} slots and the largest selected host has ${largest}` : undefined
}

/** Slots in use, by worker and by team. */
class SlotUsage {
  readonly byWorker = new Map<HostId, number>()
  readonly byTeam = new Map<string, number>()

  constructor (jobs: readonly Job[], readonly context: JobsPlanningContext) {
    for (const job of jobs) if (isPlaced(job) && job.hostId !== undefined) this.add(job, job.hostId, 1)
  }

  add (job: Job, hostId: HostId, sign: 1 | -1): void {
    const size = this.context.sizeOf(job) * sign
    this.byWorker.set(hostId, (this.byWorker.get(hostId) ?? 0) + size)
    this.byTeam.set(job.team, (this.byTeam.get(job.team) ?? 0) + size)
  }

  freeOf (worker: JobWorker): number {
    return worker.slots - (this.byWorker.get(worker.hostId) ?? 0)
  }

  hasQuota (job: Job): boolean {
    return (this.byTeam.get(job.team) ?? 0) + this.context.sizeOf(job) <= this.context.quotaOf(job.team)
  }
}

/** Urgent first; then teams that use least of their weight; then who waited longest. */
function listQueuedInOrder (jobs: readonly Job[], usage: SlotUsage): Job[] {
  const shareOf = (job: Job): number => (usage.byTeam.get(job.team) ?? 0) / usage.context.weightOf(job.team)
  return jobs.filter(({ state }) => state === 'queued').map((job) => ({ job, share: shareOf(job) }))
    .sort((a, b) => PRIORITY_RANK[a.job.priority] - PRIORITY_RANK[b.job.priority] || a.share - b.share || a.job.submittedMs - b.job.submittedMs)
    .map(({ job }) => job)
}

/** The fullest worker that still has room, so that large jobs find room elsewhere; never one it failed on. */
function findBestFit (job: Job, workers: readonly JobWorker[], usage: SlotUsage): JobWorker | undefined {
  const size = usage.context.sizeOf(job)
  let best: JobWorker | undefined
  for (const worker of workers) {
    const isFit = worker.isSchedulable && usage.freeOf(worker) >= size && !job.failedOn.includes(worker.hostId) && matchesSelector(job.selector, worker.labels)
    if (isFit && (best === undefined || usage.freeOf(worker) < usage.freeOf(best))) best = worker
  }
  return best
}

interface Preemption { readonly worker: JobWorker, readonly victims: readonly Job[], readonly costMs: number }

/** The worker on which the least work is lost: batch jobs that began last, or that have a checkpoint, go first. */
function findCheapestPreemption (job: Job, workers: readonly JobWorker[], jobs: readonly Job[], usage: SlotUsage, nowMs: number): Preemption | undefined {
  const size = usage.context.sizeOf(job)
  let best: Preemption | undefined
  for (const worker of workers) {
    if (!worker.isSchedulable || !matchesSelector(job.selector, worker.labels) || job.failedOn.includes(worker.hostId)) continue
    const batch = jobs.filter((other) => other.hostId === worker.hostId && other.state === 'running' && other.priority === 'batch' &&
      !other.atMostOnce && other.attempt <= MAX_ATTEMPTS_TO_PREEMPT)
    const costOf = (other: Job): number => other.checkpoint === undefined ? nowMs - other.sinceMs : (nowMs - other.sinceMs) / 10
    const victims: Job[] = []
    let free = usage.freeOf(worker)
    let costMs = 0
    for (const victim of batch.sort((a, b) => costOf(a) - costOf(b))) {
      if (free >= size) break
      victims.push(victim)
      free += usage.context.sizeOf(victim)
      costMs += costOf(victim)
    }
    if (free >= size && (best === undefined || costMs < best.costMs)) best = { worker, victims, costMs }
  }
  return best
}

/**
 * Decides for one zone.
 *
 * @param jobs - its jobs
 * @param workers - its workers
 * @param context - sizes, quotas and weights
 * @param nowMs - the present time since 1970
 * @returns what to start and what gives way; an urgent job starts once its room is free, in a later round
 * @public
 */
export function planJobs (jobs: readonly Job[], workers: readonly JobWorker[], context: JobsPlanningContext, nowMs: number): JobsPlan {
  const usage = new SlotUsage(jobs, context)
  const start: Array<{ jobId: string, hostId: HostId }> = []
  const giveWay: Array<{ jobId: string, hostId: HostId }> = []
  const leaving = new Set<string>()
  for (const job of listQueuedInOrder(jobs, usage)) {
    if (!usage.hasQuota(job)) continue
    const worker = findBestFit(job, workers, usage)
    if (worker !== undefined) {
      usage.add(job, worker.hostId, 1)
      start.push({ jobId: job.jobId, hostId: worker.hostId })
      continue
    }
    if (job.priority !== 'urgent') continue
    const room = findCheapestPreemption(job, workers, jobs.filter(({ jobId }) => !leaving.has(jobId)), usage, nowMs)
    if (room === undefined) continue
    for (const victim of room.victims) {
      leaving.add(victim.jobId)
      usage.add(victim, room.worker.hostId, -1)
      giveWay.push({ jobId: victim.jobId, hostId: room.worker.hostId })
    }
    // The room is kept for the urgent job: nothing else is started there in this round.
    usage.add(job, room.worker.hostId, 1)
  }
  return { start, preempt: giveWay }
}
