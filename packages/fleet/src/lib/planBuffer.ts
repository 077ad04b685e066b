/**
 * Sizes the spare capacity from what must be survived together.
 *
 * @module
 */

/** A service as the decision sees it. @public */
export interface BufferedService {
  readonly name: string
  readonly slotsPerHost: number
  readonly hosts: number
  /** Slots in use at the busy time, as observed. */
  readonly demandSlots: number
  /** The relative error of earlier estimates of the demand, such as 0.1. */
  readonly demandError: number
  /** Hosts of the service in each failure domain. */
  readonly hostsByRack: ReadonlyMap<string, number>
  /** Hosts that maintenance may take at once. */
  readonly maintenanceHosts: number
}

/** What one held slot is for. @public */
export type BufferPromise = 'failure-domain' | 'maintenance' | 'demand-error'

/** Slots held for one service. @public */
export interface HeldSlots {
  readonly service: string
  readonly promise: BufferPromise
  readonly slots: number
}

/** The sizes of the buffer. @public */
export interface BufferPlan {
  readonly held: readonly HeldSlots[]
  /** Hosts that the services need of their own, beyond their demand. */
  readonly ownHosts: ReadonlyMap<string, number>
  /** Hosts that all services share: a failure domain is lost once, not once for each service. */
  readonly sharedHosts: number
  /** Hosts that would be held if nothing were shared. */
  readonly unsharedHosts: number
}

/** How fast the buffer follows. @public */
export interface BufferOptions {
  /** The largest share of a buffer that is given up in one step; growth is at once. 0.1 by default. */
  readonly maxShrinkShare: number
}

/** The documented defaults. @public */
export const BUFFER_DEFAULTS: BufferOptions = { maxShrinkShare: 0.1 }

function rackLosses (services: readonly BufferedService[]): Map<string, Map<string, number>> {
  const losses = new Map<string, Map<string, number>>()
  for (const { name, hostsByRack } of services) {
    for (const [rack, hosts] of hostsByRack) losses.set(rack, (losses.get(rack) ?? new Map<string, number>()).set(name, hosts))
  }
  return losses
}

/**
 * Sizes the buffer.
 *
 * Every service must be able to carry its demand, with its observed error, while its maintenance has hosts out and one
 * failure domain is lost. The domain is lost for all services at once but only one domain is: so the hosts that replace
 * it are shared, and their number is that of the domain whose loss leaves the services lacking most together.
 *
 * @param services - all services whose hosts can stand in for each other
 * @param previousSharedHosts - what was held so far, to shrink smoothly
 * @param options - how fast it follows
 * @returns what to hold, and which promise each slot serves
 * @public
 */
export function planBuffer (services: readonly BufferedService[], previousSharedHosts = 0, options: BufferOptions = BUFFER_DEFAULTS): BufferPlan {
  const held: HeldSlots[] = []
  const ownHosts = new Map<string, number>()
  const slack = new Map<string, number>()
  for (const service of services) {
    const errorSlots = Math.ceil(service.demandSlots * service.demandError)
    const carryingHosts = Math.ceil((service.demandSlots + errorSlots) / service.slotsPerHost)
    held.push({ service: service.name, promise: 'demand-error', slots: errorSlots })
    held.push({ service: service.name, promise: 'maintenance', slots: service.maintenanceHosts * service.slotsPerHost })
    ownHosts.set(service.name, service.maintenanceHosts + carryingHosts - Math.ceil(service.demandSlots / service.slotsPerHost))
    slack.set(service.name, service.hosts - service.maintenanceHosts - carryingHosts)
  }
  const lacking = [...rackLosses(services)].map(([rack, losses]) => {
    const byService = [...losses].map(([name, lost]) => ({ name, hosts: Math.max(0, lost - Math.max(0, slack.get(name) ?? 0)) }))
    return { rack, byService, hosts: byService.reduce((sum, { hosts }) => sum + hosts, 0) }
  })
  const worst = lacking.reduce((a, b) => b.hosts > a.hosts ? b : a, { rack: '', byService: [] as Array<{ name: string, hosts: number }>, hosts: 0 })
  for (const { name, hosts } of worst.byService) {
    const slotsPerHost = services.find((service) => service.name === name)?.slotsPerHost ?? 0
    if (hosts > 0) held.push({ service: name, promise: 'failure-domain', slots: hosts * slotsPerHost })
  }
  const smallest = Math.ceil(previousSharedHosts * (1 - options.maxShrinkShare))
  const worstOf = (name: string): number => Math.max(0, ...lacking.map(({ byService }) => byService.find((entry) => entry.name === name)?.hosts ?? 0))
  const unsharedHosts = services.reduce((sum, { name }) => sum + worstOf(name), 0)
  return { held, ownHosts, sharedHosts: Math.max(worst.hosts, smallest), unsharedHosts }
}
