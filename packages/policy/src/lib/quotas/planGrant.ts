/**
 * Divides an account's limit among the services that run its jobs.
 *
 * Each service holds a grant and starts tasks only within it; the grants together never exceed the limit. So a service needs to hear
 * of nobody to start a task, and none starts more than the account may have, whoever is cut off. A grant grows with what its service wants
 * and is given up as soon as another wants more than it has.
 *
 * @module
 */
import { fitsWithin, least, mapResources, minus, most, NO_RESOURCES, plus, RESOURCE_KINDS, type Resources, times } from './resources.js'

/** What a service has of an account's limit, and wants of it. @public */
export interface QuotaClaim {
  readonly service: string
  /** It starts tasks only as long as all that it runs stays within this. */
  readonly granted: Resources
  /** What runs, and what waits for want of a grant. */
  readonly wanted: Resources
  /** Without so much it runs nothing at all; nothing once anything runs. */
  readonly first: Resources
  /** Time of day since when it has wanted more than it has, and run nothing; `undefined` while it has enough. */
  readonly lackingSinceMs: number | undefined
}

/** A service's own claim, and all that it runs. @public */
export interface OwnClaim extends QuotaClaim {
  readonly used: Resources
}

/** What a service should do about its grant. @public */
export interface GrantPlan {
  /** The grant that it should have from now on. */
  readonly granted: Resources
  /** Tasks may start until so much runs; less than what runs where others come first. */
  readonly usable: Resources
}

/** Grants grow to this multiple of what is wanted: a burst doubles in a moment, and each growth costs a write. */
const GROWTH_FACTOR = 2
/** Share of the limit that each service may keep without work: a turn's first jobs start without waiting for the store. */
const IDLE_SHARE = 1 / 8

/** @param claim - of a service @returns whether it wants more than it has @public */
export const isLacking = ({ wanted, granted }: QuotaClaim): boolean => !fitsWithin(wanted, granted)

/** @param claims - of all services @returns what is granted altogether @public */
export const sumGranted = (claims: readonly QuotaClaim[]): Resources => claims.reduce((sum, { granted }) => plus(sum, granted), NO_RESOURCES)

/**
 * Plans a service's grant.
 *
 * @param own - the service's claim
 * @param others - those of all other services, as recorded
 * @param limit - of the account, infinite where there is none
 * @param recorded - the service's claim as it stands in the record
 * @returns the grant that it should have; the sum with the others' stays within the limit, unless a lowered limit is exceeded already
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
  // What exceeds the limit is given up by the record alone: services that divide different claims could keep more than there is, for good.
  const share = fairShareOf(isOver ? recorded : own, others, limit)
  const target = most(own.used, least(share, own.wanted))
  if (isOver) return { granted: least(own.granted, target), usable: NO_RESOURCES }
  const granted = mapResources((kind) => target[kind] <= own.granted[kind] ? target[kind] : Math.max(own.granted[kind], Math.min(target[kind], free[kind])))
  return { granted, usable: least(least(granted, share), leftByEarlierClaims(own, others, limit)) }
}

/** A service that runs nothing gets its first task before those that run something, or began to wait later, start another. */
function leftByEarlierClaims (own: OwnClaim, others: readonly QuotaClaim[], limit: Resources): Resources {
  const hasPrecedence = (other: QuotaClaim): boolean =>
    isStarving(other) && fitsWithin(other.first, limit) && (!isStarving(own) || compareWaitingSince(other, own) < 0)
  const reserved = others.reduce((sum, other) => plus(sum, hasPrecedence(other) ? most(other.first, other.granted) : other.granted), NO_RESOURCES)
  return most(minus(limit, reserved), NO_RESOURCES)
}

const isStarving = (claim: QuotaClaim): boolean => isLacking(claim) && !fitsWithin(claim.first, NO_RESOURCES)

/**
 * The fair share of one service: those that run nothing get what their first task takes, in the order in which they began to lack it; the
 * rest is divided evenly up to what each wants.
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
    // One that has enough gives up what it does not use by itself.
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
