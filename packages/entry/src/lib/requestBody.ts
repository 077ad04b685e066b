/**
 * Reads bodies with a limit on their size and time.
 *
 * @module
 */
import { Transform, type Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import { QuillscaleError } from '@quillscale/model'

/** Bodies up to this size are read whole before a slot is taken. */
const BUFFERED_BODY_BYTES = 64 * 1024

function tooLarge (limitBytes: number): QuillscaleError {
  return new QuillscaleError('body-too-large', `more than ${limitBytes} bytes`)
}

/**
 * Reads a whole body.
 *
 * @param request - whose
 * @param limitBytes - the largest size
 * @param timeoutMs - how long it may take
 * @returns the body
 * @throws QuillscaleError `body-too-large`, `slow-body` or `caller-gone`, none of them run
 * @internal
 */
export function readBody (request: IncomingMessage, limitBytes: number, timeoutMs: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    const fail = (error: Error): void => {
      clearTimeout(timer)
      request.removeAllListeners('data')
      request.pause()
      reject(error)
    }
    const timer = setTimeout(() => fail(new QuillscaleError('slow-body', `the body did not arrive within ${Math.round(timeoutMs)} ms`)), timeoutMs)
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > limitBytes) fail(tooLarge(limitBytes))
      else chunks.push(chunk)
    })
    request.on('end', () => {
      clearTimeout(timer)
      resolve(Buffer.concat(chunks))
    })
    request.on('close', () => { if (!request.complete) fail(new QuillscaleError('caller-gone', 'the caller left before its body was whole', { outcome: 'not-run' })) })
    request.on('error', () => {})
  })
}

/**
 * Passes a body on as it comes.
 *
 * @param request - whose
 * @param limitBytes - beyond it the stream fails, and the target sees a broken body
 * @returns the stream
 * @internal
 */
export function limitBody (request: IncomingMessage, limitBytes: number): Readable {
  let bytes = 0
  const limited = new Transform({
    transform (chunk: Buffer, _encoding, done) {
      bytes += chunk.length
      done(bytes > limitBytes ? tooLarge(limitBytes) : null, chunk)
    }
  })
  // A caller that leaves in the middle must not make its body look complete.
  request.on('close', () => { if (!request.complete) limited.destroy(new Error('the caller left before its body was whole')) })
  limited.on('error', () => request.unpipe(limited))
  request.pipe(limited)
  return limited
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
 * @param request - of a caller
 * @param terms - limits
 * @returns the whole body, the stream, or `null` without one
 * @throws QuillscaleError `body-too-large`, `slow-body` or `caller-gone`
 * @internal
 */
export async function takeBody (request: IncomingMessage, { limitBytes, isWholeNeeded, timeoutMs }: BodyTerms): Promise<Buffer | Readable | null> {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (length === undefined && encoding === undefined) return null
  if (length === '0') return Buffer.alloc(0)
  if (length !== undefined && Number(length) > limitBytes) throw new QuillscaleError('body-too-large', `${length} of ${limitBytes} bytes`)
  const isSmall = length !== undefined && Number(length) <= BUFFERED_BODY_BYTES
  if (!isSmall && !isWholeNeeded) return limitBody(request, limitBytes)
  return readBody(request, limitBytes, timeoutMs)
}
