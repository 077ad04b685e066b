/**
 * Leases that authorize their holder to act, and local replicas of all keys with a given prefix.
 *
 * @module
 */
export { LeaseHolder, type LeaseGrant, type LeaseHolderOptions } from './lib/LeaseHolder.js'
export { PrefixReplica, type PrefixChange, type PrefixReplicaOptions } from './lib/PrefixReplica.js'
