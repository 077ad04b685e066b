/**
 * Challenge-response authentication: proves that a peer knows a shared key without sending the key.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { Hello } from './peerMessages.js'

const NONCE_BYTES = 16

/**
 * Creates a random nonce.
 *
 * @returns the nonce in hexadecimal
 * @internal
 */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/**
 * Creates the proof of one side. It covers both nonces, so that a recorded proof cannot be replayed on another link.
 *
 * @param key - the shared key
 * @param prover - the hello of the side that proves
 * @param verifier - the hello of the side that checks
 * @returns the proof in hexadecimal
 * @internal
 */
export function createProof (key: string, prover: Hello, verifier: Hello): string {
  const signedFields = [prover.nonce, verifier.nonce, prover.entryHostId, prover.availabilityZone, prover.incarnation, prover.address]
  return createHmac('sha256', key).update(JSON.stringify(signedFields)).digest('hex')
}

/**
 * Checks a proof in constant time against every valid key.
 *
 * @param keys - the valid keys
 * @param prover - the hello of the side that proves
 * @param verifier - the hello of this side, which checks
 * @param proof - the received proof in hexadecimal
 * @returns whether the proof was created with one of the keys
 * @internal
 */
export function isProofValid (keys: readonly string[], prover: Hello, verifier: Hello, proof: string): boolean {
  const received = Buffer.from(proof, 'hex')
  const keyMatches = keys.map((key) => {
    const expected = Buffer.from(createProof(key, prover, verifier), 'hex')
    return received.length === expected.length && timingSafeEqual(received, expected)
  })
  return keyMatches.includes(true)
}
