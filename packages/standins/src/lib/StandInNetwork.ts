/**
 * A stand-in for the network between entry hosts: relays their connections, and partitions availability zones.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** An entry host as a node of the network. @public */
export interface NetworkNode {
  readonly availabilityZone: string
  /** The host's own IP address, which it also connects from. */
  readonly address: string
  /** The port on which it listens. */
  readonly port: number
  /** The port of the relay through which others reach it. */
  readonly relayPort: number
}

interface RelayedConnection { readonly zones: readonly [string, string], readonly sockets: readonly [Socket, Socket] }

/**
 * Relays connections between nodes. A cut holds back all data without closing connections, as a failed switch does; healing closes the connections
 * that were cut.
 *
 * @public
 */
export class StandInNetwork {
  readonly #zoneOf = new Map<string, string>()
  readonly #connections = new Set<RelayedConnection>()
  readonly #servers: Server[] = []
  readonly #cutZones = new Set<string>()

  /** Starts a relay for a node. @param node - the entry host that joins */
  async add (node: NetworkNode): Promise<void> {
    this.#zoneOf.set(node.address, node.availabilityZone)
    const server = createServer((inbound) => this.#relay(inbound, node))
    this.#servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(node.relayPort, node.address, resolve)
    })
  }

  /** Cuts a zone off from all others. @param availabilityZone - the zone */
  cut (availabilityZone: string): void {
    this.#cutZones.add(availabilityZone)
    for (const { zones, sockets } of this.#connections) if (this.#isCut(zones)) for (const socket of sockets) socket.pause()
  }

  /** Ends the cut of a zone. @param availabilityZone - the zone */
  heal (availabilityZone: string): void {
    const broken = [...this.#connections].filter(({ zones }) => this.#isCut(zones))
    this.#cutZones.delete(availabilityZone)
    for (const { sockets } of broken) for (const socket of sockets) socket.destroy()
  }

  /** Stops all relays and closes all connections. */
  close (): void {
    for (const server of this.#servers) server.close()
    for (const { sockets } of this.#connections) for (const socket of sockets) socket.destroy()
  }

  #isCut ([from, to]: readonly [string, string]): boolean {
    return from !== to && (this.#cutZones.has(from) || this.#cutZones.has(to))
  }

  #relay (inbound: Socket, node: NetworkNode): void {
    const from = this.#zoneOf.get(inbound.remoteAddress ?? '') ?? 'outside'
    const outbound = connect({ host: node.address, port: node.port })
    const link: RelayedConnection = { zones: [from, node.availabilityZone], sockets: [inbound, outbound] }
    this.#connections.add(link)
    this.#forward(inbound, outbound, link)
    this.#forward(outbound, inbound, link)
    if (this.#isCut(link.zones)) for (const socket of link.sockets) socket.pause()
  }

  #forward (source: Socket, sink: Socket, link: RelayedConnection): void {
    source.on('data', (chunk) => { sink.write(chunk) })
    source.on('error', () => {})
    source.on('close', () => {
      sink.destroy()
      this.#connections.delete(link)
    })
  }
}
