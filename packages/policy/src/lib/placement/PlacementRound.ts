/**
 * One placement round: collects waiting steps and available workers, places tasks, and creates their runs.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'
import { isCrashSuspect, decidePlacement, type PlacementDecision } from '../jobs/crashes.js'
import { dueMs, hasEnded, isOpen, stepOf, type Job, type Run, type Task } from '../jobs/JobState.js'
import {
  countDue, countUnbegun, createdTasksOf, createTasks, firstUnfinishedIndex, listBegun, nextUnbegun, readyStepsOf, uncreatedCount, type FurtherTasks
} from '../jobs/jobTasks.js'
import { QuotaAdmission, type AccountQuotaLookup } from '../quotas/QuotaAdmission.js'
import { plus, type Resources } from '../quotas/resources.js'
import { ISOLATION_WAIT_MS } from './isolation.js'
import { type AvailabilityContext, findUnavailability } from './unavailability.js'
import { createWorkerRoom } from './createWorkerRoom.js'
import { CapacityCheck } from './CapacityCheck.js'
import { countObstacles, type UnplacedStep } from './explainUnplaced.js'
import { placeTasks, type Placement } from './placeTasks.js'
import { StartBudget, type RunLimit } from './StartBudget.js'
import { demandOf, fits, meetsConditions } from './suitability.js'
import { countWaiting, type PlacementGroup, type WorkerRoom } from './WorkerRoom.js'
import { effectiveTerms, type QueueTerms } from '../jobs/QueueTerms.js'
import { compareRanks, divideByTier, outlookOf, rankStep, RANK_TIERS, type OccurrenceOutlook, type OccurrenceRange, type RankTier, type StepRank } from '../jobs/rankStep.js'
import type { RunTimeEstimator } from '../jobs/RunTimeEstimator.js'
import type { WorkerView } from './WorkerView.js'

/** Provides advice for steps whose queue requires it. @public */
export interface TicketSource {
  /**
   * Returns tickets for the workers that may run a step.
   *
   * @param task - a task of the step
   * @param instanceIds - candidate workers, the best first
   * @param nowMs - monotonic
   * @returns the ticket of each permitted worker, `undefined` until there is advice
   */
  ticketsFor (task: Task, instanceIds: readonly string[], nowMs: number): ReadonlyMap<string, string> | undefined
}

