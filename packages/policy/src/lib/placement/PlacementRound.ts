/**
 * One placement round: collects waiting steps and available workers, places tasks, and creates their runs.
 *
 * @module
 */
import type { FleetConfiguration } from '@quillscale/ports'
import { largestOf } from '@quillscale/utils'
import { isCrashSuspect } from '../jobs/crashes.js'
import { hasEnded, stepOf, type Job, type Run, type Task } from '../jobs/JobState.js'
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
import { WaitingSteps, type WaitingStep } from './WaitingSteps.js'
import { countWaiting, type PlacementGroup, type WorkerRoom } from './WorkerRoom.js'
import { RANK_TIERS, type RankTier } from '../jobs/rankStep.js'
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
/** A run without progress for this long is stopped and placed elsewhere. */
const STALL_TIMEOUT_MS = 3000

/** A start counts no longer as under way once other workers have answered this long after it, and its own has not. */
const START_ANSWER_MS = 400

/** Tiers of steps whose results somebody waits for, and whose worth falls with time. */
const URGENT_TIERS: ReadonlySet<RankTier> = new Set([RANK_TIERS.lasting, RANK_TIERS.inTime, RANK_TIERS.late])

/** Runs that a holder keeps for a service, some 1 KB each. */
const MAX_RUNS = 20_000

/** Places the waiting tasks of a service once. @public */
export class PlacementRound {
  /** Stalled and preempted runs to stop, filled by {@link place}. */
  readonly runsToStop: Run[] = []
  /** Quota admission of this round, with the shortages that it found. */
  readonly quota: QuotaAdmission
  readonly #options: PlacementRoundOptions
  readonly #capacity: CapacityCheck
  readonly #waitingSteps: WaitingSteps
  #waiting: WaitingStep[] = []
  #budget = new StartBudget(Infinity)

  /** @param options - state of the service */
  constructor (options: PlacementRoundOptions) {
    this.#options = options
    this.quota = new QuotaAdmission(options.accountQuotaOf)
    this.#capacity = new CapacityCheck(options.workerViews)
    this.#waitingSteps = new WaitingSteps(options)
  }

  /** Tasks that crash their workers and are to be given up, filled by {@link place}. */
  get tasksToGiveUp (): readonly Task[] {
    return this.#waitingSteps.tasksToGiveUp
  }

  /** Jobs left out because their steps could not be listed, filled by {@link place}. */
  get failedJobs (): WaitingSteps['failedJobs'] {
    return this.#waitingSteps.failedJobs
  }

  /** Whether tasks wait because as many starts are under way as may be. */
  get isStartLimited (): boolean {
    return this.#budget.isUsedUp
  }

  /** Whether jobs have more steps than the round has listed or visited; the next rounds list the others. */
  get hasMoreSteps (): boolean {
    return this.#waitingSteps.hasMore
  }

  /** Places waiting tasks. @returns new runs in phase `recording`, already added to their tasks */
  place (): Run[] {
    const rooms = this.#availableRooms()
    this.#waiting = this.#waitingSteps.list()
    // Runs placed for a job that ends in this round would be lost from its state, yet keep occupying workers.
    const givenUp = new Set(this.tasksToGiveUp.map(({ job }) => job))
    // A step that no worker can run takes no part: it would ask for advice and quota, reserve and preempt for nothing.
    const placeable = this.#waiting.filter(({ tasks: [first] }) => first !== undefined && !givenUp.has(first.job) && this.#capacity.canRun(stepOf(first)))
    const groups = placeable.map((step) => this.#groupOf(step, rooms)).filter((group) => group !== undefined)
    this.#budget = new StartBudget(this.#options.maxStartsUnderWay ?? Infinity, this.#countStartsUnderWay(), groups, this.#runLimit())
    const placements = placeTasks(groups, rooms, this.quota, this.#budget)
    this.#preemptForLastingTask(groups, placements)
    this.#stopStalledRuns()
    const runs = this.#createRuns(placements)
    this.#waitingSteps.dropUnbegun()
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
      const taskCount = countWaiting(step)
      const reason = this.quota.held.has(task) ? 'quota' : group === undefined ? 'advice' : 'workers'
      return { task, taskCount, waitedMs, reason, workers: countObstacles(task, group ?? { tasks: step.tasks, mayReserve: false }, rooms) }
    })
  }

  #waitedMs (tasks: readonly Task[]): number {
    const { nowMs } = this.#options
    return tasks.reduce((waitedMs, { waitingSinceMs = nowMs }) => Math.max(waitedMs, nowMs - waitingSinceMs), 0)
  }

  #groupOf (step: WaitingStep, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const { tasks, further, rank, queue, unbegun } = step
    const group: PlacementGroup = {
      tasks,
      further,
      rank,
      mayReserve: rank.tier === RANK_TIERS.lasting,
      mayShareWorker: this.#waitedMs(tasks) >= ISOLATION_WAIT_MS,
      isUrgent: URGENT_TIERS.has(rank.tier),
      ...(unbegun === undefined ? {} : { next: () => this.#nextGroup(step, rooms), laterTasks: this.#waitingSteps.countLater(step) })
    }
    if (queue?.advice === undefined) return group
    const byRoom = [...rooms].sort((a, b) => b.cpuMillis - a.cpuMillis).map(({ instanceId }) => instanceId)
    const tickets = this.#options.advice.ticketsFor(tasks[0] as Task, byRoom, this.#options.nowMs)
    return tickets === undefined ? undefined : { ...group, tickets }
  }

  #nextGroup (step: WaitingStep, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const next = this.#waitingSteps.next(step)
    if (next === undefined) return undefined
    this.#waiting.push(next)
    return this.#groupOf(next, rooms)
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
