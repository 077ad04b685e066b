/**
 * What each account may still start in one round of placing, and what had to wait for it.
 *
 * A task that its account's grant has no room for takes part in nothing else of the round: it neither holds room on workers nor displaces.
 *
 * @module
 */
import type { AccountName } from '@quillscale/ports'
import { stepOf, type Task } from '../jobs/JobState.js'
import { fitsWithin, minus, NO_RESOURCES, plus, type Resources, resourcesOf, times } from './resources.js'

/** What an account may have running in this service. @public */
export interface AccountQuota {
  /** All that runs or may run of it here. */
  readonly used: Resources
  /** Tasks start only while `used` stays within this. */
  readonly usable: Resources
  /** Of the account, infinite where there is none: what exceeds it alone can never run. */
  readonly limit: Resources
}

/** What waits for a grant. @public */
export interface QuotaShortage {
  /** Of all that waits. */
  readonly wanted: Resources
  /** Of the most important task or gang. */
  readonly first: Resources
}

/** Accounts without a limit have no room: `undefined`. @public */
export type AccountQuotaLookup = (account: AccountName) => AccountQuota | undefined

/** The round. @public */
export class QuotaAdmission {
  /** Accounts of which something waits for a grant. */
  readonly shortages = new Map<AccountName, QuotaShortage>()
  /** Tasks that wait for a grant. */
  readonly held = new Set<Task>()
  /** Of {@link held}, the first of each step that can never run as its account's limit is. */
  readonly oversized: Task[] = []
  readonly #roomOf: AccountQuotaLookup
  readonly #left = new Map<AccountName, Resources>()

  /** @param roomOf - what each account may have */
  constructor (roomOf: AccountQuotaLookup) {
    this.#roomOf = roomOf
  }

  /** @param tasks - of one step @returns whether at least one of them, or the whole gang, may start now */
  hasQuotaFor (tasks: readonly Task[]): boolean {
    const first = tasks[0]
    const room = first === undefined ? undefined : this.#roomFor(first)
    return first === undefined || room === undefined || fitsWithin(admissionUnitOf(first, tasks.length), room.left)
  }

  /**
   * Finds which tasks of a step their account has room for; the others are noted as waiting for it.
   *
   * @param tasks - of one step, all members of a gang
   * @returns the first of them that fit; of a gang all or none
   */
  admit (tasks: readonly Task[]): readonly Task[] {
    const first = tasks[0]
    const room = first === undefined ? undefined : this.#roomFor(first)
    if (first === undefined || room === undefined) return tasks
    const chunk = admissionUnitOf(first, tasks.length)
    if (!fitsWithin(chunk, room.limit)) {
      this.oversized.push(first)
      for (const task of tasks) this.held.add(task)
      return []
    }
    const isGang = stepOf(first).isGang
    const count = isGang ? (fitsWithin(chunk, room.left) ? tasks.length : 0) : countFitting(resourcesOf(stepOf(first)), room.left, tasks.length)
    this.#hold(room.account, tasks.slice(count), chunk)
    return tasks.slice(0, count)
  }

  /** Takes what was placed off its account's room. @param task - that was placed */
  consume (task: Task): void {
    const room = this.#roomFor(task)
    if (room !== undefined) this.#left.set(room.account, minus(room.left, resourcesOf(stepOf(task))))
  }

  #roomFor ({ job }: Task): QuotaLeft | undefined {
    const account = job.spec.owner?.account
    const room = account === undefined ? undefined : this.#roomOf(account)
    if (account === undefined || room === undefined) return undefined
    return { account, limit: room.limit, left: this.#left.get(account) ?? minus(room.usable, room.used) }
  }

  #hold (account: AccountName, tasks: readonly Task[], chunk: Resources): void {
    const first = tasks[0]
    if (first === undefined) return
    for (const task of tasks) this.held.add(task)
    const known = this.shortages.get(account)
    const wanted = times(resourcesOf(stepOf(first)), tasks.length)
    this.shortages.set(account, { wanted: plus(known?.wanted ?? NO_RESOURCES, wanted), first: known?.first ?? chunk })
  }
}

interface QuotaLeft { readonly account: AccountName, readonly limit: Resources, readonly left: Resources }

/** Members of a gang start together or not at all. */
function admissionUnitOf (first: Task, taskCount: number): Resources {
  return stepOf(first).isGang ? times(resourcesOf(stepOf(first)), taskCount) : resourcesOf(stepOf(first))
}

/** How many tasks of a size fit, at most so many. */
function countFitting (each: Resources, left: Resources, mostTasks: number): number {
  let count = 0
  while (count < mostTasks && fitsWithin(times(each, count + 1), left)) count++
  return count
}
