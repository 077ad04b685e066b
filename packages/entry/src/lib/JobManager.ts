/**
 * Runs this zone's jobs while this entry host holds the zone's lease, and passes on what callers ask of jobs.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type Logger from 'bunyan'
import { z } from 'zod'
import type { Clock } from '@quillscale/utils'
import { QuillscaleError, type AvailabilityZone, type EntryHostId, type ErrorKind, type HostId } from '@quillscale/model'
import type { KeyValueStore, TaskReport, WorkerTasks } from '@quillscale/ports'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { dueMaintenance, hostLabels, windowOpenUntilMs } from '@quillscale/fleet'
import {
  ENDED_JOB_KEPT_MS, MAX_JOBS_A_ZONE, SizeEstimates, WorkerHealth, impossibleReason, isEnded, isPlaced, jobSubmissionSchema, planJobs, settleJob, taskIdOf,
  type Job, type JobSubmission, type JobWorker, type JobsContext, type RunReport
} from '@quillscale/jobs'
import type { PeerMesh } from '@quillscale/membership'
import { JobStore, type CommitResult } from './JobStore.js'
import type { LeaseHolder } from '@quillscale/leases'
import type { ServiceRegistry } from './ServiceRegistry.js'

/** What it works on. @public */
export interface JobManagerOptions {
  readonly zone: AvailabilityZone
  readonly store: KeyValueStore
  readonly lease: LeaseHolder
  readonly tasks: WorkerTasks
  readonly replica: ConfigurationReplica
  readonly registry: ServiceRegistry
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly log: Logger
  /** Reachable holders of zones' leases, the own zone's first. */
  readonly holders: () => EntryHostId[]
  /** Zones known, reachable or not: quotas are divided among them in a cut. */
  readonly zoneCount: () => number
}

/** The topics of this concern. @public */
export const JOB_TOPICS = { submit: 'jobs/submit', get: 'jobs/get', cancel: 'jobs/cancel' } as const
/** How long a task goes on without renewal. @public */
export const TASK_LEASE_MS = 10_000

const REQUEST_TIMEOUT_MS = 5000
const RENEW_MS = 1000
const submitSchema = z.object({ jobId: z.string().max(100), submission: jobSubmissionSchema })
const idSchema = z.object({ jobId: z.string() })
const answerSchema = z.union([
  z.object({ job: z.looseObject({ jobId: z.string(), state: z.string() }) }),
  z.object({ refusal: z.object({ kind: z.string(), detail: z.string() }) })
])

/** What callers see of a job. @public */
export type JobView = Pick<Job, 'jobId' | 'state' | 'team' | 'priority' | 'submittedMs' | 'sinceMs' | 'attempt' | 'hostId' | 'reason'>

function viewOf ({ jobId, state, team, priority, submittedMs, sinceMs, attempt, hostId, reason }: Job): JobView {
  return { jobId, state, team, priority, submittedMs, sinceMs, attempt, hostId, reason }
}

function notWritten (result: CommitResult): QuillscaleError {
  const outcome = result === 'unknown' ? 'unknown' : 'not-run'
  return new QuillscaleError('platform-unavailable', 'the platform’s service did not take the change', { outcome, retryAfterMs: 1000 })
}

/** Jobs of this zone. @public */
export class JobManager {
  readonly #options: JobManagerOptions
  readonly #jobs: JobStore
  readonly #sizes = new SizeEstimates()
  readonly #health = new WorkerHealth()
  readonly #lastAnswerMs = new Map<string, number>()
  #lastRenewMs = -Infinity
  #takenOverMs = 0
  #isTicking = false

  /** @param options - what it works on */
  constructor (options: JobManagerOptions) {
    this.#options = options
    this.#jobs = new JobStore(options.store, options.zone, () => this.#token())
  }

  /** Whether jobs wait or run here, so that the next round should come soon. */
  get isBusy (): boolean {
    return this.#token() !== undefined && Object.values(this.#jobs.jobs).some((job) => !isEnded(job))
  }

