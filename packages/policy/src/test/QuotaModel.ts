/**
 * Model of services that divide an account's limit: each reads the record, plans, and writes it by compare-and-swap, with any delays between.
 *
 * @module
 */
import { createNextClaim, createOwnClaim, needsWrite } from '../lib/quotas/quotaClaims.js'
import { planGrant, sumGranted, type GrantPlan, type OwnClaim, type QuotaClaim } from '../lib/quotas/planGrant.js'
import type { QuotaShortage } from '../lib/quotas/QuotaAdmission.js'
import { fitsWithin, least, mapResources, minus, NO_RESOURCES, plus, type Resources } from '../lib/quotas/resources.js'

/** Tasks or gangs of one size, which a service starts one at a time. */
export interface ModelUnit { readonly size: Resources, readonly count: number, readonly runRounds: number }
export interface ModelService { readonly name: string, readonly units: readonly ModelUnit[], readonly skewMs: number }

interface StoredRecord { readonly revision: number, readonly claims: readonly QuotaClaim[] }
interface PendingWrite { readonly base: StoredRecord, readonly next: QuotaClaim, readonly granted: Resources, answerRound: number, effectRound: number }

const ROUND_MS = 20
const MAX_QUIET_ROUNDS = 10

/** The duty holder of one service. */
class ModelHolder {
  readonly name: string
  readonly #skewMs: number
  readonly waiting: Array<{ readonly unit: ModelUnit, readonly size: Resources, readonly runRounds: number, startedRound: number | undefined }>
  readonly running: Array<{ readonly size: Resources, readonly endRound: number }> = []
  used = NO_RESOURCES
  cached: StoredRecord = { revision: 0, claims: [] }
  pending: PendingWrite | undefined
  sinceMs: number | undefined
  startedRound: number | undefined

  constructor ({ name, units, skewMs }: ModelService) {
    this.name = name
    this.#skewMs = skewMs
    this.waiting = units.flatMap((unit) => Array.from({ length: unit.count }, () => ({ unit, ...unit, startedRound: undefined })))
  }

  wallMs (round: number): number {
    return 1e6 + round * ROUND_MS + this.#skewMs
  }

  endRuns (round: number): void {
    for (const run of this.running.filter(({ endRound }) => endRound <= round)) {
      this.#quietRounds = 0
      this.running.splice(this.running.indexOf(run), 1)
      this.used = minus(this.used, run.size)
    }
  }

  #planOf (round: number, limit: Resources, shortage: QuotaShortage | undefined): { readonly claim: OwnClaim, readonly plan: GrantPlan } {
    const recorded = this.cached.claims.find(({ service }) => service === this.name)
    const claim = createOwnClaim({ service: this.name, used: this.used, shortage, recorded, lackingSinceMs: this.sinceMs, limit })
    const others = this.cached.claims.filter(({ service }) => service !== this.name)
    return { claim, plan: planGrant(claim, others, limit, this.wallMs(round), recorded) }
  }

  #shortageWithin (left: Resources): QuotaShortage | undefined {
    const held = this.waiting.filter(({ size }) => !fitsWithin(size, left))
    const [first] = held
    return first === undefined ? undefined : { wanted: held.reduce((sum, { size }) => plus(sum, size), NO_RESOURCES), first: first.size }
  }

  #shortage: QuotaShortage | undefined

  #quietRounds = 0
  #quietRecord: StoredRecord | undefined

  /** Plans are skipped for some rounds while nothing that they depend on but the time has changed. */
  get canSkip (): boolean {
    const isQuiet = this.pending === undefined && this.cached === this.#quietRecord && this.#quietRounds > 0
    this.#quietRounds = isQuiet && this.#quietRounds < MAX_QUIET_ROUNDS ? this.#quietRounds + 1 : 0
    return this.#quietRounds > 0
  }

  /** Starts what its grant allows, and returns the write that is due. */
  round (round: number, limit: Resources): { readonly base: StoredRecord, readonly next: QuotaClaim, readonly granted: Resources } | undefined {
    const { claim, plan } = this.#planOf(round, limit, this.#shortage)
    const granted = least(least(claim.granted, this.pending?.granted ?? limit), plan.usable)
    const usable = mapResources((kind) => Number.isFinite(limit[kind]) ? granted[kind] : Infinity)
    for (let at = 0; at < this.waiting.length;) {
      const item = this.waiting[at] as typeof this.waiting[number]
      if (!fitsWithin(plus(this.used, item.size), usable)) { at++; continue }
      this.waiting.splice(at, 1)
      this.used = plus(this.used, item.size)
      this.running.push({ size: item.size, endRound: round + item.runRounds })
      this.startedRound = round
      this.sinceMs = this.wallMs(round)
      this.onStarted?.(item.unit, round)
    }
    this.#shortage = this.#shortageWithin(minus(usable, this.used))
    if (this.pending !== undefined) return undefined
    const { claim: after, plan: afterPlan } = this.#planOf(round, limit, this.#shortage)
    const next = createNextClaim(after, afterPlan.granted, this.wallMs(round))
    this.sinceMs = next.lackingSinceMs
    const recorded = this.cached.claims.find(({ service }) => service === this.name)
    const others = this.cached.claims.filter(({ service }) => service !== this.name)
    const isDue = needsWrite(after, next, recorded, others)
    this.#quietRecord = this.cached
    this.#quietRounds = isDue || this.startedRound === round ? 0 : 1
    return isDue ? { base: this.cached, next, granted: least(after.granted, next.granted) } : undefined
  }

  onStarted: ((unit: ModelUnit, round: number) => void) | undefined
}

