/**
 * Rights to act that end by themselves, and copies of a part of the key-value service.
 *
 * @module
 */
export { LeaseHolder, type LeaseGrant, type LeaseHolderOptions } from './lib/LeaseHolder.js'
export { PrefixReplica, type PrefixChange, type PrefixReplicaOptions } from './lib/PrefixReplica.js'
