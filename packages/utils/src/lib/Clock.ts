/**
 * Where the present time comes from at the edges; deciding functions get it as an argument.
 *
 * A host may be suspended for seconds. Its steady clock stands still meanwhile, its time of day does not. So there are two readings of
 * how much time has passed: the least, for what others were granted and may still use, and the most, for what this host was granted.
 *
 * @module
 */

/** Readings of time. @public */
export interface Clock {
  /** Milliseconds since 1970, may jump. */
  wallMs(): number
  /** Milliseconds since an arbitrary start; counts while the process is paused, but not while its host is suspended: the least that has passed. */
  monotonicMs(): number
  /** The same, and all by which the time of day has ever run ahead of it: the most that has passed. A right of this host's ends by it. */
  latestMs(): number
}

/** What a machine's clocks show. @public */
export interface ClockSources {
  wallMs(): number
  monotonicMs(): number
}

/** A time of day that is slewed gains less than this between two readings; leases are used to nine tenths, which is more. */
const MIN_JUMP_MS = 50

/**
 * Makes a clock that tells a suspended host from a running one.
 *
 * Nothing tells a host that slept from one whose time of day was set forward, in a way that Node.js can read at all times: the uptime that
 * the kernel shows is wrong within containers. Both count as time that may have passed; the cost of a clock that was set forward is that
 * leases are renewed before they are used again, a quarter of a lease at most. A reading takes 0.15 us.
 *
 * @param readings - of the machine
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

/** The clocks of this machine. @public */
export const systemClock: Clock = createClock({ wallMs: () => Date.now(), monotonicMs: () => performance.now() })
