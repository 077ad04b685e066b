/**
 * Decides which pool a host belongs to by labels and selectors alone.
 *
 * @module
 */
import { matchesSelector, type Labels, type PoolSpec } from '@quillscale/model'

/** A pool as the decision sees it. @public */
export interface PoolClaim {
  readonly name: string
  readonly spec: PoolSpec
}

/** Which pool a host should be in. @public */
export interface ClaimedPool {
  /** `undefined` when no selector claims the host. */
  readonly pool: string | undefined
  /** Every pool whose selector claims it, the winner first: more than one is reported to the operator. */
  readonly claims: readonly string[]
}

/**
 * Orders pools by who wins a host that several claim: the higher priority, then the name that sorts first.
 *
 * @param pools - in any order
 * @returns the pools, the strongest first
 * @public
 */
export function orderClaims (pools: Iterable<PoolClaim>): PoolClaim[] {
  return [...pools].sort((a, b) => b.spec.priority - a.spec.priority || (a.name < b.name ? -1 : 1))
}

/**
 * Finds the pool of one host.
 *
 * @param labels - the host's labels
 * @param orderedPools - the pools in the order of {@link orderClaims}
 * @returns its pool and all claims
 * @public
 */
export function claimPool (labels: Labels, orderedPools: readonly PoolClaim[]): ClaimedPool {
  const claims = orderedPools.filter(({ spec }) => matchesSelector(spec.selector, labels)).map(({ name }) => name)
  return { pool: claims[0], claims }
}
