/**
 * Runs a request with an Idempotency-Key and collects its whole answer, which is kept for the caller's next try.
 *
 * @module
 */
import { QuillscaleError } from '@quillscale/model'
import type { CachedResponse } from '@quillscale/once'
import { CallerConnection, findRequestClass } from '@quillscale/routing'
import { CollectingSink } from './CollectingSink.js'
import type { EntryHostParts } from './EntryHostParts.js'
import type { KeyedRequest } from './keyedMessages.js'
import type { RequestRunner } from './RequestRunner.js'

/**
 * Runs one keyed request.
 *
 * @param parts - services and the clock
 * @param request - as its owner received it
 * @param runner - sends it to a target
 * @returns the whole answer
 * @throws QuillscaleError if there is no such service or class, or the answer broke off
 * @internal
 */
export async function runKeyedRequest (parts: Pick<EntryHostParts, 'registry' | 'clock'>, request: KeyedRequest, runner: RequestRunner): Promise<CachedResponse> {
  const service = parts.registry.services.get(request.service)
  if (service === undefined) throw new QuillscaleError('no-such-service', request.service)
  const requestClass = findRequestClass(service.spec.classes, request.requestClass)
  if (requestClass === undefined) throw new QuillscaleError('unknown-class', request.requestClass)
  const sink = new CollectingSink()
  const { requestId, tenant, method, path, headers, body } = request
  const run = await runner.run({
    service,
    requestClass,
    requestId,
    tenant,
    method,
    path,
    headers,
    body,
    deadlineMs: parts.clock.monotonicMs() + request.timeoutMs,
    // A keyed request goes on when its caller leaves: the answer is kept for the caller's next try.
    caller: new CallerConnection(),
    steps: []
  }, sink)
  if (!run.isWhole) throw new QuillscaleError('target-broke-off', 'the answer broke off')
  return sink.answer
}
