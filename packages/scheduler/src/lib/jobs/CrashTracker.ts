/**
 * Holds against tasks the workers that ended under them, and tells crashes from what takes several workers at once.
 *
 * @module
 */
import { hasEnded, isCrashSuspect, CRASH_POINTS, EARLY_LOSS_MS, type CrashRecord, type Job, type WorkerLossKind, type Run, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** A worker whose runs are lost. @public */
export interface WorkerLoss {
  readonly instanceId: string
  /** `undefined` for one that this holder never met. */
  readonly rack: string | undefined
  readonly availabilityZone: string | undefined
  /** Placed there and not known to be over. */
  readonly runs: readonly Run[]
  /** Monotonic; when it last answered this holder, `undefined` if it never did. */
  readonly lastAnswerMs: number | undefined
  /** It drained, its machine was being emptied, or its registration had ended while it still answered. */
  readonly isPlanned: boolean
  /** Nothing tells that it ended: it does not answer, and its leases are over. */
  readonly isSilent: boolean
}

/** What the book works with. @public */
export interface CrashTrackerOptions {
  readonly log: EventLog
  readonly count: (kind: WorkerLossKind) => void
  /** Called for each job of which something was taken back. */
  readonly onChanged: (job: Job) => void
}

/** What a task was given for one crash, in the record that it had then: a long run replaces a record, and newer crashes are not in it. */
interface Penalty { readonly task: Task, readonly record: CrashRecord, readonly hasSurvivedStart: boolean, points: number }

interface Crash {
  readonly atMs: number
  readonly loss: WorkerLoss
  readonly penalties: readonly Penalty[]
  /** Whose runs had just begun there. */
  readonly justStartedJobs: ReadonlySet<Job>
  isShared: boolean
}

/** Workers near one that ended. */
interface UnrelatedLosses { readonly inRack: number, readonly inZone: number }

/** Workers that lose power together are found to be gone within this time: one list of machines, or two. */
const SIMULTANEOUS_LOSS_MS = 1000
/** Workers of one rack or zone that must end together to show a cause of their own beyond doubt. */
const MIN_CORRELATED_LOSSES = 3
/** What was held against a task is taken back if the cause turns out within this: a job is given up a few seconds after its first crash. */
const CRASH_RETENTION_MS = 60_000
/** Crashes remembered; the oldest are forgotten. */
const MAX_RETAINED_CRASHES = 200
/** Named in a line of the log at most. */
const MAX_LOGGED_TASKS = 20

/** The book. @public */
export class CrashTracker {
  readonly #options: CrashTrackerOptions
  #crashes: Crash[] = []

  /** @param options - what it works with */
  constructor (options: CrashTrackerOptions) {
    this.#options = options
  }

  /** Takes note that a worker has ended. @param loss - the worker @param nowMs - monotonic */
  recordLoss (loss: WorkerLoss, nowMs: number): void {
    // Where it was to end, what it is known to have lived on under has nothing to do with it.
    const begun = loss.runs.filter((run) => run.phase !== 'recording' && !(loss.isPlanned && hasOutlived(loss, run)))
    if (begun.length === 0) return
    const soonTasks = new Set(begun.filter((run) => isSoonAfterStart(run, nowMs)).map(({ task }) => task))
    const suspects = new Set([...soonTasks].filter(isCrashSuspect).map(({ job }) => job))
    const isAlone = new Set(begun.map(({ task }) => task.job)).size === 1
    const charges = begun.map((run): Penalty =>
      ({
        task: run.task,
        record: run.task.crashes,
        hasSurvivedStart: hasOutlived(loss, run),
        points: CRASH_POINTS[lossKindOf(loss, run.task, soonTasks, suspects)]
      }))
    for (const { task, record, points } of charges) {
      const isSoon = soonTasks.has(task)
      record.points += points
      record.lastLossMs = nowMs
      record.hasEarlyLoss = !loss.isSilent && isSoon && (suspects.size === 0 || suspects.has(task.job))
      record.isLastLossCertain = !loss.isSilent && isAlone && isSoon
      record.hasOnlyEarlyLosses &&= isSoon
    }
    this.#report(loss, baseLossKindOf(loss, soonTasks.size > 0), charges)
    if (loss.isSilent) return
    const soonJobs = new Set([...soonTasks].map(({ job }) => job))
    const remembered = this.#crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS).slice(1 - MAX_RETAINED_CRASHES)
    this.#crashes = [...remembered, { atMs: nowMs, loss, penalties: charges, justStartedJobs: soonJobs, isShared: false }]
    const recent = this.#crashes.filter(({ atMs }) => nowMs - atMs < SIMULTANEOUS_LOSS_MS)
    for (const crash of recent) this.#applyCommonCause(crash, countUnrelatedLosses(crash, recent))
  }

  /** Takes back what was held against others for crashes of a job that is known to end its workers. @param culprit - that was given up */
  clearOtherJobs (culprit: Job): void {
    for (const { loss, penalties: charges, justStartedJobs: soonJobs } of this.#crashes) {
      if (!soonJobs.has(culprit)) continue
      const innocent = charges.filter(({ task, points }) => task.job !== culprit && points > 0 && !hasEnded(task.job))
      // Two jobs may both do so: one that may have just begun there keeps as much as for any doubtful end.
      for (const { record } of innocent) record.hasEarlyLoss = false
      for (const charge of innocent) this.#reducePenalty(charge, charge.hasSurvivedStart ? CRASH_POINTS.cleared : CRASH_POINTS.beside)
      if (innocent.length > 0) this.#report(loss, 'cleared', innocent)
    }
  }

  /** Two workers of a rack may be two crashes; three near each other that no job can have ended are none, and nothing is kept apart for them. */
  #applyCommonCause (crash: Crash, { inRack: ofRack, inZone: ofZone }: UnrelatedLosses): void {
    const isWide = ofZone >= MIN_CORRELATED_LOSSES - 1 || ofRack >= MIN_CORRELATED_LOSSES - 1
    if (isWide) for (const { record } of crash.penalties) record.hasEarlyLoss = false
    if (crash.isShared || (ofRack === 0 && !isWide)) return
    crash.isShared = true
    for (const charge of crash.penalties) this.#reducePenalty(charge, CRASH_POINTS.shared)
    this.#report(crash.loss, 'shared', crash.penalties)
  }

  #reducePenalty (charge: Penalty, points: number): void {
    const { record, task } = charge
    const lessPoints = Math.max(0, charge.points - points)
    charge.points -= lessPoints
    record.points = Math.max(0, record.points - lessPoints)
    record.isLastLossCertain = false
    this.#options.onChanged(task.job)
  }

  #report ({ instanceId }: WorkerLoss, kind: WorkerLossKind, charges: readonly Penalty[]): void {
    this.#options.count(kind)
    const points = charges.slice(0, MAX_LOGGED_TASKS).map(({ task }) => `${task.key}: ${task.crashes.points}`)
    this.#options.log.info({ instanceId, kind, points, count: charges.length }, 'worker ended under tasks')
  }
}

