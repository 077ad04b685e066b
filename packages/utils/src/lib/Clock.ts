/**
 * The clock, which only code at the edges of the system reads; functions that make decisions get the time as an argument.
 *
 * A host may be suspended for seconds. Its monotonic clock stops meanwhile, its wall clock does not. The clock therefore has two readings of
 * elapsed time: a lower bound, to time leases that were granted to others and may still be in use, and an upper bound, to time leases
 * that were granted to this host.
 *
 * @module
 */

/** Reads the wall clock and bounds on the elapsed time. @public */
export interface Clock {
  /** Unix time: milliseconds since 1970. It may jump. */
  wallMs(): number
  /** Milliseconds since an arbitrary start. Advances while the process is paused but not while its host is suspended: a lower bound on the elapsed time. */
  monotonicMs(): number
  /** `monotonicMs` plus all forward jumps of the wall clock: an upper bound on the elapsed time, by which this host's own leases expire. */
  latestMs(): number
}

/** The wall clock and the monotonic clock of a machine. @public */
export interface ClockSources {
  wallMs(): number
  monotonicMs(): number
}

/** A slewed wall clock gains less than this between two readings. Leases are used for only nine tenths of their duration, which leaves a larger margin. */
const MIN_JUMP_MS = 50

/**
 * Creates a clock that accounts for suspensions of the host.
 *
 * Node.js has no reliable way to distinguish a suspension from a wall clock that was set forward: the kernel's uptime is wrong inside containers.
 * Both count as time that may have elapsed. If the wall clock was only set forward, leases have to be renewed before they can be used again, which
 * takes a quarter of a lease at most. A reading takes 0.15 us.
 *
 * @param sources - the clocks of the machine
 * @returns the clock
 * @public
 */
export function createClock ({ wallMs, monotonicMs }: ClockSources): Clock {
  let wallOffsetMs = wallMs() - monotonicMs()
  let jumpedMs = 0
  return {
    wallMs,
    monotonicMs,
    latestMs: () => {
      const nowMs = monotonicMs()
      const newWallOffsetMs = wallMs() - nowMs
      if (newWallOffsetMs - wallOffsetMs >= MIN_JUMP_MS) jumpedMs += newWallOffsetMs - wallOffsetMs
      wallOffsetMs = newWallOffsetMs
      return nowMs + jumpedMs
    }
  }
}

/** The clock of this machine. @public */
export const systemClock: Clock = createClock({ wallMs: () => Date.now(), monotonicMs: () => performance.now() })
