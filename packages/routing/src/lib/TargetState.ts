/**
 * What one entry host knows of one target: its slots, its latency and how often it fails.
 *
 * @module
 */
import type { AvailabilityZone, HostId } from '@quillscale/model'

/** Where a target is. @public */
export interface TargetAddress {
  readonly hostId: HostId
  readonly availabilityZone: AvailabilityZone
  readonly address: string
  readonly port: number
}

/** How fast estimates follow and when a target is avoided. @public */
export interface TargetHealthOptions {
  /** Weight of a new sample; 0.1 by default. */
  readonly smoothing: number
  /** Failures in a row after which a target is rested; 5 by default. */
  readonly ejectAfterFailures: number
  /** The first rest; doubles with each further one, up to 32 times; 1000 by default. */
  readonly baseEjectionMs: number
}

/** The documented defaults. @public */
export const TARGET_HEALTH_DEFAULTS: TargetHealthOptions = { smoothing: 0.1, ejectAfterFailures: 5, baseEjectionMs: 1000 }
const MAX_EJECTION_FACTOR = 32
const MIN_SUCCESS_SHARE = 0.02

/** What became of one request at a target. @public */
export type TargetResult = 'answered' | 'failed' | 'refused'

/** A target as one entry host sees it. @public */
export class TargetState {
  /** Slots this entry host may use by its share of the zone. */
  allottedSlots = 0
  /** Slots lent to other entry hosts. */
  lentSlots = 0
  /** Slots borrowed from other entry hosts. */
  borrowedSlots = 0
  /** Requests that this entry host has sent and that are not finished. */
  inFlight = 0
  /** The target gets no new work. */
  isLeaving = false
  /** Estimated time of an answer; only answers count, so that failing fast does not look good. */
  latencyMs = 0
  /** Estimated share of requests that succeed. */
  successShare = 1
  /** No work is sent before this time, unless too many targets rest. */
  ejectedUntilMs = 0
  /** When anything was last heard from it. */
  lastResponseMs = 0
  #consecutiveFailures = 0
  #ejectionFactor = 1
  readonly #options: TargetHealthOptions

  /**
   * @param target - where it is
   * @param options - how its health is estimated
   */
  constructor (readonly target: TargetAddress, options: Partial<TargetHealthOptions> = {}) {
    this.#options = { ...TARGET_HEALTH_DEFAULTS, ...options }
  }

  /** Slots this entry host may use now. */
  get usableSlots (): number {
    return Math.max(0, this.allottedSlots - this.lentSlots) + this.borrowedSlots
  }

  /** Slots that are free now. */
  get freeSlots (): number {
    return this.isLeaving ? 0 : Math.max(0, this.usableSlots - this.inFlight)
  }

  /** Slots that are free now and may be lent: what is borrowed is not passed on. */
  get lendableSlots (): number {
    return Math.max(0, this.freeSlots - this.borrowedSlots)
  }

  /**
   * Notes what became of a request.
   *
   * @param result - what
   * @param tookMs - from sending to the end of the answer
   * @param nowMs - the present time
   */
  recordResult (result: TargetResult, tookMs: number, nowMs: number): void {
    const { smoothing } = this.#options
    if (result === 'answered') {
      this.latencyMs = this.latencyMs === 0 ? tookMs : this.latencyMs + smoothing * (tookMs - this.latencyMs)
    }
    const success = result === 'answered' ? 1 : 0
    const weight = result === 'refused' ? smoothing / 2 : smoothing
    this.successShare = Math.max(MIN_SUCCESS_SHARE, this.successShare + weight * (success - this.successShare))
    this.lastResponseMs = nowMs
    if (result === 'answered') this.#resetFailures()
    // A target that refuses is full, not broken: it gets less, but it is not rested.
    if (result === 'failed') this.#recordFailure(nowMs)
  }

  /** @param nowMs - the present time; a probe found it working */
  recordProbeSuccess (nowMs: number): void {
    this.lastResponseMs = nowMs
  }

  /** @param nowMs - the present time @returns whether it is left alone for now */
  isEjected (nowMs: number): boolean {
    return this.ejectedUntilMs > nowMs
  }

  #resetFailures (): void {
    this.#consecutiveFailures = 0
    this.#ejectionFactor = 1
    this.ejectedUntilMs = 0
  }

  #recordFailure (nowMs: number): void {
    this.#consecutiveFailures++
    if (this.#consecutiveFailures < this.#options.ejectAfterFailures) return
    // While it rests, what was sent earlier still fails; only failures after a rest lengthen the next.
    if (this.isEjected(nowMs)) return
    this.ejectedUntilMs = nowMs + this.#options.baseEjectionMs * this.#ejectionFactor
    this.#ejectionFactor = Math.min(MAX_EJECTION_FACTOR, this.#ejectionFactor * 2)
  }
}
