/**
 * Joins the HTTP adapters.
 *
 * @module
 */
import type { Platform } from '@quillscale/ports'
import { HttpHosts } from './HttpHosts.js'
import { HttpKeyValueStore } from './HttpKeyValueStore.js'
import { PlatformClient, type PlatformHttpOptions } from './PlatformClient.js'

/**
 * Makes the platform from one endpoint.
 *
 * @param options - how the platform is reached
 * @returns the platform and a way to close its connections
 * @public
 */
export function createHttpPlatform (options: PlatformHttpOptions): Platform & { close: () => Promise<void> } {
  const client = new PlatformClient(options)
  const hosts = new HttpHosts(client)
  return { keyValueStore: new HttpKeyValueStore(client), hostDirectory: hosts, hostControl: hosts, close: () => client.close() }
}
