/**
 * Takes and gives back permits of services' ledgers for the hosts of this zone.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { ConfigurationReplica } from '@quillscale/configuration'
import { budgetLeft, countUnavailable, grantPermits, returnPermits, type PermitRequest } from '@quillscale/fleet'
import { ledgerName, type FleetView } from './FleetView.js'
import type { HostList } from './HostList.js'
import type { StateStore } from './StateStore.js'

/** What it works on. @public */
export interface PermitDeskOptions {
  readonly zone: AvailabilityZone
  readonly replica: ConfigurationReplica
  readonly hostList: HostList
  readonly view: FleetView
  readonly store: StateStore
  readonly clock: Clock
  /** The right to act now, `undefined` without it. */
  readonly token: () => number | undefined
}

/** A host that wants a permit of each of its services. @public */
export interface PermitWish { readonly hostId: HostId, readonly services: readonly string[] }
/** What a permit is for. @public */
export type PermitPurpose = PermitRequest['purpose']

/** Longer than a holder needs from taking a permit to writing the work that it is for. */
const ORPHAN_PERMIT_MS = 10_000

/** Permits of this zone's hosts. @public */
export class PermitDesk {
  readonly #options: PermitDeskOptions

  /** @param options - what it works on */
  constructor (options: PermitDeskOptions) {
    this.#options = options
  }

  /** @param service - its name @returns how many more of its hosts may become unavailable, below zero when failures took more */
  left (service: string): number {
    const { replica, view, clock } = this.#options
    const spec = replica.declarations('service').get(service)?.spec
    if (spec === undefined) return 0
    return budgetLeft(spec.budget, countUnavailable(service, view.reports, view.ledger(service), clock.wallMs()))
  }

  /**
   * Takes permits. A host that runs several services needs one of each; what it has of some is given back when one refuses.
   *
   * @param wishes - the hosts, the most important first
   * @param purpose - what for
   * @returns the hosts that have all they need
   */
  async take<T extends PermitWish> (wishes: readonly T[], purpose: PermitPurpose): Promise<T[]> {
    const refused = new Set<HostId>()
    const services = [...new Set(wishes.flatMap((wish) => wish.services))].sort()
    for (const service of services) {
      const wanting = wishes.filter((wish) => wish.services.includes(service) && !refused.has(wish.hostId))
      const granted = await this.#takeFrom(service, wanting, purpose)
      for (const { hostId } of wanting) if (!granted.has(hostId)) refused.add(hostId)
    }
    for (const service of services) {
      const toReturn = wishes.filter((wish) => refused.has(wish.hostId) && wish.services.includes(service)).map(({ hostId }) => hostId)
      const held = toReturn.filter((hostId) => this.#options.view.ledger(service).permits[hostId] !== undefined)
      if (held.length > 0) await this.giveBack(service, held)
    }
    return wishes.filter(({ hostId }) => !refused.has(hostId))
  }

  /** @param service - whose permits @param hostIds - of these hosts */
  async giveBack (service: string, hostIds: readonly HostId[]): Promise<void> {
    const { store, view } = this.#options
    await store.update(ledgerName(service), () => {
      const ledger = view.ledger(service)
      const next = returnPermits(ledger, hostIds)
      return next === ledger ? undefined : next
    })
  }

  /**
   * Gives back permits of this zone that no work stands behind: their holder vanished between two writes.
   *
   * @returns whether there are some that are too young to be sure of
   */
  async settleOrphans (): Promise<boolean> {
    const { zone, replica, view, clock } = this.#options
    let isAnyYoung = false
    for (const service of replica.declarations('service').keys()) {
      const idle = Object.entries(view.ledger(service).permits).filter(([hostId, permit]) =>
        permit.availabilityZone === zone && view.work(hostId as HostId) === undefined)
      const orphans = idle.filter(([, permit]) => clock.wallMs() - permit.grantedMs > ORPHAN_PERMIT_MS)
      isAnyYoung ||= idle.length > orphans.length
      if (orphans.length > 0) await this.giveBack(service, orphans.map(([hostId]) => hostId as HostId))
    }
    return isAnyYoung
  }

  async #takeFrom (service: string, wanting: readonly PermitWish[], purpose: PermitPurpose): Promise<Set<HostId>> {
    const { replica, view, store, zone, hostList, clock, token } = this.#options
    const budget = replica.declarations('service').get(service)?.spec.budget
    if (budget === undefined) return new Set()
    const requests = wanting.map(({ hostId }): PermitRequest => ({ hostId, availabilityZone: zone, rack: hostList.hosts.get(hostId)?.rack ?? '', purpose }))
    let granted: HostId[] = []
    const result = await store.update(ledgerName(service), () => {
      if (token() === undefined) return undefined
      const decision = grantPermits(service, budget, view.ledger(service), view.reports, requests, clock.wallMs())
      granted = decision.granted
      return granted.length === 0 ? undefined : decision.ledger
    })
    return new Set(result === 'changed' ? granted : [])
  }
}
