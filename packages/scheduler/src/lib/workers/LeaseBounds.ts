/**
 * How long leases of workers may last, given by this holder of a service's duty or by former ones.
 *
 * @module
 */
import type { SilentWorkers } from './SilentWorkers.js'
import { MAX_CLOCK_DRIFT_RATIO } from './WorkerClock.js'

/** What the bounds follow from. @public */
export interface LeaseBoundsOptions {
  /** The longest lease that a worker grants, and how long a stop takes at most. */
  readonly bounds: () => { readonly maxLeaseMs: number, readonly stopMs: number }
  /** Knows what former holders gave. */
  readonly silentWorkers: Pick<SilentWorkers, 'previousLeaseMs' | 'havePreviousLeasesExpired'>
  /** Monotonic; leases of former holders are counted from then. */
  readonly tookOverMs: number
}

/** Share of the longest lease that is used at most. */
const MAX_LEASE_RATIO = 0.8
/** Enough to outlast a take-over or a cut of the usual 5.5 s; each further second delays the work of workers that are lost. */
const MAX_LEASE_MS = 6500
/** Added to a lease's end before its runs count as over: late timers, both ways. */
const LEASE_END_SLACK_MS = 300

/** The bounds. @public */
export class LeaseBounds {
  readonly #options: LeaseBoundsOptions
  /** The longest lease of this holder's links: settings may have named another meanwhile. */
  #longestOwnLeaseMs = 0

  /** @param options - what they follow from */
  constructor (options: LeaseBoundsOptions) {
    this.#options = options
  }

  /** How long a lease lasts that is given now. */
  get leaseMs (): number {
    return Math.min(MAX_LEASE_MS, this.#options.bounds().maxLeaseMs * MAX_LEASE_RATIO)
  }

  /** How long a lease lasts that a worker was told to keep for longer than it grants, by any clock. */
  get longestWorkerLeaseMs (): number {
    return this.#options.bounds().maxLeaseMs / (1 - MAX_CLOCK_DRIFT_RATIO) + this.slackMs
  }

  /** After a lease has ended: a stop, and late timers. */
  get slackMs (): number {
    return this.#options.bounds().stopMs + LEASE_END_SLACK_MS
  }

  /** @returns how long leases of a new link last, which is remembered */
  grantLeaseMs (): number {
    const { leaseMs } = this
    this.#longestOwnLeaseMs = Math.max(this.#longestOwnLeaseMs, leaseMs)
    return leaseMs
  }

  /** @param nowMs - monotonic @returns the longest lease that may be alive now, whoever gave it; settings may have changed meanwhile */
  longestActiveLeaseMs (nowMs: number): number {
    return Math.max(this.leaseMs, this.#longestOwnLeaseMs, nowMs < this.#previousLeasesEndMs() ? this.#previousLeaseMs() : 0)
  }

  /** @param instanceId - of a worker @param nowMs - monotonic @returns after how long the leases that former holders gave there are surely over */
  previousLeasesLeftMs (instanceId: string, nowMs: number): number {
    return this.#options.silentWorkers.havePreviousLeasesExpired(instanceId) ? 0 : this.#previousLeasesEndMs() - nowMs
  }

  #previousLeaseMs (): number {
    const { previousLeaseMs: formerLeaseMs } = this.#options.silentWorkers
    return formerLeaseMs === 0 ? 0 : Math.max(this.leaseMs, formerLeaseMs ?? MAX_LEASE_MS)
  }

  #previousLeasesEndMs (): number {
    return this.#options.tookOverMs + this.#previousLeaseMs() / (1 - MAX_CLOCK_DRIFT_RATIO) + this.slackMs
  }
}