/** State from which a round places tasks. @public */
export interface PlacementRoundOptions {
  readonly configuration: FleetConfiguration
  readonly jobs: readonly Job[]
  readonly workerViews: readonly WorkerView[]
  readonly runTimes: RunTimeEstimator
  readonly advice: TicketSource
  /** Looks up the quota of an account in this service. */
  readonly accountQuotaOf: AccountQuotaLookup
  /** Tells which machines are being drained and which availability zones are evacuated. */
  readonly availability: Omit<AvailabilityContext, 'nowMs'>
  /**
   * Most runs that wait for their record or for the answer to their start. Tasks beyond it are not placed: they would hold room that stays idle until the
   * holder gets to their starts, and keep others waiting behind them. No limit if left out.
   */
  readonly maxStartsUnderWay?: number
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** A lasting task that waited this long preempts other runs, since nothing serves its users meanwhile. */
const PREEMPT_AFTER_MS = 700
/** A run without progress on an unresponsive worker gets a copy after this time; workers are polled at least every second. */
const COPY_AFTER_SILENCE_MS = 2500
/** A run gets a copy at this multiple of the run time of its image; tasks of one image vary by less. Time on a cold worker is not counted. */
const STRAGGLER_FACTOR = 2.5
/** A run without progress for this long is stopped and placed elsewhere. */
const STALL_TIMEOUT_MS = 3000

/** A start counts no longer as under way once other workers have answered this long after it, and its own has not. */
const START_ANSWER_MS = 400

/** Tiers of steps whose results somebody waits for, and whose worth falls with time. */
const URGENT_TIERS: ReadonlySet<RankTier> = new Set([RANK_TIERS.lasting, RANK_TIERS.inTime, RANK_TIERS.late])

/** Monotonic time at which each step was first seen to wait, by its created tasks. */
const waitingSince = new WeakMap<readonly Task[], number>()

/** Runs that a holder keeps for a service, some 1 KB each. */
const MAX_RUNS = 20_000

/** Ready steps that a round lists, of all jobs together, and the fewest of a job with more of them. */
const MAX_LISTED_STEPS = 4000
const MIN_LISTED_STEPS_OF_JOB = 64
/** The ready step with which the next round begins, for each job that has more than a round lists. */
const nextListedSteps = new WeakMap<Job, number>()

/** Monotonic time at which a round first met each scheduled job. */
const metSince = new WeakMap<Job, number>()

/** Occurrences of a job that have not begun, the first of which stands for the others until it is placed. */
interface UnbegunOccurrences extends OccurrenceRange {
  readonly queue: QueueTerms | undefined
  readonly outlook: OccurrenceOutlook
  /** Step for which the next occurrence is wanted; all ready steps if left out. */
  readonly stepIndex?: number
}

interface WaitingStep {
  /** Created tasks that may be placed; further ones are added when they are created. */
  readonly tasks: readonly Task[]
  readonly further: FurtherTasks | undefined
  readonly rank: StepRank
  readonly queue: QueueTerms | undefined
  /** The occurrences for which it stands, if they have not begun. */
  readonly unbegun: UnbegunOccurrences | undefined
}

/** Places the waiting tasks of a service once. @public */
export class PlacementRound {
  /** Stalled and preempted runs to stop, filled by {@link place}. */
  readonly runsToStop: Run[] = []
  /** Tasks that crash their workers and are to be given up, filled by {@link place}. */
  readonly tasksToGiveUp: Task[] = []
  /** Jobs left out because their steps could not be listed, filled by {@link place}. */
  readonly failedJobs: Array<{ readonly job: Job, readonly error: unknown }> = []
  /** Quota admission of this round, with the shortages that it found. */
  readonly quota: QuotaAdmission
  readonly #options: PlacementRoundOptions
  readonly #queues: ReadonlyMap<string, QueueConfiguration>
  readonly #capacity: CapacityCheck
  #waiting: WaitingStep[] = []
  /** Occurrences that have tasks only for this round, unless one of them is placed. */
  readonly #newOccurrences = new Map<Job, Set<number>>()
  #budget = new StartBudget(Infinity)
  #hasMoreSteps = false
  /** Ready steps that may be listed of each job. */
  #maxStepsOfJob = MAX_LISTED_STEPS

  /** @param options - state of the service */
  constructor (options: PlacementRoundOptions) {
    this.#options = options
    this.quota = new QuotaAdmission(options.accountQuotaOf)
    this.#capacity = new CapacityCheck(options.workerViews)
    this.#queues = new Map(options.configuration.queues.map((queue) => [queue.name, queue]))
  }

  /** Whether tasks wait because as many starts are under way as may be. */
  get isStartLimited (): boolean {
    return this.#budget.isUsedUp
  }

  /** Whether jobs have more ready steps than the round has listed; the next rounds list the others. */
  get hasMoreSteps (): boolean {
    return this.#hasMoreSteps
  }

