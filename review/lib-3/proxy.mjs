// A TCP proxy in front of one port, whose open channels can go silent for good without a reset, while new ones work.
import { connect, createServer } from 'node:net'

/** Forwards channels until they are silenced. */
export class ChannelProxy {
  #channels = new Set()
  #targetPort
  #server = createServer((inbound) => this.#accept(inbound))

  constructor (targetPort) {
    this.#targetPort = targetPort
  }

  async listen () {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    return this.#server.address().port
  }

  /** Silences each open channel with a probability. @returns how many of how many */
  silence (share) {
    const open = [...this.#channels].filter(({ isSilent }) => !isSilent)
    const struck = open.filter(() => Math.random() < share)
    for (const channel of struck) channel.isSilent = true
    return { silenced: struck.length, open: open.length }
  }

  close () {
    this.#server.close()
    for (const { inbound, outbound } of this.#channels) {
      inbound.destroy()
      outbound.destroy()
    }
  }

  #accept (inbound) {
    const outbound = connect(this.#targetPort, '127.0.0.1')
    const channel = { inbound, outbound, isSilent: false }
    this.#channels.add(channel)
    for (const [source, sink] of [[inbound, outbound], [outbound, inbound]]) {
      source.on('data', (chunk) => { if (!channel.isSilent && !sink.destroyed) sink.write(chunk) })
      source.on('error', () => {})
      source.on('close', () => {
        this.#channels.delete(channel)
        sink.destroy()
      })
    }
  }
}
