/**
 * Divides keys among members so that a change of members moves the fewest keys.
 *
 * @module
 */
import murmurhash from 'murmurhash'

/**
 * Scores one member for one key.
 *
 * @param key - what is being placed
 * @param member - where it could be placed
 * @returns an unsigned 32-bit score; the highest wins
 * @public
 */
export function rendezvousScore (key: string, member: string): number {
  return murmurhash.v3(`${key}\u0000${member}`)
}

/**
 * Orders members by their score for a key.
 *
 * @param key - what is being placed
 * @param members - where it could be placed, in any order
 * @returns the members, the owner first; equal scores go by name
 * @public
 */
export function rendezvousOrder<T extends string> (key: string, members: Iterable<T>): T[] {
  const scoredMembers = [...members].map((member) => ({ member, score: rendezvousScore(key, member) }))
  scoredMembers.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
  return scoredMembers.map((entry) => entry.member)
}

/**
 * Names the owner of a key.
 *
 * @param key - what is being placed
 * @param members - where it could be placed, in any order
 * @returns the member with the highest score, `undefined` without members
 * @public
 */
export function rendezvousOwner<T extends string> (key: string, members: Iterable<T>): T | undefined {
  return rendezvousOrder(key, members)[0]
}

/**
 * Hashes a text to spread it over shards.
 *
 * @param text - any text
 * @returns an unsigned 32-bit hash
 * @public
 */
export function hash32 (text: string): number {
  return murmurhash.v3(text)
}
