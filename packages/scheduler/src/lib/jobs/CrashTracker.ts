/**
 * Charges tasks with penalty points for workers that ended while running them, and distinguishes crashes caused by a task from outages
 * that end several workers at once.
 *
 * @module
 */
import { hasEnded, isCrashSuspect, startMsOf, CRASH_POINTS, EARLY_LOSS_MS, type CrashRecord, type Job, type WorkerLossKind, type Run, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** A worker that ended, and the runs that were lost with it. @public */
export interface WorkerLoss {
  readonly instanceId: string
  /** `undefined` if this duty holder has never contacted the worker. */
  readonly rack: string | undefined
  readonly availabilityZone: string | undefined
  /** Runs that were placed on the worker and are not known to have ended; empty if no task can have ended the worker. */
  readonly runs: readonly Run[]
  /** Monotonic time of the last answer to this duty holder; `undefined` if the worker never answered it. */
  readonly lastAnswerMs: number | undefined
  /** The worker was draining, its machine was being drained, or its registration had ended while it still answered. */
  readonly isPlanned: boolean
  /** Nothing confirms that the worker ended: it does not answer, and its leases have expired. */
  readonly isSilent: boolean
}

/** Dependencies of a {@link CrashTracker}. @public */
export interface CrashTrackerOptions {
  readonly log: EventLog
  /** Counts a lost worker in the metrics. */
  readonly count: (kind: WorkerLossKind) => void
  /** Called for each job whose tasks had points taken back. */
  readonly onChanged: (job: Job) => void
}

/**
 * Points that a task received for one crash, with the record they were added to. A long run gives the task a new record; points of the old
 * record must not be taken from the new one, which holds newer crashes only.
 */
interface Penalty { readonly task: Task, readonly record: CrashRecord, readonly hasSurvivedStart: boolean, points: number }

/** The end of a worker, with or without runs. */
interface WorkerEnd {
  readonly atMs: number
  readonly loss: WorkerLoss
  /** Jobs with a run that had just started on the worker. */
  readonly justStartedJobs: ReadonlySet<Job>
}

interface Crash extends WorkerEnd {
  readonly penalties: readonly Penalty[]
  isShared: boolean
}

/** Numbers of other workers that ended at the same time and that no common job can have ended. */
interface UnrelatedLosses { readonly inRack: number, readonly inZone: number }

/** Losses of workers that fail together are detected within this time: one or two listings of the machines. */
const SIMULTANEOUS_LOSS_MS = 1000
/** Workers of one rack or zone that must end together to prove a common cause, such as a power loss. */
const MIN_CORRELATED_LOSSES = 3
/** How long points can be taken back. A job is given up a few seconds after its first crash, so all its crashes are still known then. */
const CRASH_RETENTION_MS = 60_000
/** Bounds the memory used; the oldest crashes are dropped. */
const MAX_RETAINED_CRASHES = 200
/** Bounds the work in an outage of many workers, of which a few tell as much as all. */
const MAX_IDLE_ENDS = 50
const MAX_LOGGED_TASKS = 20

/** Records lost workers, and keeps the penalty points of the tasks that ran on them. @public */
export class CrashTracker {
  readonly #options: CrashTrackerOptions
  #crashes: Crash[] = []
  /** Recent ends of workers without runs, which prove that something else than a task ends workers. */
  #idleEnds: WorkerEnd[] = []

  /** @param options - dependencies */
  constructor (options: CrashTrackerOptions) {
    this.#options = options
  }

  /**
   * Charges the tasks that ran on a lost worker, then reduces the points where a common cause such as a power loss has become evident.
   *
   * @param loss - the worker and its runs; without runs it only tells about the cause of other losses
   * @param nowMs - current monotonic time
   */
  recordLoss (loss: WorkerLoss, nowMs: number): void {
    if (loss.runs.length === 0) return this.#recordIdleEnd(loss, nowMs)
    // If the end was planned, a run that the worker is known to have survived for a while did not cause it.
    const begun = loss.runs.filter((run) => run.phase !== 'recording' && !(loss.isPlanned && hasSurvivedStart(loss, run)))
    if (begun.length === 0) return
    const justStartedTasks = new Set(begun.filter((run) => hasJustStarted(run, nowMs)).map(({ task }) => task))
    const suspects = new Set([...justStartedTasks].filter(isCrashSuspect).map(({ job }) => job))
    const isSingleJob = new Set(begun.map(({ task }) => task.job)).size === 1
    const penalties = begun.map((run): Penalty =>
      ({
        task: run.task,
        record: run.task.crashes,
        hasSurvivedStart: hasSurvivedStart(loss, run),
        points: CRASH_POINTS[lossKindOf(loss, run.task, justStartedTasks, suspects)]
      }))
    for (const { task, record, points } of penalties) {
      const isJustStarted = justStartedTasks.has(task)
      record.points += points
      record.lastLossMs = nowMs
      record.hasEarlyLoss = !loss.isSilent && isJustStarted && (suspects.size === 0 || suspects.has(task.job))
      record.isLastLossCertain = !loss.isSilent && isSingleJob && isJustStarted
      record.hasOnlyAttributableLosses &&= isJustStarted
    }
    this.#report(loss, baseLossKindOf(loss, justStartedTasks.size > 0), penalties)
    if (loss.isSilent) return
    const justStartedJobs = new Set([...justStartedTasks].map(({ job }) => job))
    const retained = this.#crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS).slice(1 - MAX_RETAINED_CRASHES)
    this.#crashes = [...retained, { atMs: nowMs, loss, penalties, justStartedJobs, isShared: false }]
    this.#applyCommonCauses(nowMs)
  }

  #recordIdleEnd (loss: WorkerLoss, nowMs: number): void {
    if (loss.isPlanned || loss.isSilent) return
    this.#idleEnds = [...this.#idleEnds.slice(1 - MAX_IDLE_ENDS), { atMs: nowMs, loss, justStartedJobs: new Set() }]
    this.#applyCommonCauses(nowMs)
  }

  /** Judges the recent crashes by all recent ends of workers. Any end without runs makes the cause of each crash doubtful. */
  #applyCommonCauses (nowMs: number): void {
    const isRecent = ({ atMs }: WorkerEnd): boolean => nowMs - atMs < SIMULTANEOUS_LOSS_MS
    this.#idleEnds = this.#idleEnds.filter(isRecent)
    const crashes = this.#crashes.filter(isRecent)
    const ends = [...crashes, ...this.#idleEnds]
    for (const crash of crashes) this.#applyCommonCause(crash, countUnrelatedLosses(crash, ends))
    if (this.#idleEnds.length === 0) return
    for (const { penalties } of crashes) for (const { record } of penalties) record.hasOnlyAttributableLosses = false
  }

  /**
   * Takes points back from tasks of other jobs for crashes that are now attributed to the given job.
   *
   * @param culprit - the job that was given up because it ends its workers
   */
  clearOtherJobs (culprit: Job): void {
    for (const { loss, penalties, justStartedJobs } of this.#crashes) {
      if (!justStartedJobs.has(culprit)) continue
      const otherPenalties = penalties.filter(({ task, points }) => task.job !== culprit && points > 0 && !hasEnded(task.job))
      // Both jobs may be at fault: a task that may have just started there keeps the points of a loss whose cause is uncertain.
      for (const { record } of otherPenalties) record.hasEarlyLoss = false
      for (const penalty of otherPenalties) this.#reducePenalty(penalty, penalty.hasSurvivedStart ? CRASH_POINTS.cleared : CRASH_POINTS.beside)
      if (otherPenalties.length > 0) this.#report(loss, 'cleared', otherPenalties)
    }
  }

  /**
   * Reduces the points of a crash if unrelated workers nearby ended at the same time. Two workers of one rack may still be two crashes. Three
   * in a rack or zone that no common job can have ended are an outage, for which no task has to be isolated from other jobs.
   */
  #applyCommonCause (crash: Crash, { inRack, inZone }: UnrelatedLosses): void {
    const isWideOutage = inZone >= MIN_CORRELATED_LOSSES - 1 || inRack >= MIN_CORRELATED_LOSSES - 1
    if (isWideOutage) for (const { record } of crash.penalties) record.hasEarlyLoss = false
    if (crash.isShared || (inRack === 0 && !isWideOutage)) return
    crash.isShared = true
    for (const penalty of crash.penalties) this.#reducePenalty(penalty, CRASH_POINTS.shared)
    this.#report(crash.loss, 'shared', crash.penalties)
  }

  #reducePenalty (penalty: Penalty, points: number): void {
    const { record, task } = penalty
    const reduction = Math.max(0, penalty.points - points)
    penalty.points -= reduction
    record.points = Math.max(0, record.points - reduction)
    record.isLastLossCertain = false
    this.#options.onChanged(task.job)
  }

  #report ({ instanceId }: WorkerLoss, kind: WorkerLossKind, penalties: readonly Penalty[]): void {
    this.#options.count(kind)
    const points = penalties.slice(0, MAX_LOGGED_TASKS).map(({ task }) => `${task.key}: ${task.crashes.points}`)
    this.#options.log.info({ instanceId, kind, points, count: penalties.length }, 'worker ended under tasks')
  }
}

