/**
 * The platform's list of hosts and its orders over HTTP and JSON.
 *
 * @module
 */
import { z } from 'zod'
import type { Result } from '@quillscale/utils'
import { isAvailabilityZone, isHostId, type AvailabilityZone, type HostId } from '@quillscale/model'
import type { FencedOrder, HostControl, HostDirectory, ListedHost, OrderOutcome, PlatformError } from '@quillscale/ports'
import type { PlatformClient } from './PlatformClient.js'

const listedHostSchema = z.object({
  hostId: z.custom<HostId>(isHostId),
  availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone),
  rack: z.string(),
  role: z.enum(['worker', 'entry']).default('worker'),
  state: z.enum(['live', 'leaving', 'gone']),
  address: z.string(),
  port: z.number().int(),
  version: z.string()
})
const hostsSchema = z.object({ hosts: z.array(listedHostSchema) })
const orderSchema = z.object({ outcome: z.enum(['accepted', 'fenced-off']) })

/** Hosts over HTTP. @public */
export class HttpHosts implements HostDirectory, HostControl {
  readonly #client: PlatformClient

  /** @param client - one endpoint */
  constructor (client: PlatformClient) {
    this.#client = client
  }

  async listHosts (availabilityZone: AvailabilityZone): Promise<Result<readonly ListedHost[], PlatformError>> {
    const path = `/v1/hosts?availabilityZone=${encodeURIComponent(availabilityZone)}`
    const answer = await this.#client.call('listHosts', path, undefined, hostsSchema)
    return answer.map((list) => list.hosts)
  }

  drain (order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#order('drain', order)
  }

  undrain (order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#order('undrain', order)
  }

  reboot (order: FencedOrder & { version: string }): Promise<Result<OrderOutcome, PlatformError>> {
    return this.#order('reboot', order)
  }

  async #order (kind: 'drain' | 'undrain' | 'reboot', order: FencedOrder): Promise<Result<OrderOutcome, PlatformError>> {
    const { hostId, ...body } = order
    const answer = await this.#client.call(kind, `/v1/hosts/${encodeURIComponent(hostId)}/${kind}`, body, orderSchema)
    return answer.map((order) => order.outcome)
  }
}
