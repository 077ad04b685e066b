/**
 * Lists the steps of which tasks wait, for one placement round.
 *
 * What is listed does not grow with the tasks and due times that wait: of the tasks of a step, one stands for those that were not created yet, and of the
 * occurrences that have not begun, the first of each tier.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import { decidePlacement, isCrashSuspect, type PlacementDecision } from '../jobs/crashes.js'
import { dueMs, hasEnded, isOpen, stepOf, type Job, type Task } from '../jobs/JobState.js'
import {
  countDue, countUnbegun, createdTasksOf, createTasks, firstUnfinishedIndex, listBegun, nextUnbegun, readyStepsOf, uncreatedCount, type FurtherTasks
} from '../jobs/jobTasks.js'
import { effectiveTerms, type QueueTerms } from '../jobs/QueueTerms.js'
import { compareRanks, divideByTier, outlookOf, rankStep, totalPathMs, type OccurrenceOutlook, type OccurrenceRange, type StepRank } from '../jobs/rankStep.js'
import type { PlacementRoundOptions } from './PlacementRound.js'

/** A run without progress on an unresponsive worker gets a copy after this time; workers are polled at least every second. */
const COPY_AFTER_SILENCE_MS = 2500
/** A run gets a copy at this multiple of the run time of its image; tasks of one image vary by less. Time on a cold worker is not counted. */
const STRAGGLER_FACTOR = 2.5

/** Monotonic time at which each step was first seen to wait, by its created tasks. */
const waitingSince = new WeakMap<readonly Task[], number>()

/** Ready steps that a round lists, of all jobs together, and the fewest of a job with more of them. */
const MAX_LISTED_STEPS = 4000
const MIN_LISTED_STEPS_OF_JOB = 64
/** The ready step with which the next round begins, for each job that has more than a round lists. */
const nextListedSteps = new WeakMap<Job, number>()

/** Steps that a round visits in occurrences that have begun, ready or not, of all jobs together. */
const MAX_VISITED_STEPS = 200_000
/** The position among the occurrences that have begun with which the next round begins, for each job that has more than a round visits. */
const nextVisitedOccurrences = new WeakMap<Job, number>()

/** Monotonic time at which a round first met each scheduled job. */
const metSince = new WeakMap<Job, number>()

/** Occurrences of a job that have not begun, the first of which stands for the others until it is placed. */
interface UnbegunOccurrences extends OccurrenceRange {
  readonly queue: QueueTerms | undefined
  readonly outlook: OccurrenceOutlook
  /** Step for which the next occurrence is wanted; all ready steps if left out. */
  readonly stepIndex?: number
}

/** A step of which tasks wait. */
export interface WaitingStep {
  /** Created tasks that may be placed; further ones are added when they are created. */
  readonly tasks: readonly Task[]
  readonly further: FurtherTasks | undefined
  readonly rank: StepRank
  readonly queue: QueueTerms | undefined
  /** The occurrences for which it stands, if they have not begun. */
  readonly unbegun: UnbegunOccurrences | undefined
}

/** Lists the waiting steps of a service in one round. */
export class WaitingSteps {
  /** Tasks that crash their workers and are to be given up. */
  readonly tasksToGiveUp: Task[] = []
  /** Jobs left out because their steps could not be listed. */
  readonly failedJobs: Array<{ readonly job: Job, readonly error: unknown }> = []
  /** Whether jobs have more steps than were listed or visited; the next rounds list the others. */
  hasMore = false
  readonly #options: PlacementRoundOptions
  readonly #queues: ReadonlyMap<string, QueueConfiguration>
  /** Occurrences that have tasks only for this round, unless one of them is placed. */
  readonly #newOccurrences = new Map<Job, Set<number>>()
  /** Ready steps that may be listed of each job. */
  #maxStepsOfJob = MAX_LISTED_STEPS
  /** Share of the occurrences that have begun which this round visits. */
  #visitedShare = 1

  /** @param options - state of the service */
  constructor (options: PlacementRoundOptions) {
    this.#options = options
    this.#queues = new Map(options.configuration.queues.map((queue) => [queue.name, queue]))
  }

