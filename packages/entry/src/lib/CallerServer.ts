/**
 * The callers' interface: takes requests, finds their service, and answers or refuses them truthfully.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type Logger from 'bunyan'
import type { IngressBudget } from '@quillscale/ingress'
import type { Clock } from '@quillscale/utils'
import { QuillscaleError } from '@quillscale/model'
import { CallerConnection, type RequestMetrics } from '@quillscale/routing'
import { createHttpServer } from './createHttpServer.js'
import { HEADER, endToEndHeaders, headerText } from './httpHeaders.js'
import type { JobManager } from './JobManager.js'
import { MAX_KEYED_BODY_BYTES, type KeyedAnswer, type KeyedRequest } from './keyedMessages.js'
import type { OnceManager } from './OnceManager.js'
import type { TlsMaterial } from './readTls.js'
import { refuseRequest, refuseUnreadable } from './refusals.js'
import { takeBody } from './requestBody.js'
import type { RequestLog } from './RequestLog.js'
import type { RequestRunner, RunnableRequest } from './RequestRunner.js'
import { ResponseSink } from './ResponseSink.js'
import type { ServiceRegistry } from './ServiceRegistry.js'
import { OWN_PATH_PREFIX, SystemRoutes, type HealthStatus } from './SystemRoutes.js'
import { understandRequest, type UnderstoodRequest } from './understandRequest.js'

/** What the callers' interface works with. @public */
export interface CallerServerOptions {
  readonly registry: ServiceRegistry
  readonly runner: RequestRunner
  readonly once: () => OnceManager
  readonly jobs: JobManager
  readonly metrics: RequestMetrics
  readonly requestLog: RequestLog
  readonly log: Logger
  readonly clock: Clock
  /** Bounds what callers make the process hold. */
  readonly budget: IngressBudget
  readonly tls: TlsMaterial | undefined
  /** Whether a configuration is in force. */
  readonly isReady: () => boolean
}

const MAX_HEADER_BYTES = 32 * 1024
const HEADERS_TIMEOUT_MS = 10_000

/** Serves callers. @public */
export class CallerServer {
  readonly server: Server
  readonly #options: CallerServerOptions
  readonly #systemRoutes: SystemRoutes
  readonly #busySockets = new WeakSet<object>()
  #isHealthy = true
  #isRefusing = false
  #inFlight = 0

