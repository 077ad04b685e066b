/**
 * Runs a non-repeatable request at most once: idempotency keys, the table of keys that have run, and the ownership of key shards.
 *
 * @module
 */
export { KEY_SHARD_COUNT, mintKey, parseKey, type IdempotencyKey, type MintedKey, type TimedKey } from './lib/IdempotencyKey.js'
export { IdempotencyTable, IDEMPOTENCY_TABLE_DEFAULTS, type ClaimResult, type HandoverEntry, type CachedResponse, type KeyRecord, type IdempotencyTableOptions } from './lib/IdempotencyTable.js'
export {
  NO_OWNERS, ownershipSchema, planHandover, planTakeover, type OwnerCandidate, type OwnershipDocument, type OwnershipPlanningInput, type ShardOwner
} from './lib/KeyOwnership.js'
