/**
 * One round of placing: gathers what waits and who has room, decides, and makes the runs.
 *
 * @module
 */
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'
import { isSuspect, judgeTask, mayCrash } from '../jobs/crashes.js'
import { hasEnded, openSteps, stepOf, type Job, type Run, type Task } from '../jobs/JobState.js'
import { QuotaRound, type AccountRooms } from '../quotas/QuotaRound.js'
import { ISOLATION_WAIT_MS } from './isolation.js'
import { cpuDemandOf, occupy, placeTasks, type Placement } from './placeTasks.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'
import { compareRanks, rankStep, TIERS, type StepRank } from '../jobs/rankJobs.js'
import type { RunTimes } from '../jobs/RunTimes.js'
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
  readonly links: readonly WorkerView[]
  readonly times: RunTimes
  readonly advice: TicketSource
  /** What each account may have running here. */
  readonly accountRooms: AccountRooms
  /** Machines that are being emptied. */
  readonly vacating: { isVacating (machineId: string): boolean }
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/** A lasting task that waited so long for room displaces others: its users are served by nobody meanwhile. */
const DISPLACE_AFTER_MS = 700
/** A run of which nothing was heard for so long gets a copy; workers are asked at least each second. */
const COPY_AFTER_SILENCE_MS = 2500
/** A run that takes so many times as long as others of its image gets a copy: tasks of an image differ by less. */
const FAR_BEHIND = 2.5
/** A run whose progress stood still so long is stopped and placed elsewhere. */
const STALLED_MS = 3000

interface Waiting { readonly tasks: readonly Task[], readonly rank: StepRank, readonly queue: QueueConfiguration | undefined }

/** The round. @public */
export class PlacementRound {
  /** Runs to be stopped, found while placing. */
  readonly toStop: Run[] = []
  /** Tasks that end the workers which start them, found while placing. */
  readonly toGiveUp: Task[] = []
  /** What accounts' grants had room for, and what waits for one. */
  readonly quota: QuotaRound
  readonly #options: PlacementRoundOptions
  readonly #queues: ReadonlyMap<string, QueueConfiguration>

  /** @param options - what it sees */
  constructor (options: PlacementRoundOptions) {
    this.#options = options
    this.quota = new QuotaRound(options.accountRooms)
    this.#queues = new Map(options.configuration.queues.map((queue) => [queue.name, queue]))
  }

