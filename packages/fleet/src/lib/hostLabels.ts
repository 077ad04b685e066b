/**
 * Joins what the platform lists of a host with what operators declare.
 *
 * @module
 */
import type { HostSpec, Labels } from '@quillscale/model'
import type { ListedHost } from '@quillscale/ports'

/**
 * Makes the labels that selectors see.
 *
 * @param host - as the platform lists it
 * @param declared - what operators declare of it, if anything
 * @param pool - its pool, for selectors of services
 * @returns declared labels; the names `host`, `availabilityZone`, `rack`, `version` and `pool` are the platform's and the system's
 * @public
 */
export function hostLabels (host: ListedHost, declared: HostSpec | undefined, pool?: string): Labels {
  return {
    ...declared?.labels,
    host: host.hostId,
    availabilityZone: host.availabilityZone,
    rack: host.rack,
    version: host.version,
    ...(pool === undefined ? {} : { pool })
  }
}
