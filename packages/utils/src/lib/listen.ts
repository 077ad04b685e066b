/**
 * Starts a server and waits until it listens.
 *
 * @module
 */
import type { AddressInfo, Server } from 'node:net'

/**
 * Listens.
 *
 * @param server - HTTP or TCP
 * @param port - 0 takes a free one
 * @param address - an IP number of this machine
 * @returns the port
 * @throws what the server emits when it cannot listen, such as that the port is taken
 * @public
 */
export function listen (server: Server, port: number, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}