  /** Lists what waits, in order of rank. */
  list (): WaitingStep[] {
    const waiting: WaitingStep[] = []
    const jobs = this.#options.jobs.filter((job) => !hasEnded(job))
    this.#maxStepsOfJob = Math.max(MIN_LISTED_STEPS_OF_JOB, Math.floor(MAX_LISTED_STEPS / Math.max(1, jobs.length)))
    // The steps as created: a job whose specification cannot be read is left out below.
    const steps = jobs.reduce((sum, { occurrences }) => sum + (occurrences.values().next().value?.length ?? 0) * occurrences.size, 0)
    this.#visitedShare = Math.min(1, MAX_VISITED_STEPS / Math.max(1, steps))
    for (const job of jobs) {
      try {
        for (const step of this.#waitingStepsOfJob(job)) waiting.push(step)
      } catch (error) {
        this.failedJobs.push({ job, error })
      }
    }
    return waiting.sort((a, b) => compareRanks(a.rank, b.rank))
  }

  /** Lists the ready steps of a job. Of occurrences that have not begun, the first of each tier is listed, since the others are like it. */
  #waitingStepsOfJob (job: Job): WaitingStep[] {
    const { runTimes, wallMs } = this.#options
    const queue = effectiveTerms(job.spec, this.#queues.get(job.spec.queue))
    const due = countDue(job, wallMs)
    if (due === 0) return []
    if (job.spec.schedule === undefined && !job.doneOccurrences.has(0)) createdTasksOf(job, 0)
    const visited = listBegun(job, due, (occurrences) => this.#takeOccurrencesInTurn(job, occurrences))
    const totalMs = totalPathMs(job, runTimes)
    const begun = visited.flatMap((occurrence) => this.#waitingStepsOf(job, occurrence, queue, outlookOf(job, occurrence, runTimes, totalMs)))
    const first = nextUnbegun(job, 0, due)
    if (first === due) return begun
    const outlook = outlookOf(job, first, runTimes, totalMs)
    return [...begun, ...divideByTier(job, due, queue, wallMs, outlook).flatMap((range) => this.#firstUnbegunOf(job, { ...range, queue, outlook }))]
  }

  /** Returns the steps of the first occurrence of a range that has not begun. */
  #firstUnbegunOf (job: Job, unbegun: UnbegunOccurrences): WaitingStep[] {
    const created = this.#newOccurrences.get(job) ?? new Set()
    const occurrence = nextUnbegun(job, unbegun.from, unbegun.to, (each) => created.has(each))
    if (occurrence === unbegun.to) return []
    this.#newOccurrences.set(job, created.add(occurrence))
    return this.#waitingStepsOf(job, occurrence, unbegun.queue, unbegun.outlook, { ...unbegun, from: occurrence + 1 })
  }

  #waitingStepsOf (job: Job, occurrence: number, queue: QueueTerms | undefined, outlook: OccurrenceOutlook, unbegun?: UnbegunOccurrences): WaitingStep[] {
    const { runTimes, wallMs } = this.#options
    const ready = unbegun?.stepIndex === undefined ? this.#takeStepsInTurn(job, readyStepsOf(job, occurrence)) : [unbegun.stepIndex]
    return ready.flatMap((stepIndex) => {
      const { tasks, further } = this.#selectPlaceable(createTasks(job, occurrence, stepIndex, 1), unbegun !== undefined)
      if (tasks[0] === undefined) return []
      const rank = rankStep({ job, occurrence, stepIndex }, queue, runTimes, wallMs, outlook)
      return [{ tasks, further, rank, queue, unbegun: unbegun === undefined ? undefined : { ...unbegun, stepIndex } }]
    })
  }

  /** Returns as many of the ready steps of a job as a round lists. Those of jobs with more take turns. */
  #takeStepsInTurn (job: Job, ready: readonly number[]): readonly number[] {
    return this.#takeInTurn(job, ready, this.#maxStepsOfJob, nextListedSteps)
  }

  /** Returns as many of the occurrences of a job that have begun as a round visits. Those of jobs with more take turns. */
  #takeOccurrencesInTurn (job: Job, begun: number[]): number[] {
    return this.#takeInTurn(job, begun, Math.ceil(begun.length * this.#visitedShare), nextVisitedOccurrences)
  }

  #takeInTurn (job: Job, all: readonly number[], most: number, nextPositions: WeakMap<Job, number>): number[] {
    if (all.length <= most) return [...all]
    this.hasMore = true
    const from = (nextPositions.get(job) ?? 0) % all.length
    nextPositions.set(job, from + most)
    return [...all.slice(from), ...all.slice(0, from)].slice(0, most)
  }

  /** Drops the tasks of new occurrences of which nothing was placed; called at the end of the round. */
  dropUnbegun (): void {
    for (const [job, occurrences] of this.#newOccurrences) {
      for (const occurrence of occurrences) {
        const hasBegun = job.occurrences.get(occurrence)?.some((tasks) => tasks.some(({ lastRunNumber }) => lastRunNumber > 0))
        if (hasBegun !== true) job.occurrences.delete(occurrence)
      }
    }
  }