  /** @param hostId - a host @returns whether a job of this zone's holder runs there */
  hasJobsOn (hostId: HostId): boolean {
    return Object.values(this.#jobs.jobs).some((job) => isPlaced(job) && job.hostId === hostId)
  }

  /**
   * Submits a job; the answer comes once it is written.
   *
   * @param body - parsed JSON
   * @param key - the caller's Idempotency-Key: the same key is the same job
   * @returns the job
   * @throws QuillscaleError
   */
  async submit (body: unknown, key: string | undefined): Promise<JobView> {
    const parsed = jobSubmissionSchema.safeParse(body)
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      throw new QuillscaleError('malformed-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
    }
    const request = { jobId: key ?? randomUUID(), submission: parsed.data }
    return this.#askHolder(JOB_TOPICS.submit, request, (body) => this.answerSubmit(body), [this.#options.holders()[0]])
  }

  /** @returns the jobs of this zone, at its holder */
  list (): JobView[] {
    return Object.values(this.#jobs.jobs).map(viewOf)
  }

  /** @param jobId - a job @returns it @throws QuillscaleError `no-such-job` */
  async get (jobId: string): Promise<JobView> {
    return this.#askHolder(JOB_TOPICS.get, { jobId }, (request) => this.answerGet(request), this.#options.holders())
  }

  /** @param jobId - a job that must not start any more, or must stop @returns it once that is written @throws QuillscaleError */
  async cancel (jobId: string): Promise<JobView> {
    return this.#askHolder(JOB_TOPICS.cancel, { jobId }, (request) => this.answerCancel(request), this.#options.holders())
  }

  /** @param body - a submission, here at the holder @returns the job or a refusal */
  async answerSubmit (body: unknown): Promise<unknown> {
    const { jobId, submission } = submitSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      const known = this.#jobs.jobs[jobId]
      if (known !== undefined) return known
      this.#refuseImpossible(submission)
      const nowMs = this.#options.clock.wallMs()
      const job: Job = { ...submission, jobId, state: 'queued', submittedMs: nowMs, sinceMs: nowMs, attempt: 0, failedOn: [] }
      const result = await this.#jobs.commit((jobs) => { if (!jobs.has(jobId)) jobs.set(jobId, job) })
      if (result !== 'committed') throw notWritten(result)
      void this.tick()
      return this.#jobs.jobs[jobId] ?? job
    })
  }

