/**
 * Collects the answer of a target in memory, for requests whose answer is kept for the caller's next try.
 *
 * @module
 */
import type { CachedResponse } from '@quillscale/once'
import type { AnswerSink } from './TargetClient.js'

/** Collects an answer that is kept. @public */
export class CollectingSink implements AnswerSink {
  #statusCode = 0
  #headers: string[] = []
  readonly #chunks: Buffer[] = []

  start (statusCode: number, headers: string[]): void {
    this.#statusCode = statusCode
    this.#headers = headers
  }

  write (chunk: Buffer): boolean {
    this.#chunks.push(chunk)
    return true
  }

  whenWritable (resume: () => void): void {
    resume()
  }

  end (): void {}

  /** The whole answer. */
  get answer (): CachedResponse {
    const headers: Array<readonly [string, string]> = []
    for (let i = 0; i < this.#headers.length; i += 2) headers.push([this.#headers[i] as string, this.#headers[i + 1] as string])
    return { statusCode: this.#statusCode, headers, body: Buffer.concat(this.#chunks) }
  }
}
