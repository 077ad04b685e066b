/**
 * Sends one request to one target and tells exactly what became of it.
 *
 * @module
 */
import { Pool, type Dispatcher } from 'undici'
import type { Readable } from 'node:stream'
import type { ErrorKind } from '@quillscale/model'
import type { CallerConnection, TargetAddress, TargetResult } from '@quillscale/routing'
import { HEADER, endToEndHeaders, rawHeader } from './httpHeaders.js'

/** Takes an answer as it arrives. @public */
export interface AnswerSink {
  /** @param statusCode - the target's @param headers - end-to-end, names and values in turn @param bodyLength - when the target states it */
  start(statusCode: number, headers: string[], bodyLength: number | undefined): void
  /** @param chunk - the next part @returns false when it wants no more for now */
  write(chunk: Buffer): boolean
  /** @param resume - called when it wants more again */
  whenWritable(resume: () => void): void
  /** The answer is whole. */
  end(): void
}

/** A request to one target. @public */
export interface TargetRequest {
  readonly method: string
  readonly path: string
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Readable | Buffer | null
  readonly requestId: string
  readonly requiresIdEcho: boolean
  /** How long the answer may take. */
  readonly timeoutMs: number
  readonly caller: CallerConnection
  /** Whether an answer with this status goes to the sink; a false one is read and dropped. */
  readonly isWanted: (statusCode: number, isRefusal: boolean) => boolean
}

/** What became of a request. @public */
export interface SendResult {
  /** `not-sent`: no byte can have reached the target. */
  readonly result: TargetResult | 'not-sent'
  readonly statusCode: number | undefined
  /** Whether the sink was started. */
  readonly isPassedOn: boolean
  readonly errorKind: ErrorKind | undefined
  /** The target said that it leaves. */
  readonly isLeaving: boolean
  readonly detail: string
}

const BODILESS = new Set([204, 304])
const SERVER_ERROR = 500

/** What is learned while one answer arrives. */
class Exchange implements Dispatcher.DispatchHandler {
  #isStarted = false
  #isPassedOn = false
  #isLeaving = false
  #isRefusal = false
  #statusCode: number | undefined
  #problem: { kind: ErrorKind, detail: string } | undefined
  #abort: ((error?: Error) => void) | undefined
  readonly #timer: NodeJS.Timeout
  readonly #onGone = (): void => this.#give('caller-gone', 'the caller left')

