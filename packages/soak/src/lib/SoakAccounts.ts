/**
 * Client accounts of one run: their keys and limits, and when these changed.
 *
 * @module
 */
import type { AccountSettings } from '@quillscale/platform-fleet'

/** The accounts: one that is limited, and one that is not. @public */
export const ACCOUNTS = ['press', 'herald'] as const
/** One of them. @public */
export type SoakAccount = typeof ACCOUNTS[number]

/** So many thousandths of a core each task takes. @public */
export const TASK_CPU_MILLIS = 1000
/** Tasks that the limited account may have running, and while its limit is lowered. */
const LIMIT_TASKS = 4
const LOWERED_TASKS = 2
/** A configuration is in force everywhere after this. From the users' sites. @public */
export const APPLY_MS = 2000

/** A limit of the first account, from then on. @public */
export interface LimitChange { readonly atMs: number, readonly tasks: number }

interface KeyValidity { readonly account: SoakAccount, readonly key: string, readonly fromMs: number, toMs: number }

/** The accounts. @public */
export class SoakAccounts {
  readonly limits: LimitChange[] = [{ atMs: -Infinity, tasks: LIMIT_TASKS }]
  readonly #keyValidities: KeyValidity[] = ACCOUNTS.map((account) => ({ account, key: `${account}-key-0`, fromMs: -Infinity, toMs: Infinity }))

  /** As the next configuration has them. */
  get accountSettings (): AccountSettings[] {
    const tasks = this.limits.at(-1)?.tasks ?? LIMIT_TASKS
    return ACCOUNTS.map((name) => ({
      name,
      keys: this.#keyValidities.filter(({ account, toMs }) => account === name && toMs === Infinity).map(({ key }) => key),
      cpuMillis: name === ACCOUNTS[0] ? tasks * TASK_CPU_MILLIS : 0
    }))
  }

  /** @param account - any @param nowMs - present @returns a key of it that is in force everywhere */
  currentKey (account: SoakAccount, nowMs: number): string {
    const inForce = this.#keyValidities.filter((validity) => validity.account === account && validity.fromMs + APPLY_MS <= nowMs && validity.toMs > nowMs)
    return inForce.at(-1)?.key ?? ''
  }

  /** @param nowMs - present @returns the key that was taken away last, one that nobody ever had if none was */
  lastRevokedKey (nowMs: number): string {
    return this.#keyValidities.filter(({ toMs }) => toMs <= nowMs).at(-1)?.key ?? 'nobody-key'
  }

  /** @param key - any @param sentMs - when it was sent @param doneMs - when it was answered @returns whether it may, and must, have been accepted */
  expectedAcceptance (key: string, sentMs: number, doneMs: number): { readonly mayHold: boolean, readonly mustHold: boolean } {
    const validity = this.#keyValidities.find((each) => each.key === key)
    if (validity === undefined) return { mayHold: false, mustHold: false }
    return {
      mayHold: validity.fromMs <= doneMs && sentMs < validity.toMs + APPLY_MS,
      mustHold: validity.fromMs + APPLY_MS <= sentMs && doneMs < validity.toMs
    }
  }

  /** Gives an account another key. @param account - any @param nowMs - present */
  addKey (account: SoakAccount, nowMs: number): void {
    this.#keyValidities.push({ account, key: `${account}-key-${this.#keyValidities.length}`, fromMs: nowMs, toMs: Infinity })
  }

  /** Takes all keys of an account away that another one replaces everywhere. @param account - any @param nowMs - present */
  revokeReplacedKeys (account: SoakAccount, nowMs: number): void {
    const inForce = this.currentKey(account, nowMs)
    const isReplaced = (validity: KeyValidity): boolean =>
      validity.account === account && validity.key !== inForce && validity.fromMs + APPLY_MS <= nowMs && validity.toMs === Infinity
    for (const validity of this.#keyValidities.filter(isReplaced)) validity.toMs = nowMs
  }

  /** @param isLowered - whether the first account may have less running @param nowMs - present */
  setLimit (isLowered: boolean, nowMs: number): void {
    this.limits.push({ atMs: nowMs, tasks: isLowered ? LOWERED_TASKS : LIMIT_TASKS })
  }
}
