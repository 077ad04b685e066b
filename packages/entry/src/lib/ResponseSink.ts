/**
 * Passes the answer of a target on to the caller as it arrives.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import { HEADER } from './httpHeaders.js'
import type { AnswerSink } from './TargetClient.js'

/** Passes an answer on to the caller. @internal */
export class ResponseSink implements AnswerSink {
  /**
   * @param response - to the caller
   * @param requestId - the answer names it
   */
  constructor (readonly response: ServerResponse, readonly requestId: string) {}

  start (statusCode: number, headers: string[]): void {
    this.response.writeHead(statusCode, [...headers, HEADER.outcome, 'ran', HEADER.requestId, this.requestId])
  }

  write (chunk: Buffer): boolean {
    return this.response.write(chunk) || this.response.destroyed
  }

  whenWritable (resume: () => void): void {
    this.response.once('drain', resume)
  }

  end (): void {
    this.response.end()
  }
}
