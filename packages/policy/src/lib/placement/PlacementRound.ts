/**
 * One round of placing: gathers what waits and who has room, decides, and makes the runs.
 *
 * @module
 */
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'
import { isCrashSuspect, decidePlacement, mayCrashWorker } from '../jobs/crashes.js'
import { hasEnded, listReadySteps, stepOf, type Job, type Run, type Task } from '../jobs/JobState.js'
import { QuotaAdmission, type AccountQuotaLookup } from '../quotas/QuotaAdmission.js'
import { ISOLATION_WAIT_MS } from './isolation.js'
import { cpuDemandOf, occupy, placeTasks, type Placement } from './placeTasks.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'
import { compareRanks, rankStep, RANK_TIERS, type StepRank } from '../jobs/rankStep.js'
import type { RunTimeEstimator } from '../jobs/RunTimeEstimator.js'
import type { WorkerView } from './WorkerView.js'

/** Advice on steps whose queue wants it. @public */
export interface TicketSource {
  /**
   * Gives the workers that may run a step.
   *
   * @param task - of the step
   * @param instanceIds - workers that could run it, the best first
   * @param nowMs - monotonic
   * @returns the ticket for each, `undefined` until there is advice
   */
  ticketsFor (task: Task, instanceIds: readonly string[], nowMs: number): ReadonlyMap<string, string> | undefined
}

/** What a round sees. @public */
export interface PlacementRoundOptions {
  readonly configuration: FleetConfiguration
  readonly jobs: readonly Job[]
  readonly workerViews: readonly WorkerView[]
  readonly runTimes: RunTimeEstimator
  readonly advice: TicketSource
  /** What each account may have running here. */
  readonly accountQuotaOf: AccountQuotaLookup
  /** Machines that are being emptied. */
  readonly vacating: { isVacating (machineId: string): boolean }
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** A lasting task that waited so long for room displaces others: its users are served by nobody meanwhile. */
const PREEMPT_AFTER_MS = 700
/** A run of which nothing was heard for so long gets a copy; workers are asked at least each second. */
const COPY_AFTER_SILENCE_MS = 2500
/** A run that takes so many times as long as others of its image gets a copy: tasks of an image differ by less. */
const STRAGGLER_FACTOR = 2.5
/** A run whose progress stood still so long is stopped and placed elsewhere. */
const STALL_TIMEOUT_MS = 3000

interface WaitingStep { readonly tasks: readonly Task[], readonly rank: StepRank, readonly queue: QueueConfiguration | undefined }

/** The round. @public */
export class PlacementRound {
  /** Runs to be stopped, found while placing. */
  readonly runsToStop: Run[] = []
  /** Tasks that end the workers which start them, found while placing. */
  readonly tasksToGiveUp: Task[] = []
  /** What accounts' grants had room for, and what waits for one. */
  readonly quota: QuotaAdmission
  readonly #options: PlacementRoundOptions
  readonly #queues: ReadonlyMap<string, QueueConfiguration>

  /** @param options - what it sees */
  constructor (options: PlacementRoundOptions) {
    this.#options = options
    this.quota = new QuotaAdmission(options.accountQuotaOf)
    this.#queues = new Map(options.configuration.queues.map((queue) => [queue.name, queue]))
  }

