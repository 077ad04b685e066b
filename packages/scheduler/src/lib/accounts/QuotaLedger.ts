/**
 * Tracks how much of each client account's limit one service may use.
 *
 * An account's record holds the grants of all services, which together stay within the account's limit. Each change is a compare-and-swap
 * on the whole record, on condition that the service's duty is still held. So a new holder inherits its predecessor's grant, a deposed
 * holder cannot change it, and a holder starts tasks within its grant without asking the other services.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { PrefixChange, PrefixReplica } from '@quillscale/leases'
import type { AccountName, FleetConfiguration, KeyValue, KeyValueStore } from '@quillscale/ports'
import {
  createEmptyClaim, createNextClaim, createOwnClaim, fitsWithin, isLacking, least, mapResources, minus, needsWrite, NO_RESOURCES, planGrant, plus,
  resourcesOf, stepOf, type AccountQuota, type QuotaClaim, type GrantPlan, type OwnClaim, type QuotaShortage, type Resources, type Run, type Task
} from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { ADVISORY_AGE_MS, createReplica } from '../records/createReplica.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { AccountDirectory } from './AccountDirectory.js'
import { QUOTA_PREFIX, quotaKey, decodeQuotaRecord, encodeQuotaRecord } from './quotaRecord.js'

/** Dependencies and settings of a {@link QuotaLedger}. @public */
export interface QuotaLedgerOptions {
  readonly service: string
  readonly dutyKey: string
  readonly fencingToken: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  readonly accounts: () => AccountDirectory
  readonly configuration: () => FleetConfiguration | undefined
  /** Longest time that a run may continue after its lease was last renewed. */
  readonly longestLeaseMs: () => number
  readonly count: (kind: string) => void
  /** Called when more tasks may be able to start. */
  readonly onChange: () => void
}

/** Minimum intervals between writes of one account's record, since demand changes with each task; the shorter one if waiting tasks gain quota. */
const MIN_WRITE_INTERVAL_MS = 100
const URGENT_WRITE_INTERVAL_MS = 20
/** No holder starts tasks while the record is unreadable. After this time all holders have seen that, and it is written anew. */
const UNREADABLE_RECORD_WAIT_MS = 2000
/** Steps remembered so that each is logged only once; the oldest are dropped. */
const MAX_REMEMBERED_STEPS = 1000
/** Other hosts may receive a configuration this much later, and a worker's clock may run slow by the ratio below. */
const CONFIGURATION_PROPAGATION_MS = 5000
const MAX_CLOCK_DRIFT_RATIO = 0.02
/** Short, because tasks wait for changes of the records. */
const WATCH_SPACING_MS = 10

interface CachedRecord { readonly modRevision: number, readonly claims: readonly QuotaClaim[], readonly unreadableSinceMs: number | undefined }
interface UncertainWrite { readonly baseRevision: number, readonly granted: Resources }
interface ClaimState { readonly claim: OwnClaim, readonly plan: GrantPlan, readonly others: readonly QuotaClaim[], readonly limit: Resources }

const NO_RECORD: CachedRecord = { modRevision: 0, claims: [], unreadableSinceMs: undefined }

/** Tracks the quota grants and the usage of one service, and adjusts the grants to its demand. @public */
export class QuotaLedger {
  readonly #options: QuotaLedgerOptions
  readonly #replica: PrefixReplica
  readonly #records = new Map<AccountName, CachedRecord>()
  readonly #used = new Map<AccountName, Resources>()
  /** Shortages of the last scheduling round. */
  #shortages: ReadonlyMap<AccountName, QuotaShortage> = new Map()
  readonly #lackingSinceMs = new Map<AccountName, number>()
  /** Writes without a known outcome, which may still take effect. */
  readonly #uncertainWrites = new Map<AccountName, UncertainWrite>()
  readonly #writesInFlight = new Set<AccountName>()
  readonly #lastWriteMs = new Map<AccountName, number>()
  /** When each service that is no longer configured was first missing. */
  readonly #removedSinceMs = new Map<string, number>()
  /** The latest steps that were logged because a task exceeds its account's limit. */
  readonly #warnedOversizedSteps = new Set<string>()
  #isWatching = false
  #signal: AbortSignal | undefined

