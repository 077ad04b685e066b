/**
 * Stops reading a connection for some time.
 *
 * @module
 */
import type { Socket } from 'node:net'

/**
 * A socket of Node.js's HTTP server, with fields that are not part of its documented interface. While `_paused` is set, reading a body does not resume the
 * socket, and the server pauses the parser once it has parsed what was read.
 */
type PausableSocket = Socket & { _paused?: boolean, readonly parser?: { resume?: () => void } | null }

/** Reads a connection on after the longest of the times for which it must not be read. */
export class ReadingPause {
  readonly #socket: PausableSocket
  #untilMs = -Infinity
  #timer: NodeJS.Timeout | undefined

  /** @param socket - the connection */
  constructor (socket: Socket) {
    this.#socket = socket
  }

  /**
   * Reads no more until a time; what was read before is still handled.
   *
   * @param untilMs - monotonic time
   * @param nowMs - monotonic time
   */
  extend (untilMs: number, nowMs: number): void {
    this.#untilMs = Math.max(this.#untilMs, untilMs)
    if (this.#timer !== undefined) return
    this.#socket._paused = true
    this.#socket.pause()
    this.#wait(nowMs)
  }

  /** Ends the pause of a connection that is closed. */
  end (): void {
    clearTimeout(this.#timer)
  }

  #wait (nowMs: number): void {
    const dueMs = this.#untilMs
    this.#timer = setTimeout(() => {
      if (this.#untilMs > dueMs) return this.#wait(dueMs)
      this.#timer = undefined
      this.#socket._paused = false
      this.#socket.parser?.resume?.()
      this.#socket.resume()
    }, dueMs - nowMs)
    this.#timer.unref()
  }
}
