/**
 * Decides which pool each host of a zone should be in, changing as few as possible.
 *
 * @module
 */
import { SelectorIndex, matchesSelector, type HostId, type Labels } from '@quillscale/model'
import { orderClaims, type PoolClaim } from './claimPool.js'

/** A host as the decision sees it. @public */
export interface AssignableHost {
  readonly hostId: HostId
  /** Without the label `pool`. */
  readonly labels: Labels
  /** The pool it is in, `null` for none, `undefined` when it was never assigned. */
  readonly currentPool: string | null | undefined
  readonly isHealthy: boolean
  /** It is about to be maintained: it is not moved into another pool before that. */
  readonly isMaintenanceDue: boolean
}

/**
 * Decides for all hosts of a zone.
 *
 * Pools choose in the order of their claims. A pool that wants a number of hosts keeps those it has before it takes
 * others, and among others takes those that are in no pool; so the result differs from the present state by the fewest
 * hosts that the selectors, priorities and numbers allow.
 *
 * @param hosts - of one zone
 * @param pools - all declared pools
 * @returns the wanted pool of each host, `null` for none
 * @public
 */
export function assignPools (hosts: readonly AssignableHost[], pools: readonly PoolClaim[]): Map<HostId, string | null> {
  const wanted = new Map<HostId, string | null>(hosts.map(({ hostId }) => [hostId, null]))
  const free = new Set(hosts)
  const ordered = orderClaims(pools)
  const claims = claimsByPool(hosts, ordered)
  for (const pool of ordered) {
    const claimed = (claims.get(pool.name) ?? []).filter((host) => free.has(host))
    for (const host of takeWanted(pool, claimed)) {
      wanted.set(host.hostId, pool.name)
      free.delete(host)
    }
  }
  for (const pool of ordered) lendSpares(pool, hosts, ordered, wanted)
  return wanted
}

function claimsByPool (hosts: readonly AssignableHost[], ordered: readonly PoolClaim[]): Map<string, AssignableHost[]> {
  const index = new SelectorIndex(ordered.map(({ name, spec }) => ({ selector: spec.selector, item: name })))
  const claims = new Map<string, AssignableHost[]>(ordered.map(({ name }) => [name, []]))
  for (const host of hosts) for (const name of index.find(host.labels)) claims.get(name)?.push(host)
  return claims
}

function takeWanted (pool: PoolClaim, claimed: readonly AssignableHost[]): readonly AssignableHost[] {
  const { wantedHostsPerZone: limit } = pool.spec
  if (limit === undefined || claimed.length <= limit) return claimed
  const rank = (host: AssignableHost): number =>
    (host.currentPool === pool.name ? 0 : 4) + (host.isHealthy ? 0 : 2) + (host.currentPool === null || host.currentPool === undefined ? 0 : 1)
  const sorted = [...claimed].sort((a, b) => rank(a) - rank(b) || (a.hostId < b.hostId ? -1 : 1))
  let healthy = 0
  // Hosts that do not work are kept besides: they are to come back, and moving them would help nobody.
  return sorted.filter((host) => {
    if (!host.isHealthy) return host.currentPool === pool.name
    healthy++
    return healthy <= limit
  })
}

/** Lets a pool that lacks working hosts use spare ones of weaker pools, those it has already first. */
function lendSpares (pool: PoolClaim, hosts: readonly AssignableHost[], ordered: readonly PoolClaim[], wanted: Map<HostId, string | null>): void {
  const { wantedHostsPerZone: limit, spareSelector } = pool.spec
  if (limit === undefined || spareSelector === undefined) return
  const rankOf = new Map(ordered.map(({ name }, index) => [name, index]))
  const ownRank = rankOf.get(pool.name) ?? 0
  const working = hosts.filter((host) => host.isHealthy && wanted.get(host.hostId) === pool.name).length
  const isSpare = (host: AssignableHost): boolean => {
    const holder = wanted.get(host.hostId)
    const isWeaker = holder === null || holder === undefined || (rankOf.get(holder) ?? 0) > ownRank
    return host.isHealthy && isWeaker && !host.isMaintenanceDue && matchesSelector(spareSelector, host.labels)
  }
  const keepFirst = (host: AssignableHost): number => host.currentPool === pool.name ? 0 : 1
  const spares = hosts.filter(isSpare).sort((a, b) => keepFirst(a) - keepFirst(b) || (a.hostId < b.hostId ? -1 : 1))
  for (const host of spares.slice(0, Math.max(0, limit - working))) wanted.set(host.hostId, pool.name)
}