  /** Places waiting tasks. @returns new runs in phase `recording`, already added to their tasks */
  place (): Run[] {
    const rooms = this.#availableRooms()
    const waiting = this.#listWaitingSteps()
    this.#waiting = [...waiting]
    // Runs placed for a job that ends in this round would be lost from its state, yet keep occupying workers.
    const givenUp = new Set(this.tasksToGiveUp.map(({ job }) => job))
    // A step that no worker can run takes no part: it would ask for advice and quota, reserve and preempt for nothing.
    const placeable = waiting.filter(({ tasks: [first] }) => first !== undefined && !givenUp.has(first.job) && this.#capacity.canRun(stepOf(first)))
    const groups = placeable.map((step) => this.#groupOf(step, rooms)).filter((group) => group !== undefined)
    this.#budget = new StartBudget(this.#options.maxStartsUnderWay ?? Infinity, this.#countStartsUnderWay(), groups, this.#runLimit())
    const placements = placeTasks(groups, rooms, this.quota, this.#budget)
    this.#preemptForLastingTask(groups, placements)
    this.#stopStalledRuns()
    const runs = this.#createRuns(placements)
    this.#dropUnbegun()
    return runs
  }

  /**
   * Lists the steps that wait after the round.
   *
   * @param minWaitMs - steps that have waited for less are left out
   * @param mostSteps - the most steps to list
   * @returns the steps that have waited longest, and what stands in their way
   */
  listUnplaced (minWaitMs: number, mostSteps: number): UnplacedStep[] {
    const unplaced = this.#waiting.flatMap(({ tasks, ...step }) => {
      const open = tasks.filter(({ job, runs }) => runs.length === 0 && !hasEnded(job))
      const waitedMs = this.#waitedMs(open)
      return open.length > 0 && waitedMs >= minWaitMs ? [{ ...step, tasks: open, waitedMs }] : []
    })
    if (unplaced.length === 0) return []
    const rooms = this.#availableRooms()
    return unplaced.sort((a, b) => b.waitedMs - a.waitedMs).slice(0, mostSteps).map(({ waitedMs, ...step }) => {
      const task = step.tasks[0] as Task
      // Advice is not asked for a step that no worker can run.
      const group = this.#capacity.canRun(stepOf(task)) ? this.#groupOf(step, rooms) : { tasks: step.tasks, mayReserve: false }
      const taskCount = countWaiting({ ...step, mayReserve: false })
      const reason = this.quota.held.has(task) ? 'quota' : group === undefined ? 'advice' : 'workers'
      return { task, taskCount, waitedMs, reason, workers: countObstacles(task, group ?? { tasks: step.tasks, mayReserve: false }, rooms) }
    })
  }

  #waitedMs (tasks: readonly Task[]): number {
    const { nowMs } = this.#options
    return tasks.reduce((waitedMs, { waitingSinceMs = nowMs }) => Math.max(waitedMs, nowMs - waitingSinceMs), 0)
  }

  /** Lists what waits, in order of rank. */
  #listWaitingSteps (): WaitingStep[] {
    const waiting: WaitingStep[] = []
    const jobs = this.#options.jobs.filter((job) => !hasEnded(job))
    this.#maxStepsOfJob = Math.max(MIN_LISTED_STEPS_OF_JOB, Math.floor(MAX_LISTED_STEPS / Math.max(1, jobs.length)))
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
    if (job.spec.schedule === undefined && !job.doneOccurrences.has(0)) createdTasksOf(job, 0)
    const begun = listBegun(job, due).flatMap((occurrence) => this.#waitingStepsOf(job, occurrence, queue, outlookOf(job, occurrence, runTimes)))
    const first = nextUnbegun(job, 0, due)
    if (first === due) return begun
    const outlook = outlookOf(job, first, runTimes)
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
    const ready = unbegun?.stepIndex === undefined ? this.#takeTurns(job, readyStepsOf(job, occurrence)) : [unbegun.stepIndex]
    return ready.flatMap((stepIndex) => {
      const { tasks, further } = this.#selectPlaceable(createTasks(job, occurrence, stepIndex, 1), unbegun !== undefined)
      if (tasks[0] === undefined) return []
      const rank = rankStep({ job, occurrence, stepIndex }, queue, runTimes, wallMs, outlook)
      return [{ tasks, further, rank, queue, unbegun: unbegun === undefined ? undefined : { ...unbegun, stepIndex } }]
    })
  }

