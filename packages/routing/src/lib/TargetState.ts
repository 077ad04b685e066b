/**
 * Tracks the slots, latency and failures of one target, as observed by one entry host.
 *
 * @module
 */
import type { AvailabilityZone, HostId } from '@quillscale/model'

/** Location and network address of a target. @public */
export interface TargetAddress {
  readonly hostId: HostId
  readonly availabilityZone: AvailabilityZone
  readonly address: string
  readonly port: number
}

/** Smoothing of the health estimates, and rules for ejecting a target, that is, not sending it requests for a while. @public */
export interface TargetHealthOptions {
  /** Weight of a new sample in the moving averages; 0.1 by default. */
  readonly smoothing: number
  /** Consecutive failures after which a target is ejected; 5 by default. */
  readonly ejectAfterFailures: number
  /** Duration of the first ejection; doubles with each further one, up to 32 times this value; 1000 by default. */
  readonly baseEjectionMs: number
}

/** Default settings. @public */
export const TARGET_HEALTH_DEFAULTS: TargetHealthOptions = { smoothing: 0.1, ejectAfterFailures: 5, baseEjectionMs: 1000 }
const MAX_EJECTION_FACTOR = 32
const MIN_SUCCESS_SHARE = 0.02

/** Result of one request that was sent to a target. @public */
export type TargetResult = 'answered' | 'failed' | 'refused'

/** Slots and health of one target at one entry host. @public */
export class TargetState {
  /** This entry host's share of the target's slots, including slots lent to others. */
  allottedSlots = 0
  /** Slots lent to other entry hosts. */
  lentSlots = 0
  /** Slots borrowed from other entry hosts. */
  borrowedSlots = 0
  /** Slots that requests of this entry host occupy. */
  inFlight = 0
  /** Whether the target is leaving service; it gets no new requests. */
  isLeaving = false
  /** Moving average of the response time, 0 before the first. Failures don't count, so a target that fails fast doesn't look fast. */
  latencyMs = 0
  /** Moving average of the share of requests that succeed, in which refusals have half the weight. */
  successShare = 1
  /** The target is ejected until this time; it is used all the same if too many targets are ejected at once. */
  ejectedUntilMs = 0
  /** Time of the last request result or successful probe. */
  lastResultMs = 0
  #consecutiveFailures = 0
  #ejectionFactor = 1
  readonly #options: TargetHealthOptions

  /**
   * @param target - location and address of the target
   * @param options - settings that override the defaults
   */
  constructor (readonly target: TargetAddress, options: Partial<TargetHealthOptions> = {}) {
    this.#options = { ...TARGET_HEALTH_DEFAULTS, ...options }
  }

  /** Slots this entry host may use now. */
  get usableSlots (): number {
    return Math.max(0, this.allottedSlots - this.lentSlots) + this.borrowedSlots
  }

  /** Slots that are free now; none while the target is leaving. */
  get freeSlots (): number {
    return this.isLeaving ? 0 : Math.max(0, this.usableSlots - this.inFlight)
  }

  /** Free slots that may be lent to other entry hosts; borrowed slots are not lent on. */
  get lendableSlots (): number {
    return Math.max(0, this.freeSlots - this.borrowedSlots)
  }

  /**
   * Updates the health estimates with the result of a request.
   *
   * @param result - result of the request
   * @param tookMs - time from sending the request to the end of the response
   * @param nowMs - the current time
   */
  recordResult (result: TargetResult, tookMs: number, nowMs: number): void {
    const { smoothing } = this.#options
    if (result === 'answered') {
      this.latencyMs = this.latencyMs === 0 ? tookMs : this.latencyMs + smoothing * (tookMs - this.latencyMs)
    }
    const success = result === 'answered' ? 1 : 0
    const weight = result === 'refused' ? smoothing / 2 : smoothing
    this.successShare = Math.max(MIN_SUCCESS_SHARE, this.successShare + weight * (success - this.successShare))
    this.lastResultMs = nowMs
    if (result === 'answered') this.#resetFailures()
    // A target that refuses is full, not broken: its success share drops at half weight, but it is not ejected.
    if (result === 'failed') this.#recordFailure(nowMs)
  }

  /**
   * Records a successful probe.
   *
   * @param nowMs - the current time
   */
  recordProbeSuccess (nowMs: number): void {
    this.lastResultMs = nowMs
  }

  /**
   * Tells whether the target is ejected.
   *
   * @param nowMs - the current time
   * @returns whether it is ejected now
   */
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
    // Requests sent before an ejection may still fail during it; only failures after it has ended lengthen the next one.
    if (this.isEjected(nowMs)) return
    this.ejectedUntilMs = nowMs + this.#options.baseEjectionMs * this.#ejectionFactor
    this.#ejectionFactor = Math.min(MAX_EJECTION_FACTOR, this.#ejectionFactor * 2)
  }
}
