/**
 * Tells all zones what is unavailable in this one; budgets that span zones are counted by these reports.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { AvailabilityZone } from '@quillscale/model'
import { dueMaintenance, type ZoneReport } from '@quillscale/fleet'
import { declaredMaintenances } from './declaredMaintenances.js'
import { reportName } from './FleetView.js'
import { maintainableHosts, type MaintainableHostSources } from './maintainableHosts.js'
import type { StateStore } from './StateStore.js'

/** What it works on. @internal */
export interface ZoneReporterOptions extends MaintainableHostSources {
  readonly zone: AvailabilityZone
  readonly store: StateStore
  readonly clock: Clock
  /** The right to act now, `undefined` without it. */
  readonly token: () => number | undefined
}

const REPORT_EVERY_MS = 20_000

/** Writes the zone's report. @internal */
export class ZoneReporter {
  readonly #options: ZoneReporterOptions
  #reported: ZoneReport['services'] = {}

  /** @param options - what it works on */
  constructor (options: ZoneReporterOptions) {
    this.#options = options
  }

  /**
   * Tells all zones what is unavailable here: at once when it changes, else often enough to show that this zone is not cut off.
   *
   * @param isUnchanged - whether nothing that it depends on has changed since the last time
   */
  async report (isUnchanged: boolean): Promise<void> {
    const { zone, clock, store, view } = this.#options
    if (!isUnchanged) this.#reported = this.#unavailableHere()
    const services = this.#reported
    const nowMs = clock.wallMs()
    const known = view.reports.find((report) => report.availabilityZone === zone)
    const isFresh = known !== undefined && nowMs - known.atMs < REPORT_EVERY_MS
    if (isFresh && (isUnchanged || JSON.stringify(known.services) === JSON.stringify(services))) return
    await store.update(reportName(zone), () => {
      if (this.#options.token() === undefined) return undefined
      const current = view.reports.find((report) => report.availabilityZone === zone)
      return { revision: (current?.revision ?? 0) + 1, availabilityZone: zone, atMs: nowMs, services }
    })
  }

  #unavailableHere (): ZoneReport['services'] {
    const { registry, signals, view } = this.#options
    const maintenances = declaredMaintenances(this.#options.replica)
    const due = new Set(maintainableHosts(this.#options).filter((host) => dueMaintenance(host, maintenances) !== undefined).map(({ hostId }) => hostId))
    const services: ZoneReport['services'] = {}
    for (const name of [...registry.services.keys()].sort()) services[name] = { total: 0, unavailable: [], due: 0 }
    for (const [hostId, { host, services: running, isLeaving }] of registry.placed) {
      const isOut = isLeaving || signals.signalOf(hostId) !== undefined || view.work(hostId) !== undefined
      for (const name of running) {
        const state = services[name]
        if (state === undefined) continue
        state.total++
        if (isOut) state.unavailable.push([hostId, host.rack])
        if (due.has(hostId)) state.due++
      }
    }
    return services
  }
}
