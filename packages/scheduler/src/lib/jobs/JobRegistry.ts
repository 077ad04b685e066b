/**
 * Keeps a scheduler's jobs, and applies what becomes known of runs to tasks and jobs.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { EndReport, RunEnd } from '@quillscale/ports'
import { allTasks, hasEnded, isJobDone, type Job, type JobId, type JobStatus, type Run, type RunTimeEstimator, stepOf, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { runKey, type WorkerLink } from '../workers/WorkerLink.js'

/** Why a run is over: as its worker reported, or as was concluded without it. @public */
export type RunOutcome = RunEnd | 'not-started' | 'lost'

/** Why a run is taken for lost, so that the logs tell one way of losing it from the others. @public */
export interface LossEvidence {
  readonly reason: string
  /** For how long its worker had not answered this holder; what former holders heard is not counted. */
  readonly silentMs: number
  /** Since its placement, `undefined` where an earlier holder made it. */
  readonly placedAgoMs?: number | undefined
  /** Runs of other jobs on its worker at that time. */
  readonly runsOfOtherJobs?: number
}

/** What is known of a run's end besides its outcome. @public */
export interface RunEndDetails {
  /** That the run left. */
  readonly checkpoint?: string
  /** Of one that is lost. */
  readonly evidence?: LossEvidence
}

/** What the book needs of its scheduler. @public */
export interface JobRegistryOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly times: RunTimeEstimator
  /** Failed runs after which a task of this job has failed. */
  readonly maxAttemptsOf: (job: Job) => number
  /** Where a run is. */
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Called for each job whose progress is to be written. */
  readonly onChanged: (job: Job) => void
  /** Called for each run that is surely over. */
  readonly onRunClosed: (run: Run) => void
  /** Called for each run that is not needed any more. */
  readonly onUnneeded: (run: Run) => void
}

/** The book. @public */
export class JobRegistry {
  readonly jobs = new Map<JobId, Job>()
  readonly #options: JobRegistryOptions

  /** @param options - its scheduler's part */
  constructor (options: JobRegistryOptions) {
    this.#options = options
  }

  /** Takes note that a run is over. @param run - that was placed @param outcome - how @param details - what else is known */
  closeRun (run: Run, outcome: RunOutcome, { checkpoint = '', evidence }: RunEndDetails = {}): void {
    const { task } = run
    const at = task.runs.indexOf(run)
    if (at < 0) return
    task.runs.splice(at, 1)
    this.#options.onRunClosed(run)
    this.#options.linkOf(run)?.runs.delete(runKey(run))
    if (checkpoint !== '' && stepOf(task).isCheckpointing) task.checkpoint = checkpoint
    const { job } = task
    this.#updateWorkerHealth(run, outcome)
    if (job.status === 'queued' && outcome !== 'not-started' && outcome !== 'lost') job.status = 'running'
    if (!hasEnded(job)) this.#applyOutcome(run, outcome)
    this.#logEnd(run, outcome, evidence)
    this.#options.onChanged(job)
  }

  /** @param link - of the worker @param end - as listed @returns whether it was new */
  recordEndReport (link: WorkerLink, end: EndReport): boolean {
    if (end.sequence <= link.processedSequence) return false
    link.processedSequence = end.sequence
    const run = link.runs.get(runKey(end))
    if (run === undefined) {
      this.#options.log.debug({ taskKey: end.taskKey, runNumber: end.runNumber, end: end.end, instanceId: link.instance.instanceId }, 'end of a run that is not ours')
      return true
    }
    this.closeRun(run, end.end, { checkpoint: end.checkpoint })
    return true
  }

  /** Ends the job of a task that ends the workers which start it. @param task - of a job that has not ended */
  giveUpTask (task: Task): void {
    const { job, key, crashes, avoidedInstances: avoid } = task
    this.#options.log.warn({ jobId: job.spec.jobId, taskKey: key, points: crashes.points, starts: task.lastRunNumber, lastOn: [...avoid].at(-1) }, 'task given up: it ends the workers that start it')
    job.failure = { reason: 'crashes', taskKey: key }
    this.endJob(job, 'failed')
  }

  /** Ends a job: what still runs is stopped. @param job - that has not ended @param status - its end */
  endJob (job: Job, status: JobStatus): void {
    job.status = status
    job.endedMs = this.#options.clock.wallMs()
    this.#options.log.info({ jobId: job.spec.jobId, queue: job.spec.queue, status, tookMs: job.endedMs - job.spec.submittedMs }, 'job ended')
    for (const task of allTasks(job)) for (const run of [...task.runs]) this.#options.onUnneeded(run)
    this.#options.onChanged(job)
  }

  #applyOutcome (run: Run, outcome: RunOutcome): void {
    const { task } = run
    const { job } = task
    const step = stepOf(task)
    if (outcome === 'done' && !step.isLasting) {
      for (const member of step.isGang ? this.#gangMembers(task) : [task]) this.#markDone(member)
      if (isJobDone(job)) this.endJob(job, 'succeeded')
      return
    }
    if (outcome === 'failed' && !step.isLasting) {
      task.failures++
      const failures = step.isGang ? Math.max(...this.#gangMembers(task).map((member) => member.failures)) : task.failures
      if (failures >= this.#options.maxAttemptsOf(job)) {
        job.failure = { reason: 'attempts', taskKey: task.key }
        return this.endJob(job, 'failed')
      }
    }
    if (outcome === 'failed' || outcome === 'lost') task.avoidedInstances.add(run.instanceId)
  }

  #gangMembers (task: Task): readonly Task[] {
    return task.job.occurrences.get(task.occurrence)?.[task.stepIndex] ?? [task]
  }

  #markDone (task: Task): void {
    task.isDone = true
    for (const other of [...task.runs]) this.#options.onUnneeded(other)
  }

  #updateWorkerHealth (run: Run, outcome: RunOutcome): void {
    const link = this.#options.linkOf(run)
    const nowMs = this.#options.clock.monotonicMs()
    if (outcome === 'done') {
      link?.health.succeeded()
      if (run.startedMs !== undefined) this.#options.times.addSample(stepOf(run.task), nowMs - run.startedMs)
    }
    if (outcome !== 'failed' || link === undefined || stepOf(run.task).isLasting) return
    const failedElsewhere = allTasks(run.task.job).some((task) => [...task.avoidedInstances].some((instanceId) => instanceId !== run.instanceId))
    if (link.health.failed(run.task.job.spec.jobId, failedElsewhere, nowMs)) {
      this.#options.log.warn({ instanceId: run.instanceId, taskKey: run.taskKey }, 'worker set apart: runs of several jobs failed there')
    }
  }

  #logEnd (run: Run, outcome: RunOutcome, evidence: LossEvidence | undefined): void {
    if (outcome === 'done' || outcome === 'stopped') return
    const { taskKey, runNumber, instanceId, task } = run
    this.#options.log.info({ jobId: task.job.spec.jobId, taskKey, runNumber, instanceId, outcome, ...evidence, failures: task.failures }, 'run ended early')
  }
}
