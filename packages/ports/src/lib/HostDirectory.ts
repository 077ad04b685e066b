/**
 * Interface to the platform's list of hosts, which lags behind their actual state.
 *
 * @module
 */
import type { AvailabilityZone, HostId } from '@quillscale/model'
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'

/** An entry in the platform's list of hosts. A change may be listed late but never early: a host listed as `gone` has stopped. @public */
export interface ListedHost {
  readonly hostId: HostId
  readonly availabilityZone: AvailabilityZone
  readonly rack: string
  /** `entry` for the hosts of this system, `worker` for hosts of targets. */
  readonly role: 'worker' | 'entry'
  readonly state: 'live' | 'leaving' | 'gone'
  /** The address on which its targets listen. */
  readonly address: string
  readonly port: number
  /** The software version the host runs, which maintenance changes. */
  readonly version: string
}

/** Lists the hosts that the platform knows. @public */
export interface HostDirectory {
  /** @param availabilityZone - the zone to list @returns its hosts */
  listHosts(availabilityZone: AvailabilityZone): Promise<Result<readonly ListedHost[], PlatformError>>
}