/**
 * Classifies a loss by the state of the worker alone.
 *
 * @param isJustStarted - whether the task, or any task of the worker, had just started there
 */
function baseLossKindOf ({ isSilent, isPlanned, lastAnswerMs }: WorkerLoss, isJustStarted: boolean): WorkerLossKind {
  if (isSilent) return 'silent'
  const isUnknown = isPlanned || lastAnswerMs === undefined
  return isUnknown && !isJustStarted ? 'unclear' : 'crash'
}

/** Classifies a loss for one task. If a suspect task had just started on the worker, tasks of other jobs are probably not the cause. */
function lossKindOf (loss: WorkerLoss, task: Task, justStartedTasks: ReadonlySet<Task>, suspects: ReadonlySet<Job>): WorkerLossKind {
  const cause = baseLossKindOf(loss, justStartedTasks.has(task))
  return cause === 'crash' && suspects.size > 0 && !suspects.has(task.job) ? 'beside' : cause
}

/** Counts the workers of the same rack and zone that ended at the same time without a just started job in common. */
function countUnrelatedLosses ({ loss, justStartedJobs }: Crash, recent: readonly WorkerEnd[]): UnrelatedLosses {
  const others = recent.filter((other) => other.loss !== loss && ![...other.justStartedJobs].some((job) => justStartedJobs.has(job)))
  return {
    inRack: others.filter(({ loss: { rack } }) => rack !== undefined && rack === loss.rack).length,
    inZone: others.filter(({ loss: { availabilityZone } }) => availabilityZone !== undefined && availabilityZone === loss.availabilityZone).length
  }
}

function hasJustStarted (run: Run, nowMs: number): boolean {
  const startMs = startMsOf(run)
  return startMs !== undefined && nowMs - startMs <= EARLY_LOSS_MS
}

/** Whether the worker is known to have answered more than {@link EARLY_LOSS_MS} after the start of the run. */
function hasSurvivedStart ({ lastAnswerMs }: WorkerLoss, run: Run): boolean {
  const startMs = startMsOf(run)
  return lastAnswerMs !== undefined && startMs !== undefined && lastAnswerMs - startMs > EARLY_LOSS_MS
}
