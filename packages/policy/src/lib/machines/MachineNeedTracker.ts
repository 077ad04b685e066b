/**
 * Tracks how many machines services need, from the demand that their schedulers report.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import { machinesNeeded, type ServiceDemand } from './planPools.js'

/** Machines that were needed within this time are not released. @public */
export const NEED_WINDOW_MS = 1200
/** Growth is measured over this window and extrapolated by the lead time of a move, at most to a multiple of the current need. */
const GROWTH_WINDOW_MS = 1000
const MOVE_LEAD_TIME_MS = 1500
const MAX_GROWTH_FACTOR = 2

interface Need { readonly machines: number, readonly atMs: number }

/** Keeps the recent machine needs of each service. @public */
export class MachineNeedTracker {
  readonly #needs = new Map<string, Need[]>()

  /** Records the current needs. @param demands - current demands @param nowMs - monotonic @returns the recent peak need by service */
  trackRecentPeak (demands: readonly ServiceDemand[], nowMs: number): Map<string, number> {
    return new Map(demands.map((demand) => {
      const needs = (this.#needs.get(demand.service) ?? []).filter(({ atMs }) => nowMs - atMs < NEED_WINDOW_MS)
      needs.push({ machines: machinesNeeded(demand), atMs: nowMs })
      this.#needs.set(demand.service, needs)
      return [demand.service, largestOf(needs.map(({ machines }) => machines))]
    }))
  }

  /** @param demands - recorded demands @param nowMs - monotonic @returns by service, the need when a machine ordered now will be ready */
  predictNeed (demands: readonly ServiceDemand[], nowMs: number): Map<string, number> {
    return new Map(demands.map(({ service }) => {
      const needs = this.#needs.get(service) ?? []
      const last = needs.at(-1)?.machines ?? 0
      const before = needs.find(({ atMs }) => nowMs - atMs <= GROWTH_WINDOW_MS)?.machines ?? last
      const growth = Math.max(0, last - before) / GROWTH_WINDOW_MS
      return [service, Math.min(Math.ceil(last * MAX_GROWTH_FACTOR), Math.round(last + growth * MOVE_LEAD_TIME_MS))]
    }))
  }
}