/** How the worker ended, as far as the worker tells. @param isSoon - soon after a start there */
function baseLossKindOf ({ isSilent, isPlanned }: WorkerLoss, isSoon: boolean): WorkerLossKind {
  if (isSilent) return 'silent'
  return isPlanned && !isSoon ? 'unclear' : 'crash'
}

/** Beside a task that is suspected already and had just begun, the others have probably only stood by. */
function lossKindOf (loss: WorkerLoss, task: Task, soonTasks: ReadonlySet<Task>, suspects: ReadonlySet<Job>): WorkerLossKind {
  const cause = baseLossKindOf(loss, soonTasks.has(task))
  return cause === 'crash' && suspects.size > 0 && !suspects.has(task.job) ? 'beside' : cause
}

/** How many workers near it ended at the same time that no job can have ended with it. */
function countUnrelatedLosses ({ loss, justStartedJobs: soonJobs }: Crash, recent: readonly Crash[]): UnrelatedLosses {
  const others = recent.filter((other) => other.loss !== loss && ![...other.justStartedJobs].some((job) => soonJobs.has(job)))
  return {
    inRack: others.filter(({ loss: { rack } }) => rack !== undefined && rack === loss.rack).length,
    inZone: others.filter(({ loss: { availabilityZone } }) => availabilityZone !== undefined && availabilityZone === loss.availabilityZone).length
  }
}

function isSoonAfterStart ({ startedMs, placedMs }: Run, nowMs: number): boolean {
  const beganMs = startedMs ?? placedMs
  return beganMs !== undefined && nowMs - beganMs <= EARLY_LOSS_MS
}

/** Whether the worker is known to have lived on for a while after the run's start. */
function hasOutlived ({ lastAnswerMs: heardMs }: WorkerLoss, { startedMs, placedMs }: Run): boolean {
  const beganMs = startedMs ?? placedMs
  return heardMs !== undefined && beganMs !== undefined && heardMs - beganMs > EARLY_LOSS_MS
}
