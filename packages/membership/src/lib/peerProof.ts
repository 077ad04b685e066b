/**
 * Proves the knowledge of a shared key without sending it.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { Hello } from './peerMessages.js'

const NONCE_BYTES = 16

/** @returns a number used once, in hexadecimal @internal */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/**
 * Makes the proof of one side: it covers both nonces, so no recorded proof fits another link.
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
 * @param verifier - the own hello
 * @param proof - what was received
 * @returns whether it was made with one of the keys
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
