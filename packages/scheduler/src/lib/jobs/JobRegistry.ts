/**
 * Holds the jobs of a scheduler, and updates tasks and jobs as their runs end.
 *
 * @module
 */
import { largestOf, type Clock } from '@quillscale/utils'
import type { EndReport, RunEnd } from '@quillscale/ports'
import { allTasks, gangOf, hasEnded, hasOpenTask, isJobDone, type Job, type JobId, type JobStatus, retireOccurrence, type Run, type RunTimeEstimator, stepOf, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { isKeepableCheckpoint } from './jobProgress.js'
import { runKey, type WorkerLink } from '../workers/WorkerLink.js'

/** How a run ended: as its worker reported, or as the scheduler concluded without a report. @public */
export type RunOutcome = RunEnd | 'not-started' | 'lost'

/** Why a run is considered lost; logged to distinguish the ways in which runs are lost. @public */
export interface LossEvidence {
  readonly reason: string
  /** How long the worker has not answered this duty holder; answers to previous holders are not counted. */
  readonly silentMs: number
  /** Time since the run was placed; `undefined` if a previous duty holder placed it. */
  readonly placedAgoMs?: number | undefined
  /** Number of runs of other jobs on the worker at that time. */
  readonly runsOfOtherJobs?: number
  /** Whether a report of that lifetime of the worker has listed the run; otherwise the next lifetime may have taken its start. */
  readonly isListed?: boolean
}

/** Details of the end of a run besides its outcome. @public */
export interface RunEndDetails {
  /** The checkpoint that the run reported, empty if there is none. */
  readonly checkpoint?: string
  /** Why the run is considered lost; set only for lost runs. */
  readonly evidence?: LossEvidence
}

/** Dependencies of a {@link JobRegistry}. @public */
export interface JobRegistryOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly runTimes: RunTimeEstimator
  /** Returns the number of failed runs of one task after which its job fails. */
  readonly maxAttemptsOf: (job: Job) => number
  /** Returns the link to the worker on which a run was placed. */
  readonly linkOf: (run: Run) => WorkerLink | undefined
  /** Called for each job whose progress records have to be written, with the tasks that changed unless all may have. */
  readonly onChanged: (job: Job, tasks?: readonly Task[]) => void
  /** Called for each run that has definitely ended. */
  readonly onRunClosed: (run: Run) => void
  /** Called when the first run of a job without a schedule has started, with the time since the job was accepted, by the clocks of two hosts. */
  readonly onBegun: (waitedMs: number) => void
  /** Called for each run that is no longer needed and has to be stopped. */
  readonly onUnneeded: (run: Run) => void
}

/** Holds the jobs of a scheduler and applies the outcomes of their runs. @public */
export class JobRegistry {
  readonly jobs = new Map<JobId, Job>()
  readonly #options: JobRegistryOptions
  /** Tasks of which a checkpoint was too long, so that each is logged once. */
  readonly #longCheckpoints = new WeakSet<Task>()

  /** @param options - dependencies */
  constructor (options: JobRegistryOptions) {
    this.#options = options
  }

  /**
   * Removes a run that has ended and applies its outcome to its task and job.
   *
   * @param run - the run that ended
   * @param outcome - how it ended
   * @param details - checkpoint, and evidence for a lost run
   */
  closeRun (run: Run, outcome: RunOutcome, { checkpoint = '', evidence }: RunEndDetails = {}): void {
    const { task } = run
    const index = task.runs.indexOf(run)
    if (index < 0) return
    task.runs.splice(index, 1)
    this.#options.onRunClosed(run)
    this.#options.linkOf(run)?.runs.delete(runKey(run))
    if (checkpoint !== '') this.keepCheckpoint(run, checkpoint)
    const { job } = task
    this.#updateWorkerHealth(run, outcome)
    if (outcome !== 'not-started' && outcome !== 'lost') this.markBegun(job)
    if (!hasEnded(job)) this.#applyOutcome(run, outcome)
    this.#logEnd(run, outcome, evidence)
    // The end of a gang member marks all members.
    this.#options.onChanged(job, stepOf(task).isGang ? gangOf(task) : [task])
    retireOccurrence(job, task.occurrence)
  }

  /**
   * Marks a job as running, unless it was before.
   *
   * @param job - a job of which a worker has started a run
   * @returns whether it had not begun before
   */
  markBegun (job: Job): boolean {
    if (job.status !== 'queued') return false
    job.status = 'running'
    if (job.spec.schedule === undefined) this.#options.onBegun(this.#options.clock.wallMs() - job.spec.submittedMs)
    return true
  }

  /**
   * Applies the end of a run that a worker reported, unless it was applied before.
   *
   * @param link - the link to the worker
   * @param end - the reported end
   * @returns whether the report was new
   */
  recordEndReport (link: WorkerLink, end: EndReport): boolean {
    if (end.sequence <= link.processedSequence) return false
    link.processedSequence = end.sequence
    const run = link.runs.get(runKey(end))
    if (run === undefined) {
      this.#options.log.debug({ taskKey: end.taskKey, runNumber: end.runNumber, end: end.end, instanceId: link.instance.instanceId }, 'worker reported the end of a run that this scheduler does not track')
      return true
    }
    this.closeRun(run, end.end, { checkpoint: end.checkpoint })
    return true
  }

