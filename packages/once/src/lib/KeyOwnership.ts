/**
 * Which entry host owns each shard of the callers' own keys: one small document of the platform.
 *
 * Why no leases: an owner that had to renew one would stop serving in an outage of the platform. A shard changes hands
 * only by its owner's own handover, or after the platform lists the owner's host as gone, or when the same host runs a
 * newer incarnation: in each case the old owner cannot run anything for it any more.
 *
 * @module
 */
import { z } from 'zod'
import { isEntryHostId, type EntryHostId } from '@quillscale/model'
import { KEY_SHARD_COUNT } from './IdempotencyKey.js'

const ownerSchema = z.object({
  owner: z.custom<EntryHostId>(isEntryHostId),
  incarnation: z.number().int(),
  /** Keys made before this may have run at an earlier owner; also the first owner's start, as a restored store may have forgotten one. */
  completeSinceMs: z.number()
})

/** Checks the stored document. @public */
export const ownershipSchema = z.object({
  schemaVersion: z.literal(1).default(1),
  revision: z.number().int().nonnegative(),
  shards: z.array(ownerSchema.nullable()).length(KEY_SHARD_COUNT)
})

/** The owner of one shard. @public */
export type ShardOwner = z.infer<typeof ownerSchema>
/** The owners of all shards. @public */
export type OwnershipDocument = z.infer<typeof ownershipSchema>

/** The document before the first entry host. @public */
export const NO_OWNERS: OwnershipDocument = { schemaVersion: 1, revision: 0, shards: Array.from({ length: KEY_SHARD_COUNT }, () => null) }

/** A working entry host. @public */
export interface OwnerCandidate { readonly entryHostId: EntryHostId, readonly incarnation: number }

/** What the decision knows. @public */
export interface OwnershipPlanningInput {
  readonly document: OwnershipDocument
  readonly self: OwnerCandidate
  /** Working entry hosts in reach, this one among them. */
  readonly members: readonly OwnerCandidate[]
  /** Entry hosts that the platform lists as gone. */
  readonly gone: ReadonlySet<EntryHostId>
}

function isDead (owner: ShardOwner, view: OwnershipPlanningInput): boolean {
  if (view.gone.has(owner.owner)) return true
  return view.members.some(({ entryHostId, incarnation }) => entryHostId === owner.owner && incarnation > owner.incarnation)
}

/**
 * Decides which shards this entry host takes: those nobody owns and those of dead owners, up to its fair share.
 *
 * @param view - what is known
 * @param nowMs - the present time since 1970
 * @returns the changed document, `undefined` when there is nothing to take
 * @public
 */
export function planTakeover (view: OwnershipPlanningInput, nowMs: number): OwnershipDocument | undefined {
  const { document, self, members } = view
  const fairShare = Math.ceil(KEY_SHARD_COUNT / Math.max(1, members.length))
  let owned = document.shards.filter((owner) => owner?.owner === self.entryHostId && owner.incarnation === self.incarnation).length
  let taken = 0
  const shards = document.shards.map((owner) => {
    const isFree = owner === null || isDead(owner, view)
    if (!isFree || owned >= fairShare) return owner
    owned++
    taken++
    return { owner: self.entryHostId, incarnation: self.incarnation, completeSinceMs: nowMs }
  })
  return taken === 0 ? undefined : { ...document, revision: document.revision + 1, shards }
}

/**
 * Decides which shards this entry host hands to others: all when it stops, else what exceeds its fair share.
 *
 * @param view - what is known
 * @param isStopping - whether this entry host stops
 * @returns the new owner of each shard to hand over
 * @public
 */
export function planHandover (view: OwnershipPlanningInput, isStopping: boolean): Map<number, OwnerCandidate> {
  const others = view.members.filter(({ entryHostId }) => entryHostId !== view.self.entryHostId)
  const handover = new Map<number, OwnerCandidate>()
  if (others.length === 0) return handover
  const counts = new Map(others.map(({ entryHostId }) => [entryHostId, 0]))
  for (const owner of view.document.shards) {
    if (owner !== null && counts.has(owner.owner)) counts.set(owner.owner, (counts.get(owner.owner) ?? 0) + 1)
  }
  const isOwn = (owner: ShardOwner | null): boolean => owner?.owner === view.self.entryHostId && owner.incarnation === view.self.incarnation
  const own = view.document.shards.flatMap((owner, shard) => isOwn(owner) ? [shard] : [])
  const kept = isStopping ? 0 : Math.ceil(KEY_SHARD_COUNT / view.members.length)
  for (const shard of own.slice(kept)) {
    const next = others.reduce((a, b) => (counts.get(b.entryHostId) ?? 0) < (counts.get(a.entryHostId) ?? 0) ? b : a)
    counts.set(next.entryHostId, (counts.get(next.entryHostId) ?? 0) + 1)
    handover.set(shard, next)
  }
  return handover
}