  /** @param body - a question, here at a holder @returns the job or a refusal */
  async answerGet (body: unknown): Promise<unknown> {
    const { jobId } = idSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      return this.#find(jobId)
    })
  }

  /** @param body - a cancellation, here at a holder @returns the job or a refusal */
  async answerCancel (body: unknown): Promise<unknown> {
    const { jobId } = idSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      const before = this.#find(jobId)
      const nowMs = this.#options.clock.wallMs()
      // Cancellations that arrive together are one write; a start is written first too, so none can slip in between.
      const result = await this.#jobs.commit((jobs) => {
        const job = jobs.get(jobId)
        if (job !== undefined && !isEnded(job)) jobs.set(jobId, { ...job, state: 'cancelled', sinceMs: nowMs, reason: 'cancelled' })
      })
      if (result !== 'committed') throw notWritten(result)
      if (isPlaced(before) && before.hostId !== undefined) void this.#stopTask(before)
      return this.#find(jobId)
    })
  }

  /** Does one round; does nothing without the lease. */
  async tick (): Promise<void> {
    if (this.#isTicking) return
    this.#isTicking = true
    try {
      if (this.#token() === undefined) {
        this.#jobs.unload()
        return
      }
      if (!this.#jobs.isLoaded) {
        if (!await this.#jobs.load()) return
        this.#takenOverMs = this.#options.clock.wallMs()
      }
      if (Object.keys(this.#jobs.jobs).length === 0) return
      await this.#renew()
      await this.#place()
      await this.#forget()
    } finally {
      this.#isTicking = false
    }
  }

  #token (): number | undefined {
    return this.#options.lease.grantAt(this.#options.clock.monotonicMs())?.fencingToken
  }

  async #mustHold (): Promise<void> {
    if (this.#token() === undefined) throw new QuillscaleError('lease-lost', 'the zone has no holder now', { retryAfterMs: 1000 })
    if (!this.#jobs.isLoaded && !await this.#jobs.load()) throw notWritten('not-committed')
  }

  #find (jobId: string): Job {
    const job = this.#jobs.jobs[jobId]
    if (job === undefined) throw new QuillscaleError('no-such-job', jobId)
    return job
  }

  async #answer (act: () => Promise<Job>): Promise<unknown> {
    try {
      return { job: viewOf(await act()) }
    } catch (error) {
      if (error instanceof QuillscaleError) return { refusal: { kind: error.kind, detail: error.message } }
      throw error
    }
  }

  /** Asks holders in turn until one knows; the own process is asked without a message. */
  async #askHolder (
    topic: string, body: unknown, here: (body: unknown) => Promise<unknown>, holders: ReadonlyArray<EntryHostId | undefined>
  ): Promise<JobView> {
    let refusal = new QuillscaleError('lease-lost', 'no zone in reach has a holder now', { retryAfterMs: 1000 })
    for (const holder of holders) {
      if (holder === undefined) continue
      const isHere = !this.#options.mesh.isLinked(holder)
      const asked = isHere ? { ok: true, err: false, val: await here(body) } : await this.#options.mesh.request(holder, topic, body, REQUEST_TIMEOUT_MS)
      const parsed = answerSchema.safeParse(asked.val)
      if (asked.err || !parsed.success) {
        refusal = new QuillscaleError('platform-unavailable', `no answer from ${holder}`, { outcome: 'unknown', retryAfterMs: 1000 })
        continue
      }
      if ('job' in parsed.data) return parsed.data.job as unknown as JobView
      refusal = new QuillscaleError(parsed.data.refusal.kind as ErrorKind, parsed.data.refusal.detail)
    }
    throw refusal
  }

  #refuseImpossible (submission: JobSubmission): void {
    const isFull = Object.keys(this.#jobs.jobs).length >= MAX_JOBS_A_ZONE
    if (isFull) throw new QuillscaleError('overloaded', 'the zone has as many jobs as it can hold', { retryAfterMs: 5000 })
    const quota = this.#options.replica.declarations('team').get(submission.team)?.spec.quotaSlots
    const reason = impossibleReason(submission, this.#workers(), quota)
    if (reason !== undefined) throw new QuillscaleError('job-impossible', reason)
  }

  #workers (): JobWorker[] {
    const { registry, replica, clock } = this.#options
    const pools = replica.declarations('pool')
    const declared = replica.declarations('host')
    const maintenances = [...replica.declarations('maintenance').values()]
    const nowMs = clock.wallMs()
    return [...registry.placed.values()].flatMap(({ host, pool, isLeaving }): JobWorker[] => {
      const slots = pool === undefined ? 0 : pools.get(pool)?.spec.jobSlots ?? 0
      if (slots === 0) return []
      const labels = hostLabels(host, declared.get(host.hostId)?.spec, pool)
      const due = dueMaintenance({ labels, version: host.version }, maintenances)
      // Work is not placed where it would be drained soon.
      const isDue = due !== undefined && windowOpenUntilMs(due.spec.windows, nowMs) !== undefined
      return [{ hostId: host.hostId, labels, slots, isOpen: !isLeaving && !isDue && !this.#health.isApart(host.hostId, nowMs) }]
    })
  }

  #context (): JobsContext {
    const { replica, zoneCount } = this.#options
    const teams = replica.declarations('team')
    return {
      sizeOf: (job) => this.#sizes.estimate(job.team, job.kind, job.slots),
      quotaOf: (team) => Math.ceil((teams.get(team)?.spec.quotaSlots ?? 0) / Math.max(1, zoneCount())),
      weightOf: (team) => teams.get(team)?.spec.weight ?? 1
    }
  }

  async #renew (): Promise<void> {
    const { clock, registry, tasks } = this.#options
    if (clock.monotonicMs() - this.#lastRenewMs < RENEW_MS) return
    this.#lastRenewMs = clock.monotonicMs()
    const byHost = new Map<HostId, Job[]>()
    for (const job of Object.values(this.#jobs.jobs)) {
      if (isPlaced(job) && job.hostId !== undefined) byHost.set(job.hostId, [...(byHost.get(job.hostId) ?? []), job])
    }
    const reports = new Map<string, RunReport>()
    await Promise.all([...byHost].map(async ([hostId, jobs]) => {
      const host = registry.placed.get(hostId)?.host
      const answer = host === undefined ? undefined : await tasks.renew(host, jobs.map(taskIdOf), TASK_LEASE_MS)
      for (const job of jobs) {
        const report = answer?.ok === true ? answer.val.find(({ taskId }) => taskId === taskIdOf(job)) : undefined
        if (report !== undefined) this.#learn(job, report)
        reports.set(job.jobId, report ?? { state: 'silent' })
      }
    }))
    await this.#settle(reports)
  }

  #learn (job: Job, report: TaskReport): void {
    this.#lastAnswerMs.set(job.jobId, this.#options.clock.wallMs())
    if (report.state === 'done') this.#sizes.note(job.team, job.kind, job.slots, report.usedSlots)
    if (job.hostId === undefined) return
    if (report.state === 'done') this.#health.succeeded(job.hostId)
    if (report.state === 'failed') this.#health.failed(job.hostId, job.jobId, job.failedOn.length > 0, this.#options.clock.wallMs())
  }

  async #settle (reports: ReadonlyMap<string, RunReport>): Promise<void> {
    const nowMs = this.#options.clock.wallMs()
    const settled = (job: Job): Job => {
      const report = reports.get(job.jobId)
      const lastAnswerMs = this.#lastAnswerMs.get(job.jobId) ?? this.#takenOverMs
      return report === undefined || !isPlaced(job) ? job : settleJob(job, report, { nowMs, leaseMs: TASK_LEASE_MS, lastAnswerMs })
    }
    if (Object.values(this.#jobs.jobs).every((job) => settled(job) === job)) return
    await this.#jobs.commit((jobs) => { for (const [jobId, job] of jobs) jobs.set(jobId, settled(job)) })
  }

  /** Writes what starts and what gives way, and only then asks workers. */
  async #place (): Promise<void> {
    const { clock, registry } = this.#options
    const plan = planJobs(Object.values(this.#jobs.jobs), this.#workers(), this.#context(), clock.wallMs())
    const leaving = Object.values(this.#jobs.jobs).filter((job) => job.state === 'running' && !job.atMostOnce && job.hostId !== undefined &&
      registry.placed.get(job.hostId)?.isLeaving === true)
    await Promise.all([...plan.giveWay.map(({ jobId }) => this.#find(jobId)), ...leaving].map(async (job) => this.#requeue(job)))
    if (plan.start.length === 0) return
    const started = new Map<string, Job>()
    const result = await this.#jobs.commit((jobs) => {
      started.clear()
      for (const { jobId, hostId } of plan.start) {
        const job = jobs.get(jobId)
        if (job?.state !== 'queued') continue
        const starting: Job = { ...job, state: 'starting', hostId, attempt: job.attempt + 1, sinceMs: clock.wallMs() }
        jobs.set(jobId, starting)
        started.set(jobId, starting)
      }
    })
    if (result !== 'committed') return
    const reports = new Map<string, RunReport>()
    await Promise.all([...started.values()].map(async (job) => { reports.set(job.jobId, await this.#startTask(job)) }))
    await this.#settle(reports)
  }

  async #startTask (job: Job): Promise<RunReport> {
    const { registry, tasks, log } = this.#options
    const fencingToken = this.#token()
    const host = job.hostId === undefined ? undefined : registry.placed.get(job.hostId)?.host
    if (fencingToken === undefined || host === undefined) return { state: 'refused' }
    const started = await tasks.start(host, {
      taskId: taskIdOf(job), fencingToken, leaseMs: TASK_LEASE_MS, slots: job.slots, command: job.command, checkpoint: job.checkpoint
    })
    log.info({ job: job.jobId, host: job.hostId, attempt: job.attempt, outcome: started.val }, 'job start')
    if (started.ok) return { state: started.val === 'started' ? 'running' : 'refused' }
    return { state: started.val.kind === 'unavailable' ? 'refused' : 'silent' }
  }

  /** Stops a run with its checkpoint, and queues the job again. */
  async #requeue (job: Job): Promise<void> {
    const report = await this.#stopTask(job)
    if (report === undefined) return
    const nowMs = this.#options.clock.wallMs()
    await this.#jobs.commit((jobs) => {
      const current = jobs.get(job.jobId)
      if (current === undefined || !isPlaced(current) || current.attempt !== job.attempt) return
      if (report.state === 'done') {
        jobs.set(job.jobId, settleJob(current, report, { nowMs, leaseMs: TASK_LEASE_MS, lastAnswerMs: nowMs }))
      } else {
        const checkpoint = report.checkpoint ?? current.checkpoint
        jobs.set(job.jobId, { ...current, state: 'queued', hostId: undefined, sinceMs: nowMs, checkpoint, reason: 'gave way' })
      }
    })
  }

  async #stopTask (job: Job): Promise<TaskReport | undefined> {
    const { registry, tasks } = this.#options
    const host = job.hostId === undefined ? undefined : registry.placed.get(job.hostId)?.host
    if (host === undefined) return undefined
    const stopped = await tasks.stop(host, taskIdOf(job))
    return stopped.ok ? stopped.val : undefined
  }

  async #forget (): Promise<void> {
    const nowMs = this.#options.clock.wallMs()
    const isOld = (job: Job): boolean => isEnded(job) && nowMs - job.sinceMs > ENDED_JOB_KEPT_MS
    if (!Object.values(this.#jobs.jobs).some(isOld)) return
    await this.#jobs.commit((jobs) => { for (const [jobId, job] of jobs) if (isOld(job)) jobs.delete(jobId) })
    for (const jobId of this.#lastAnswerMs.keys()) if (this.#jobs.jobs[jobId] === undefined) this.#lastAnswerMs.delete(jobId)
  }
}
