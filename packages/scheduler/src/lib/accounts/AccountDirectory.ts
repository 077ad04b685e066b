/**
 * The client accounts of one configuration.
 *
 * @module
 */
import type { AccountName, ClientAccount, FleetConfiguration, KeyHash } from '@quillscale/ports'
import { unlimitedWhereZero, type JobOwner, type Resources } from '@quillscale/policy'
import { keyTagOf } from './hashKey.js'

/** The directory. @public */
export class AccountDirectory {
  readonly #byKey: ReadonlyMap<KeyHash, ClientAccount>
  readonly #byName: ReadonlyMap<AccountName, ClientAccount>
  readonly #limits: ReadonlyMap<AccountName, Resources>

  /** @param configuration - in force, `undefined` before the first */
  constructor (configuration: FleetConfiguration | undefined) {
    const accounts = configuration?.accounts ?? []
    this.#byKey = new Map(accounts.flatMap((account) => account.keyHashes.map((hash) => [hash, account] as const)))
    this.#byName = new Map(accounts.map((account) => [account.name, account]))
    this.#limits = new Map(accounts.filter(({ limit }) => isAnyLimited(limit)).map(({ name, limit }) => [name, unlimitedWhereZero(limit)]))
  }

  /** @param hash - of a key @returns the account that holds it, as a job of it is recorded; `undefined` if none does */
  ownerOf (hash: KeyHash): JobOwner | undefined {
    const account = this.#byKey.get(hash)
    return account === undefined ? undefined : { account: account.name, keyTag: keyTagOf(hash) }
  }

  /** @param name - of an account @returns what it may have running, infinite amounts where only others are limited; `undefined` without any limit */
  limitOf (name: AccountName): Resources | undefined {
    return this.#limits.get(name)
  }

  /** Whether any account has a limit. */
  get hasLimits (): boolean {
    return this.#limits.size > 0
  }

  /** @param name - of an account @returns the jobs a second that are its share, `undefined` for an account that was removed */
  weightOf (name: AccountName): number | undefined {
    return this.#byName.get(name)?.weight
  }
}

const directories = new WeakMap<FleetConfiguration, AccountDirectory>()
const NO_ACCOUNTS = new AccountDirectory(undefined)

/** @param configuration - in force, `undefined` before the first @returns its accounts, made once for each configuration @public */
export function accountsOf (configuration: FleetConfiguration | undefined): AccountDirectory {
  if (configuration === undefined) return NO_ACCOUNTS
  const known = directories.get(configuration)
  if (known !== undefined) return known
  const directory = new AccountDirectory(configuration)
  directories.set(configuration, directory)
  return directory
}

function isAnyLimited ({ cpuMillis, memoryMb, gpus }: Resources): boolean {
  return cpuMillis > 0 || memoryMb > 0 || gpus > 0
}
