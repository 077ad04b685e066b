/**
 * Computes how long worker leases may last that were granted by this holder of a service's duty or by previous holders.
 *
 * @module
 */
import { lifetimeStartMsOf } from '@quillscale/ports'
import type { SilentWorkers } from './SilentWorkers.js'
import { MAX_CLOCK_DRIFT_RATIO } from './WorkerClock.js'

/** Expected time within which a call without an answer is carried out. The protocol gives no bound, so it is used only where waiting longer is worse. */
export const LATE_CALL_MS = 12_000

/** What a holder knows of a lifetime that it has connected to. @public */
export interface MetLifetime {
  /** Monotonic time when the holder connected. */
  readonly openedMs: number
  /** Monotonic time of the first report to this holder, which makes the lifetime reject all calls that were not meant for it; `Infinity` before that. */
  readonly firstReportMs: number
  /** Whether this holder may have sent calls to the lifetime before. */
  readonly hasPredecessor: boolean
}

/** Inputs of {@link LeaseBounds}. @public */
export interface LeaseBoundsOptions {
  /** The longest lease that a worker accepts, and the longest time that a stop takes. */
  readonly bounds: () => { readonly maxLeaseMs: number, readonly stopMs: number }
  /** Provides what is recorded about the leases of previous holders. */
  readonly silentWorkers: Pick<SilentWorkers, 'previousLeaseMs' | 'havePreviousLeasesExpired'>
  /** Monotonic time of the takeover, from which leases of previous holders are counted. */
  readonly tookOverMs: number
  /** The same in Unix milliseconds. */
  readonly tookOverWallMs: number
}

/** Highest share of the longest lease that a worker accepts. */
const MAX_LEASE_RATIO = 0.8
/** Outlasts a takeover or a network cut of the usual 5.5 s; every further second delays the tasks of lost workers. */
const MAX_LEASE_MS = 6500
/** Added to the end of a lease before its runs count as ended, because timers may fire late on both sides. */
const LEASE_END_SLACK_MS = 300
/** Until a holder learns of a new lifetime, it calls the one before; and the clocks of hosts and workers may differ by some seconds. */
const START_MARGIN_MS = 9000

/** Computes durations and upper bounds of worker leases. @public */
export class LeaseBounds {
  readonly #options: LeaseBoundsOptions
  /** The longest lease of this holder's links; the settings may have changed since it was granted. */
  #longestOwnLeaseMs = 0

  /** @param options - inputs of the bounds */
  constructor (options: LeaseBoundsOptions) {
    this.#options = options
  }

  /** Duration of a lease that is granted now. */
  get leaseMs (): number {
    return Math.min(MAX_LEASE_MS, this.#options.bounds().maxLeaseMs * MAX_LEASE_RATIO)
  }

  /** Upper bound, on any clock, of a lease that the worker cut to the longest one that it accepts, because the order named a longer one. */
  get longestWorkerLeaseMs (): number {
    return this.#options.bounds().maxLeaseMs / (1 - MAX_CLOCK_DRIFT_RATIO) + this.slackMs
  }

  /** Time after the end of a lease until its runs have surely stopped: a stop, and late timers. */
  get slackMs (): number {
    return this.#options.bounds().stopMs + LEASE_END_SLACK_MS
  }

  /** Determines the lease duration of a new link and remembers the longest one. @returns the duration */
  grantLeaseMs (): number {
    const { leaseMs } = this
    this.#longestOwnLeaseMs = Math.max(this.#longestOwnLeaseMs, leaseMs)
    return leaseMs
  }

  /** Returns the longest lease, of any holder, that may still be active; the settings may have changed since it was granted. @param nowMs - monotonic time */
  longestActiveLeaseMs (nowMs: number): number {
    return Math.max(this.leaseMs, this.#longestOwnLeaseMs, nowMs < this.#previousLeasesEndMs() ? this.#previousLeaseMs() : 0)
  }

  /**
   * Computes the time until all leases that previous holders granted on a worker have expired.
   *
   * @param instanceId - id of the worker's lifetime
   * @param nowMs - monotonic time
   * @param lifetime - the connection to it, `undefined` if there is none
   * @returns the remaining time
   */
  previousLeasesLeftMs (instanceId: string, nowMs: number, lifetime: MetLifetime | undefined): number {
    if (this.#options.silentWorkers.havePreviousLeasesExpired(instanceId)) return 0
    return Math.max(this.#previousLeasesEndMs(), this.#lateLeaseEndMs(instanceId, lifetime)) - nowMs
  }

  /** Returns until when a lifetime may hold a lease from a call that was meant for the lifetime before. */
  #lateLeaseEndMs (instanceId: string, lifetime: MetLifetime | undefined): number {
    const { tookOverMs, tookOverWallMs } = this.#options
    const startMs = lifetimeStartMsOf(instanceId)
    // Ids of workers that do not report their start are never used again.
    if (startMs === undefined) return -Infinity
    const isYoung = tookOverWallMs - startMs <= LATE_CALL_MS + this.longestWorkerLeaseMs + START_MARGIN_MS
    if (!isYoung && lifetime?.hasPredecessor !== true) return -Infinity
    const { openedMs = tookOverMs, firstReportMs = Infinity } = lifetime ?? {}
    return Math.min(firstReportMs, Math.max(tookOverMs, openedMs) + LATE_CALL_MS) + this.longestWorkerLeaseMs
  }

  #previousLeaseMs (): number {
    const { previousLeaseMs } = this.#options.silentWorkers
    return previousLeaseMs === 0 ? 0 : Math.max(this.leaseMs, previousLeaseMs ?? MAX_LEASE_MS)
  }

  #previousLeasesEndMs (): number {
    return this.#options.tookOverMs + this.#previousLeaseMs() / (1 - MAX_CLOCK_DRIFT_RATIO) + this.slackMs
  }
}
