/**
 * Plans which queued jobs start on which workers, and which running batch jobs are preempted by urgent ones.
 *
 * @module
 */
import { matchesSelector, type HostId, type Labels } from '@quillscale/model'
import { isPlaced, type Job } from './JobsDocument.js'

/** Worker that can run jobs. @public */
export interface JobWorker {
  readonly hostId: HostId
  readonly labels: Labels
  /** Number of slots for jobs. */
  readonly slots: number
  /** Whether the worker accepts new jobs: it is healthy, not quarantined and not about to be drained. */
  readonly isSchedulable: boolean
}

/** Job sizes, quotas and weights that planning uses besides jobs and workers. @public */
export interface JobsPlanningContext {
  /** Returns the estimated number of slots that a job needs. */
  readonly sizeOf: (job: Job) => number
  /** Returns the number of slots that a team may currently use in this zone. */
  readonly quotaOf: (team: string) => number
  /** Returns the weight of a team, by which slots are shared among teams with queued jobs. */
  readonly weightOf: (team: string) => number
}

/** Jobs to start and jobs to preempt. @public */
export interface JobsPlan {
  readonly start: ReadonlyArray<{ readonly jobId: string, readonly hostId: HostId }>
  /** Batch jobs to stop, keeping their checkpoint, and to queue again. */
  readonly preempt: ReadonlyArray<{ readonly jobId: string, readonly hostId: HostId }>
}

const PRIORITY_RANK: Record<Job['priority'], number> = { urgent: 0, normal: 1, batch: 2 }
/** Jobs with more attempts are no longer preempted, since a job that is preempted again and again would never end. */
const MAX_ATTEMPTS_TO_PREEMPT = 3
/** Time after its last failure at which a job that has failed on every worker it may use is tried on one of them again. */
const RETRY_FAILED_MS = 60_000

/**
 * Determines why a job can never be scheduled.
 *
 * @param job - the job
 * @param workers - all workers of the zone
 * @param quota - the slots that the team of the job may use in all zones together, or `undefined` if the team is not declared
 * @returns the reason, or `undefined` if some worker could run the job
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

/** Whether a job has lost runs, so that it may be what ends its workers. */
const hasLostRuns = ({ lostRuns, excusedLostRuns = 0 }: Job): boolean => lostRuns + excusedLostRuns > 0

/** Tracks the slots in use by worker and by team. */
class SlotUsage {
  readonly byWorker = new Map<HostId, number>()
  readonly byTeam = new Map<string, number>()
  /** Number of jobs that have lost runs, by worker. */
  readonly #suspects = new Map<HostId, number>()

  constructor (jobs: readonly Job[], readonly context: JobsPlanningContext) {
    for (const job of jobs) if (isPlaced(job) && job.hostId !== undefined) this.add(job, job.hostId, 1)
  }

  add (job: Job, hostId: HostId, sign: 1 | -1): void {
    const size = this.context.sizeOf(job) * sign
    this.byWorker.set(hostId, (this.byWorker.get(hostId) ?? 0) + size)
    this.byTeam.set(job.team, (this.byTeam.get(job.team) ?? 0) + size)
    if (hasLostRuns(job)) this.#suspects.set(hostId, (this.#suspects.get(hostId) ?? 0) + sign)
  }

