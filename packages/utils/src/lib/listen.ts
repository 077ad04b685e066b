/**
 * Starts a server and waits until it accepts connections.
 *
 * @module
 */
import type { AddressInfo, Server } from 'node:net'

/**
 * Makes a server listen on a port.
 *
 * @param server - an HTTP or TCP server
 * @param port - the port; 0 picks a free one
 * @param address - an IP address of this machine
 * @returns the port that the server listens on
 * @throws the error that the server emits if it cannot listen, for example because the port is in use
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