  /** @param options - the service, its duty and the dependencies */
  constructor (options: QuotaLedgerOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#replica = createReplica(log, {
      store, clock, prefix: QUOTA_PREFIX, maxAgeMs: ADVISORY_AGE_MS, spacingMs: WATCH_SPACING_MS, onChange: (change) => this.#applyChange(change)
    })
  }

  /** Allows watching the records, which begins once an account has a limit. @param signal - stops the watch */
  start (signal: AbortSignal): void {
    this.#signal = signal
  }

  /** Counts a run as used quota. @param run - placed by this holder or a previous one */
  addRun (run: Run): void {
    const account = run.task.job.spec.owner?.account
    // The waiting time restarts, so that services that have started nothing since come first.
    if (account !== undefined && this.#lackingSinceMs.has(account)) this.#lackingSinceMs.set(account, this.#options.clock.wallMs())
    this.#adjustUsage(run, 1)
  }

  /** Releases the quota of a run. @param run - known to have ended */
  removeRun (run: Run): void {
    this.#adjustUsage(run, -1)
  }

  #adjustUsage ({ task }: Run, sign: 1 | -1): void {
    const account = task.job.spec.owner?.account
    if (account === undefined) return
    const used = this.#used.get(account) ?? NO_RESOURCES
    const next = sign > 0 ? plus(used, resourcesOf(stepOf(task))) : minus(used, resourcesOf(stepOf(task)))
    if (fitsWithin(next, NO_RESOURCES)) this.#used.delete(account)
    else this.#used.set(account, next)
  }

  /** @param account - account name @param nowMs - monotonic time @returns the quota of the account in this service, `undefined` without a limit */
  quotaFor (account: AccountName, nowMs: number): AccountQuota | undefined {
    const { accounts } = this.#options
    const limit = accounts().limitOf(account)
    if (limit === undefined) return undefined
    const used = this.#used.get(account) ?? NO_RESOURCES
    const state = this.#claimStateOf(account, limit, nowMs)
    const granted = least(state?.claim.granted ?? NO_RESOURCES, this.#uncertainWrites.get(account)?.granted ?? limit)
    const usable = state === undefined ? NO_RESOURCES : least(granted, state.plan.usable)
    return { used, usable: mapResources((kind) => Number.isFinite(limit[kind]) ? usable[kind] : Infinity), limit }
  }

  /**
   * Requests the quota that a scheduling round lacked, and gives up what other services lack.
   *
   * @param shortages - shortages of the round by account
   * @param nowMs - monotonic time
   */
  reconcile (shortages: ReadonlyMap<AccountName, QuotaShortage>, nowMs: number): void {
    this.#shortages = shortages
    // Needed without a shortage too: the service may hold a grant that it does not need and has to give up.
    if (this.#options.accounts().hasLimits) this.#startWatching()
    for (const account of new Set([...this.#used.keys(), ...shortages.keys(), ...this.#records.keys()])) this.#reconcileAccount(account, nowMs)
  }

  /** Logs, once for each step, that its tasks exceed their account's limit and can never run. @param tasks - the first task of each step */
  warnOversized (tasks: readonly Task[]): void {
    for (const task of tasks) {
      if (this.#warnedOversizedSteps.has(task.stepKey)) continue
      this.#warnedOversizedSteps.add(task.stepKey)
      const oldest = this.#warnedOversizedSteps.keys().next()
      if (this.#warnedOversizedSteps.size > MAX_REMEMBERED_STEPS && oldest.done !== true) this.#warnedOversizedSteps.delete(oldest.value)
      const account = task.job.spec.owner?.account
      this.#options.log.warn({ jobId: task.job.spec.jobId, stepKey: task.stepKey, account, wants: resourcesOf(stepOf(task)) }, 'tasks wait: one of them exceeds what their account may have running')
    }
  }

  #reconcileAccount (account: AccountName, nowMs: number): void {
    const limit = this.#options.accounts().limitOf(account)
    if (limit === undefined || !this.#replica.isListed || this.#writesInFlight.has(account)) return
    const sinceLastWriteMs = nowMs - (this.#lastWriteMs.get(account) ?? -Infinity)
    if (sinceLastWriteMs < URGENT_WRITE_INTERVAL_MS) return
    const state = this.#claimStateOf(account, limit, nowMs)
    if (state === undefined) return
    const next = this.#nextClaim(account, state)
    const isUrgent = isLacking(state.claim) && !fitsWithin(next.granted, state.claim.granted)
    if ((!isUrgent && sinceLastWriteMs < MIN_WRITE_INTERVAL_MS) || !needsWrite(state.claim, next, this.#recordedClaim(account), state.others)) return
    void this.#writeClaim(account, state, next)
  }

  /** Returns `undefined` while the record is not listed yet or recently became unreadable. */
  #claimStateOf (account: AccountName, limit: Resources, nowMs: number): ClaimState | undefined {
    if (!this.#replica.isListed) return undefined
    const record = this.#records.get(account) ?? NO_RECORD
    if (record.unreadableSinceMs !== undefined && nowMs - record.unreadableSinceMs < UNREADABLE_RECORD_WAIT_MS) return undefined
    const { service } = this.#options
    const recorded = this.#recordedClaim(account)
    const claim = createOwnClaim({
      service,
      used: this.#used.get(account) ?? NO_RESOURCES,
      shortage: this.#shortages.get(account),
      recorded,
      lackingSinceMs: this.#lackingSinceMs.get(account),
      limit
    })
    const others = record.claims.filter((other) => other.service !== service && !this.#isRemovedService(other.service, nowMs))
    return { claim, others, limit, plan: planGrant(claim, others, limit, this.#options.clock.wallMs(), recorded ?? createEmptyClaim(service)) }
  }

  #recordedClaim (account: AccountName): QuotaClaim | undefined {
    return this.#records.get(account)?.claims.find(({ service }) => service === this.#options.service)
  }

  /** A service that is no longer configured runs nothing after its last leases have expired, so its grant is free. */
  #isRemovedService (service: string, nowMs: number): boolean {
    const isConfigured = this.#options.configuration()?.services.some(({ name }) => name === service) !== false
    if (isConfigured) {
      this.#removedSinceMs.delete(service)
      return false
    }
    const sinceMs = this.#removedSinceMs.get(service) ?? nowMs
    this.#removedSinceMs.set(service, sinceMs)
    return nowMs - sinceMs > this.#options.longestLeaseMs() * (1 + MAX_CLOCK_DRIFT_RATIO) + CONFIGURATION_PROPAGATION_MS
  }

  #nextClaim (account: AccountName, { claim, plan }: ClaimState): QuotaClaim {
    const next = createNextClaim(claim, plan.granted, this.#options.clock.wallMs())
    if (next.lackingSinceMs === undefined) this.#lackingSinceMs.delete(account)
    else this.#lackingSinceMs.set(account, next.lackingSinceMs)
    return next
  }

  async #writeClaim (account: AccountName, { claim, others, limit }: ClaimState, next: QuotaClaim): Promise<void> {
    const { store, clock, dutyKey, fencingToken, log, service, count, onChange } = this.#options
    const key = quotaKey(account)
    const baseRevision = this.#records.get(account)?.modRevision ?? 0
    const before = this.#uncertainWrites.get(account)
    this.#uncertainWrites.set(account, { baseRevision, granted: least(before?.granted ?? claim.granted, least(claim.granted, next.granted)) })
    this.#writesInFlight.add(account)
    const value = encodeQuotaRecord({ account, claims: [...others, next] })
    const outcome = await store.transact({
      conditions: [{ key: dutyKey, modRevision: fencingToken }, { key, modRevision: baseRevision }], puts: [{ key, value }], removals: []
    })
    this.#writesInFlight.delete(account)
    this.#lastWriteMs.set(account, clock.monotonicMs())
    if (outcome.err) {
      count('unanswered')
      log.warn({ account, service, error: outcome.val, baseRevision }, 'quota grant not written yet')
      if (outcome.val.kind !== 'unknown-effect' && before === undefined) this.#uncertainWrites.delete(account)
      return
    }
    if (outcome.val.committed) {
      count(fitsWithin(next.granted, claim.granted) ? 'kept or lowered' : 'raised')
      this.#updateCache(account, { modRevision: outcome.val.modRevision, claims: [...others, next], unreadableSinceMs: undefined })
      log.info({ account, service, revision: outcome.val.modRevision, used: claim.used, before: claim.granted, granted: next.granted, wanted: next.wanted, limit }, 'quota grant changed')
    } else {
      count('overtaken')
      for (const item of outcome.val.current) if (item.key === key) this.#readRecord(item)
    }
    onChange()
  }

  #startWatching (): void {
    if (this.#isWatching || this.#signal === undefined) return
    this.#isWatching = true
    void this.#replica.run(this.#signal)
  }

  #applyChange ({ changed }: PrefixChange): void {
    for (const item of changed) this.#readRecord(item)
    this.#options.onChange()
  }

  #readRecord (item: KeyValue): void {
    const { records, clock } = this.#options
    const record = records.read(item, decodeQuotaRecord)
    const isOwnKey = record !== undefined && quotaKey(record.account) === item.key
    const account = isOwnKey ? record.account : accountFromKey(item.key)
    if (account === undefined) return
    const claims = isOwnKey ? record.claims : []
    this.#updateCache(account, { modRevision: item.modRevision, claims, unreadableSinceMs: isOwnKey ? undefined : clock.monotonicMs() })
  }

  #updateCache (account: AccountName, record: CachedRecord): void {
    const known = this.#records.get(account)
    if (known !== undefined && known.modRevision >= record.modRevision) return
    this.#records.set(account, record)
    const unsettled = this.#uncertainWrites.get(account)
    if (unsettled !== undefined && record.modRevision > unsettled.baseRevision) this.#uncertainWrites.delete(account)
  }
}

function accountFromKey (key: string): AccountName | undefined {
  try {
    return decodeURIComponent(key.slice(QUOTA_PREFIX.length)) as AccountName
  } catch {
    // The key was not written by this program, so there is no such account.
    return undefined
  }
}
