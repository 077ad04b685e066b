/**
 * Divides the starts that a round may make among the jobs that wait.
 *
 * @module
 */
import { stepOf, type Job } from '../jobs/JobState.js'
import { countWaiting, type PlacementGroup } from './WorkerRoom.js'

/** A job of as few tasks is not divided, unless a quarter of all starts is less: it would be recorded and logged several times. */
const UNDIVIDED_TASKS = 16
const UNDIVIDED_SHARE = 1 / 4

/** Runs of a service that its holder keeps, and the most that it may keep. @public */
export interface RunLimit {
  readonly most: number
  readonly runsOf: ReadonlyMap<Job, number>
}

/**
 * The starts left to a placement round. They go to the steps in order of importance, but each job leaves to those behind it what they need, up to their fair
 * share of all starts under way: otherwise a large job would use up all starts of a slow host for as long as it goes first.
 */
export class StartBudget {
  #left: number
  /** What each job with a turn to come needs of its fair share, and the sum of that. */
  readonly #reserved = new Map<Job, number>()
  #totalReserved = 0
  readonly #cutGroups = new Set<PlacementGroup>()
  readonly #runLimit: RunLimit
  #freeRuns: number
  readonly #startsOf = new Map<Job, number>()

  /**
   * @param size - the starts that may be under way at once
   * @param underWay - the starts under way, by job
   * @param groups - the steps that wait
   * @param runLimit - bounds the runs, also of tasks that need no resources
   */
  constructor (
    size: number, underWay: ReadonlyMap<Job, number> = new Map(), groups: readonly PlacementGroup[] = [],
    runLimit: RunLimit = { most: Infinity, runsOf: new Map() }
  ) {
    this.#left = size
    this.#runLimit = runLimit
    this.#freeRuns = runLimit.most
    for (const runs of runLimit.runsOf.values()) this.#freeRuns -= runs
    for (const count of underWay.values()) this.#left -= count
    const needs = new Map<Job, number>()
    for (const group of groups) {
      const job = group.tasks[0]?.job
      if (job !== undefined) needs.set(job, (needs.get(job) ?? 0) + countWaiting(group) + (group.laterTasks ?? 0))
    }
    const fairShare = Math.max(1, Math.floor(size / needs.size), Math.min(UNDIVIDED_TASKS, Math.ceil(size * UNDIVIDED_SHARE)))
    for (const [job, need] of needs) this.#reserve(job, Math.min(need, fairShare - (underWay.get(job) ?? 0)))
  }

  /** Whether a step got fewer starts than it has tasks to place. */
  get isUsedUp (): boolean {
    return this.#cutGroups.size > 0
  }

  /**
   * Returns how many tasks of a step may be placed, and ends its turn.
   *
   * @param group - the step
   * @returns the number of tasks, infinite for a gang that may start, since it starts as a whole
   */
  admit (group: PlacementGroup): number {
    const [first] = group.tasks
    if (first === undefined) return 0
    const own = this.#reserved.get(first.job) ?? 0
    this.#reserve(first.job, own - countWaiting(group))
    const others = this.#totalReserved - (this.#reserved.get(first.job) ?? 0)
    const starts = Math.max(0, Math.min(this.#left, Math.max(own, this.#left - others)))
    if (stepOf(first).isGang) return starts > 0 && countWaiting(group) <= this.#freeRuns ? Infinity : 0
    return Math.min(starts, this.#runsLeftTo(first.job))
  }

  /** Returns how many more runs a job may have: it leaves as many to others as it has itself. */
  #runsLeftTo (job: Job): number {
    if (this.#freeRuns === Infinity) return Infinity
    const own = (this.#runLimit.runsOf.get(job) ?? 0) + (this.#startsOf.get(job) ?? 0)
    return Math.max(0, Math.floor((this.#freeRuns - own) / 2))
  }

  /** @param starts - the number of tasks that were placed; a gang may exceed what is left @param group - their step */
  take (starts: number, group: PlacementGroup): void {
    this.#left -= starts
    this.#freeRuns -= starts
    const job = group.tasks[0]?.job
    if (job !== undefined) this.#startsOf.set(job, (this.#startsOf.get(job) ?? 0) + starts)
  }

  /** @param group - a step of which not all tasks got a start */
  recordCut (group: PlacementGroup): void {
    this.#cutGroups.add(group)
  }

  /** @param group - a waiting step @returns whether some of its tasks had to wait for starts, not for room */
  wasCut (group: PlacementGroup): boolean {
    return this.#cutGroups.has(group)
  }

  #reserve (job: Job, starts: number): void {
    const reserved = Math.max(0, starts)
    this.#totalReserved += reserved - (this.#reserved.get(job) ?? 0)
    this.#reserved.set(job, reserved)
  }
}
