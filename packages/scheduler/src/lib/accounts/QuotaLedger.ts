/**
 * Keeps what one service may have running of each client account.
 *
 * The service's grant of an account stands in the account's record beside those of the other services, and together they stay within the
 * account's limit: each change is a compare-and-swap on the whole record, under the service's duty. So a next holder has its predecessor's
 * grant, a deposed one cannot change it, and what a holder starts needs no word of the others.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { PrefixChange, PrefixReplica } from '@quillscale/leases'
import type { AccountName, FleetConfiguration, KeyValue, KeyValueStore } from '@quillscale/ports'
import {
  fitsWithin, isLacking, least, mapResources, minus, NO_RESOURCES, planGrant, plus, RESOURCE_KINDS, resourcesOf, stepOf, times,
  type AccountQuota, type QuotaClaim, type GrantPlan, type OwnClaim, type QuotaShortage, type Resources, type Run, type Task
} from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import { createReplica } from '../records/createReplica.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { AccountDirectory } from './AccountDirectory.js'
import { QUOTA_PREFIX, quotaKey, decodeQuotaRecord, encodeQuotaRecord } from './quotaRecord.js'

/** What the ledger works with. @public */
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
  /** How long a run may go on that nobody extends. */
  readonly longestLeaseMs: () => number
  readonly count: (kind: string) => void
  /** Called when more may be started than before. */
  readonly onChange: () => void
}

/** Between two writes of one account's record: what its tasks want changes with each of them. One that brings room to waiting tasks hurries. */
const WRITE_SPACING_MS = 100
const HURRIED_SPACING_MS = 20
/** A grant grows before it is used up, so that tasks seldom wait for the store. */
const HEADROOM = 1.25
/** What is lacking is written again when it has changed by more than this share. */
const NEWS_SHARE = 0.5
/** Nobody starts anything by a record that cannot be read; after so long its holders have all seen that, and write it anew. */
const HEAL_MS = 2000
/** Steps remembered, so that each is told once; the oldest are forgotten. */
const MAX_REMEMBERED = 1000
/** Others may hear of a configuration this much later, and a worker's clock may be slow by this share. */
const CONFIGURATION_SLACK_MS = 5000
const CLOCK_DRIFT = 0.02
/** Records are followed with little delay: tasks wait for it. */
const FOLLOW_SPACING_MS = 10

interface KnownRecord { readonly modRevision: number, readonly claims: readonly QuotaClaim[], readonly unreadableSinceMs: number | undefined }
interface UnsettledWrite { readonly baseRevision: number, readonly granted: Resources }
interface OwnState { readonly claim: OwnClaim, readonly plan: GrantPlan, readonly others: readonly QuotaClaim[], readonly limit: Resources }

const NO_RECORD: KnownRecord = { modRevision: 0, claims: [], unreadableSinceMs: undefined }

/** The ledger. @public */
export class QuotaLedger {
  readonly #options: QuotaLedgerOptions
  readonly #replica: PrefixReplica
  readonly #records = new Map<AccountName, KnownRecord>()
  readonly #used = new Map<AccountName, Resources>()
  /** As of the last round. */
  #shortages: ReadonlyMap<AccountName, QuotaShortage> = new Map()
  readonly #lackingSinceMs = new Map<AccountName, number>()
  /** Writes that may still take effect. */
  readonly #unsettled = new Map<AccountName, UnsettledWrite>()
  readonly #writing = new Set<AccountName>()
  readonly #wroteMs = new Map<AccountName, number>()
  /** Services that the configuration does not name any more, since when. */
  readonly #goneSinceMs = new Map<string, number>()
  /** Steps that were told to exceed their account's limit, the latest ones. */
  readonly #oversized = new Set<string>()
  #isFollowing = false
  #signal: AbortSignal | undefined

