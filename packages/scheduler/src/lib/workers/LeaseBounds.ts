/**
 * How long leases of workers may last, given by this holder of a service's duty or by former ones.
 *
 * @module
 */
import type { SilentWorkers } from './SilentWorkers.js'
import { CLOCK_DRIFT_SHARE } from './WorkerClock.js'

/** What the bounds follow from. @public */
export interface LeaseBoundsOptions {
  /** The longest lease that a worker grants, and how long a stop takes at most. */
  readonly bounds: () => { readonly maxLeaseMs: number, readonly stopMs: number }
  /** Knows what former holders gave. */
  readonly silentWorkers: Pick<SilentWorkers, 'formerLeaseMs' | 'areFormerLeasesOver'>
  /** Monotonic; leases of former holders are counted from then. */
  readonly tookOverMs: number
}

/** Share of the longest lease that is used at most. */
const LEASE_SHARE = 0.8
/** Enough to outlast a take-over or a cut of the usual 5.5 s; each further second delays the work of workers that are lost. */
const LEASE_MS = 6500
/** Added to a lease's end before its runs count as over: late timers, both ways. */
const LEASE_END_SLACK_MS = 300

/** The bounds. @public */
export class LeaseBounds {
  readonly #options: LeaseBoundsOptions
  /** The longest lease of this holder's links: settings may have named another meanwhile. */
  #ownLeaseMs = 0

  /** @param options - what they follow from */
  constructor (options: LeaseBoundsOptions) {
    this.#options = options
  }

  /** How long a lease lasts that is given now. */
  get leaseMs (): number {
    return Math.min(LEASE_MS, this.#options.bounds().maxLeaseMs * LEASE_SHARE)
  }

  /** How long a lease lasts that a worker was told to keep for longer than it grants, by any clock. */
  get longestGrantedMs (): number {
    return this.#options.bounds().maxLeaseMs / (1 - CLOCK_DRIFT_SHARE) + this.slackMs
  }

  /** After a lease has ended: a stop, and late timers. */
  get slackMs (): number {
    return this.#options.bounds().stopMs + LEASE_END_SLACK_MS
  }

  /** @returns how long leases of a new link last, which is remembered */
  giveLeaseMs (): number {
    const { leaseMs } = this
    this.#ownLeaseMs = Math.max(this.#ownLeaseMs, leaseMs)
    return leaseMs
  }

  /** @param nowMs - monotonic @returns the longest lease that may be alive now, whoever gave it; settings may have changed meanwhile */
  longestMs (nowMs: number): number {
    return Math.max(this.leaseMs, this.#ownLeaseMs, nowMs < this.#formerEndMs() ? this.#formerLeaseMs() : 0)
  }

  /** @param instanceId - of a worker @param nowMs - monotonic @returns after how long the leases that former holders gave there are surely over */
  formerLeftMs (instanceId: string, nowMs: number): number {
    return this.#options.silentWorkers.areFormerLeasesOver(instanceId) ? 0 : this.#formerEndMs() - nowMs
  }

  #formerLeaseMs (): number {
    const { formerLeaseMs } = this.#options.silentWorkers
    return formerLeaseMs === 0 ? 0 : Math.max(this.leaseMs, formerLeaseMs ?? LEASE_MS)
  }

  #formerEndMs (): number {
    return this.#options.tookOverMs + this.#formerLeaseMs() / (1 - CLOCK_DRIFT_SHARE) + this.slackMs
  }
}
