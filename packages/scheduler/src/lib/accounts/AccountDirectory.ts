/**
 * Looks up the client accounts of one configuration.
 *
 * @module
 */
import type { AccountName, ClientAccount, FleetConfiguration, KeyHash } from '@quillscale/ports'
import { unlimitedWhereZero, type JobOwner, type Resources } from '@quillscale/policy'
import { keyTagOf } from './hashKey.js'

/** Indexes the client accounts of a configuration by key hash and by name. @public */
export class AccountDirectory {
  readonly #byKey: ReadonlyMap<KeyHash, ClientAccount>
  readonly #byName: ReadonlyMap<AccountName, ClientAccount>
  readonly #limits: ReadonlyMap<AccountName, Resources>

  /** @param configuration - the current configuration, `undefined` before the first one arrives */
  constructor (configuration: FleetConfiguration | undefined) {
    const accounts = configuration?.accounts ?? []
    this.#byKey = new Map(accounts.flatMap((account) => account.keyHashes.map((hash) => [hash, account] as const)))
    this.#byName = new Map(accounts.map((account) => [account.name, account]))
    this.#limits = new Map(accounts.filter(({ limit }) => hasAnyLimit(limit)).map(({ name, limit }) => [name, unlimitedWhereZero(limit)]))
  }

  /** @param hash - hash of a client's key @returns the account that owns the key, in the form stored with its jobs; `undefined` if there is none */
  ownerOf (hash: KeyHash): JobOwner | undefined {
    const account = this.#byKey.get(hash)
    return account === undefined ? undefined : { account: account.name, keyTag: keyTagOf(hash) }
  }

  /** @param name - account name @returns its resource limit, infinite for unlimited kinds of resource; `undefined` if it has no limit at all */
  limitOf (name: AccountName): Resources | undefined {
    return this.#limits.get(name)
  }

  /** Whether any account has a limit. */
  get hasLimits (): boolean {
    return this.#limits.size > 0
  }

  /** @param name - account name @returns its weight, in jobs per second; `undefined` if the account was removed */
  weightOf (name: AccountName): number | undefined {
    return this.#byName.get(name)?.weight
  }
}

const directoryByConfiguration = new WeakMap<FleetConfiguration, AccountDirectory>()
const EMPTY_DIRECTORY = new AccountDirectory(undefined)

/** @param configuration - the current one, `undefined` before the first one arrives @returns its accounts, indexed once for each configuration @public */
export function accountsOf (configuration: FleetConfiguration | undefined): AccountDirectory {
  if (configuration === undefined) return EMPTY_DIRECTORY
  const cached = directoryByConfiguration.get(configuration)
  if (cached !== undefined) return cached
  const directory = new AccountDirectory(configuration)
  directoryByConfiguration.set(configuration, directory)
  return directory
}

function hasAnyLimit ({ cpuMillis, memoryMb, gpus }: Resources): boolean {
  return cpuMillis > 0 || memoryMb > 0 || gpus > 0
}
