/**
 * A loopback proxy in front of one address, whose connections can be delayed, reset, silenced or cut one way.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { listen } from '@quillscale/utils'

/** What happens to what is sent: `to` the target, `from` it, or both ways. @public */
export type LinkFault = 'none' | 'delay' | 'reset' | 'refuse' | 'silent' | 'silent-to' | 'silent-from'

interface ProxiedConnection { readonly inbound: Socket, readonly outbound: Socket }

const LOCAL = '127.0.0.1'
/** A slow link: well below what a call waits for. */
const LINK_DELAY_MS = 150

/** The proxy. @public */
export class FaultProxy {
  readonly #connections = new Set<ProxiedConnection>()
  readonly #server: Server = createServer((inbound) => this.#accept(inbound))
  readonly #targetPort: number
  #fault: LinkFault = 'none'

  /** @param targetPort - on the loopback address */
  constructor (targetPort: number) {
    this.#targetPort = targetPort
  }

  /** @returns the port at which it stands in for the target */
  async listen (): Promise<number> {
    return await listen(this.#server, 0, LOCAL)
  }

  /** @param fault - from now on; connections that were silent break when it ends, as after a cut */
  set (fault: LinkFault): void {
    const wasSilent = this.#fault.startsWith('silent')
    this.#fault = fault
    if (fault !== 'reset' && !wasSilent) return
    for (const { inbound, outbound } of this.#connections) {
      inbound.resetAndDestroy()
      outbound.destroy()
    }
  }

  /** Ends everything. */
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
    // A broken connection ends its other half; there is nothing else to do about it.
    source.on('error', () => sink.destroy())
    source.on('close', () => {
      sink.destroy()
      this.#connections.delete(sockets)
    })
  }
}
