/**
 * Decides how long a host leaves a vacant duty to others, so that duties spread over the hosts and stay off weak ones without
 * anybody who assigns them.
 *
 * The fault it answers: several duties that end at the same moment, with some hosts cut off. Each wait counts from when its own duty
 * was seen vacant; while it began anew whenever any other duty was taken, the fourth of four was vacant for 3.6 s.
 *
 * @module
 */

/** A vacant duty is left to hosts with fewer duties for so long a duty. @public */
export const WAIT_A_DUTY_MS = 250
/**
 * And to stronger hosts for so long, times the share of the strongest host's power that is missing here. One that lives tries within
 * 0.15 s of hearing of it, and is done 0.5 s later where the store takes 250 ms a call, the slowest of the users' troubles.
 */
const WAIT_FOR_STRONGER_MS = 600
/** So that not all hosts of a kind try at once. */
const SPREAD_MS = 120

/** A host that could take a duty. @public */
export interface DutyCandidate {
  /** How much it can bear, in cores, and the most that any host can. */
  readonly power: number
  readonly mostPower: number
  /** A number from 0 to 1, fresh for each duty that was seen vacant. */
  readonly random: number
}

/** @param candidate - a host without duties @returns how long it waits from when it saw the duty vacant @public */
export function dutyWaitMs ({ power, mostPower, random }: DutyCandidate): number {
  const missingShare = mostPower <= power ? 0 : 1 - power / mostPower
  return WAIT_FOR_STRONGER_MS * missingShare + SPREAD_MS * random
}