  /** @param options - what it works with */
  constructor (options: CallerServerOptions) {
    this.#options = options
    this.#systemRoutes = new SystemRoutes({ ...options, health: () => this.#health })
    const serverOptions = {
      maxHeaderSize: MAX_HEADER_BYTES,
      // A missing one is refused like every other bad request, with an outcome.
      requireHostHeader: false,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // A body may take as long as its request has.
      requestTimeout: 0,
      keepAliveTimeout: 65_000,
      noDelay: true
    }
    this.server = createHttpServer({ ...options, serverOptions, onRequest: (request, response) => this.#handle(request, response) })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => refuseUnreadable(error, socket as never, this.#busySockets.has(socket)))
  }

  /** Requests that are not answered yet. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Makes the health check fail, so that the balancer sends no more callers. */
  failHealthCheck (): void {
    this.#isHealthy = false
  }

  /** Refuses new requests, truly not run. */
  refuseNew (): void {
    this.#isRefusing = true
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#inFlight++
    this.#busySockets.add(request.socket)
    response.on('close', () => {
      this.#inFlight--
      this.#busySockets.delete(request.socket)
    })
    response.sendDate = false
    response.on('error', () => {})
    const path = request.url ?? '/'
    try {
      if (path.startsWith(OWN_PATH_PREFIX)) await this.#answerOwn(path, request, response)
      else await this.#serve(request, response)
    } catch (error) {
      this.#options.log.error({ err: error, path }, 'request failed')
      this.#refuse(response, new QuillscaleError('internal', 'see the log'), randomUUID())
    }
  }

  get #health (): HealthStatus {
    if (!this.#isHealthy) return 'stopping'
    return this.#options.isReady() ? 'ready' : 'not-ready'
  }

  async #answerOwn (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#systemRoutes.answer(path, request, response)
    } catch (error) {
      if (!(error instanceof QuillscaleError)) throw error
      this.#refuse(response, error, randomUUID())
    }
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, metrics, requestLog } = this.#options
    const requestId = randomUUID()
    const arrivedMs = clock.monotonicMs()
    const steps: string[] = []
    const caller = new CallerConnection()
    response.on('close', () => { if (!response.writableFinished) caller.markDisconnected() })
    let understood: UnderstoodRequest | undefined
    let times = { queueMs: 0, targetMs: undefined as number | undefined }
    let result = 'answered'
    try {
      understood = this.#understand(request, arrivedMs)
      times = await this.#run(request, response, understood, requestId, steps, caller)
    } catch (error) {
      const refusal = error instanceof QuillscaleError ? error : this.#unexpected(error, requestId)
      result = refusal.kind
      steps.push(`refused: ${refusal.kind} (${refusal.outcome}): ${refusal.message}`)
      this.#refuse(response, refusal, requestId)
    }
    // Written out field by field: spreading objects took a tenth of the processor time of a request.
    const service = understood?.service.name ?? 'none'
    const tenant = understood?.tenant ?? 'none'
    const requestClass = understood?.requestClass.name ?? 'none'
    const { queueMs, targetMs } = times
    metrics.record({ service, tenant, requestClass, queueMs, targetMs, totalMs: clock.monotonicMs() - arrivedMs, result })
    requestLog.add({ requestId, service, tenant, requestClass, method: request.method ?? '', path: request.url ?? '', steps, result })
    this.#options.log.debug({ requestId, service, result, steps }, 'request')
  }

  #unexpected (error: unknown, requestId: string): QuillscaleError {
    this.#options.log.error({ err: error, requestId }, 'request failed')
    return new QuillscaleError('internal', 'see the log')
  }

  #understand (request: IncomingMessage, nowMs: number): UnderstoodRequest {
    if (!this.#options.isReady()) throw new QuillscaleError('not-ready', 'no configuration is in force yet', { retryAfterMs: 1000 })
    if (this.#isRefusing) throw new QuillscaleError('stopping', 'this entry host is being stopped', { retryAfterMs: 1000 })
    return understandRequest(request, this.#options.registry, nowMs)
  }

  async #run (
    request: IncomingMessage, response: ServerResponse, understood: UnderstoodRequest, requestId: string, steps: string[], caller: CallerConnection
  ): Promise<{ queueMs: number, targetMs: number | undefined }> {
    const { service, deadlineMs } = understood
    const keyText = headerText(request, HEADER.idempotencyKey)
    const method = request.method ?? 'GET'
    const isKeyed = keyText !== undefined && !service.spec.repeatableMethods.includes(method)
    const limit = service.spec.maxRequestBodyBytes
    const { budget, clock } = this.#options
    const body = await takeBody({ request, response, budget, clock }, {
      limitBytes: isKeyed ? Math.min(limit, MAX_KEYED_BODY_BYTES) : limit,
      isWholeNeeded: isKeyed,
      timeoutMs: deadlineMs - clock.monotonicMs()
    })
    const common = { requestId, method, path: request.url ?? '/', headers: endToEndHeaders(request.rawHeaders) }
    if (isKeyed) return this.#runKeyed(response, understood, keyText, { ...common, body: Buffer.isBuffer(body) ? body : Buffer.alloc(0) }, steps)
    const runnable: RunnableRequest = {
      service,
      requestClass: understood.requestClass,
      tenant: understood.tenant,
      requestId,
      method,
      path: common.path,
      headers: common.headers,
      body,
      deadlineMs,
      caller,
      steps
    }
    const sink = new ResponseSink(response, requestId)
    const run = await this.#options.runner.run(runnable, sink)
    if (!run.isWhole) {
      // The head is sent already: only cutting the connection shows that the body is not whole.
      response.destroy()
      throw new QuillscaleError('target-broke-off', 'the answer broke off', { outcome: 'unknown' })
    }
    return run
  }

  async #runKeyed (
    response: ServerResponse, understood: UnderstoodRequest, keyText: string,
    request: Pick<KeyedRequest, 'requestId' | 'method' | 'path' | 'headers' | 'body'>, steps: string[]
  ): Promise<{ queueMs: number, targetMs: number | undefined }> {
    const once = this.#options.once()
    const { service, requestClass, tenant, deadlineMs } = understood
    const startedMs = this.#options.clock.monotonicMs()
    const answer = await once.answer({
      ...request, key: once.parse(keyText), service: service.name, requestClass: requestClass.name, tenant, timeoutMs: Math.max(1, deadlineMs - startedMs)
    })
    steps.push(answer.isReplayed ? 'answered as before' : 'ran at the key’s owner')
    this.#sendKept(response, answer, request.requestId)
    return { queueMs: 0, targetMs: this.#options.clock.monotonicMs() - startedMs }
  }

  #sendKept (response: ServerResponse, answer: KeyedAnswer, requestId: string): void {
    const replayed = answer.isReplayed ? [HEADER.replayed, 'true'] : []
    response.writeHead(answer.statusCode, [...answer.headers.flat(), HEADER.outcome, 'ran', HEADER.requestId, requestId, ...replayed])
    response.end(answer.body)
  }

  #refuse (response: ServerResponse, error: QuillscaleError, requestId: string): void {
    refuseRequest(response, error, requestId, this.#isRefusing)
  }
}
