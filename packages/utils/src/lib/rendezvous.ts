/**
 * Rendezvous hashing: assigns keys to members so that a change of the members reassigns as few keys as possible.
 *
 * @module
 */
import murmurhash from 'murmurhash'

/**
 * Computes the score of a member for a key.
 *
 * @param key - the key to assign
 * @param member - a candidate for the key
 * @returns an unsigned 32-bit score; the member with the highest score owns the key
 * @public
 */
export function rendezvousScore (key: string, member: string): number {
  return murmurhash.v3(`${key}\u0000${member}`)
}

/**
 * Sorts members by their score for a key.
 *
 * @param key - the key to assign
 * @param members - the candidates, in any order
 * @returns the members from the highest score to the lowest, so the owner comes first; equal scores are ordered by name
 * @public
 */
export function rendezvousOrder<T extends string> (key: string, members: Iterable<T>): T[] {
  const scoredMembers = [...members].map((member) => ({ member, score: rendezvousScore(key, member) }))
  scoredMembers.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
  return scoredMembers.map((entry) => entry.member)
}

/**
 * Returns the owner of a key.
 *
 * @param key - the key to assign
 * @param members - the candidates, in any order
 * @returns the member with the highest score, `undefined` if there are no members
 * @public
 */
export function rendezvousOwner<T extends string> (key: string, members: Iterable<T>): T | undefined {
  return rendezvousOrder(key, members)[0]
}

/**
 * Hashes a string, for example to distribute strings over shards.
 *
 * @param text - the string to hash
 * @returns an unsigned 32-bit hash
 * @public
 */
export function hash32 (text: string): number {
  return murmurhash.v3(text)
}
