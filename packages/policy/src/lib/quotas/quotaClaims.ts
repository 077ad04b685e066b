/**
 * A service's claim to an account's limit: how it follows from the service's runs and waiting tasks, and when it is worth a write.
 *
 * @module
 */
import type { OwnClaim, QuotaClaim } from './planGrant.js'
import type { QuotaShortage } from './QuotaAdmission.js'
import { fitsWithin, mapResources, NO_RESOURCES, plus, RESOURCE_KINDS, type Resources, times } from './resources.js'

/** A grant grows before it is used up, so that tasks rarely wait for the store. */
const GRANT_HEADROOM_FACTOR = 1.25
/** A recorded shortage is updated when the wanted amount has changed by more than this share. */
const SIGNIFICANT_CHANGE_SHARE = 0.5

/** What a service's claim follows from. @public */
export interface ClaimInputs {
  readonly service: string
  /** Resources of its runs. */
  readonly used: Resources
  /** Shortage of its last placement round. */
  readonly shortage: QuotaShortage | undefined
  /** Its claim as stored. */
  readonly recorded: QuotaClaim | undefined
  /** Wall-clock time since when it has been waiting, if this holder knows it. */
  readonly lackingSinceMs: number | undefined
  readonly limit: Resources
}

/** @param inputs - the service's state @returns its present claim, in the limited resources only @public */
export function createOwnClaim ({ service, used: usedInAll, shortage, recorded, lackingSinceMs, limit }: ClaimInputs): OwnClaim {
  const keepLimited = (amounts: Resources): Resources => mapResources((kind) => Number.isFinite(limit[kind]) ? amounts[kind] : 0)
  const used = keepLimited(usedInAll)
  return {
    service,
    used,
    granted: recorded?.granted ?? NO_RESOURCES,
    wanted: keepLimited(plus(used, shortage?.wanted ?? NO_RESOURCES)),
    first: shortage === undefined ? NO_RESOURCES : keepLimited(plus(used, shortage.first)),
    lackingSinceMs: lackingSinceMs ?? recorded?.lackingSinceMs
  }
}

/** @param claim - a service's present claim @param granted - its planned grant @param wallMs - wall-clock time @returns the claim to store @public */
export function createNextClaim ({ service, wanted, first, used, lackingSinceMs }: OwnClaim, granted: Resources, wallMs: number): QuotaClaim {
  // Until a task starts, the service keeps its place in the order, also once its grant suffices: others could otherwise claim the grant again.
  if (fitsWithin(first, used)) return { service, granted, wanted: NO_RESOURCES, first: NO_RESOURCES, lackingSinceMs: undefined }
  return { service, granted, wanted, first, lackingSinceMs: lackingSinceMs ?? wallMs }
}

/**
 * A write is due for any amount given up, for growth once the grant is almost used, for a significant change of the shortage, and when the order of
 * the waiting services changes.
 *
 * @param claim - the service's present claim
 * @param next - the claim that a write would store
 * @param recorded - the claim as stored
 * @param others - stored claims of all other services
 * @returns whether to write
 * @public
 */
export function needsWrite (claim: OwnClaim, next: QuotaClaim, recorded: QuotaClaim | undefined, others: readonly QuotaClaim[]): boolean {
  const isLess = !fitsWithin(claim.granted, next.granted)
  const isMore = !fitsWithin(next.granted, claim.granted)
  const isNeeded = !fitsWithin(times(claim.wanted, GRANT_HEADROOM_FACTOR), claim.granted)
  if (isLess || (isMore && isNeeded)) return true
  const isStillLacking = next.lackingSinceMs !== undefined
  if (isStillLacking !== (recorded?.lackingSinceMs !== undefined)) return true
  if (!isStillLacking || recorded === undefined) return false
  if (others.some((other) => comesBefore(recorded, other) !== comesBefore(next, other))) return true
  return hasChangedSignificantly(recorded.wanted, next.wanted) || RESOURCE_KINDS.some((kind) => recorded.first[kind] !== next.first[kind])
}

/** Whether a service has waited longer than another one, which is waiting. */
function comesBefore ({ lackingSinceMs }: QuotaClaim, other: QuotaClaim): boolean {
  return other.lackingSinceMs === undefined || (lackingSinceMs ?? Infinity) < other.lackingSinceMs
}

function hasChangedSignificantly (before: Resources, now: Resources): boolean {
  return RESOURCE_KINDS.some((kind) => Math.abs(now[kind] - before[kind]) > SIGNIFICANT_CHANGE_SHARE * Math.max(now[kind], before[kind]))
}

/** @param service - its name @returns the claim of a service that wants nothing and holds nothing @public */
export const createEmptyClaim = (service: string): QuotaClaim =>
  ({ service, granted: NO_RESOURCES, wanted: NO_RESOURCES, first: NO_RESOURCES, lackingSinceMs: undefined })
