/**
 * Reads the shared documents about hosts.
 *
 * @module
 */
import type { AvailabilityZone, HostId } from '@quillscale/model'
import {
  EMPTY_LEDGER, EMPTY_ZONE_HOSTS, ledgerSchema, zoneHostsSchema, zoneReportSchema,
  type HostWork, type Ledger, type WaveResults, type ZoneHost, type ZoneHostsDocument, type ZoneReport
} from '@quillscale/fleet'
import type { StateDocument, StateReplica } from './StateReplica.js'

const ZONE_HOSTS_PREFIX = 'hosts-'
const REPORT_PREFIX = 'report-'
const LEDGER_PREFIX = 'ledger-'

/** @param zone - a zone @returns the name of the document of its hosts @public */
export const zoneHostsName = (zone: AvailabilityZone): string => ZONE_HOSTS_PREFIX + zone
/** @param zone - a zone @returns the name of its report @public */
export const reportName = (zone: AvailabilityZone): string => REPORT_PREFIX + zone
/** @param service - a service @returns the name of its ledger @public */
export const ledgerName = (service: string): string => LEDGER_PREFIX + service

/** What is agreed about hosts, in all zones. @public */
export class FleetView {
  readonly #states: StateReplica
  readonly #zones = new Map<string, ZoneHostsDocument>()
  readonly #reports = new Map<string, ZoneReport>()
  readonly #working = new Map<HostId, HostWork>()
  readonly #pools = new Map<HostId, ZoneHost>()
  /** Grows with each change of a zone's hosts. */
  version = 0

  /**
   * @param states - the newest known copies
   * @param onChange - called when hosts or their work changed
   */
  constructor (states: StateReplica, onChange: () => void) {
    this.#states = states
    states.onChange((document) => { if (this.#follow(document)) onChange() })
  }

  /** @param hostId - of any zone @returns what is agreed about it */
  host (hostId: HostId): ZoneHost | undefined {
    return this.#pools.get(hostId)
  }

  /** @param hostId - of any zone @returns what is being done to it */
  work (hostId: HostId): HostWork | undefined {
    return this.#working.get(hostId)
  }

  /** @param zone - a zone @returns what is being done to its hosts */
  workIn (zone: AvailabilityZone): Array<{ readonly hostId: HostId, readonly work: HostWork }> {
    const { hosts } = this.zoneHosts(zone)
    return [...this.#working].filter(([hostId]) => Object.hasOwn(hosts, hostId)).map(([hostId, work]) => ({ hostId, work }))
  }

  /** @param zone - a zone @returns its document */
  zoneHosts (zone: AvailabilityZone): ZoneHostsDocument {
    return this.#zones.get(zoneHostsName(zone)) ?? EMPTY_ZONE_HOSTS
  }

  /** The documents of all zones. */
  get allZoneHosts (): ZoneHostsDocument[] {
    return [...this.#zones.values()]
  }

  /** The reports of all zones. */
  get reports (): ZoneReport[] {
    return [...this.#reports.values()]
  }

  /** @param service - a service @returns its permits */
  ledger (service: string): Ledger {
    const parsed = ledgerSchema.safeParse(this.#states.get(ledgerName(service))?.value)
    return parsed.success ? parsed.data : EMPTY_LEDGER
  }

  /** @returns results of each wave over all zones */
  waveResults (): Map<string, WaveResults> {
    const results = new Map<string, { done: number, running: number, failedRacks: string[] }>()
    const resultOf = (wave: string): { done: number, running: number, failedRacks: string[] } => {
      const known = results.get(wave) ?? { done: 0, running: 0, failedRacks: [] }
      results.set(wave, known)
      return known
    }
    for (const zone of this.#zones.values()) {
      for (const [wave, { done, failedRacks }] of Object.entries(zone.waves)) {
        resultOf(wave).done += done
        resultOf(wave).failedRacks.push(...failedRacks)
      }
      for (const { work } of Object.values(zone.hosts)) {
        if (work?.maintenance !== undefined && work.phase !== 'failed') resultOf(`${work.maintenance}@${work.wantedVersion ?? ''}`).running++
      }
    }
    return results
  }

  #follow ({ name, value }: StateDocument): boolean {
    if (name.startsWith(REPORT_PREFIX)) {
      const report = zoneReportSchema.safeParse(value)
      if (report.success) this.#reports.set(name, report.data)
      return false
    }
    if (!name.startsWith(ZONE_HOSTS_PREFIX)) return false
    const parsed = zoneHostsSchema.safeParse(value)
    if (!parsed.success) return false
    this.version++
    const previous = this.#zones.get(name)
    this.#zones.set(name, parsed.data)
    for (const hostId of Object.keys(previous?.hosts ?? {})) {
      this.#pools.delete(hostId as HostId)
      this.#working.delete(hostId as HostId)
    }
    for (const [hostId, host] of Object.entries(parsed.data.hosts)) {
      this.#pools.set(hostId as HostId, host)
      if (host.work !== undefined) this.#working.set(hostId as HostId, host.work)
    }
    return true
  }
}
