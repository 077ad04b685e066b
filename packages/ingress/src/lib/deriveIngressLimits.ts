/**
 * Derives the limits on clients from the size of the machine.
 *
 * @module
 */
import type { IngressLimits } from './IngressBudget.js'

/** What a process may use. @public */
export interface MachineLimits {
  /** Memory in MB of 1,048,576 bytes. */
  readonly memoryMb: number
  readonly maxDescriptors: number
  /** Largest size of the heap in MB; most of what is held for clients is there. */
  readonly heapMb: number
}

const BYTES_PER_MB = 1024 * 1024
/** Memory of the program itself, with the state of a large fleet. */
const PROGRAM_MB = 128
/** Part of the remaining memory that clients may fill by what is counted. What is read for them and not yet collected takes some 64 MB more. */
const CLIENT_SHARE = 0.25
const MIN_HELD_MB = 8
/** Part of the heap that clients may fill. */
const CLIENT_HEAP_SHARE = 0.3
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200
/** The other half is for the store, the workers and peers. */
const CLIENT_DESCRIPTOR_SHARE = 0.5
const MAX_REQUESTS_AHEAD = 32

/**
 * Derives the limits on clients.
 *
 * @param machine - what the process may use
 * @returns the limits
 * @public
 */
export function deriveIngressLimits ({ memoryMb, maxDescriptors, heapMb }: MachineLimits): IngressLimits {
  const heldMb = Math.max(MIN_HELD_MB, Math.min(heapMb * CLIENT_HEAP_SHARE, (memoryMb - PROGRAM_MB) * CLIENT_SHARE))
  return {
    maxConnections: Math.max(1, Math.floor((maxDescriptors - FILE_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE)),
    maxHeldBytes: Math.floor(heldMb * BYTES_PER_MB),
    maxRequestsAhead: MAX_REQUESTS_AHEAD
  }
}
