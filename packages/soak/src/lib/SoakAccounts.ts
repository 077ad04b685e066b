/**
 * Client accounts of one run: their API keys and limits, and the times at which these changed.
 *
 * @module
 */
import type { AccountSettings } from '@quillscale/platform-fleet'
import type { ROTATING_ACCOUNT } from './Rotations.js'

/** Names of the accounts: the first has a limit, the second has none. @public */
export const ACCOUNTS = ['press', 'herald'] as const
/** The name of an account. @public */
export type SoakAccount = typeof ACCOUNTS[number] | typeof ROTATING_ACCOUNT

/** CPU that each task uses, in thousandths of a core. @public */
export const TASK_CPU_MILLIS = 1000
/** How many tasks the limited account may have running: normally, and while its limit is lowered. */
const LIMIT_TASKS = 4
const LOWERED_TASKS = 2
/** Time after which every host must apply a new configuration, as at the users' sites. @public */
export const APPLY_MS = 2000

/** A new limit of the limited account, valid from `atMs` on. @public */
export interface LimitChange { readonly atMs: number, readonly tasks: number }

interface KeyValidity { readonly account: SoakAccount, readonly key: string, readonly fromMs: number, toMs: number }

/** Tracks which keys and limits were configured at which time. @public */
export class SoakAccounts {
  readonly limits: LimitChange[] = [{ atMs: -Infinity, tasks: LIMIT_TASKS }]
  readonly #keyValidities: KeyValidity[] = ACCOUNTS.map((account) => ({ account, key: `${account}-key-0`, fromMs: -Infinity, toMs: Infinity }))

  /** The accounts as the next configuration contains them. */
  get accountSettings (): AccountSettings[] {
    const tasks = this.limits.at(-1)?.tasks ?? LIMIT_TASKS
    return ACCOUNTS.map((name) => ({
      name,
      keys: this.#keyValidities.filter(({ account, toMs }) => account === name && toMs === Infinity).map(({ key }) => key),
      cpuMillis: name === ACCOUNTS[0] ? tasks * TASK_CPU_MILLIS : 0
    }))
  }

  /** @param account - the account @param nowMs - the current time @returns its newest key that every host must accept, empty if there is none */
  currentKey (account: SoakAccount, nowMs: number): string {
    const inForce = this.#keyValidities.filter((validity) => validity.account === account && validity.fromMs + APPLY_MS <= nowMs && validity.toMs > nowMs)
    return inForce.at(-1)?.key ?? ''
  }

  /** @param nowMs - the current time @returns the most recently revoked key, or a key that never existed if none was revoked */
  lastRevokedKey (nowMs: number): string {
    return this.#keyValidities.filter(({ toMs }) => toMs <= nowMs).at(-1)?.key ?? 'nobody-key'
  }

  /**
   * @param key - the key of a request
   * @param sentMs - time at which the request was sent
   * @param doneMs - time at which it was answered
   * @returns whether a host may have accepted the key, and whether it must have accepted it
   */
  expectedAcceptance (key: string, sentMs: number, doneMs: number): { readonly mayHold: boolean, readonly mustHold: boolean } {
    const validity = this.#keyValidities.find((each) => each.key === key)
    if (validity === undefined) return { mayHold: false, mustHold: false }
    return {
      mayHold: validity.fromMs <= doneMs && sentMs < validity.toMs + APPLY_MS,
      mustHold: validity.fromMs + APPLY_MS <= sentMs && doneMs < validity.toMs
    }
  }

  /** Adds a key to an account. @param account - the account @param nowMs - the current time */
  addKey (account: SoakAccount, nowMs: number): void {
    this.#keyValidities.push({ account, key: `${account}-key-${this.#keyValidities.length}`, fromMs: nowMs, toMs: Infinity })
  }

  /** Revokes all keys of an account but the newest one that every host accepts. @param account - the account @param nowMs - the current time */
  revokeReplacedKeys (account: SoakAccount, nowMs: number): void {
    const inForce = this.currentKey(account, nowMs)
    const isReplaced = (validity: KeyValidity): boolean =>
      validity.account === account && validity.key !== inForce && validity.fromMs + APPLY_MS <= nowMs && validity.toMs === Infinity
    for (const validity of this.#keyValidities.filter(isReplaced)) validity.toMs = nowMs
  }

  /** Changes the limit of the limited account. @param isLowered - whether the lower limit applies @param nowMs - the current time */
  setLimit (isLowered: boolean, nowMs: number): void {
    this.limits.push({ atMs: nowMs, tasks: isLowered ? LOWERED_TASKS : LIMIT_TASKS })
  }
}
