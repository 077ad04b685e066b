/**
 * Decides how long a host leaves a vacant duty to others, so that duties spread over the hosts by their power without anybody who
 * assigns them.
 *
 * The fault it answers: several duties that end at the same moment, with some hosts cut off. A scheduler on a host of a quarter of the
 * others' power placed 20 to 180 tasks a second where theirs place 1,500, and its service's backlog grew for 11 s; so a strong host
 * with some duties goes before a weak one without any. Each wait counts from when its own duty was seen vacant; while it began anew
 * whenever any other duty was taken, the fourth of four was vacant for 3.6 s.
 *
 * @module
 */

/** The wait of the strongest host for each duty that it has: a taken duty is heard of within some 20 ms, 0.25 s where the store is slow. */
const DELAY_PER_DUTY_MS = 150
/** However weak a host is: a duty that nobody else takes is worth more in weak hands than in none. */
const MAX_DELAY_MS = 900
/** So that not all hosts of a kind try at once. */
const MAX_JITTER_MS = 120

/** A host that could take a duty. @public */
export interface DutyCandidate {
  /** How much it can bear, in cores, and the most that any host can. */
  readonly capacityCores: number
  readonly maxCapacityCores: number
  /** How many duties it has. */
  readonly heldDuties: number
  /** A number from 0 to 1, fresh for each duty that was seen vacant. */
  readonly random: number
}

/** @param candidate - a host @returns how long it waits from when it saw the duty vacant: longer, the more duties it would have for its power @public */
export function dutyClaimDelayMs ({ capacityCores: power, maxCapacityCores: mostPower, heldDuties: heldCount, random }: DutyCandidate): number {
  const load = (heldCount + 1) * Math.max(1, mostPower / power)
  return Math.min(MAX_DELAY_MS, DELAY_PER_DUTY_MS * (load - 1)) + MAX_JITTER_MS * random
}