/** What one play of the model showed. */
export interface ModelOutcome {
  readonly isLimitKept: boolean
  /** Units of which nothing was started. */
  readonly neverStarted: ReadonlyArray<{ readonly service: string, readonly unit: ModelUnit }>
  readonly claims: readonly QuotaClaim[]
}

/**
 * Plays the services for some rounds.
 *
 * @param services - what each has to run
 * @param limit - the account's limit
 * @param draw - draws a whole number below its argument; decides all orders and delays
 * @param rounds - number of rounds of each service
 * @returns what was started
 */
export function playQuotaModel (services: readonly ModelService[], limit: Resources, draw: (below: number) => number, rounds: number): ModelOutcome {
  let stored: StoredRecord = { revision: 0, claims: [] }
  let isLimitKept = true
  const started = new Set<ModelUnit>()
  const holders = services.map((service) => new ModelHolder(service))
  for (const holder of holders) holder.onStarted = (unit) => started.add(unit)

  const settle = (holder: ModelHolder, round: number): void => {
    const { pending } = holder
    if (pending === undefined) return
    if (pending.effectRound === round && stored.revision === pending.base.revision) {
      const others = pending.base.claims.filter(({ service }) => service !== holder.name)
      stored = { revision: stored.revision + 1, claims: [...others, pending.next] }
    }
    if (pending.answerRound > round) return
    holder.pending = undefined
    holder.cached = stored
  }

  const checkSums = (): void => {
    const running = holders.reduce((sum, { used }) => plus(sum, used), NO_RESOURCES)
    if (!fitsWithin(running, limit) || !fitsWithin(sumGranted(stored.claims), limit)) isLimitKept = false
  }

  for (let round = 0; round < rounds; round++) {
    const order = holders.map((holder) => ({ holder, rank: draw(1000) })).sort((a, b) => a.rank - b.rank).map(({ holder }) => holder)
    for (const holder of order) {
      const [used, before] = [holder.used, stored]
      holder.endRuns(round)
      settle(holder, round)
      if (holder.pending === undefined && draw(3) > 0) holder.cached = stored
      const write = holder.canSkip ? undefined : holder.round(round, limit)
      if (write !== undefined) {
        const effectRound = round + 1 + draw(2)
        holder.pending = { ...write, effectRound, answerRound: effectRound + draw(2) }
      }
      if (holder.used !== used || stored !== before) checkSums()
    }
  }
  const neverStarted = services.flatMap(({ name, units }) => units.filter((unit) => !started.has(unit)).map((unit) => ({ service: name, unit })))
  return { isLimitKept, neverStarted, claims: stored.claims }
}
