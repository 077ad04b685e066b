/**
 * What services need of machines, now, lately and soon, by what their schedulers write.
 *
 * @module
 */
import { machinesNeeded, type ServiceDemand } from './planPools.js'

/** Room that was needed so lately is not given back. @public */
export const NEED_WINDOW_MS = 1200
/** Growth of a need is measured over this, and extended by how long a move takes until the machine works; at most by this factor. */
const GROWTH_WINDOW_MS = 1000
const MOVE_LEAD_TIME_MS = 1500
const MAX_GROWTH_FACTOR = 2

interface Need { readonly machines: number, readonly atMs: number }

/** The needs. @public */
export class MachineNeedTracker {
  readonly #needs = new Map<string, Need[]>()

  /** Takes note of the present needs. @param demands - present @param nowMs - monotonic @returns by service, the most that was needed lately */
  trackRecentPeak (demands: readonly ServiceDemand[], nowMs: number): Map<string, number> {
    return new Map(demands.map((demand) => {
      const needs = (this.#needs.get(demand.service) ?? []).filter(({ atMs }) => nowMs - atMs < NEED_WINDOW_MS)
      needs.push({ machines: machinesNeeded(demand), atMs: nowMs })
      this.#needs.set(demand.service, needs)
      return [demand.service, Math.max(...needs.map(({ machines }) => machines))]
    }))
  }

  /** @param demands - present, taken note of @param nowMs - monotonic @returns by service, what a growing need will be when a machine ordered now works */
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