  /**
   * Gives up a task that crashes the workers that start it. Its job fails, unless other lasting tasks of it can go on: those serve users of their own,
   * and the disruption limit of their step forbids to stop them all at once.
   *
   * @param task - a task of a job that has not ended
   */
  giveUpTask (task: Task): void {
    const { job, key, crashes, avoidedInstances } = task
    task.isGivenUp = true
    const goesOn = stepOf(task).isLasting && hasOpenTask(job, ({ isLasting, isGang }) => isLasting && !isGang)
    const details = { jobId: job.spec.jobId, taskKey: key, points: crashes.points, starts: task.lastRunNumber, lastOn: [...avoidedInstances].at(-1), goesOn }
    this.#options.log.warn(details, 'task given up: it ends the workers that start it')
    if (goesOn) return this.#options.onChanged(job, [task])
    job.failure = { reason: 'crashes', taskKey: key }
    this.endJob(job, 'failed')
  }

  /**
   * Ends a job and stops its remaining runs.
   *
   * @param job - a job that has not ended
   * @param status - its final status
   */
  endJob (job: Job, status: JobStatus): void {
    job.status = status
    job.endedMs = this.#options.clock.wallMs()
    this.#options.log.info({ jobId: job.spec.jobId, queue: job.spec.queue, status, tookMs: job.endedMs - job.spec.submittedMs }, 'job ended')
    for (const task of allTasks(job)) for (const run of [...task.runs]) this.#options.onUnneeded(run)
    this.#options.onChanged(job)
  }

  /**
   * Keeps the checkpoint of a task, and of all members if it is one of a gang, unless it is too long to be recorded.
   *
   * @param run - a run of the task
   * @param checkpoint - as reported by its worker
   */
  keepCheckpoint ({ task, taskKey, runNumber }: Run, checkpoint: string): void {
    if (!stepOf(task).isCheckpointing) return
    if (isKeepableCheckpoint(checkpoint)) {
      // Any member's checkpoint serves for its gang.
      for (const member of stepOf(task).isGang ? gangOf(task) : [task]) member.checkpoint = checkpoint
    } else if (!this.#longCheckpoints.has(task)) {
      this.#longCheckpoints.add(task)
      this.#options.log.warn({ taskKey, runNumber, chars: checkpoint.length }, 'checkpoint not kept: it is too long')
    }
  }

  #applyOutcome (run: Run, outcome: RunOutcome): void {
    const { task } = run
    const { job } = task
    const step = stepOf(task)
    if (outcome === 'done' && !step.isLasting) {
      for (const member of step.isGang ? gangOf(task) : [task]) this.#markDone(member)
      if (isJobDone(job)) this.endJob(job, 'succeeded')
      return
    }
    if (outcome === 'failed' && !step.isLasting) {
      task.failures++
      const failures = step.isGang ? largestOf(gangOf(task).map((member) => member.failures)) : task.failures
      if (failures >= this.#options.maxAttemptsOf(job)) {
        job.failure = { reason: 'attempts', taskKey: task.key }
        return this.endJob(job, 'failed')
      }
    }
    if (outcome === 'failed' || outcome === 'lost') task.avoidedInstances.add(run.instanceId)
  }

  #markDone (task: Task): void {
    task.isDone = true
    for (const run of [...task.runs]) this.#options.onUnneeded(run)
  }

  #updateWorkerHealth (run: Run, outcome: RunOutcome): void {
    const link = this.#options.linkOf(run)
    const nowMs = this.#options.clock.monotonicMs()
    if (outcome === 'done') {
      link?.health.succeeded()
      const wasCold = run.startedMs !== undefined && link !== undefined && run.startedMs < link.coldUntilMs
      if (run.startedMs !== undefined && !wasCold) this.#options.runTimes.addSample(stepOf(run.task), nowMs - run.startedMs)
    }
    if (outcome !== 'failed' || link === undefined || stepOf(run.task).isLasting) return
    const hasFailedElsewhere = allTasks(run.task.job).some((task) => [...task.avoidedInstances].some((instanceId) => instanceId !== run.instanceId))
    if (link.health.failed(run.task.job.spec.jobId, hasFailedElsewhere, nowMs)) {
      this.#options.log.warn({ instanceId: run.instanceId, taskKey: run.taskKey }, 'worker set apart: runs of several jobs failed there')
    }
  }

  #logEnd (run: Run, outcome: RunOutcome, evidence: LossEvidence | undefined): void {
    if (outcome === 'done' || outcome === 'stopped') return
    const { taskKey, runNumber, instanceId, task } = run
    this.#options.log.info({ jobId: task.job.spec.jobId, taskKey, runNumber, instanceId, outcome, ...evidence, failures: task.failures }, 'run ended early')
  }
}
