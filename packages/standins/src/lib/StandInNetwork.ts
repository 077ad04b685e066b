/**
 * A stand-in for the network between entry hosts: relays their links, and cuts them between zones.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** One entry host's node in the network. @public */
export interface NetworkNode {
  readonly availabilityZone: string
  /** Own IP number, from which it also dials. */
  readonly address: string
  /** Where it listens. */
  readonly port: number
  /** Where others reach it. */
  readonly relayPort: number
}

interface RelayedConnection { readonly zones: readonly [string, string], readonly sockets: readonly [Socket, Socket] }

/** The network. A cut swallows what is sent, as a failed switch does; healing breaks the old connections. @public */
export class StandInNetwork {
  readonly #zoneOf = new Map<string, string>()
  readonly #connections = new Set<RelayedConnection>()
  readonly #servers: Server[] = []
  readonly #cutZones = new Set<string>()

  /** @param node - an entry host that joins */
  async add (node: NetworkNode): Promise<void> {
    this.#zoneOf.set(node.address, node.availabilityZone)
    const server = createServer((inbound) => this.#relay(inbound, node))
    this.#servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(node.relayPort, node.address, resolve)
    })
  }

  /** @param availabilityZone - cut off from all others */
  cut (availabilityZone: string): void {
    this.#cutZones.add(availabilityZone)
    for (const { zones, sockets } of this.#connections) if (this.#isCut(zones)) for (const socket of sockets) socket.pause()
  }

  /** @param availabilityZone - joined to the others again */
  heal (availabilityZone: string): void {
    const broken = [...this.#connections].filter(({ zones }) => this.#isCut(zones))
    this.#cutZones.delete(availabilityZone)
    for (const { sockets } of broken) for (const socket of sockets) socket.destroy()
  }

  /** Ends everything. */
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
