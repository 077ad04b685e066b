/**
 * Divides an account's limit among the services that run its jobs.
 *
 * Each service holds a grant and starts tasks only within it; the sum of the grants never exceeds the limit. A service can thus start tasks
 * without coordination, and the account's limit holds even under network partitions. A grant grows with the demand of its service, and its unused
 * part is given up as soon as another service wants more than it has.
 *
 * @module
 */
import { fitsWithin, least, mapResources, minus, most, NO_RESOURCES, plus, RESOURCE_KINDS, type Resources, times } from './resources.js'

/** Grant and demand of a service within an account's limit. @public */
export interface QuotaClaim {
  readonly service: string
  /** The service starts tasks only while all its runs stay within this. */
  readonly granted: Resources
  /** Resources of its runs and of the tasks that wait for a grant. */
  readonly wanted: Resources
  /** Needed to start its first task; zero once anything runs. */
  readonly first: Resources
  /** Wall-clock time since when it has wanted more than its grant and run nothing; `undefined` while the grant suffices. */
  readonly lackingSinceMs: number | undefined
}

/** A service's own claim, with the resources of its runs. @public */
export interface OwnClaim extends QuotaClaim {
  readonly used: Resources
}

/** New grant of a service. @public */
export interface GrantPlan {
  /** The grant to record. */
  readonly granted: Resources
  /** Tasks may start while the runs stay within this; may be less than what already runs if other services come first. */
  readonly usable: Resources
}

/** Grants grow to this multiple of the demand, since bursts double quickly and each growth costs a write. */
const GROWTH_FACTOR = 2
/** Share of the limit that an idle service keeps, so that its first jobs start without waiting for the store. */
const IDLE_SHARE = 1 / 8

/** @param claim - the claim of a service @returns whether it wants more than its grant @public */
export const isLacking = ({ wanted, granted }: QuotaClaim): boolean => !fitsWithin(wanted, granted)

/** @param claims - claims of all services @returns the sum of their grants @public */
export const sumGranted = (claims: readonly QuotaClaim[]): Resources => claims.reduce((sum, { granted }) => plus(sum, granted), NO_RESOURCES)

/**
 * Plans a service's grant.
 *
 * @param own - the service's current claim
 * @param others - stored claims of all other services
 * @param limit - limit of the account, infinite if there is none
 * @param recorded - the service's own claim as stored
 * @returns its new grant; the sum of all grants stays within the limit, unless a lowered limit is exceeded already
 * @public
 */
export function planGrant (own: OwnClaim, others: readonly QuotaClaim[], limit: Resources, recorded: QuotaClaim = own): GrantPlan {
  const free = mapResources((kind) => Math.max(0, limit[kind] - sumGranted(others)[kind]))
  const isOver = !fitsWithin(plus(own.granted, sumGranted(others)), limit)
  if (!isOver && !others.some(isLacking)) {
    const desired = most(times(own.wanted, GROWTH_FACTOR), mapResources((kind) => Number.isFinite(limit[kind]) ? Math.floor(limit[kind] * IDLE_SHARE) : 0))
    const granted = most(own.granted, least(desired, free))
    return { granted, usable: granted }
  }
  // An excess is divided by the stored claims alone: services that divided differing claims could exceed the limit forever.
  const share = fairShareOf(isOver ? recorded : own, others, limit)
  const target = most(own.used, least(share, own.wanted))
  if (isOver) return { granted: least(own.granted, target), usable: NO_RESOURCES }
  const granted = mapResources((kind) => target[kind] <= own.granted[kind] ? target[kind] : Math.max(own.granted[kind], Math.min(target[kind], free[kind])))
  return { granted, usable: least(least(granted, share), leftByEarlierClaims(own, others, limit)) }
}

/** Reserves the first task of each service that runs nothing before services that run something, or began to wait later, start another. */
function leftByEarlierClaims (own: OwnClaim, others: readonly QuotaClaim[], limit: Resources): Resources {
  const hasPrecedence = (other: QuotaClaim): boolean =>
    isStarving(other) && fitsWithin(other.first, limit) && (!isStarving(own) || compareWaitingSince(other, own) < 0)
  const reserved = others.reduce((sum, other) => plus(sum, hasPrecedence(other) ? most(other.first, other.granted) : other.granted), NO_RESOURCES)
  return most(minus(limit, reserved), NO_RESOURCES)
}

const isStarving = (claim: QuotaClaim): boolean => isLacking(claim) && !fitsWithin(claim.first, NO_RESOURCES)

/**
 * Computes the fair share of one service: services that run nothing get the resources of their first task, in the order in which they began to
 * lack them; the rest is divided evenly, up to the demand of each.
 */
function fairShareOf (own: QuotaClaim, others: readonly QuotaClaim[], limit: Resources): Resources {
  const claims = [own, ...others]
  let left = limit
  const shares = new Map<string, Resources>()
  for (const { service, first } of [...claims].sort(compareWaitingSince)) {
    const isPossible = fitsWithin(first, left)
    shares.set(service, isPossible ? first : NO_RESOURCES)
    if (isPossible) left = minus(left, first)
  }
  return mapResources((kind) => evenShareOf(kind, own, claims, shares, left[kind]))
}

function compareWaitingSince (a: QuotaClaim, b: QuotaClaim): number {
  return (a.lackingSinceMs ?? Infinity) - (b.lackingSinceMs ?? Infinity) || (a.service < b.service ? -1 : 1)
}

function evenShareOf (
  kind: typeof RESOURCE_KINDS[number], own: QuotaClaim, claims: readonly QuotaClaim[], firsts: ReadonlyMap<string, Resources>, amount: number
): number {
  if (amount === Infinity) return Infinity
  const open = claims.map((claim) => {
    const first = firsts.get(claim.service)?.[kind] ?? 0
    // A service whose grant suffices gives up the unused part by itself.
    return { service: claim.service, first, more: Math.max(0, (isLacking(claim) ? claim.wanted[kind] : claim.granted[kind]) - first) }
  }).sort((a, b) => a.more - b.more || (a.service < b.service ? -1 : 1))
  let left = amount
  let share = 0
  open.forEach(({ service, first, more }, at) => {
    const part = Math.min(more, Math.floor(left / (open.length - at)))
    left -= part
    if (service === own.service) share = first + part
  })
  return share
}