  constructor (
    readonly request: TargetRequest, readonly sink: AnswerSink, readonly done: (result: SendResult) => void
  ) {
    this.#timer = setTimeout(() => this.#give('target-timeout', `no whole answer within ${Math.round(request.timeoutMs)} ms`), request.timeoutMs)
    request.caller.addDisconnectListener(this.#onGone)
  }

  /** Called right before the request is written: until then no byte can have reached the target. */
  onConnect (abort: (error?: Error) => void): void {
    this.#abort = abort
    if (this.#problem !== undefined) abort(new Error(this.#problem.detail))
    else this.#isStarted = true
  }

  onHeaders (statusCode: number, rawHeaders: Buffer[], resume: () => void): boolean {
    if (statusCode < 200) return true
    this.#resume = resume
    this.#start(statusCode, rawHeaders.map((part) => part.toString('latin1')))
    return true
  }

  #start (statusCode: number, raw: string[]): void {
    this.#statusCode = statusCode
    this.#isLeaving = rawHeader(raw, HEADER.leaving) === 'true'
    this.#isRefusal = statusCode === 503 && rawHeader(raw, HEADER.outcome) === 'not-run'
    const echoed = rawHeader(raw, HEADER.requestId)
    const isMismatch = echoed === undefined ? this.request.requiresIdEcho : echoed !== this.request.requestId
    if (isMismatch) return this.#give('answer-mismatch', `the answer has the id ${echoed ?? 'of none'}`)
    const length = rawHeader(raw, 'content-length')
    const isBodiless = this.request.method === 'HEAD' || BODILESS.has(statusCode)
    const isDelimited = length !== undefined || isBodiless || rawHeader(raw, 'transfer-encoding')?.toLowerCase().includes('chunked') === true
    // A body that ends with its connection cannot be told from a truncated one, so it is refused as broken.
    if (!isDelimited) return this.#give('target-broke-off', 'the answer states neither its length nor chunks')
    if (!this.request.isWanted(statusCode, this.#isRefusal)) return
    this.#isPassedOn = true
    this.sink.start(statusCode, endToEndHeaders(raw), isBodiless || length === undefined ? undefined : Number(length))
  }

  onData (chunk: Buffer): boolean {
    if (!this.#isPassedOn || this.#problem !== undefined || this.sink.write(chunk)) return true
    this.sink.whenWritable(this.#resume)
    return false
  }

  onComplete (): void {
    if (this.#problem !== undefined) return this.#finish('failed')
    if (this.#isPassedOn) this.sink.end()
    this.#finish(this.#isRefusal ? 'refused' : (this.#statusCode ?? 0) >= SERVER_ERROR ? 'failed' : 'answered')
  }

  onError (error: Error): void {
    if (!this.#isStarted) {
      this.#problem ??= { kind: 'connect-failed', detail: error.message }
      return this.#finish('not-sent')
    }
    this.#problem ??= { kind: 'target-broke-off', detail: error.message }
    this.#finish('failed')
  }

  #give (kind: ErrorKind, detail: string): void {
    this.#problem ??= { kind, detail }
    if (this.#abort !== undefined) this.#abort(new Error(detail))
    else this.#finish('not-sent')
  }

  #isDone = false
  #resume: () => void = () => {}

  #finish (result: SendResult['result']): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#timer)
    this.request.caller.removeDisconnectListener(this.#onGone)
    this.done({
      result,
      statusCode: this.#statusCode,
      isPassedOn: this.#isPassedOn,
      errorKind: this.#problem?.kind,
      isLeaving: this.#isLeaving,
      detail: this.#problem?.detail ?? ''
    })
  }
}

/** Connections to all targets, pooled and bounded for each. @public */
export class TargetClient {
  readonly #pools = new Map<string, Pool>()

  /**
   * Sends a request.
   *
   * @param target - where to
   * @param connections - how many connections may be open to it
   * @param request - what
   * @param sink - takes the answer
   * @returns what became of it; never rejects
   */
  send (target: TargetAddress, connections: number, request: TargetRequest, sink: AnswerSink): Promise<SendResult> {
    return new Promise((resolve) => {
      const exchange = new Exchange(request, sink, resolve)
      const headers = [...request.headers, HEADER.requestId, request.requestId, HEADER.deadline, String(Math.max(1, Math.floor(request.timeoutMs)))]
      try {
        this.#pool(target, connections).dispatch({
          path: request.path, method: request.method as Dispatcher.HttpMethod, headers, body: request.body, headersTimeout: 0, bodyTimeout: 0
        }, exchange)
      } catch (error) {
        exchange.onError(error as Error)
      }
    })
  }

  /** @param kept - the targets that are still known; idle connections to others are closed */
  retain (kept: ReadonlySet<string>): void {
    for (const [origin, pool] of this.#pools) {
      if (kept.has(origin)) continue
      this.#pools.delete(origin)
      void pool.close().catch(() => {})
    }
  }

  /** Closes all connections once they are idle. */
  async close (): Promise<void> {
    await Promise.allSettled([...this.#pools.values()].map((pool) => pool.close()))
  }

  #pool (target: TargetAddress, connections: number): Pool {
    const origin = originOf(target)
    const existing = this.#pools.get(origin)
    if (existing !== undefined) return existing
    const created = new Pool(origin, { connections, pipelining: 1, connect: { timeout: 2000 }, keepAliveTimeout: 4000, keepAliveMaxTimeout: 60_000 })
    this.#pools.set(origin, created)
    return created
  }
}

/** @param target - where @returns its origin @public */
export function originOf (target: TargetAddress): string {
  return `http://${target.address}:${target.port}`
}
