/**
 * Finds what a caller's request is for: its service, class, tenant and deadline; refuses what cannot be told for sure.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { QuillscaleError, type RequestClass } from '@quillscale/model'
import { findRequestClass } from '@quillscale/routing'
import { HEADER, findRepeated, headerText } from './httpHeaders.js'
import type { RegisteredService, ServiceRegistry } from './ServiceRegistry.js'

/** A request as it was understood. @internal */
export interface UnderstoodRequest {
  readonly service: RegisteredService
  readonly requestClass: RequestClass
  readonly tenant: string
  /** On the monotonic clock. */
  readonly deadlineMs: number
}

/** Two parties could each read another of two values. */
const SINGLE_HEADERS = new Set(['host', 'content-type', HEADER.idempotencyKey, HEADER.deadline])
const MAX_DEADLINE_MS = 24 * 3_600_000

/**
 * Understands a request.
 *
 * @param request - of a caller
 * @param registry - the declared services
 * @param nowMs - the present monotonic time
 * @returns what it is for
 * @throws QuillscaleError `malformed-request`, `no-such-service` or `unknown-class`
 * @internal
 */
export function understandRequest (request: IncomingMessage, registry: ServiceRegistry, nowMs: number): UnderstoodRequest {
  const repeated = findRepeated(request.rawHeaders, SINGLE_HEADERS)
  if (repeated !== undefined) throw new QuillscaleError('malformed-request', `the header ${repeated} stands more than once`)
  if (request.headers.host === undefined) throw new QuillscaleError('malformed-request', 'the header host is missing')
  const service = registry.find(request.headers.host, request.url ?? '/')
  if (service === undefined) throw new QuillscaleError('no-such-service', `${request.headers.host}${request.url ?? ''}`)
  const { spec } = service
  const className = spec.classHeader === undefined ? undefined : headerText(request, spec.classHeader)
  const requestClass = findRequestClass(spec.classes, className)
  if (requestClass === undefined) throw new QuillscaleError('unknown-class', `no class ${className ?? ''}`)
  const tenant = spec.tenantHeaders.map((name) => headerText(request, name) ?? '-').join('/') || '-'
  const stated = Number(headerText(request, HEADER.deadline))
  const timeoutMs = stated > 0 && stated <= MAX_DEADLINE_MS ? stated : requestClass.deadlineMs
  return { service, requestClass, tenant, deadlineMs: nowMs + timeoutMs }
}