  /** @returns new runs in phase `recording`, entered at their tasks */
  place (): Run[] {
    const rooms = this.#availableRooms()
    const waiting = this.#listWaitingSteps()
    // What is placed of a job that ends in this round would be forgotten by its job, and go on taking up room.
    const givenUp = new Set(this.tasksToGiveUp.map(({ job }) => job))
    const placeable = waiting.filter(({ tasks: [first] }) => first !== undefined && !givenUp.has(first.job))
    const groups = placeable.map((step) => this.#groupOf(step, rooms)).filter((group) => group !== undefined)
    const placements = placeTasks(groups, rooms, this.quota)
    this.#preemptForLastingTask(groups, placements)
    this.#stopStalledRuns()
    return this.#createRuns(placements)
  }

  #listWaitingSteps (): WaitingStep[] {
    const waiting: WaitingStep[] = []
    for (const job of this.#options.jobs) {
      if (hasEnded(job)) continue
      const queue = this.#queues.get(job.spec.queue)
      for (const step of listReadySteps(job, this.#options.wallMs)) {
        const tasks = this.#selectPlaceable(step)
        const first = tasks[0]
        if (first === undefined) continue
        for (const task of tasks) task.waitingSinceMs ??= this.#options.nowMs
        waiting.push({ tasks, queue, rank: rankStep(first, queue, this.#options.runTimes, this.#options.wallMs) })
      }
    }
    return waiting.sort((a, b) => compareRanks(a.rank, b.rank))
  }

  /** Members of a gang are placed only together, so none may still be running. */
  #selectPlaceable (step: readonly Task[]): readonly Task[] {
    const first = step[0]
    if (first !== undefined && stepOf(first).isGang && step.some(({ runs }) => runs.length > 0)) return []
    const open = step.filter((task) => !task.isDone && (task.runs.length === 0 || this.#needsSpeculativeCopy(task)))
    const verdicts = open.map((task) => decidePlacement(task, this.#options.nowMs))
    this.tasksToGiveUp.push(...open.filter((_, at) => verdicts[at] === 'give-up'))
    if (first !== undefined && stepOf(first).isGang && verdicts.some((verdict) => verdict !== 'place')) return []
    // Others of the job that may do the same wait with it: it may be over for all of them.
    const isJudged = verdicts.includes('wait')
    return open.filter((task, at) => verdicts[at] === 'place' && !(isJudged && isCrashSuspect(task)))
  }

  /** Where copies may run side by side, a run that is likely lost or far behind gets one at once, not only when its lease is over. */
  #needsSpeculativeCopy (task: Task): boolean {
    const [run, ...copies] = task.runs
    const step = stepOf(task)
    if (run === undefined || copies.length > 0 || isCrashSuspect(task) || !step.allowsCopies || step.isLasting || step.isGang) return false
    if (run.phase === 'stopping') return false
    const { nowMs, workerViews, runTimes } = this.#options
    const workerView = workerViews.find(({ instance }) => instance.instanceId === run.instanceId)
    // A new holder has heard nothing yet: its workers are given the time to answer.
    const isSilent = workerView?.isAnswering(nowMs) !== true && run.phase !== 'recording' && nowMs - run.progressMs > COPY_AFTER_SILENCE_MS
    const isBehind = run.startedMs !== undefined && runTimes.hasSamples(step) && nowMs - run.startedMs > runTimes.expectedMs(step) * STRAGGLER_FACTOR
    if (isSilent || isBehind) task.avoidedInstances.add(run.instanceId)
    return isSilent || isBehind
  }

  #groupOf ({ tasks, rank, queue }: WaitingStep, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const mayReserve = rank.tier === RANK_TIERS.lasting
    const waitedMs = this.#options.nowMs - Math.min(...tasks.map(({ waitingSinceMs }) => waitingSinceMs ?? this.#options.nowMs))
    const mayShareWorker = waitedMs >= ISOLATION_WAIT_MS
    if (queue?.advice === undefined) return { tasks, mayReserve, mayShareWorker }
    const byRoom = [...rooms].sort((a, b) => b.cpuMillis - a.cpuMillis).map(({ instanceId }) => instanceId)
    const tickets = this.#options.advice.ticketsFor(tasks[0] as Task, byRoom, this.#options.nowMs)
    return tickets === undefined ? undefined : { tasks, mayReserve, mayShareWorker, tickets }
  }

  #availableRooms (): WorkerRoom[] {
    return this.#options.workerViews.filter((workerView) => this.#isAvailable(workerView)).map((workerView) => roomOf(workerView, this.#options.nowMs))
  }

  #isAvailable (workerView: WorkerView): boolean {
    const { nowMs, vacating } = this.#options
    return workerView.takesWork && workerView.clock.isKnown && workerView.isAnswering(nowMs) && !workerView.isNotedSilent &&
      nowMs >= workerView.refusingUntilMs && !workerView.health.isQuarantined(nowMs) && !vacating.isVacating(workerView.instance.machineId)
  }

  /** Stops runs that do not last, the least advanced first, until a lasting task fits beside the rest. */
  #preemptForLastingTask (groups: readonly PlacementGroup[], placements: readonly Placement[]): void {
    const placed = new Set(placements.map(({ task }) => task))
    for (const { tasks } of groups) {
      for (const task of tasks) {
        const step = stepOf(task)
        const waitedMs = this.#options.nowMs - (task.waitingSinceMs ?? this.#options.nowMs)
        if (placed.has(task) || this.quota.held.has(task) || isCrashSuspect(task) || !step.isLasting || step.isFiller || waitedMs < PREEMPT_AFTER_MS) continue
        this.#preemptFor(task)
        return
      }
    }
  }

  #preemptFor (task: Task): void {
    const step = stepOf(task)
    const choices = this.#options.workerViews.filter((workerView) => this.#isAvailable(workerView)).map((workerView) => {
      const room = roomOf(workerView, this.#options.nowMs)
      const victims: Run[] = []
      const movable = [...workerView.runs.values()].filter((run) => run.phase === 'running' && !stepOf(run.task).isLasting).sort((a, b) => a.percent - b.percent)
      for (const run of movable) {
        if (room.cpuMillis >= step.cpuMillis && room.memoryMb >= step.memoryMb) break
        victims.push(run)
        room.cpuMillis += cpuDemandOf(stepOf(run.task))
        room.memoryMb += stepOf(run.task).memoryMb
      }
      const isEnough = room.cpuMillis >= step.cpuMillis && room.memoryMb >= step.memoryMb
      const hasPlace = step.maxPerWorker === 0 || (room.runsByStep.get(task.stepKey) ?? 0) < step.maxPerWorker
      return { victims, isEnough: isEnough && hasPlace && room.reservedFor === undefined }
    })
    const best = choices.filter(({ isEnough }) => isEnough).sort((a, b) => a.victims.length - b.victims.length)[0]
    if (best !== undefined) this.runsToStop.push(...best.victims)
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
        ? gangNumbers.get(members) ?? Math.max(...members.map(({ lastRunNumber }) => lastRunNumber)) + 1
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

function roomOf (workerView: WorkerView, nowMs: number): WorkerRoom {
  const { instanceId, labels, capacity } = workerView.instance
  const room: WorkerRoom = {
    instanceId,
    labels,
    capacity,
    cpuMillis: capacity.cpuMillis,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
    latencySensitiveTasks: 0,
    fillers: 0,
    runsByStep: new Map(),
    runsByJob: new Map(),
    lastingRuns: 0,
    reservedFor: [...workerView.runs.values()].find((run) => mayCrashWorker(run, nowMs))?.task.job
  }
  for (const run of workerView.runs.values()) occupy(room, run.task)
  return room
}