  /** Returns as many of the ready steps of a job as a round lists. Those of jobs with more take turns. */
  #takeTurns (job: Job, ready: readonly number[]): readonly number[] {
    if (ready.length <= this.#maxStepsOfJob) return ready
    this.#hasMoreSteps = true
    const from = (nextListedSteps.get(job) ?? 0) % ready.length
    nextListedSteps.set(job, from + this.#maxStepsOfJob)
    return [...ready.slice(from), ...ready.slice(0, from)].slice(0, this.#maxStepsOfJob)
  }

  /** Drops the tasks of new occurrences of which nothing was placed. */
  #dropUnbegun (): void {
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

  #groupOf (step: WaitingStep, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const { tasks, further, rank, queue, unbegun } = step
    const { job, stepIndex } = tasks[0] as Task
    const group: PlacementGroup = {
      tasks,
      further,
      rank,
      mayReserve: rank.tier === RANK_TIERS.lasting,
      mayShareWorker: this.#waitedMs(tasks) >= ISOLATION_WAIT_MS,
      isUrgent: URGENT_TIERS.has(rank.tier),
      ...(unbegun === undefined ? {} : { next: () => this.#nextGroup(job, unbegun, rooms), laterTasks: this.#countLater(job, stepIndex, unbegun) })
    }
    if (queue?.advice === undefined) return group
    const byRoom = [...rooms].sort((a, b) => b.cpuMillis - a.cpuMillis).map(({ instanceId }) => instanceId)
    const tickets = this.#options.advice.ticketsFor(tasks[0] as Task, byRoom, this.#options.nowMs)
    return tickets === undefined ? undefined : { ...group, tickets }
  }

  /** Returns the same step of the next occurrence that has not begun. */
  #nextGroup (job: Job, unbegun: UnbegunOccurrences, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const [step] = this.#firstUnbegunOf(job, unbegun)
    if (step === undefined) return undefined
    this.#waiting.push(step)
    return this.#groupOf(step, rooms)
  }

  #countLater (job: Job, stepIndex: number, { from, to }: UnbegunOccurrences): number {
    return countUnbegun(job, from, to) * (job.spec.steps[stepIndex]?.taskCount ?? 0)
  }

  /**
   * Counts by job the runs that wait for their record or for the answer to their start, apart from starts on workers that have left them unanswered while
   * others answered: they say nothing about how fast this host is.
   */
  #countStartsUnderWay (): Map<Job, number> {
    const { nowMs, workerViews } = this.#options
    const counts = new Map<Job, number>()
    const silenceOf = (workerView: WorkerView): number => workerView.silentForMs?.(nowMs) ?? Infinity
    // While this host itself stands still, no worker seems to answer.
    const lastAnswerMs = nowMs - workerViews.reduce((least, workerView) => Math.min(least, silenceOf(workerView)), Infinity)
    for (const workerView of workerViews) {
      if (!workerView.isAnswering(nowMs)) continue
      const ownAnswerMs = nowMs - silenceOf(workerView)
      for (const { phase, placedMs = -Infinity, task: { job } } of workerView.runs.values()) {
        const isUnanswered = lastAnswerMs - Math.max(ownAnswerMs, placedMs) > START_ANSWER_MS
        if (phase === 'recording' || (phase === 'starting' && !isUnanswered)) counts.set(job, (counts.get(job) ?? 0) + 1)
      }
    }
    return counts
  }

  /** Bounds the runs of the service: a task that needs no resources fits everywhere, any number of times. */
  #runLimit (): RunLimit {
    const { workerViews } = this.#options
    const runsOf = new Map<Job, number>()
    for (const { runs } of workerViews) for (const { task: { job } } of runs.values()) runsOf.set(job, (runsOf.get(job) ?? 0) + 1)
    return { most: MAX_RUNS, runsOf }
  }

  #availableRooms (): WorkerRoom[] {
    const { nowMs, workerViews } = this.#options
    return workerViews.filter((workerView) => this.#isAvailable(workerView)).map((workerView) => createWorkerRoom(workerView, nowMs))
  }

