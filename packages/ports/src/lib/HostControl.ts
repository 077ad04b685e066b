/**
 * Interface for draining and rebooting hosts through the platform.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { Result } from '@quillscale/utils'
import type { HostDirectory } from './HostDirectory.js'
import type { KeyValueStore, PlatformError } from './KeyValueStore.js'

/** A fenced order for a host: the platform refuses it if it has seen a higher fencing token for that host. @public */
export interface FencedOrder {
  readonly hostId: HostId
  readonly fencingToken: number
}

/** The outcome of an order for a host. @public */
export type OrderOutcome = 'accepted' | 'fenced-off'

/** Drains, undrains and reboots hosts. @public */
export interface HostControl {
  /** @param order - the host to drain; the host itself then signals its targets to expect no more work @returns the outcome */
  drain(order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>>
  /** @param order - the host whose drain ends @returns the outcome */
  undrain(order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>>
  /**
   * @param order - the host to reboot and the version to boot
   * @returns the outcome; the order has no effect while the host is already rebooting, or if it already runs that version
   */
  reboot(order: FencedOrder & { readonly version: string }): Promise<Result<OrderOutcome, PlatformError>>
}

/** The services of the platform that entry hosts use. @public */
export interface Platform {
  readonly keyValueStore: KeyValueStore
  readonly hostDirectory: HostDirectory
  readonly hostControl: HostControl
}
