/**
 * Divides the starts that a round may make among the jobs that wait.
 *
 * @module
 */
import { stepOf, type Job } from '../jobs/JobState.js'
import type { PlacementGroup } from './WorkerRoom.js'

/**
 * The starts left to a placement round. A job that has its fair share of all starts under way gets more only once every other job had its turn: otherwise a
 * large job would use up all starts of a slow host for as long as it goes first.
 */
export class StartBudget {
  #left: number
  readonly #size: number
  readonly #underWay: Map<Job, number>
  readonly #cutGroups = new Set<PlacementGroup>()

  /**
   * @param size - the starts that may be under way at once
   * @param underWay - the starts under way, by job
   */
  constructor (size: number, underWay: ReadonlyMap<Job, number> = new Map()) {
    this.#size = size
    this.#underWay = new Map(underWay)
    this.#left = [...underWay.values()].reduce((left, count) => left - count, size)
  }

  /** Whether a step got fewer starts than it has tasks to place. */
  get isUsedUp (): boolean {
    return this.#cutGroups.size > 0
  }

  /**
   * Returns how many tasks of a step may be placed in its turn.
   *
   * @param group - the step
   * @param jobs - the number of jobs that wait
   * @returns the number of tasks, infinite for a gang that may start, since it starts as a whole
   */
  shareOf (group: PlacementGroup, jobs: number): number {
    const job = group.tasks[0]?.job
    const fairShare = Math.max(1, Math.floor(this.#size / jobs))
    return this.#limit(group, fairShare - (job === undefined ? 0 : this.#underWay.get(job) ?? 0))
  }

  /** @param group - a step @returns how many of its tasks may be placed once every job had its turn, as for {@link StartBudget.shareOf} */
  restOf (group: PlacementGroup): number {
    return this.#limit(group, Infinity)
  }

  /** Takes the starts of placed tasks. @param job - their job @param starts - their number; a gang may exceed what is left */
  take (job: Job, starts: number): void {
    this.#left -= starts
    this.#underWay.set(job, (this.#underWay.get(job) ?? 0) + starts)
  }

  /** @param group - a step of which not all tasks got a start */
  recordCut (group: PlacementGroup): void {
    this.#cutGroups.add(group)
  }

  /** @param group - a waiting step @returns whether some of its tasks had to wait for starts, not for room */
  wasCut (group: PlacementGroup): boolean {
    return this.#cutGroups.has(group)
  }

  #limit ({ tasks: [first] }: PlacementGroup, most: number): number {
    const starts = Math.max(0, Math.min(this.#left, most))
    return starts > 0 && first !== undefined && stepOf(first).isGang ? Infinity : starts
  }
}
