/**
 * Runs one request at a target of its service: waits for a slot, sends, and tries again where that is safe.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import type { Clock } from '@quillscale/utils'
import { QuillscaleError, type HostId, type RequestClass } from '@quillscale/model'
import type { CallerConnection, HeldSlot, SlotRequest } from '@quillscale/routing'
import type { RegisteredService } from './ServiceRegistry.js'
import type { AnswerSink, SendResult, TargetClient } from './TargetClient.js'

/** A request that may be run. @public */
export interface RunnableRequest {
  readonly service: RegisteredService
  readonly requestClass: RequestClass
  readonly tenant: string
  readonly requestId: string
  readonly method: string
  readonly path: string
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Readable | Buffer | null
  /** On the monotonic clock. */
  readonly deadlineMs: number
  readonly caller: CallerConnection
  /** What happened, for the operator. */
  readonly steps: string[]
}

/** How a run ended: the answer went to the sink whole, or broke off after it had begun. @public */
export interface RunResult {
  readonly isWhole: boolean
  readonly queueMs: number
  readonly targetMs: number
}

/** What it works with. @public */
export interface RequestRunnerOptions {
  readonly client: TargetClient
  readonly clock: Clock
  /** Called when a target says that it leaves. */
  readonly onLeaving: (hostId: HostId) => void
}

const RETRYABLE_STATUS = new Set([502, 503, 504])
const MAX_TRIES = 4

/** One try at a target. */
interface Try { readonly slot: HeldSlot, readonly sent: SendResult }

/** Runs requests. @public */
export class RequestRunner {
  readonly #options: RequestRunnerOptions

  /** @param options - what it works with */
  constructor (options: RequestRunnerOptions) {
    this.#options = options
  }

  /**
   * Runs a request.
   *
   * @param request - what
   * @param sink - takes the answer
   * @returns how it ended
   * @throws QuillscaleError whose outcome is true: `not-run` only where no target can have acted on the request
   */
  async run (request: RunnableRequest, sink: AnswerSink): Promise<RunResult> {
    const { clock } = this.#options
    const { retryBudget } = request.service.router
    const arrivedMs = clock.monotonicMs()
    const excluded = new Set<HostId>()
    let mayHaveRun = false
    let queueMs = 0
    retryBudget.earn()
    for (let tries = 1; ; tries++) {
      const slotRequest = this.#slotRequest(request, excluded)
      const slot = await this.#acquire(request, slotRequest, mayHaveRun)
      if (tries === 1) queueMs = clock.monotonicMs() - arrivedMs
      const { sent } = await this.#try(request, slotRequest, slot, sink, tries)
      request.steps.push(`${slot.state.target.hostId}: ${sent.result} ${sent.statusCode ?? ''} ${sent.detail}`)
      if (sent.isLeaving) this.#options.onLeaving(slot.state.target.hostId)
      if (sent.isPassedOn) return { isWhole: sent.errorKind === undefined, queueMs, targetMs: clock.monotonicMs() - slot.acquiredMs }
      mayHaveRun ||= sent.result === 'failed'
      excluded.add(slot.state.target.hostId)
      if (!this.#mayRetry(request, sent, tries, excluded) || !retryBudget.trySpend()) throw failure(sent, mayHaveRun)
    }
  }

  #slotRequest (request: RunnableRequest, excluded: ReadonlySet<HostId>): SlotRequest {
    const { requestClass, tenant, deadlineMs, caller, service } = request
    return { tenant, priority: requestClass.priority, weight: service.spec.tenantWeights[tenant] ?? 1, deadlineMs, excludedHostIds: excluded, caller }
  }

  async #acquire (request: RunnableRequest, slotRequest: SlotRequest, mayHaveRun: boolean): Promise<HeldSlot> {
    try {
      return await request.service.router.acquire(slotRequest)
    } catch (error) {
      if (!(error instanceof QuillscaleError)) throw error
      request.steps.push(`no slot: ${error.kind}`)
      throw mayHaveRun ? new QuillscaleError(error.kind, error.message, { ...error.options, outcome: 'unknown' }) : error
    }
  }

  async #try (request: RunnableRequest, slotRequest: SlotRequest, slot: HeldSlot, sink: AnswerSink, tries: number): Promise<Try> {
    const { service } = request
    const sent = await this.#options.client.send(slot.state.target, service.spec.slotsPerTarget, {
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      requestId: request.requestId,
      requiresIdEcho: service.spec.requireRequestIdEcho,
      timeoutMs: request.deadlineMs - this.#options.clock.monotonicMs(),
      caller: request.caller,
      isWanted: (statusCode, isRefusal) => this.#isFinal(request, statusCode, isRefusal, tries)
    }, sink)
    service.router.release(slot, slotRequest, sent.errorKind === 'caller-gone' ? 'not-sent' : sent.result)
    return { slot, sent }
  }

  /** Whether an answer goes to the caller rather than leading to another try. */
  #isFinal (request: RunnableRequest, statusCode: number, isRefusal: boolean, tries: number): boolean {
    if (isRefusal) return false
    return !(RETRYABLE_STATUS.has(statusCode) && this.#isRepeatable(request) && tries === 1)
  }

  #isRepeatable (request: RunnableRequest): boolean {
    return !isStreaming(request) && request.service.spec.repeatableMethods.includes(request.method)
  }

  /** What was not run may always be tried at another target; what may have run only when it may be repeated. */
  #mayRetry (request: RunnableRequest, sent: SendResult, tries: number, excluded: ReadonlySet<HostId>): boolean {
    if (request.caller.isDisconnected || tries >= MAX_TRIES || isStreaming(request)) return false
    const hasTime = this.#options.clock.monotonicMs() < request.deadlineMs
    const isOtherLeft = request.service.router.targets.some((state) => !state.isLeaving && !excluded.has(state.target.hostId))
    const isSafe = sent.result === 'not-sent' || sent.result === 'refused' || this.#isRepeatable(request)
    return hasTime && isOtherLeft && isSafe
  }
}

const RETRY_AFTER_MS = 1000

/** A body that streams has gone once it is sent: there is nothing to send again. */
function isStreaming ({ body }: RunnableRequest): boolean {
  return body !== null && !Buffer.isBuffer(body)
}

function failure (sent: SendResult, mayHaveRun: boolean): QuillscaleError {
  const outcome = mayHaveRun ? 'unknown' : 'not-run'
  const kind = sent.result === 'refused' ? 'target-refused' : sent.errorKind ?? 'target-broke-off'
  const detail = sent.detail === '' ? `the target answered ${sent.statusCode ?? 'nothing'}` : sent.detail
  const isTimeoutBeforeSending = kind === 'target-timeout' && outcome === 'not-run'
  return new QuillscaleError(isTimeoutBeforeSending ? 'deadline-not-run' : kind, detail, { outcome, ...(outcome === 'not-run' ? { retryAfterMs: RETRY_AFTER_MS } : {}) })
}
