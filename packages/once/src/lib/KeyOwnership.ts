/**
 * Assigns each shard of caller-chosen keys to an entry host. The assignment is one small document stored in the platform.
 *
 * Ownership isn't a lease, since an owner that had to renew one would stop serving during a platform outage. A shard changes its owner
 * only when the owner hands it over, when the platform lists the owner's host as gone, or when the same host runs a newer incarnation.
 * In each case the previous owner can no longer run requests for the shard.
 *
 * @module
 */
import { z } from 'zod'
import { isEntryHostId, type EntryHostId } from '@quillscale/model'
import { KEY_SHARD_COUNT } from './IdempotencyKey.js'

const ownerSchema = z.object({
  owner: z.custom<EntryHostId>(isEntryHostId),
  incarnation: z.number().int(),
  /**
   * Keys created before this time may have run at a previous owner. The first recorded owner of a shard has the time
   * of its takeover here too, since a restored store may have lost an earlier owner.
   */
  completeSinceMs: z.number()
})

/** Schema of the stored ownership document. @public */
export const ownershipSchema = z.object({
  schemaVersion: z.literal(1).default(1),
  revision: z.number().int().nonnegative(),
  shards: z.array(ownerSchema.nullable()).length(KEY_SHARD_COUNT)
})

/** Owner of one shard, and the time since which its record of keys is complete. @public */
export type ShardOwner = z.infer<typeof ownerSchema>
/** Owners of all shards, indexed by shard; `null` for a shard without an owner. @public */
export type OwnershipDocument = z.infer<typeof ownershipSchema>

/** Initial ownership document, in which no shard has an owner. @public */
export const NO_OWNERS: OwnershipDocument = { schemaVersion: 1, revision: 0, shards: Array.from({ length: KEY_SHARD_COUNT }, () => null) }

/** Running entry host that can own shards. @public */
export interface OwnerCandidate { readonly entryHostId: EntryHostId, readonly incarnation: number }

/** State from which an entry host plans takeovers and handovers. @public */
export interface OwnershipPlanningInput {
  readonly document: OwnershipDocument
  readonly self: OwnerCandidate
  /** Running entry hosts that are reachable, including this one. */
  readonly members: readonly OwnerCandidate[]
  /** Entry hosts that the platform lists as gone. */
  readonly gone: ReadonlySet<EntryHostId>
}

function isDead (owner: ShardOwner, input: OwnershipPlanningInput): boolean {
  if (input.gone.has(owner.owner)) return true
  return input.members.some(({ entryHostId, incarnation }) => entryHostId === owner.owner && incarnation > owner.incarnation)
}

/**
 * Plans which shards this entry host takes over: those without an owner and those of dead owners, up to its fair share.
 *
 * @param input - the ownership document and the state of the entry hosts
 * @param nowMs - the current Unix time
 * @returns the updated document, or `undefined` if there is no shard to take over
 * @public
 */
export function planTakeover (input: OwnershipPlanningInput, nowMs: number): OwnershipDocument | undefined {
  const { document, self, members } = input
  const fairShare = Math.ceil(KEY_SHARD_COUNT / Math.max(1, members.length))
  let ownedCount = document.shards.filter((owner) => owner?.owner === self.entryHostId && owner.incarnation === self.incarnation).length
  let takenCount = 0
  const shards = document.shards.map((owner) => {
    const isFree = owner === null || isDead(owner, input)
    if (!isFree || ownedCount >= fairShare) return owner
    ownedCount++
    takenCount++
    return { owner: self.entryHostId, incarnation: self.incarnation, completeSinceMs: nowMs }
  })
  return takenCount === 0 ? undefined : { ...document, revision: document.revision + 1, shards }
}

/**
 * Plans which shards this entry host hands over: all of them when it is shutting down, otherwise those beyond its fair share.
 * Each shard goes to the entry host that owns the fewest.
 *
 * @param input - the ownership document and the state of the entry hosts
 * @param isStopping - whether this entry host is shutting down
 * @returns the new owner of each shard to hand over
 * @public
 */
export function planHandover (input: OwnershipPlanningInput, isStopping: boolean): Map<number, OwnerCandidate> {
  const others = input.members.filter(({ entryHostId }) => entryHostId !== input.self.entryHostId)
  const newOwners = new Map<number, OwnerCandidate>()
  if (others.length === 0) return newOwners
  const counts = new Map(others.map(({ entryHostId }) => [entryHostId, 0]))
  for (const owner of input.document.shards) {
    if (owner !== null && counts.has(owner.owner)) counts.set(owner.owner, (counts.get(owner.owner) ?? 0) + 1)
  }
  const isOwnedBySelf = (owner: ShardOwner | null): boolean => owner?.owner === input.self.entryHostId && owner.incarnation === input.self.incarnation
  const ownShards = input.document.shards.flatMap((owner, shard) => isOwnedBySelf(owner) ? [shard] : [])
  const keptCount = isStopping ? 0 : Math.ceil(KEY_SHARD_COUNT / input.members.length)
  for (const shard of ownShards.slice(keptCount)) {
    const newOwner = others.reduce((a, b) => (counts.get(b.entryHostId) ?? 0) < (counts.get(a.entryHostId) ?? 0) ? b : a)
    counts.set(newOwner.entryHostId, (counts.get(newOwner.entryHostId) ?? 0) + 1)
    newOwners.set(shard, newOwner)
  }
  return newOwners
}
