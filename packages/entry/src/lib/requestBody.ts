/**
 * Reads bodies with a limit on their size and time.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { collectBody, CompactBody, type ClientConnection, type IngressBudget } from '@quillscale/ingress'
import { delay, type Clock } from '@quillscale/utils'
import { QuillscaleError } from '@quillscale/model'

/** Bodies up to this size are read whole before a slot is taken. */
const BUFFERED_BODY_BYTES = 64 * 1024

function tooLarge (limitBytes: number): QuillscaleError {
  return new QuillscaleError('body-too-large', `more than ${limitBytes} bytes`)
}

/** A request, and what it counts against. @internal */
export interface BodyOwner {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly budget: IngressBudget
  readonly clock: Clock
}

/** @returns the connection of a request @throws QuillscaleError `caller-gone` if it was closed */
function connectionOf ({ request, budget }: BodyOwner): ClientConnection {
  const connection = budget.connectionOf(request.socket)
  if (connection === undefined) throw callerGone()
  return connection
}

const callerGone = (): QuillscaleError => new QuillscaleError('caller-gone', 'the caller left before its body was whole', { outcome: 'not-run' })

/**
 * Reads a whole body.
 *
 * @param owner - whose
 * @param limitBytes - the largest size
 * @param timeoutMs - how long it may take
 * @returns the body
 * @throws QuillscaleError `body-too-large`, `slow-body` or `caller-gone`, none of them run
 * @internal
 */
export async function readBody (owner: BodyOwner, limitBytes: number, timeoutMs: number): Promise<Buffer> {
  const collected = collectBody({ ...owner, connection: connectionOf(owner) }, limitBytes)
  const stop = new AbortController()
  const body = await Promise.race([collected, delay(timeoutMs, stop.signal).then(() => 'slow' as const)])
  stop.abort()
  if (body === 'slow') throw new QuillscaleError('slow-body', `the body did not arrive within ${Math.round(timeoutMs)} ms`)
  if (body === 'too-large') throw tooLarge(limitBytes)
  if (body === 'broken') throw callerGone()
  return body
}

/**
 * Passes a body on as it comes.
 *
 * @param owner - whose
 * @param limitBytes - beyond it the stream fails, and the target sees a broken body
 * @returns the stream
 * @internal
 */
export function limitBody (owner: BodyOwner, limitBytes: number): Readable {
  const body = new CompactBody({ ...owner, connection: connectionOf(owner), limitBytes, createTooLargeError: () => tooLarge(limitBytes) })
  body.on('error', () => {})
  return body
}

/** How a body is to be taken. @internal */
export interface BodyTerms {
  readonly limitBytes: number
  /** Whether it has to be known whole, whatever its size. */
  readonly isWholeNeeded: boolean
  /** How long a body that is read whole may take. */
  readonly timeoutMs: number
}

/**
 * Takes the body of a request that goes to a target: small ones are read before a slot is taken, so that a slow caller
 * holds none; larger ones stream.
 *
 * @param owner - the request of a caller
 * @param terms - limits
 * @returns the whole body, the stream, or `null` without one
 * @throws QuillscaleError `body-too-large`, `slow-body` or `caller-gone`
 * @internal
 */
export async function takeBody (owner: BodyOwner, { limitBytes, isWholeNeeded, timeoutMs }: BodyTerms): Promise<Buffer | Readable | null> {
  const { 'content-length': length, 'transfer-encoding': encoding } = owner.request.headers
  if (length === undefined && encoding === undefined) return null
  if (length === '0') return Buffer.alloc(0)
  if (length !== undefined && Number(length) > limitBytes) throw new QuillscaleError('body-too-large', `${length} of ${limitBytes} bytes`)
  const isSmall = length !== undefined && Number(length) <= BUFFERED_BODY_BYTES
  if (!isSmall && !isWholeNeeded) return limitBody(owner, limitBytes)
  return await readBody(owner, limitBytes, timeoutMs)
}
