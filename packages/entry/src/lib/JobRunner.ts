/**
 * Runs this zone's jobs on its workers: renews what runs, places what waits, stops what gives way. Each step is written
 * before a worker is told of it.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Clock } from '@quillscale/utils'
import type { HostId } from '@quillscale/model'
import type { ListedHost, TaskReport, WorkerTasks } from '@quillscale/ports'
import type { ConfigurationReplica } from '@quillscale/configuration'
import {
  ENDED_JOB_RETENTION_MS, JobSizeEstimator, SilentHosts, WorkerHealth, WorkerLosses, isEnded, isPlaced, planJobs, applyRunReport, taskIdOf,
  type Job, type JobWorker, type JobsPlan, type JobsPlanningContext, type RunReport
} from '@quillscale/jobs'
import type { JobStore } from './JobStore.js'
import { listJobWorkers } from './listJobWorkers.js'
import type { ServiceRegistry } from './ServiceRegistry.js'

/** What it works on. @public */
export interface JobRunnerOptions {
  readonly tasks: WorkerTasks
  readonly replica: ConfigurationReplica
  readonly registry: ServiceRegistry
  readonly clock: Clock
  readonly log: Logger
  /** Zones known, reachable or not: quotas are divided among them in a cut. */
  readonly zoneCount: () => number
}

/** How long a task goes on without renewal. @public */
export const TASK_LEASE_MS = 10_000

const RENEW_MS = 1000
/** A worker that has not answered for this long counts as lost, for what that tells about the losses of others. */
const MIN_SILENCE_MS = 3000

/** Runs jobs on workers. @public */
export class JobRunner {
  readonly #options: JobRunnerOptions
  readonly #jobs: JobStore
  readonly #token: () => number | undefined
  readonly #sizes = new JobSizeEstimator()
  readonly #health = new WorkerHealth()
  readonly #losses = new WorkerLosses()
  readonly #lastAnswerMs = new Map<string, number>()
  /** When workers last listed the current run of a job, by task id. */
  readonly #lastListedMs = new Map<string, number>()
  readonly #silentHosts = new SilentHosts()
  #lastRenewMs = -Infinity
  #takenOverMs = 0

  /**
   * @param options - what it works on
   * @param jobs - of this zone
   * @param token - the right to act now
   */
  constructor (options: JobRunnerOptions, jobs: JobStore, token: () => number | undefined) {
    this.#options = options
    this.#jobs = jobs
    this.#token = token
  }

  /** Notes that this entry host took the zone's jobs over: their workers count as heard now, as a former holder may just have renewed them. */
  noteTakeOver (): void {
    this.#takenOverMs = this.#options.clock.wallMs()
  }

  /** Does one round. */
  async round (): Promise<void> {
    await this.#renew()
    await this.#place()
    await this.#forget()
  }

  /** @returns the zone's workers that have slots for jobs */
  workers (): JobWorker[] {
    const { registry, replica, clock } = this.#options
    const nowMs = clock.wallMs()
    const isApart = (hostId: HostId): boolean => this.#health.isQuarantined(hostId, nowMs) || this.#silentHosts.has(hostId)
    return listJobWorkers({ registry, replica, isApart }, nowMs)
  }

  /** @param job - one that was placed @returns what its worker told at the end of its task, `undefined` without an answer */
  async stopTask (job: Job): Promise<TaskReport | undefined> {
    const { tasks } = this.#options
    const host = this.#hostOf(job)
    if (host === undefined) return undefined
    const stopped = await tasks.stop(host, taskIdOf(job))
    return stopped.ok ? stopped.val : undefined
  }

