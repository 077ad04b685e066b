/**
 * Writes refusals: the kind of error, and what is known of the request's outcome.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import { ERROR_ANSWERS, type ErrorKind, type Outcome, type QuillscaleError } from '@quillscale/model'
import { HEADER } from './httpHeaders.js'

/** A connection that can be written to or cut. @internal */
export type WritableSocket = NodeJS.WritableStream & { destroy(): void, writable: boolean }

/** What a refused caller or operator reads. @internal */
export interface RefusalBody { readonly error: ErrorKind, readonly outcome: Outcome, readonly detail: string, readonly meaning: string }

/** @param error - why something is refused @returns what is told of it @internal */
export function refusalBody ({ kind, outcome, message }: QuillscaleError): RefusalBody {
  return { error: kind, outcome, detail: message, meaning: ERROR_ANSWERS[kind].meaning }
}

/**
 * Refuses a request; an answer that has begun is cut instead.
 *
 * @param response - to the caller
 * @param error - why, with the outcome
 * @param requestId - the refusal names it
 * @param isLast - whether the connection ends with it
 * @internal
 */
export function refuseRequest (response: ServerResponse, error: QuillscaleError, requestId: string, isLast: boolean): void {
  if (response.headersSent || response.destroyed) {
    if (!response.writableFinished) response.destroy()
    return
  }
  const retryAfterMs = error.options.retryAfterMs
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [HEADER.outcome]: error.outcome,
    [HEADER.errorKind]: error.kind,
    [HEADER.requestId]: requestId,
    ...(retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) })
  }
  const isBodyUnread = !response.req.complete
  if (isBodyUnread || isLast) headers.connection = 'close'
  const body = JSON.stringify(refusalBody(error))
  response.writeHead(error.statusCode, { ...headers, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

/**
 * Refuses what could not be read as a request. It is answered only when no request of the connection is being worked on.
 *
 * @param error - of the parser
 * @param socket - the connection; it ends here
 * @param isBusy - whether a request of it is being worked on
 * @internal
 */
export function refuseUnreadable (error: NodeJS.ErrnoException, socket: WritableSocket, isBusy: boolean): void {
  if (error.code === 'ECONNRESET' || !socket.writable || isBusy) {
    socket.destroy()
    return
  }
  const kind = error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'slow-body' : 'malformed-request'
  const { statusCode, outcome, meaning } = ERROR_ANSWERS[kind]
  const body = JSON.stringify({ error: kind, outcome, meaning })
  socket.end(`HTTP/1.1 ${statusCode} Refused\r\nconnection: close\r\ncontent-type: application/json\r\n${HEADER.outcome}: ${outcome}\r\n${HEADER.errorKind}: ${kind}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}