  /** @returns new runs in phase `recording`, entered at their tasks */
  place (): Run[] {
    const rooms = this.#rooms()
    const waiting = this.#waiting()
    // What is placed of a job that ends in this round would be forgotten by its job, and go on taking up room.
    const givenUp = new Set(this.toGiveUp.map(({ job }) => job))
    const placeable = waiting.filter(({ tasks: [first] }) => first !== undefined && !givenUp.has(first.job))
    const groups = placeable.map((step) => this.#groupOf(step, rooms)).filter((group) => group !== undefined)
    const placements = placeTasks(groups, rooms, this.quota)
    this.#displace(groups, placements)
    this.#findStalled()
    return this.#runsOf(placements)
  }

  #waiting (): Waiting[] {
    const waiting: Waiting[] = []
    for (const job of this.#options.jobs) {
      if (hasEnded(job)) continue
      const queue = this.#queues.get(job.spec.queue)
      for (const step of openSteps(job, this.#options.wallMs)) {
        const tasks = this.#placeable(step)
        const first = tasks[0]
        if (first === undefined) continue
        for (const task of tasks) task.waitingSinceMs ??= this.#options.nowMs
        waiting.push({ tasks, queue, rank: rankStep(first, queue, this.#options.times, this.#options.wallMs) })
      }
    }
    return waiting.sort((a, b) => compareRanks(a.rank, b.rank))
  }

  /** Members of a gang are placed only together, so none may still be running. */
  #placeable (step: readonly Task[]): readonly Task[] {
    const first = step[0]
    if (first !== undefined && stepOf(first).isGang && step.some(({ runs }) => runs.length > 0)) return []
    const open = step.filter((task) => !task.isDone && (task.runs.length === 0 || this.#needsCopy(task)))
    const verdicts = open.map((task) => judgeTask(task, this.#options.nowMs))
    this.toGiveUp.push(...open.filter((_, at) => verdicts[at] === 'give-up'))
    if (first !== undefined && stepOf(first).isGang && verdicts.some((verdict) => verdict !== 'place')) return []
    // Others of the job that may do the same wait with it: it may be over for all of them.
    const isJudged = verdicts.includes('wait')
    return open.filter((task, at) => verdicts[at] === 'place' && !(isJudged && isSuspect(task)))
  }

  /** Where copies may run side by side, a run that is likely lost or far behind gets one at once, not only when its lease is over. */
  #needsCopy (task: Task): boolean {
    const [run, ...copies] = task.runs
    const step = stepOf(task)
    if (run === undefined || copies.length > 0 || isSuspect(task) || !step.allowsCopies || step.isLasting || step.isGang) return false
    if (run.phase === 'stopping') return false
    const { nowMs, links, times } = this.#options
    const link = links.find(({ instance }) => instance.instanceId === run.instanceId)
    // A new holder has heard nothing yet: its workers are given the time to answer.
    const isSilent = link?.isAnswering(nowMs) !== true && run.phase !== 'recording' && nowMs - run.progressMs > COPY_AFTER_SILENCE_MS
    const isBehind = run.startedMs !== undefined && times.isLearned(step) && nowMs - run.startedMs > times.expectedMs(step) * FAR_BEHIND
    if (isSilent || isBehind) task.avoid.add(run.instanceId)
    return isSilent || isBehind
  }

  #groupOf ({ tasks, rank, queue }: Waiting, rooms: readonly WorkerRoom[]): PlacementGroup | undefined {
    const mayReserve = rank.tier === TIERS.lasting
    const waitedMs = this.#options.nowMs - Math.min(...tasks.map(({ waitingSinceMs }) => waitingSinceMs ?? this.#options.nowMs))
    const mayShareWorker = waitedMs >= ISOLATION_WAIT_MS
    if (queue?.advice === undefined) return { tasks, mayReserve, mayShareWorker }
    const byRoom = [...rooms].sort((a, b) => b.cpuMillis - a.cpuMillis).map(({ instanceId }) => instanceId)
    const tickets = this.#options.advice.ticketsFor(tasks[0] as Task, byRoom, this.#options.nowMs)
    return tickets === undefined ? undefined : { tasks, mayReserve, mayShareWorker, tickets }
  }

  #rooms (): WorkerRoom[] {
    return this.#options.links.filter((link) => this.#isOpen(link)).map((link) => roomOf(link, this.#options.nowMs))
  }

  #isOpen (link: WorkerView): boolean {
    const { nowMs, vacating } = this.#options
    return link.takesWork && link.clock.isKnown && link.isAnswering(nowMs) && !link.isNotedSilent &&
      nowMs >= link.refusingUntilMs && !link.health.isApart(nowMs) && !vacating.isVacating(link.instance.machineId)
  }

  /** Stops runs that do not last, the least advanced first, until a lasting task fits beside the rest. */
  #displace (groups: readonly PlacementGroup[], placements: readonly Placement[]): void {
    const placed = new Set(placements.map(({ task }) => task))
    for (const { tasks } of groups) {
      for (const task of tasks) {
        const step = stepOf(task)
        const waitedMs = this.#options.nowMs - (task.waitingSinceMs ?? this.#options.nowMs)
        if (placed.has(task) || this.quota.held.has(task) || isSuspect(task) || !step.isLasting || step.isFiller || waitedMs < DISPLACE_AFTER_MS) continue
        this.#displaceFor(task)
        return
      }
    }
  }

  #displaceFor (task: Task): void {
    const step = stepOf(task)
    const choices = this.#options.links.filter((link) => this.#isOpen(link)).map((link) => {
      const room = roomOf(link, this.#options.nowMs)
      const victims: Run[] = []
      const movable = [...link.runs.values()].filter((run) => run.phase === 'running' && !stepOf(run.task).isLasting).sort((a, b) => a.percent - b.percent)
      for (const run of movable) {
        if (room.cpuMillis >= step.cpuMillis && room.memoryMb >= step.memoryMb) break
        victims.push(run)
        room.cpuMillis += cpuDemandOf(stepOf(run.task))
        room.memoryMb += stepOf(run.task).memoryMb
      }
      const isEnough = room.cpuMillis >= step.cpuMillis && room.memoryMb >= step.memoryMb
      const hasPlace = step.maxPerWorker === 0 || (room.runsByStep.get(task.stepKey) ?? 0) < step.maxPerWorker
      return { victims, isEnough: isEnough && hasPlace && room.leftTo === undefined }
    })
    const best = choices.filter(({ isEnough }) => isEnough).sort((a, b) => a.victims.length - b.victims.length)[0]
    if (best !== undefined) this.toStop.push(...best.victims)
  }

  #findStalled (): void {
    const { nowMs, links } = this.#options
    for (const link of links) {
      for (const run of link.runs.values()) {
        if (run.phase !== 'running' || stepOf(run.task).isLasting || nowMs - run.progressMs < STALLED_MS) continue
        run.task.avoid.add(run.instanceId)
        this.toStop.push(run)
      }
    }
  }

  #runsOf (placements: readonly Placement[]): Run[] {
    const gangNumbers = new Map<readonly Task[], number>()
    return placements.map(({ task, instanceId, ticket }) => {
      const members = task.job.times.get(task.time)?.[task.stepIndex] ?? [task]
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
        isToStop: false,
        seenMs: -Infinity,
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

function roomOf (link: WorkerView, nowMs: number): WorkerRoom {
  const { instanceId, labels, capacity } = link.instance
  const room: WorkerRoom = {
    instanceId,
    labels,
    capacity,
    cpuMillis: capacity.cpuMillis,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
    servingTasks: 0,
    fillers: 0,
    runsByStep: new Map(),
    runsByJob: new Map(),
    lastingRuns: 0,
    leftTo: [...link.runs.values()].find((run) => mayCrash(run, nowMs))?.task.job
  }
  for (const run of link.runs.values()) occupy(room, run.task)
  return room
}