  /** Returns since when the tasks of an occurrence that has not begun have waited here. */
  #unbegunSinceMs (job: Job, occurrence: number): number {
    const { nowMs, wallMs } = this.#options
    const metMs = metSince.get(job) ?? nowMs
    metSince.set(job, metMs)
    return Math.min(nowMs, Math.max(metMs, nowMs - (wallMs - dueMs(job, occurrence))))
  }

  /**
   * Selects the tasks of a step that may be placed. At least one of those that wait is created, which stands for the others. Members of a gang are placed only
   * together, so none may still have a run.
   */
  #selectPlaceable (step: Task[], isUnbegun: boolean): Pick<WaitingStep, 'tasks' | 'further'> {
    const none = { tasks: [], further: undefined }
    const first = step[0]
    if (first === undefined || (stepOf(first).isGang && step.some(({ runs }) => runs.length > 0))) return none
    const { nowMs } = this.#options
    const sinceMs = waitingSince.get(step) ?? (isUnbegun ? this.#unbegunSinceMs(first.job, first.occurrence) : nowMs)
    waitingSince.set(step, sinceMs)
    const tasks: Task[] = []
    const decisions = new Set<PlacementDecision>()
    for (let index = firstUnfinishedIndex(step); index < step.length; index++) {
      const task = step[index] as Task
      task.isGivenUp &&= decidePlacement(task, nowMs) === 'give-up'
      if (!isOpen(task) || (task.runs.length > 0 && !this.#needsSpeculativeCopy(task))) continue
      const decision = decidePlacement(task, nowMs)
      decisions.add(decision)
      if (decision === 'give-up') this.tasksToGiveUp.push(task)
      if (decision !== 'place') continue
      task.waitingSinceMs ??= isUnbegun ? sinceMs : nowMs
      tasks.push(task)
    }
    if (stepOf(first).isGang && (decisions.has('wait') || decisions.has('give-up'))) return none
    // Other suspect tasks of the step wait too, since the whole job may be given up.
    const placeable = decisions.has('wait') ? tasks.filter((task) => !isCrashSuspect(task)) : tasks
    const further = createFurtherTasks(step, placeable, sinceMs)
    if (placeable.length === 0) further.create()
    return { tasks: placeable, further: further.count === 0 ? undefined : further }
  }

  /** A run that is likely lost or a straggler gets a copy at once, before its lease expires, if its step allows copies. */
  #needsSpeculativeCopy (task: Task): boolean {
    const [run, ...copies] = task.runs
    const step = stepOf(task)
    if (run === undefined || copies.length > 0 || isCrashSuspect(task) || !step.allowsCopies || step.isLasting || step.isGang) return false
    if (run.phase === 'stopping') return false
    const { nowMs, workerViews, runTimes } = this.#options
    const workerView = workerViews.find(({ instance }) => instance.instanceId === run.instanceId)
    // A new holder has no answers yet, so its workers get time to respond.
    const isSilent = workerView?.isAnswering(nowMs) !== true && run.phase !== 'recording' && nowMs - run.progressMs > COPY_AFTER_SILENCE_MS
    const isBehind = run.startedMs !== undefined && runTimes.hasSamples(step) &&
      nowMs - Math.max(run.startedMs, workerView?.coldUntilMs ?? -Infinity) > runTimes.expectedMs(step) * STRAGGLER_FACTOR
    if (isSilent || isBehind) task.avoidedInstances.add(run.instanceId)
    return isSilent || isBehind
  }

  /**
   * Returns the same step of the next occurrence that has not begun.
   *
   * @param step - a step of an occurrence that had not begun, of which all tasks are placed
   * @returns the step, `undefined` if there is no further occurrence of its tier
   */
  next ({ tasks, unbegun }: WaitingStep): WaitingStep | undefined {
    return unbegun === undefined || tasks[0] === undefined ? undefined : this.#firstUnbegunOf(tasks[0].job, unbegun)[0]
  }

  /** @param step - a waiting step @returns how many tasks the steps have to which {@link next} leads from it */
  countLater ({ tasks, unbegun }: WaitingStep): number {
    const [first] = tasks
    return unbegun === undefined || first === undefined ? 0 : countUnbegun(first.job, unbegun.from, unbegun.to) * stepOf(first).taskCount
  }
}

/** Lets the tasks of a step be created one by one. Each has waited since the step was first seen to wait. */
function createFurtherTasks (step: Task[], placeable: Task[], sinceMs: number): FurtherTasks {
  return {
    get count () { return uncreatedCount(step) },
    create: () => {
      const { job, occurrence, stepIndex } = step[0] as Task
      const index = step.length
      const task = createTasks(job, occurrence, stepIndex, index + 1)[index]
      if (task === undefined) return undefined
      task.waitingSinceMs = sinceMs
      placeable.push(task)
      return task
    }
  }
}