  /** Whether a job that may crash its worker runs on a worker. */
  hasSuspect ({ hostId }: JobWorker): boolean {
    return (this.#suspects.get(hostId) ?? 0) > 0
  }

  freeOf (worker: JobWorker): number {
    return worker.slots - (this.byWorker.get(worker.hostId) ?? 0)
  }

  hasQuota (job: Job): boolean {
    return (this.byTeam.get(job.team) ?? 0) + this.context.sizeOf(job) <= this.context.quotaOf(job.team)
  }
}

/** Lists queued jobs in scheduling order: by priority, then teams that use the fewest slots relative to their weight, then oldest first. */
function listQueuedInOrder (jobs: readonly Job[], usage: SlotUsage): Job[] {
  const shareOf = (job: Job): number => (usage.byTeam.get(job.team) ?? 0) / usage.context.weightOf(job.team)
  return jobs.filter(({ state }) => state === 'queued').map((job) => ({ job, share: shareOf(job) }))
    .sort((a, b) => PRIORITY_RANK[a.job.priority] - PRIORITY_RANK[b.job.priority] || a.share - b.share || a.job.submittedMs - b.job.submittedMs)
    .map(({ job }) => job)
}

/**
 * Finds the schedulable worker with the fewest free slots that suffice, which leaves larger gaps on other workers for large jobs.
 *
 * Where jobs that have lost runs share a worker, the one that crashes it ends the others each time, and they would be given up with it; so such
 * a job goes to a worker without another one if there is any. Workers on which the job has failed are excluded, unless it has failed on all of
 * them: too few to give it up, it would wait without end.
 */
function findBestFit (job: Job, workers: readonly JobWorker[], usage: SlotUsage, nowMs: number): JobWorker | undefined {
  const size = usage.context.sizeOf(job)
  const selected = workers.filter(({ labels }) => matchesSelector(job.selector, labels))
  const mayRepeat = nowMs - job.sinceMs >= RETRY_FAILED_MS && selected.every(({ hostId }) => job.failedOn.includes(hostId))
  const sharesSuspect = (worker: JobWorker): boolean => hasLostRuns(job) && usage.hasSuspect(worker)
  const isBetter = (worker: JobWorker, other: JobWorker): boolean =>
    sharesSuspect(worker) === sharesSuspect(other) ? usage.freeOf(worker) < usage.freeOf(other) : !sharesSuspect(worker)
  let best: JobWorker | undefined
  for (const worker of selected) {
    const fits = worker.isSchedulable && usage.freeOf(worker) >= size && (mayRepeat || !job.failedOn.includes(worker.hostId))
    if (fits && (best === undefined || isBetter(worker, best))) best = worker
  }
  return best
}

interface Preemption { readonly worker: JobWorker, readonly victims: readonly Job[], readonly costMs: number }

/**
 * Finds the worker on which preempting batch jobs for a job loses the least work. Jobs that started last or have a checkpoint are
 * preempted first; with a checkpoint, only a tenth of the running time counts as lost.
 */
function findCheapestPreemption (job: Job, workers: readonly JobWorker[], jobs: readonly Job[], usage: SlotUsage, nowMs: number): Preemption | undefined {
  const size = usage.context.sizeOf(job)
  let best: Preemption | undefined
  for (const worker of workers) {
    if (!worker.isSchedulable || !matchesSelector(job.selector, worker.labels) || job.failedOn.includes(worker.hostId)) continue
    const batch = jobs.filter((other) => other.hostId === worker.hostId && other.state === 'running' && other.priority === 'batch' &&
      !other.atMostOnce && other.attempt <= MAX_ATTEMPTS_TO_PREEMPT)
    const preemptionCostMs = (other: Job): number => other.checkpoint === undefined ? nowMs - other.sinceMs : (nowMs - other.sinceMs) / 10
    const victims: Job[] = []
    let free = usage.freeOf(worker)
    let costMs = 0
    for (const victim of batch.sort((a, b) => preemptionCostMs(a) - preemptionCostMs(b))) {
      if (free >= size) break
      victims.push(victim)
      free += usage.context.sizeOf(victim)
      costMs += preemptionCostMs(victim)
    }
    if (free >= size && (best === undefined || costMs < best.costMs)) best = { worker, victims, costMs }
  }
  return best
}

/**
 * Plans which jobs of one zone to start and which to preempt.
 *
 * @param jobs - the jobs of the zone
 * @param workers - the workers of the zone
 * @param context - job sizes, quotas and weights
 * @param nowMs - the current Unix time
 * @returns the jobs to start and to preempt; an urgent job that needs preemption is started in a later round, once its slots are free
 * @public
 */
export function planJobs (jobs: readonly Job[], workers: readonly JobWorker[], context: JobsPlanningContext, nowMs: number): JobsPlan {
  const usage = new SlotUsage(jobs, context)
  const start: Array<{ jobId: string, hostId: HostId }> = []
  const preempt: Array<{ jobId: string, hostId: HostId }> = []
  const leaving = new Set<string>()
  for (const job of listQueuedInOrder(jobs, usage)) {
    if (!usage.hasQuota(job)) continue
    const worker = findBestFit(job, workers, usage, nowMs)
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
      preempt.push({ jobId: victim.jobId, hostId: room.worker.hostId })
    }
    // The slots are reserved for the urgent job, so no other job is started in them in this round.
    usage.add(job, room.worker.hostId, 1)
  }
  return { start, preempt }
}
