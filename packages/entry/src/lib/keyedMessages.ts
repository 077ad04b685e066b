/**
 * Requests with an Idempotency-Key and their answers, as entry hosts forward them to the owner of the key.
 *
 * @module
 */
import { z } from 'zod'
import type { IdempotencyKey, CachedResponse } from '@quillscale/once'

/** A request with a key, small enough to be held whole. @public */
export interface KeyedRequest {
  readonly key: IdempotencyKey
  readonly service: string
  readonly requestClass: string
  readonly tenant: string
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer
  /** How long the caller waits. */
  readonly timeoutMs: number
}

/** The answer to a keyed request. @public */
export interface KeyedAnswer extends CachedResponse {
  /** Whether it is the answer of an earlier request with the key. */
  readonly isReplayed: boolean
}

/** The largest body of a keyed request. @public */
export const MAX_KEYED_BODY_BYTES = 1024 * 1024

/** Checks a forwarded request. @internal */
export const forwardedSchema = z.object({
  key: z.string(),
  service: z.string(),
  requestClass: z.string(),
  tenant: z.string(),
  requestId: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array),
  timeoutMs: z.number()
})

/** Checks an answer that is kept. @internal */
export const keptAnswerSchema = z.object({
  statusCode: z.number(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.instanceof(Uint8Array)
})

/** Checks an answer of the owner. @internal */
export const keyedAnswerSchema = keptAnswerSchema.extend({ isReplayed: z.boolean() })

/** Checks a refusal of the owner. @internal */
export const ownerRefusalSchema = z.object({ refusal: z.object({ kind: z.string(), detail: z.string(), outcome: z.enum(['not-run', 'ran', 'unknown']), retryAfterMs: z.number().optional() }) })
