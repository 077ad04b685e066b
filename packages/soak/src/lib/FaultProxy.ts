/**
 * A loopback TCP proxy in front of one port. Its connections can be delayed, reset, or silenced in one or both directions.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { listen } from '@quillscale/utils'

/**
 * The fault that a link shows. Silent links drop all data: `silent-to` drops what is sent to the target, `silent-from` what the target sends,
 * and `silent` both.
 *
 * @public
 */
export type LinkFault = 'none' | 'delay' | 'reset' | 'refuse' | 'silent' | 'silent-to' | 'silent-from'

interface ProxiedConnection { readonly inbound: Socket, readonly outbound: Socket }

const LOCAL = '127.0.0.1'
/** Delay of each chunk on a slow link, well below the timeout of a call. */
const LINK_DELAY_MS = 150

/** Forwards TCP connections to a target port and injects link faults. @public */
export class FaultProxy {
  readonly #connections = new Set<ProxiedConnection>()
  readonly #server: Server = createServer((inbound) => this.#accept(inbound))
  readonly #targetPort: number
  #fault: LinkFault = 'none'

  /** @param targetPort - port of the target on the loopback address */
  constructor (targetPort: number) {
    this.#targetPort = targetPort
  }

  /** Starts the proxy. @returns the port on which it accepts connections for the target */
  async listen (): Promise<number> {
    return await listen(this.#server, 0, LOCAL)
  }

  /**
   * Changes the fault of the link. Connections that were silent are reset, as those of a partitioned network are after it heals.
   *
   * @param fault - the fault that applies from now on
   */
  set (fault: LinkFault): void {
    const wasSilent = this.#fault.startsWith('silent')
    this.#fault = fault
    if (fault !== 'reset' && !wasSilent) return
    for (const { inbound, outbound } of this.#connections) {
      inbound.resetAndDestroy()
      outbound.destroy()
    }
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.close()
    for (const { inbound, outbound } of this.#connections) {
      inbound.destroy()
      outbound.destroy()
    }
  }

  #accept (inbound: Socket): void {
    if (this.#fault === 'reset' || this.#fault === 'refuse') {
      inbound.resetAndDestroy()
      return
    }
    const outbound = connect(this.#targetPort, LOCAL)
    const sockets: ProxiedConnection = { inbound, outbound }
    this.#connections.add(sockets)
    this.#forward(inbound, outbound, 'silent-to', sockets)
    this.#forward(outbound, inbound, 'silent-from', sockets)
  }

  #forward (source: Socket, sink: Socket, oneWay: LinkFault, sockets: ProxiedConnection): void {
    source.on('data', (chunk) => {
      if (this.#fault === 'silent' || this.#fault === oneWay) return
      if (this.#fault === 'delay') setTimeout(() => { if (!sink.destroyed) sink.write(chunk) }, LINK_DELAY_MS)
      else sink.write(chunk)
    })
    // An error on one side closes the other side as well.
    source.on('error', () => sink.destroy())
    source.on('close', () => {
      sink.destroy()
      this.#connections.delete(sockets)
    })
  }
}
