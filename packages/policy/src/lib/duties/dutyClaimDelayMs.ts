/**
 * Computes how long a host waits before it claims a vacant duty, so that duties spread over the hosts by capacity without a coordinator.
 *
 * When several duties become vacant at once while some hosts are partitioned, weak hosts must not win them: a scheduler on a host with a quarter
 * of the others' capacity placed 20 to 180 tasks a second instead of 1,500, and its service's backlog grew for 11 s. A strong host with some
 * duties therefore goes before a weak one without any. Each delay counts from when its own duty became vacant: when each claim of another duty
 * restarted the delay, the fourth of four duties stayed vacant for 3.6 s.
 *
 * @module
 */

/** Delay of the strongest host for each duty that it holds: a claim is visible within some 20 ms, 0.25 s if the store is slow. */
const DELAY_PER_DUTY_MS = 150
/** Bound for weak hosts: a duty on a weak host is better than a vacant one. */
const MAX_DELAY_MS = 900
/** Keeps hosts of equal capacity from claiming at once. */
const MAX_JITTER_MS = 120

/** A host that may claim a duty. @public */
export interface DutyCandidate {
  /** Capacity of the host in cores; `maxCapacityCores` is that of the strongest host. */
  readonly capacityCores: number
  readonly maxCapacityCores: number
  /** Number of duties that it holds. */
  readonly heldDuties: number
  /** Random number from 0 to 1, drawn for each vacancy. */
  readonly random: number
}

/** @param candidate - a host @returns its delay after it saw the duty vacant, which grows with its duties per capacity @public */
export function dutyClaimDelayMs ({ capacityCores, maxCapacityCores, heldDuties, random }: DutyCandidate): number {
  const load = (heldDuties + 1) * Math.max(1, maxCapacityCores / capacityCores)
  return Math.min(MAX_DELAY_MS, DELAY_PER_DUTY_MS * (load - 1)) + MAX_JITTER_MS * random
}