  #isAvailable (workerView: WorkerView): boolean {
    const { nowMs, availability } = this.#options
    return findUnavailability(workerView, { ...availability, nowMs }) === undefined
  }

  /** Stops runs of other than lasting tasks, those with the least progress first, until a waiting lasting task fits. */
  #preemptForLastingTask (groups: readonly PlacementGroup[], placements: readonly Placement[]): void {
    const placed = new Set(placements.map(({ task }) => task))
    let rooms: readonly WorkerRoom[] | undefined
    for (const group of groups) {
      const isLasting = group.tasks[0] !== undefined && stepOf(group.tasks[0]).isLasting
      // Room that is freed for a task without a start would stay idle.
      if (!isLasting || this.#budget.wasCut(group)) continue
      const task = group.tasks.find((each) => !placed.has(each) && this.#mayPreempt(each))
      if (task === undefined) continue
      rooms ??= this.#availableRooms()
      const victims = this.#findVictims(task, group, rooms)
      for (const victim of victims ?? []) this.runsToStop.push(victim)
      if (victims !== undefined) return
    }
  }

  #mayPreempt (task: Task): boolean {
    const { isLasting, isFiller } = stepOf(task)
    const waitedMs = this.#options.nowMs - (task.waitingSinceMs ?? this.#options.nowMs)
    return isLasting && !isFiller && waitedMs >= PREEMPT_AFTER_MS && !this.quota.held.has(task) && !isCrashSuspect(task)
  }

  /** Finds the fewest runs of one worker that have to stop so that a task fits there; `undefined` if it fits on no worker even then. */
  #findVictims (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): readonly Run[] | undefined {
    const step = stepOf(task)
    const usable = rooms.filter((room) => fits(step, room.reservable) && room.reservedFor === undefined && meetsConditions(task, group, room))
    const choices = usable.flatMap((room) => {
      let free: Resources = room
      const victims: Run[] = []
      const runs = this.#options.workerViews.find(({ instance }) => instance.instanceId === room.instanceId)?.runs.values() ?? []
      const movable = [...runs].filter((run) => run.phase === 'running' && !stepOf(run.task).isLasting).sort((a, b) => a.percent - b.percent)
      for (const run of movable) {
        if (fits(step, free)) break
        victims.push(run)
        free = plus(free, demandOf(stepOf(run.task)))
      }
      return fits(step, free) ? [victims] : []
    })
    return choices.sort((a, b) => a.length - b.length)[0]
  }

  #stopStalledRuns (): void {
    const { nowMs, workerViews } = this.#options
    for (const workerView of workerViews) {
      for (const run of workerView.runs.values()) {
        if (run.phase !== 'running' || stepOf(run.task).isLasting || nowMs - run.progressMs < STALL_TIMEOUT_MS) continue
        run.task.avoidedInstances.add(run.instanceId)
        this.runsToStop.push(run)
      }
    }
  }

  #createRuns (placements: readonly Placement[]): Run[] {
    const gangNumbers = new Map<readonly Task[], number>()
    return placements.map(({ task, instanceId, ticket }) => {
      const members = task.job.occurrences.get(task.occurrence)?.[task.stepIndex] ?? [task]
      const next = stepOf(task).isGang
        ? gangNumbers.get(members) ?? largestOf(members.map(({ lastRunNumber }) => lastRunNumber), 0) + 1
        : task.lastRunNumber + 1
      gangNumbers.set(members, next)
      task.lastRunNumber = next
      task.waitingSinceMs = undefined
      const run: Run = {
        task,
        taskKey: task.key,
        runNumber: next,
        instanceId,
        ticket,
        phase: 'recording',
        placedMs: this.#options.nowMs,
        startedMs: undefined,
        stopConfirmedMs: undefined,
        isUncertain: false,
        shouldStop: false,
        lastListedMs: -Infinity,
        percent: 0,
        progressMs: this.#options.nowMs,
        pacePercent: 100,
        load: 0
      }
      task.runs.push(run)
      return run
    })
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
