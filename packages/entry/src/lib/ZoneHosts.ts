/**
 * The document of this zone's hosts, which only the holder of the zone's lease changes.
 *
 * @module
 */
import type { Clock } from '@quillscale/utils'
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { HostWork, ZoneHostsDocument } from '@quillscale/fleet'
import type { LeaseHolder } from '@quillscale/leases'
import { zoneHostsName, type FleetView } from './FleetView.js'
import type { StateStore } from './StateStore.js'
import { zoneToken } from './zoneToken.js'

/** What it works on. @internal */
export interface ZoneHostsOptions {
  readonly zone: AvailabilityZone
  readonly view: FleetView
  readonly store: StateStore
  readonly lease: LeaseHolder
  readonly clock: Clock
}

/** A host with what is being done to it. @internal */
export interface WorkingHost { readonly hostId: HostId, readonly work: HostWork }

/** This zone's hosts as they are agreed. @internal */
export class ZoneHosts {
  readonly #options: ZoneHostsOptions

  /** @param options - what it works on */
  constructor (options: ZoneHostsOptions) {
    this.#options = options
  }

  /** The right to act now, asked for before each act; `undefined` without the lease. */
  get token (): number | undefined {
    return zoneToken(this.#options.lease, this.#options.clock)
  }

  /** The newest known copy. */
  get document (): ZoneHostsDocument {
    return this.#options.view.zoneHosts(this.#options.zone)
  }

  /** Hosts that something is being done to. */
  get working (): WorkingHost[] {
    return this.#options.view.workIn(this.#options.zone)
  }

  /**
   * Changes the document; a holder that was replaced meanwhile changes nothing.
   *
   * @param change - makes the next document; `undefined` changes nothing. Called again after a lost race
   * @returns whether it was changed
   */
  async change (change: (document: ZoneHostsDocument) => ZoneHostsDocument | undefined): Promise<boolean> {
    const result = await this.#options.store.update(zoneHostsName(this.#options.zone), () => {
      const token = this.token
      const document = this.document
      if (token === undefined || document.fencingToken > token) return undefined
      const next = change(document)
      return next === undefined ? undefined : { ...next, revision: document.revision + 1, fencingToken: token }
    })
    return result === 'changed'
  }
}