  /** @param options - whose grants, and where they are kept */
  constructor (options: QuotaLedgerOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#replica = createReplica(log, {
      store, clock, prefix: QUOTA_PREFIX, spacingMs: FOLLOW_SPACING_MS, onChange: (change) => this.#follow(change)
    })
  }

  /** @param signal - ends the following of records, which begins once an account has a limit */
  start (signal: AbortSignal): void {
    this.#signal = signal
  }

  /** @param run - that was placed, by this holder or an earlier one */
  addRun (run: Run): void {
    this.#countRun(run, 1)
  }

  /** @param run - that is surely over */
  removeRun (run: Run): void {
    this.#countRun(run, -1)
  }

  #countRun ({ task }: Run, sign: 1 | -1): void {
    const account = task.job.spec.owner?.account
    if (account === undefined) return
    const used = this.#used.get(account) ?? NO_RESOURCES
    const next = sign > 0 ? plus(used, resourcesOf(stepOf(task))) : minus(used, resourcesOf(stepOf(task)))
    if (fitsWithin(next, NO_RESOURCES)) this.#used.delete(account)
    else this.#used.set(account, next)
  }

  /** @param account - any @param nowMs - monotonic @returns what it may have running here, `undefined` without a limit */
  quotaFor (account: AccountName, nowMs: number): AccountQuota | undefined {
    const { accounts } = this.#options
    const limit = accounts().limitOf(account)
    if (limit === undefined) return undefined
    const used = this.#used.get(account) ?? NO_RESOURCES
    const state = this.#stateOf(account, limit, nowMs)
    const granted = least(state?.claim.granted ?? NO_RESOURCES, this.#unsettled.get(account)?.granted ?? limit)
    const usable = state === undefined ? NO_RESOURCES : least(granted, state.plan.usable)
    return { used, usable: mapResources((kind) => Number.isFinite(limit[kind]) ? usable[kind] : Infinity), limit }
  }

  /**
   * Asks for what a round lacked, and gives up what others lack.
   *
   * @param shortages - of the round, by account
   * @param nowMs - monotonic
   */
  reconcile (shortages: ReadonlyMap<AccountName, QuotaShortage>, nowMs: number): void {
    this.#shortages = shortages
    // Also what this service does not need may be held by it, and has to be given up.
    if (this.#options.accounts().hasLimits) this.#followOnce()
    for (const account of new Set([...this.#used.keys(), ...shortages.keys(), ...this.#records.keys()])) this.#stepAccount(account, nowMs)
  }

  /** Tells once of each step that its account's limit can never hold. @param tasks - the first of each step */
  warnOversized (tasks: readonly Task[]): void {
    for (const task of tasks) {
      if (this.#oversized.has(task.stepKey)) continue
      this.#oversized.add(task.stepKey)
      const oldest = this.#oversized.keys().next()
      if (this.#oversized.size > MAX_REMEMBERED && oldest.done !== true) this.#oversized.delete(oldest.value)
      const account = task.job.spec.owner?.account
      this.#options.log.warn({ jobId: task.job.spec.jobId, stepKey: task.stepKey, account, wants: resourcesOf(stepOf(task)) }, 'tasks wait: one of them exceeds what their account may have running')
    }
  }

  #stepAccount (account: AccountName, nowMs: number): void {
    const limit = this.#options.accounts().limitOf(account)
    if (limit === undefined || !this.#replica.isListed || this.#writing.has(account)) return
    const wroteAgoMs = nowMs - (this.#wroteMs.get(account) ?? -Infinity)
    if (wroteAgoMs < HURRIED_SPACING_MS) return
    const state = this.#stateOf(account, limit, nowMs)
    if (state === undefined) return
    const next = this.#nextClaim(account, state)
    const isHurried = isLacking(state.claim) && !fitsWithin(next.granted, state.claim.granted)
    if ((!isHurried && wroteAgoMs < WRITE_SPACING_MS) || !isWorthWriting(state.claim, next, this.#recordedClaim(account))) return
    void this.#write(account, state, next)
  }

  /** `undefined` while the record is not known. */
  #stateOf (account: AccountName, limit: Resources, nowMs: number): OwnState | undefined {
    if (!this.#replica.isListed) return undefined
    const record = this.#records.get(account) ?? NO_RECORD
    if (record.unreadableSinceMs !== undefined && nowMs - record.unreadableSinceMs < HEAL_MS) return undefined
    const { service } = this.#options
    const limited = (amounts: Resources): Resources => mapResources((kind) => Number.isFinite(limit[kind]) ? amounts[kind] : 0)
    const used = limited(this.#used.get(account) ?? NO_RESOURCES)
    const shortage = this.#shortages.get(account)
    const isIdle = fitsWithin(used, NO_RESOURCES)
    const recorded = this.#recordedClaim(account)
    const claim: OwnClaim = {
      service,
      used,
      granted: recorded?.granted ?? NO_RESOURCES,
      wanted: limited(plus(used, shortage?.wanted ?? NO_RESOURCES)),
      first: isIdle ? limited(shortage?.first ?? NO_RESOURCES) : NO_RESOURCES,
      lackingSinceMs: this.#lackingSinceMs.get(account) ?? recorded?.lackingSinceMs
    }
    const others = record.claims.filter((other) => other.service !== service && !this.#isGone(other.service, nowMs))
    return { claim, others, limit, plan: planGrant(claim, others, limit, recorded ?? noClaim(service)) }
  }

  #recordedClaim (account: AccountName): QuotaClaim | undefined {
    return this.#records.get(account)?.claims.find(({ service }) => service === this.#options.service)
  }

  /** A service that is not configured any more runs nothing once its last leases are over. */
  #isGone (service: string, nowMs: number): boolean {
    const isNamed = this.#options.configuration()?.services.some(({ name }) => name === service) !== false
    if (isNamed) {
      this.#goneSinceMs.delete(service)
      return false
    }
    const sinceMs = this.#goneSinceMs.get(service) ?? nowMs
    this.#goneSinceMs.set(service, sinceMs)
    return nowMs - sinceMs > this.#options.longestLeaseMs() * (1 + CLOCK_DRIFT) + CONFIGURATION_SLACK_MS
  }

  #nextClaim (account: AccountName, { claim, plan }: OwnState): QuotaClaim {
    const { service, wanted, first } = claim
    const next = { service, granted: plan.granted, wanted, first, lackingSinceMs: undefined }
    if (!isLacking(next)) {
      this.#lackingSinceMs.delete(account)
      return { ...next, wanted: NO_RESOURCES, first: NO_RESOURCES }
    }
    const nowMs = this.#options.clock.wallMs()
    // Its turn begins anew with each task that it runs.
    const lackingSinceMs = fitsWithin(claim.used, NO_RESOURCES) ? claim.lackingSinceMs ?? nowMs : nowMs
    this.#lackingSinceMs.set(account, lackingSinceMs)
    return { ...next, lackingSinceMs }
  }

  async #write (account: AccountName, { claim, others, limit }: OwnState, next: QuotaClaim): Promise<void> {
    const { store, clock, dutyKey, fencingToken, log, service, count, onChange } = this.#options
    const key = quotaKey(account)
    const baseRevision = this.#records.get(account)?.modRevision ?? 0
    const before = this.#unsettled.get(account)
    this.#unsettled.set(account, { baseRevision, granted: least(before?.granted ?? claim.granted, least(claim.granted, next.granted)) })
    this.#writing.add(account)
    const value = encodeQuotaRecord({ account, claims: [...others, next] })
    const outcome = await store.transact({
      conditions: [{ key: dutyKey, modRevision: fencingToken }, { key, modRevision: baseRevision }], puts: [{ key, value }], removals: []
    })
    this.#writing.delete(account)
    this.#wroteMs.set(account, clock.monotonicMs())
    if (outcome.err) {
      count('unanswered')
      log.warn({ account, service, error: outcome.val, baseRevision }, 'quota grant not written yet')
      if (outcome.val.kind !== 'unknown-effect' && before === undefined) this.#unsettled.delete(account)
      return
    }
    if (outcome.val.committed) {
      count(fitsWithin(next.granted, claim.granted) ? 'kept or lowered' : 'raised')
      this.#learn(account, { modRevision: outcome.val.modRevision, claims: [...others, next], unreadableSinceMs: undefined })
      log.info({ account, service, revision: outcome.val.modRevision, used: claim.used, before: claim.granted, granted: next.granted, wanted: next.wanted, limit }, 'quota grant changed')
    } else {
      count('overtaken')
      for (const item of outcome.val.current) if (item.key === key) this.#read(item)
    }
    onChange()
  }

  #followOnce (): void {
    if (this.#isFollowing || this.#signal === undefined) return
    this.#isFollowing = true
    void this.#replica.run(this.#signal)
  }

  #follow ({ changed }: PrefixChange): void {
    for (const item of changed) this.#read(item)
    this.#options.onChange()
  }

  #read (item: KeyValue): void {
    const { records, clock } = this.#options
    const record = records.read(item, decodeQuotaRecord)
    const isOwnKey = record !== undefined && quotaKey(record.account) === item.key
    const account = isOwnKey ? record.account : accountOfKey(item.key)
    if (account === undefined) return
    const claims = isOwnKey ? record.claims : []
    this.#learn(account, { modRevision: item.modRevision, claims, unreadableSinceMs: isOwnKey ? undefined : clock.monotonicMs() })
  }

  #learn (account: AccountName, record: KnownRecord): void {
    const known = this.#records.get(account)
    if (known !== undefined && known.modRevision >= record.modRevision) return
    this.#records.set(account, record)
    const unsettled = this.#unsettled.get(account)
    if (unsettled !== undefined && record.modRevision > unsettled.baseRevision) this.#unsettled.delete(account)
  }
}

const noClaim = (service: string): QuotaClaim =>
  ({ service, granted: NO_RESOURCES, wanted: NO_RESOURCES, first: NO_RESOURCES, lackingSinceMs: undefined })

/** Growth before it is needed, and news of what is lacking, are worth a write; so is each amount that is given up. */
function isWorthWriting (claim: OwnClaim, next: QuotaClaim, recorded: QuotaClaim | undefined): boolean {
  const isLess = !fitsWithin(claim.granted, next.granted)
  const isMore = !fitsWithin(next.granted, claim.granted)
  const isNeeded = !fitsWithin(times(claim.wanted, HEADROOM), claim.granted)
  if (isLess || (isMore && isNeeded)) return true
  const isStillLacking = next.lackingSinceMs !== undefined
  if (isStillLacking !== (recorded?.lackingSinceMs !== undefined)) return true
  if (!isStillLacking || recorded === undefined) return false
  return isNews(recorded.wanted, next.wanted) || RESOURCE_KINDS.some((kind) => recorded.first[kind] !== next.first[kind])
}

function isNews (before: Resources, now: Resources): boolean {
  return RESOURCE_KINDS.some((kind) => Math.abs(now[kind] - before[kind]) > NEWS_SHARE * Math.max(now[kind], before[kind]))
}

function accountOfKey (key: string): AccountName | undefined {
  try {
    return decodeURIComponent(key.slice(QUOTA_PREFIX.length)) as AccountName
  } catch {
    // Not a key of this program: there is no account of that name.
    return undefined
  }
}
