/**
 * The replicas from which the scheduler of a service learns what it may start: registrations of workers, and the inbox.
 *
 * @module
 */
import type { KeyValueStore } from '@quillscale/ports'
import type { PrefixChange, PrefixReplica } from '@quillscale/leases'
import type { Clock } from '@quillscale/utils'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'
import type { SchedulerBounds } from '../duties/ServiceSchedulerOptions.js'
import { createReplica } from './createReplica.js'
import { FreshnessGate } from './FreshnessGate.js'
import { inboxPrefix } from './storeKeys.js'

/** Dependencies of {@link ServiceReplicas}. @public */
export interface ServiceReplicasOptions {
  readonly service: string
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly bounds: () => Pick<SchedulerBounds, 'cancelMs' | 'drainMs'>
  /** Prefix under which workers register themselves. */
  readonly workersPrefix: string
  readonly onRegistrations: () => void
  readonly onInbox: (change: PrefixChange) => void
}

/** Minimum time between two updates of the registrations, which may wait longer than new jobs. */
const REGISTRATIONS_INTERVAL_MS = 150
const INBOX_INTERVAL_MS = 20

/** Replicates the registrations and the inbox of a service. @public */
export class ServiceReplicas {
  readonly registrations: PrefixReplica
  readonly inbox: PrefixReplica
  /** Holds starts back while one of the replicas may be out of date. */
  readonly freshness: FreshnessGate

  /** @param options - the service, and what is called with changes */
  constructor (options: ServiceReplicasOptions) {
    const { service, store, clock, log, bounds, workersPrefix, onRegistrations, onInbox } = options
    this.registrations = createReplica(log, {
      store, clock, prefix: workersPrefix, maxAgeMs: bounds().drainMs, spacingMs: REGISTRATIONS_INTERVAL_MS, onChange: onRegistrations
    })
    this.inbox = createReplica(log, {
      store, clock, prefix: inboxPrefix(service), maxAgeMs: bounds().cancelMs, spacingMs: INBOX_INTERVAL_MS, onChange: onInbox
    })
    this.freshness = new FreshnessGate({
      ...options,
      sources: [
        { name: 'registrations', replica: this.registrations, boundMs: () => bounds().drainMs },
        { name: 'inbox', replica: this.inbox, boundMs: () => bounds().cancelMs }
      ]
    })
  }

  /** Whether both have been listed at least once. */
  get areListed (): boolean {
    return this.registrations.isListed && this.inbox.isListed
  }
}
