/**
 * Admits tasks within the quotas of their accounts during one placement round, and records what has to wait.
 *
 * A task without quota takes no further part in the round: it neither reserves capacity on workers nor preempts other runs.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'
import { stepOf, type Task } from '../jobs/JobState.js'
import { countWithin, fitsWithin, minus, NO_RESOURCES, plus, type Resources, resourcesOf, times } from './resources.js'

/** Quota of an account in this service. @public */
export interface AccountQuota {
  /** Resources of all runs of the account here, including those that may still be running. */
  readonly used: Resources
  /** Tasks start only while `used` stays within this. */
  readonly usable: Resources
  /** Limit of the account, infinite if there is none; a task that alone exceeds it can never run. */
  readonly limit: Resources
}

/** Resources that an account lacks. @public */
export interface QuotaShortage {
  /** Demand of all waiting tasks. */
  readonly wanted: Resources
  /** Demand of the most important task or gang. */
  readonly first: Resources
}

/** Returns the quota of an account, `undefined` if it has no limit. @public */
export type AccountQuotaLookup = (account: AccountName) => AccountQuota | undefined

/** Tracks the quota that is left to each account in a placement round. @public */
export class QuotaAdmission {
  /** Shortages of the accounts whose tasks wait for a grant. */
  readonly shortages = new Map<AccountName, QuotaShortage>()
  /** Tasks that wait for a grant. */
  readonly held = new Set<Task>()
  /** The first task of each step in {@link held} that exceeds its account's limit and can never run. */
  readonly oversized: Task[] = []
  readonly #accountQuotaOf: AccountQuotaLookup
  readonly #left = new Map<AccountName, Resources>()

  /** @param accountQuotaOf - looks up the quota of an account */
  constructor (accountQuotaOf: AccountQuotaLookup) {
    this.#accountQuotaOf = accountQuotaOf
  }

  /**
   * @param tasks - the created tasks of one step
   * @param taskCount - number of its waiting tasks
   * @returns whether the quota allows at least one of them, or the whole gang, to start
   */
  hasQuotaFor (tasks: readonly Task[], taskCount = tasks.length): boolean {
    const first = tasks[0]
    const quota = first === undefined ? undefined : this.#quotaLeftOf(first)
    return first === undefined || quota === undefined || fitsWithin(admissionUnitOf(first, taskCount), quota.left)
  }

  /**
   * Counts the tasks of a step that fit the quota, and records the others as waiting.
   *
   * @param tasks - the created tasks of one step, in the order in which they start
   * @param taskCount - number of its waiting tasks; those that are not created yet start last
   * @param laterTasks - waiting tasks of the same step in later occurrences, which are wanted as well
   * @returns how many fit; of a gang all or none
   */
  countAdmitted (tasks: readonly Task[], taskCount: number, laterTasks = 0): number {
    const first = tasks[0]
    const quota = first === undefined ? undefined : this.#quotaLeftOf(first)
    if (first === undefined || quota === undefined) return taskCount
    const unit = admissionUnitOf(first, taskCount)
    if (!fitsWithin(unit, quota.limit)) {
      this.oversized.push(first)
      for (const task of tasks) this.held.add(task)
      return 0
    }
    const isGang = stepOf(first).isGang
    const count = isGang ? (fitsWithin(unit, quota.left) ? taskCount : 0) : Math.min(taskCount, countWithin(resourcesOf(stepOf(first)), quota.left))
    if (count < taskCount) this.#recordShortage(quota.account, first, taskCount - count + laterTasks, unit)
    for (const task of tasks.slice(count)) this.held.add(task)
    return count
  }

  /** Deducts a task from its account's remaining quota. @param task - a placed task */
  consume (task: Task): void {
    const quota = this.#quotaLeftOf(task)
    if (quota !== undefined) this.#left.set(quota.account, minus(quota.left, resourcesOf(stepOf(task))))
  }

  #quotaLeftOf ({ job }: Task): QuotaLeft | undefined {
    const account = job.spec.owner?.account
    const quota = account === undefined ? undefined : this.#accountQuotaOf(account)
    if (account === undefined || quota === undefined) return undefined
    return { account, limit: quota.limit, left: this.#left.get(account) ?? minus(quota.usable, quota.used) }
  }

  #recordShortage (account: AccountName, first: Task, taskCount: number, unit: Resources): void {
    const existing = this.shortages.get(account)
    const wanted = times(resourcesOf(stepOf(first)), taskCount)
    this.shortages.set(account, { wanted: plus(existing?.wanted ?? NO_RESOURCES, wanted), first: existing?.first ?? unit })
  }
}

interface QuotaLeft { readonly account: AccountName, readonly limit: Resources, readonly left: Resources }

/** Resources of the smallest unit that can start: a task, or a whole gang. */
function admissionUnitOf (first: Task, taskCount: number): Resources {
  return stepOf(first).isGang ? times(resourcesOf(stepOf(first)), taskCount) : resourcesOf(stepOf(first))
}