  #hostOf ({ hostId }: Job): ListedHost | undefined {
    return hostId === undefined ? undefined : this.#options.registry.placed.get(hostId)?.host
  }

  #context (): JobsPlanningContext {
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
    // Nothing else calls a silent worker without jobs.
    const probes = Promise.all(this.#silentHosts.hostIds.filter((hostId) => !byHost.has(hostId)).map((hostId) => this.#probe(hostId)))
    const renewals = Promise.all([...byHost].map(async ([hostId, jobs]) => {
      const host = registry.placed.get(hostId)?.host
      const answer = host === undefined ? undefined : await tasks.renew(host, jobs.map(taskIdOf), TASK_LEASE_MS)
      this.#recordLoss(hostId, jobs, answer?.ok === true ? answer.val : undefined)
      for (const job of jobs) {
        const report = answer?.ok === true ? answer.val.find(({ taskId }) => taskId === taskIdOf(job)) : undefined
        if (report !== undefined) this.#learn(job, report)
        reports.set(job.jobId, report ?? { state: 'silent' })
      }
    }))
    await Promise.all([renewals, probes])
    await this.#settle(reports)
  }

  /** Records a worker as lost if it has restarted since a job started there, or has not answered for a while. */
  #recordLoss (hostId: HostId, jobs: readonly Job[], reports: readonly TaskReport[] | undefined): void {
    const nowMs = this.#options.clock.wallMs()
    const isRestarted = jobs.some((job) => job.state === 'running' && reports?.some(({ taskId, state }) => taskId === taskIdOf(job) && state === 'unknown-task'))
    this.#noteAnswer(hostId, reports !== undefined)
    if (isRestarted || this.#silentHosts.silentForMs(hostId, nowMs) >= MIN_SILENCE_MS) this.#losses.record(hostId, jobs.map(({ jobId }) => jobId), nowMs)
  }

  #noteAnswer (hostId: HostId, hasAnswered: boolean): void {
    this.#silentHosts.record(hostId, hasAnswered, this.#options.clock.wallMs())
  }

  /** Asks whether a worker answers. @param hostId - its host @returns whether it does */
  async #probe (hostId: HostId): Promise<boolean> {
    const { registry, tasks } = this.#options
    const host = registry.placed.get(hostId)?.host
    if (host === undefined) {
      this.#silentHosts.forget(hostId)
      return false
    }
    const hasAnswered = (await tasks.renew(host, [], TASK_LEASE_MS)).ok
    this.#noteAnswer(hostId, hasAnswered)
    return hasAnswered
  }

  #learn (job: Job, report: TaskReport): void {
    this.#lastAnswerMs.set(job.jobId, this.#options.clock.wallMs())
    if (report.state === 'running') this.#lastListedMs.set(taskIdOf(job), this.#options.clock.wallMs())
    if (report.state === 'done') this.#sizes.addSample(job.team, job.kind, job.slots, report.usedSlots)
    if (job.hostId === undefined) return
    if (report.state === 'done') this.#health.succeeded(job.hostId)
    if (report.state === 'failed') this.#health.failed(job.hostId, job.jobId, job.failedOn.length > 0, this.#options.clock.wallMs())
  }

  async #settle (reports: ReadonlyMap<string, RunReport>): Promise<void> {
    const nowMs = this.#options.clock.wallMs()
    const settled = (job: Job): Job => {
      const report = reports.get(job.jobId)
      const lastAnswerMs = Math.max(this.#lastAnswerMs.get(job.jobId) ?? 0, this.#takenOverMs)
      if (report === undefined || !isPlaced(job)) return job
      const areOthersLost = this.#losses.hasOthers(job.jobId, job.hostId, nowMs)
      const lastListedMs = this.#lastListedMs.get(taskIdOf(job))
      return applyRunReport(job, report, { nowMs, leaseMs: TASK_LEASE_MS, lastAnswerMs, lastListedMs, areOthersLost })
    }
    if (Object.values(this.#jobs.jobs).every((job) => settled(job) === job)) return
    await this.#jobs.commit((jobs) => { for (const [jobId, job] of jobs) jobs.set(jobId, settled(job)) })
  }

  /** Writes what starts and what gives way, and only then asks workers. */
  async #place (): Promise<void> {
    const { clock, registry } = this.#options
    const plan = planJobs(Object.values(this.#jobs.jobs), this.workers(), this.#context(), clock.wallMs())
    const leaving = Object.values(this.#jobs.jobs).filter((job) => job.state === 'running' && !job.atMostOnce && job.hostId !== undefined &&
      registry.placed.get(job.hostId)?.isLeaving === true)
    await Promise.all([...plan.preempt.map(({ jobId }) => this.#jobs.find(jobId)), ...leaving].map(async (job) => this.#requeue(job)))
    const starts = await this.#withoutSilent(plan.start)
    if (starts.length === 0) return
    const started = new Map<string, Job>()
    const result = await this.#jobs.commit((jobs) => {
      started.clear()
      for (const { jobId, hostId } of starts) {
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

  /**
   * Leaves out starts of jobs that have lost runs on workers that do not answer. An unanswered start may have crashed the worker, so it counts
   * against its job; a worker that was silent before tells nothing about it.
   */
  async #withoutSilent (starts: JobsPlan['start']): Promise<JobsPlan['start']> {
    const mustAnswer = ({ jobId }: { jobId: string }): boolean => {
      const job = this.#jobs.jobs[jobId]
      return job !== undefined && job.lostRuns + (job.excusedLostRuns ?? 0) > 0
    }
    const hostIds = [...new Set(starts.filter(mustAnswer).map(({ hostId }) => hostId))]
    const answers = new Map(await Promise.all(hostIds.map(async (hostId): Promise<[HostId, boolean]> => [hostId, await this.#probe(hostId)])))
    return starts.filter(({ hostId }) => answers.get(hostId) !== false)
  }

  async #startTask (job: Job): Promise<RunReport> {
    const { tasks, log } = this.#options
    const fencingToken = this.#token()
    const host = this.#hostOf(job)
    if (fencingToken === undefined || host === undefined) return { state: 'refused' }
    const started = await tasks.start(host, {
      taskId: taskIdOf(job), fencingToken, leaseMs: TASK_LEASE_MS, slots: job.slots, command: job.command, checkpoint: job.checkpoint
    })
    this.#noteAnswer(host.hostId, started.ok)
    log.info({ job: job.jobId, host: job.hostId, attempt: job.attempt, outcome: started.val }, 'job start')
    if (started.ok) return { state: started.val === 'started' ? 'running' : 'refused' }
    return { state: started.val.kind === 'unavailable' ? 'refused' : 'silent' }
  }

  /** Stops a run with its checkpoint, and queues the job again. */
  async #requeue (job: Job): Promise<void> {
    const report = await this.stopTask(job)
    if (report === undefined) return
    const nowMs = this.#options.clock.wallMs()
    await this.#jobs.commit((jobs) => {
      const current = jobs.get(job.jobId)
      if (current === undefined || !isPlaced(current) || current.attempt !== job.attempt) return
      if (report.state === 'done') {
        const timing = { nowMs, leaseMs: TASK_LEASE_MS, lastAnswerMs: nowMs, lastListedMs: undefined, areOthersLost: false }
        jobs.set(job.jobId, applyRunReport(current, report, timing))
      } else {
        const checkpoint = report.checkpoint ?? current.checkpoint
        jobs.set(job.jobId, { ...current, state: 'queued', hostId: undefined, sinceMs: nowMs, checkpoint, reason: 'gave way' })
      }
    })
  }

  async #forget (): Promise<void> {
    const nowMs = this.#options.clock.wallMs()
    const placedIds = new Set(Object.values(this.#jobs.jobs).filter(isPlaced).map(taskIdOf))
    for (const taskId of this.#lastListedMs.keys()) if (!placedIds.has(taskId)) this.#lastListedMs.delete(taskId)
    const isOld = (job: Job): boolean => isEnded(job) && nowMs - job.sinceMs > ENDED_JOB_RETENTION_MS
    if (!Object.values(this.#jobs.jobs).some(isOld)) return
    await this.#jobs.commit((jobs) => { for (const [jobId, job] of jobs) if (isOld(job)) jobs.delete(jobId) })
    for (const jobId of this.#lastAnswerMs.keys()) if (this.#jobs.jobs[jobId] === undefined) this.#lastAnswerMs.delete(jobId)
  }
}
