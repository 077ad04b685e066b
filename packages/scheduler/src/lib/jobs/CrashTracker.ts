/**
 * Charges tasks with penalty points for workers that ended while running them, and distinguishes crashes caused by a task from losses that it cannot
 * have caused: of workers that had survived its start, and of workers that are lost at a time when others are lost without it.
 *
 * @module
 */
import {
  allTasks, hasEnded, hasSurvivedUntil, isCrashSuspect, knownSurvivalMs, startMsOf, CRASH_POINTS, EARLY_LOSS_MS, START_SURVIVAL_MS,
  type CrashRecord, type Job, type Run, type Task, type WorkerLossKind
} from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { clearCrashRecord } from './clearCrashRecord.js'

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
  /** Monotonic time of the last report that this lifetime of the worker gave to this duty holder, `-Infinity` if it gave none. */
  readonly lastReportMs: number
  /** The worker was draining, its machine was being drained, or its registration had ended while it still answered. */
  readonly isPlanned: boolean
  /** Nothing confirms that the worker ended: it does not answer, and its leases have expired. */
  readonly isSilent: boolean
}

/** Dependencies of a {@link CrashTracker}. @public */
export interface CrashTrackerOptions {
  readonly log: EventLog
  /** Monotonic time since which the duty has been held; losses of workers before that are unknown. */
  readonly tookOverMs: number
  /** Counts a lost worker in the metrics. */
  readonly count: (kind: WorkerLossKind) => void
  /** Called for each job whose tasks had points taken back. */
  readonly onChanged: (job: Job, tasks: readonly Task[]) => void
}

/**
 * Points that a task received for one crash, with the record they were added to. A long run gives the task a new record; points of the old
 * record must not be taken from the new one, which holds newer crashes only.
 */
interface Penalty { readonly task: Task, readonly record: CrashRecord, readonly hasSurvivedStart: boolean, points: number }

/** Runs of a lost worker that are charged, and the jobs of all runs that are not known to have survived. */
interface JudgedRuns { readonly charged: readonly Run[], readonly possibleCauses: ReadonlySet<Job> }

/** The end of a worker, with or without runs. */
interface WorkerEnd {
  readonly atMs: number
  readonly loss: WorkerLoss
  /** Jobs with a run that had just started on the worker. */
  readonly justStartedJobs: ReadonlySet<Job>
  /** Jobs with a run that is not known to have survived. */
  readonly possibleCauses: ReadonlySet<Job>
}

interface Crash extends WorkerEnd {
  readonly penalties: readonly Penalty[]
  isShared: boolean
}

/** Points for a worker that fell silent, and when they were last added. */
interface Silence { readonly atMs: number, readonly penalties: readonly Penalty[] }

/** Numbers of other workers that ended at the same time and that no common job can have ended. */
interface UnrelatedLosses { readonly inRack: number, readonly inZone: number }

/** Losses of workers that fail together are detected within this time: one or two listings of the machines. */
const SIMULTANEOUS_LOSS_MS = 1000
/** Workers of one rack or zone that must end together to prove a common cause, such as a power loss. */
const MIN_CORRELATED_LOSSES = 3
/** Time around a loss in which the loss of a worker that the same job cannot have ended makes its cause uncertain. */
const UNRELATED_LOSS_MS = 5000
/** How long points can be taken back. A job is given up a few seconds after its first crash, so all its crashes are still known then. */
const CRASH_RETENTION_MS = 60_000
/** Bounds the memory used; the oldest crashes are dropped. */
const MAX_RETAINED_CRASHES = 200
/** Bounds the work in an outage of many workers, of which a few tell as much as all. */
const MAX_UNRELATED_ENDS = 50
const MAX_LOGGED_TASKS = 20

