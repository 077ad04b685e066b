/**
 * The paths of this system itself on the callers' interface: the health check, minted keys, jobs.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { IngressBudget } from '@quillscale/ingress'
import { QuillscaleError } from '@quillscale/model'
import type { Clock } from '@quillscale/utils'
import { HEADER, headerText } from './httpHeaders.js'
import type { JobManager } from './JobManager.js'
import type { OnceManager } from './OnceManager.js'
import { readBody } from './requestBody.js'

/** What the health check tells the balancer. @internal */
export type HealthStatus = 'ready' | 'not-ready' | 'stopping'

/** What it works with. @internal */
export interface SystemRoutesOptions {
  readonly once: () => OnceManager
  readonly jobs: JobManager
  readonly health: () => HealthStatus
  readonly budget: IngressBudget
  readonly clock: Clock
}

/** Paths of this system on the callers' interface start so; everything else belongs to services. @public */
export const OWN_PATH_PREFIX = '/-/quillscale/'
const MAX_JOB_BYTES = 16 * 1024
const JOB_BODY_TIMEOUT_MS = 5000
const MAX_MINTED_KEYS = 100

/** Answers the paths of this system. @internal */
export class SystemRoutes {
  readonly #options: SystemRoutesOptions

  /** @param options - what it works with */
  constructor (options: SystemRoutesOptions) {
    this.#options = options
  }

  /**
   * Answers one request.
   *
   * @param path - with {@link OWN_PATH_PREFIX} and the query
   * @param request - of the caller
   * @param response - takes the answer
   * @throws QuillscaleError when it is refused; nothing is written then
   */
  async answer (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const name = path.slice(OWN_PATH_PREFIX.length).split('?')[0] ?? ''
    if (name === 'health') {
      const status = this.#options.health()
      return sendJson(response, status === 'ready' ? 200 : 503, { status })
    }
    if (name === 'keys' && request.method === 'POST') {
      const wanted = Number(new URLSearchParams(path.split('?')[1]).get('count') ?? '1')
      const count = Number.isInteger(wanted) ? Math.min(MAX_MINTED_KEYS, Math.max(1, wanted)) : 1
      return sendJson(response, 200, { keys: Array.from({ length: count }, () => this.#options.once().mint()) })
    }
    if (name === 'jobs' || name.startsWith('jobs/')) return this.#answerJobs(name.slice('jobs/'.length), request, response)
    throw new QuillscaleError('no-such-route', path)
  }

  /** Submit, watch, cancel. */
  async #answerJobs (jobId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { jobs } = this.#options
    if (request.method === 'POST' && jobId === '') {
      const body = await readBody({ ...this.#options, request, response }, MAX_JOB_BYTES, JOB_BODY_TIMEOUT_MS)
      return sendJson(response, 201, await jobs.submit(parseJson(body), headerText(request, HEADER.idempotencyKey)))
    }
    if (request.method === 'GET' && jobId !== '') return sendJson(response, 200, await jobs.get(jobId))
    if (request.method === 'DELETE' && jobId !== '') return sendJson(response, 200, await jobs.cancel(jobId))
    throw new QuillscaleError('no-such-route', `${request.method ?? ''} jobs`)
  }
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    throw new QuillscaleError('malformed-request', 'the body is not JSON')
  }
}

function sendJson (response: ServerResponse, statusCode: number, value: unknown): void {
  response.writeHead(statusCode, { 'content-type': 'application/json', 'cache-control': 'no-store' })
  response.end(JSON.stringify(value))
}
