/**
 * Divides an account's limit among the services that run its jobs.
 *
 * Each service holds a grant and starts tasks only within it; the sum of the grants never exceeds the limit. A service can thus start tasks
 * without coordination, and the account's limit holds even under network partitions. A grant grows with the demand of its service, and its unused
 * part is given up as soon as another service wants more than it has.
 *
 * Services that wait for a grant are served in the order in which they began to wait. One that cannot get all that its next task needs keeps nothing
 * of it: services that each kept a part would wait for each other forever.
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
  /** Grant needed to start its next waiting task or gang beside its runs; zero while nothing waits for a grant. */
  readonly first: Resources
  /** Wall-clock time since when something has been waiting for a grant and nothing was started; `undefined` while nothing waits. */
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
/**
 * A task that needs more than is left waits for runs to end, which may last. By turns, everything beyond is reserved for it, and later tasks may
 * overtake it up to a share of the limit. The turns follow the wall clock, so that they are the same for all services.
 */
const OVERTAKING_SHARE = 1 / 2
const OVERTAKING_TURN_MS = 2000

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
 * @param wallMs - wall-clock time
 * @param recorded - the service's own claim as stored
 * @returns its new grant; the sum of all grants stays within the limit, unless a lowered limit is exceeded already
 * @public
 */
export function planGrant (own: OwnClaim, others: readonly QuotaClaim[], limit: Resources, wallMs: number, recorded: QuotaClaim = own): GrantPlan {
  const taken = sumGranted(others)
  const free = most(minus(limit, taken), NO_RESOURCES)
  const isOver = !fitsWithin(plus(own.granted, taken), limit)
  if (!isOver && !others.some(isLacking)) {
    const desired = most(times(own.wanted, GROWTH_FACTOR), mapResources((kind) => Number.isFinite(limit[kind]) ? Math.floor(limit[kind] * IDLE_SHARE) : 0))
    const granted = most(own.granted, least(desired, free))
    return { granted, usable: granted }
  }
  // An excess is divided by the stored claims alone: services that divided differing claims could exceed the limit forever.
  if (isOver) {
    const share = fairShareOf(recorded, others, limit)
    return { granted: least(own.granted, most(own.used, least(share, own.wanted))), usable: NO_RESOURCES }
  }
  return planSharedGrant(own, others, { limit, free, mayOvertake: Math.floor(wallMs / OVERTAKING_TURN_MS) % 2 === 1 })
}

interface LimitState {
  readonly limit: Resources
  /** Part of the limit that the other services' grants leave. */
  readonly free: Resources
  readonly mayOvertake: boolean
}

function planSharedGrant (own: OwnClaim, others: readonly QuotaClaim[], state: LimitState): GrantPlan {
  const { limit, free } = state
  const { startable, ceiling } = findStartable(own, others, state)
  const canStart = startable.has(own.service)
  if (isWaiting(own) && !canStart) return { granted: least(own.granted, own.used), usable: NO_RESOURCES }
  const reserved = others.reduce((sum, other) => plus(sum, startable.has(other.service) ? most(other.first, other.granted) : other.granted), NO_RESOURCES)
  const room = most(minus(ceiling, reserved), NO_RESOURCES)
  const share = least(fairShareOf(own, others, limit, startable), room)
  const allowed = canStart ? most(own.first, share) : share
  const target = most(own.used, least(allowed, own.wanted))
  const granted = mapResources((kind) => target[kind] <= own.granted[kind] ? target[kind] : Math.max(own.granted[kind], Math.min(target[kind], free[kind])))
  return { granted, usable: least(granted, allowed) }
}

/** @param claim - the claim of a service, with what it holds @returns whether a task of it waits for a grant */
const isWaiting = ({ first, used = NO_RESOURCES }: QuotaClaim & { readonly used?: Resources }): boolean => !fitsWithin(first, used)

interface StartableServices {
  /** Waiting services whose next task fits beside all grants and the next tasks of those that have waited longer. */
  readonly startable: ReadonlySet<string>
  /** Amount that grants may reach: the rest is left to waiting tasks that need more than there is now. */
  readonly ceiling: Resources
}

/** Goes through the waiting services in their order. The own unused grant counts as free, since it is given up unless the service may start. */
function findStartable (own: OwnClaim, others: readonly QuotaClaim[], { limit, mayOvertake }: LimitState): StartableServices {
  const startable = new Set<string>()
  let total = plus(own.used, sumGranted(others))
  let ceiling = limit
  let blocked = NO_RESOURCES
  for (const claim of [own, ...others].filter(isWaiting).sort(compareWaitingSince)) {
    const missing = most(minus(claim.first, claim.service === own.service ? own.used : claim.granted), NO_RESOURCES)
    const next = plus(total, missing)
    if (RESOURCE_KINDS.every((kind) => missing[kind] === 0 || next[kind] <= ceiling[kind])) {
      startable.add(claim.service)
      total = next
    } else {
      blocked = plus(blocked, missing)
      ceiling = mapResources((kind) => Math.max(mayOvertake ? limit[kind] * OVERTAKING_SHARE : 0, limit[kind] - blocked[kind]))
    }
  }
  return { startable, ceiling }
}

/**
 * Computes the fair share of one service: services with a waiting task get what it needs, in the order in which they began to wait, if they can start
 * it; the rest is divided evenly, up to the demand of each.
 */
function fairShareOf (own: QuotaClaim, others: readonly QuotaClaim[], limit: Resources, startable?: ReadonlySet<string>): Resources {
  const claims = [own, ...others]
  let left = limit
  const shares = new Map<string, Resources>()
  for (const { service, first } of [...claims].sort(compareWaitingSince)) {
    const isPossible = fitsWithin(first, left) && startable?.has(service) !== false
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