/** Records lost workers, and keeps the penalty points of the tasks that ran on them. @public */
export class CrashTracker {
  readonly #options: CrashTrackerOptions
  #crashes: Crash[] = []
  /** Recent ends of workers that no task can have ended, which prove that something else ends workers. */
  #unrelatedEnds: WorkerEnd[] = []
  /** Silences of workers that were charged to tasks, by lifetime. */
  readonly #silences = new Map<string, Silence>()

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
    const { charged, possibleCauses } = this.#judgeRuns(loss, nowMs)
    if (charged.length === 0) return this.#recordUnrelatedEnd(loss, possibleCauses, nowMs)
    const justStartedTasks = new Set(charged.filter((run) => hasJustStarted(run, nowMs)).map(({ task }) => task))
    const suspects = new Set([...justStartedTasks].filter(isCrashSuspect).map(({ job }) => job))
    const isSingleJob = new Set(charged.map(({ task }) => task.job)).size === 1
    const penalties = charged.map((run): Penalty =>
      ({
        task: run.task,
        record: run.task.crashes,
        hasSurvivedStart: hasSurvivedStart(loss, run),
        points: this.#limitPoints(run.task, CRASH_POINTS[lossKindOf(loss, run.task, justStartedTasks, suspects)], nowMs)
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
    if (loss.isSilent) return this.#retainSilence(loss.instanceId, penalties, nowMs)
    const justStartedJobs = new Set([...justStartedTasks].map(({ job }) => job))
    const retained = this.#crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS).slice(1 - MAX_RETAINED_CRASHES)
    this.#crashes = [...retained, { atMs: nowMs, loss, penalties, justStartedJobs, possibleCauses, isShared: false }]
    this.#applyCommonCauses(nowMs)
  }

  /**
   * Takes back the points for the silence of a worker that answers again in the same lifetime, as no task has ended it.
   *
   * @param instanceId - id of the lifetime
   * @param askedMs - monotonic time at which the report was requested that the worker has given
   */
  recordReport (instanceId: string, askedMs: number): void {
    const silence = this.#silences.get(instanceId)
    if (silence === undefined || askedMs <= silence.atMs) return
    this.#silences.delete(instanceId)
    const reducible = silence.penalties.filter(({ task, points }) => points > 0 && !hasEnded(task.job))
    for (const penalty of reducible) this.#reducePenalty(penalty, CRASH_POINTS.cleared)
    if (reducible.length > 0) this.#options.log.info({ instanceId, ...pointsOfTasks(reducible) }, 'silent worker has not ended: points taken back')
  }

  #retainSilence (instanceId: string, penalties: readonly Penalty[], atMs: number): void {
    this.#silences.set(instanceId, { atMs, penalties: [...this.#silences.get(instanceId)?.penalties ?? [], ...penalties] })
    const [oldest] = this.#silences.keys()
    if (oldest !== undefined && this.#silences.size > MAX_RETAINED_CRASHES) this.#silences.delete(oldest)
  }

  /** Selects the runs that may have ended the worker, and clears the points of tasks whose runs are known not to have. */
  #judgeRuns (loss: WorkerLoss, nowMs: number): JudgedRuns {
    const started = loss.runs.filter(({ phase }) => phase !== 'recording')
    const survivors = new Set(started.filter((run) => hasSurvivedUntil(run, lastAliveMs(loss, run))))
    const cleared = started.filter((run) => survivors.has(run) || (hasSurvivedStart(loss, run) && this.#hasUnrelatedLoss(run.task.job, loss.instanceId, nowMs)))
    for (const run of cleared) clearCrashRecord(run, lastAliveMs(loss, run), this.#options)
    // If the end was planned or has another likely cause, a run that the worker is known to have survived for a while did not cause it.
    const isExplained = loss.isPlanned || loss.isSilent
    const innocent = new Set([...cleared, ...started.filter((run) => isExplained && hasSurvivedStart(loss, run))])
    return {
      charged: started.filter((run) => !innocent.has(run)),
      possibleCauses: new Set(started.filter((run) => !survivors.has(run)).map(({ task }) => task.job))
    }
  }

  #recordUnrelatedEnd (loss: WorkerLoss, possibleCauses: ReadonlySet<Job>, nowMs: number): void {
    if (loss.isPlanned || loss.isSilent) return
    const end: WorkerEnd = { atMs: nowMs, loss, justStartedJobs: new Set(), possibleCauses }
    this.#unrelatedEnds = [...this.#unrelatedEnds.slice(1 - MAX_UNRELATED_ENDS), end]
    this.#applyCommonCauses(nowMs)
  }

  /** Whether another worker was lost around the given time that neither a task of the job nor one of a suspect job can have ended. */
  #hasUnrelatedLoss (job: Job, instanceId: string, atMs: number): boolean {
    const ends = [...this.#crashes, ...this.#unrelatedEnds].filter((end) => Math.abs(atMs - end.atMs) < UNRELATED_LOSS_MS)
    const mayBeCause = (other: Job): boolean => other === job || allTasks(other).some(isCrashSuspect)
    const related = new Set([instanceId, ...ends.filter(({ possibleCauses }) => [...possibleCauses].some(mayBeCause)).map(({ loss }) => loss.instanceId)])
    return ends.some(({ loss }) => !related.has(loss.instanceId))
  }

  /** Limits the points for a loss if an earlier holder charged the task and this one does not know yet whether workers are being lost without it. */
  #limitPoints ({ crashes }: Task, points: number, nowMs: number): number {
    const isUnknown = nowMs - this.#options.tookOverMs < UNRELATED_LOSS_MS && !crashes.hasOnlyAttributableLosses
    return isUnknown ? Math.min(points, CRASH_POINTS.shared) : points
  }

  /** Judges the recent crashes by all recent ends of workers. Any end that no task can have caused makes the cause of each crash doubtful. */
  #applyCommonCauses (nowMs: number): void {
    this.#unrelatedEnds = this.#unrelatedEnds.filter(({ atMs }) => nowMs - atMs < UNRELATED_LOSS_MS)
    const isSimultaneous = ({ atMs }: WorkerEnd): boolean => nowMs - atMs < SIMULTANEOUS_LOSS_MS
    const crashes = this.#crashes.filter(isSimultaneous)
    const unrelatedEnds = this.#unrelatedEnds.filter(isSimultaneous)
    const ends = [...crashes, ...unrelatedEnds]
    for (const crash of crashes) this.#applyCommonCause(crash, countUnrelatedLosses(crash, ends))
    if (unrelatedEnds.length > 0) for (const { penalties } of crashes) for (const { record } of penalties) record.hasOnlyAttributableLosses = false
    for (const crash of this.#crashes) if (nowMs - crash.atMs < UNRELATED_LOSS_MS) this.#reduceByUnrelatedLosses(crash)
  }

  /** Reduces the points of tasks for a crash if a worker was lost around that time that they cannot have ended. */
  #reduceByUnrelatedLosses ({ atMs, loss, penalties }: Crash): void {
    const pointsOf = ({ hasSurvivedStart }: Penalty): number => hasSurvivedStart ? CRASH_POINTS.cleared : CRASH_POINTS.shared
    const uncertain = penalties.filter((penalty) => penalty.points > pointsOf(penalty) && this.#hasUnrelatedLoss(penalty.task.job, loss.instanceId, atMs))
    for (const penalty of uncertain) {
      this.#reducePenalty(penalty, pointsOf(penalty))
      if (penalty.hasSurvivedStart) penalty.record.hasEarlyLoss = false
    }
    if (uncertain.length > 0) this.#report(loss, 'shared', uncertain)
  }

  /**
   * Takes points back from other tasks for crashes that are now attributed to a task.
   *
   * @param culprit - the task that was given up because it ends its workers
   */
  clearOtherTasks (culprit: Task): void {
    for (const { loss, penalties, justStartedJobs } of this.#crashes) {
      if (!justStartedJobs.has(culprit.job)) continue
      const wasThere = penalties.some(({ task }) => task === culprit)
      const isOther = (task: Task): boolean => task.job !== culprit.job || (wasThere && task !== culprit)
      const otherPenalties = penalties.filter(({ task, points }) => points > 0 && !hasEnded(task.job) && isOther(task))
      // Both tasks may be at fault: one that may have just started there keeps the points of a loss whose cause is uncertain.
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
    this.#options.onChanged(task.job, [task])
  }

  #report ({ instanceId }: WorkerLoss, kind: WorkerLossKind, penalties: readonly Penalty[]): void {
    this.#options.count(kind)
    this.#options.log.info({ instanceId, kind, ...pointsOfTasks(penalties) }, 'worker ended under tasks')
  }
}

/** Describes the points of the tasks for a log line. */
function pointsOfTasks (penalties: readonly Penalty[]): { readonly points: readonly string[], readonly count: number } {
  return { points: penalties.slice(0, MAX_LOGGED_TASKS).map(({ task }) => `${task.key}: ${task.crashes.points}`), count: penalties.length }
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

/** Whether the start of the run is known not to have crashed the worker. A report may have been under way, but not one that was requested later. */
function hasSurvivedStart ({ lastReportMs }: WorkerLoss, run: Run): boolean {
  return knownSurvivalMs(run, lastReportMs) > EARLY_LOSS_MS || knownSurvivalMs(run, run.listedAskedMs ?? -Infinity) >= START_SURVIVAL_MS
}

const lastAliveMs = ({ lastReportMs }: WorkerLoss, { listedAskedMs = -Infinity }: Run): number => Math.max(lastReportMs, listedAskedMs)
