/**
 * The platform inside the process.
 *
 * @module
 */
export { MemoryKeyValueStore, MAX_VALUE_BYTES, type StoreSnapshot } from './lib/MemoryKeyValueStore.js'
export { MemoryHosts, type HostEvents, type MemoryHostsOptions } from './lib/MemoryHosts.js'
