/**
 * The key-value service over HTTP and JSON, in the manner of the etcd v3 gateway, single keys only.
 *
 * @module
 */
import { z } from 'zod'
import { Err, Ok, type Result } from '@quillscale/utils'
import type { CompareAndSwap, KeyValue, KeyValueStore, PlatformError, SwapOutcome, Transaction, TransactionOutcome, WatchEvents } from '@quillscale/ports'
import type { PlatformClient } from './PlatformClient.js'

const count = z.coerce.number().int()
const headerSchema = z.object({ revision: count })
const keyValueSchema = z.object({ key: z.string(), value: z.string().default(''), mod_revision: count })
const rangeSchema = z.object({ header: headerSchema, kvs: z.array(keyValueSchema).default([]) })
const txnSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional() })).default([])
})
const watchSchema = z.object({
  result: z.object({
    header: headerSchema,
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema })).default([])
  })
})
const leaseSchema = z.object({ ID: z.coerce.string(), TTL: count })
const keepAliveSchema = z.object({ result: z.object({ ID: z.coerce.string(), TTL: count.default(0) }) })
const emptySchema = z.object({})

const encode = (text: string): string => Buffer.from(text).toString('base64')
const decode = (text: string): string => Buffer.from(text, 'base64').toString()

function toKeyValue (raw: z.infer<typeof keyValueSchema>): KeyValue {
  return { key: decode(raw.key), value: decode(raw.value), modRevision: raw.mod_revision }
}

/** @param prefix - the start of keys @returns the first key after all that start so */
function rangeEnd (prefix: string): string {
  const bytes = Buffer.from(prefix)
  bytes[bytes.length - 1] = (bytes[bytes.length - 1] ?? 0) + 1
  return bytes.toString('base64')
}

/** The key-value service over HTTP. @public */
export class HttpKeyValueStore implements KeyValueStore {
  readonly #client: PlatformClient

  /** @param client - one endpoint */
  constructor (client: PlatformClient) {
    this.#client = client
  }

  async get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    const answer = await this.#client.call('get', '/v3/kv/range', { key: encode(key) }, rangeSchema)
    return answer.map((range) => range.kvs.map(toKeyValue)[0])
  }

  async list (prefix: string): Promise<Result<{ items: readonly KeyValue[], revision: number }, PlatformError>> {
    const answer = await this.#client.call('list', '/v3/kv/range', { key: encode(prefix), range_end: rangeEnd(prefix) }, rangeSchema)
    return answer.map((range) => ({ items: range.kvs.map(toKeyValue), revision: range.header.revision }))
  }

  async compareAndSwap (swap: CompareAndSwap): Promise<Result<SwapOutcome, PlatformError>> {
    const { key, value, leaseId, expectedModRevision: modRevision } = swap
    const answer = await this.#transact('compareAndSwap', {
      conditions: [{ key, modRevision }],
      puts: value === undefined ? [] : [{ key, value, leaseId }],
      removals: value === undefined ? [key] : []
    })
    return answer.map((outcome): SwapOutcome => outcome.committed
      ? { swapped: true, modRevision: outcome.modRevision }
      : { swapped: false, current: outcome.current[0] })
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.#transact('transact', transaction)
  }

  async #transact (kind: string, { conditions, puts, removals }: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    const answer = await this.#client.call(kind, '/v3/kv/txn', {
      compare: conditions.map(({ key, modRevision }) => ({ key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: modRevision })),
      success: [
        ...puts.map(({ key, value, leaseId }) => ({
          request_put: { key: encode(key), value: encode(value), ...(leaseId === undefined ? {} : { lease: leaseId }) }
        })),
        ...removals.map((key) => ({ request_delete_range: { key: encode(key) } }))
      ],
      failure: conditions.map(({ key }) => ({ request_range: { key: encode(key) } }))
    }, txnSchema)
    return answer.map((txn): TransactionOutcome => txn.succeeded
      ? { committed: true, modRevision: txn.header.revision }
      : { committed: false, current: txn.responses.flatMap(({ response_range: range }) => (range?.kvs ?? []).map(toKeyValue)) })
  }

  async watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    const create = { key: encode(prefix), range_end: rangeEnd(prefix), start_revision: afterRevision + 1, timeout_ms: timeoutMs }
    const answer = await this.#client.call('watch', '/v3/watch', { create_request: create }, watchSchema, timeoutMs)
    return answer.map(({ result }) => ({
      revision: result.header.revision,
      events: result.events.map(({ type, kv }) => {
        const change = toKeyValue(kv)
        return { key: change.key, modRevision: change.modRevision, value: type === 'DELETE' ? undefined : change.value }
      })
    }))
  }

  async grantLease (ttlMs: number): Promise<Result<string, PlatformError>> {
    const answer = await this.#client.call('grantLease', '/v3/lease/grant', { TTL: Math.ceil(ttlMs / 1000) }, leaseSchema)
    return answer.map((lease) => lease.ID)
  }

  async renewLease (leaseId: string): Promise<Result<boolean, PlatformError>> {
    const answer = await this.#client.call('renewLease', '/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema)
    return answer.map((alive) => alive.result.TTL > 0)
  }

  async revokeLease (leaseId: string): Promise<Result<void, PlatformError>> {
    const answer = await this.#client.call('revokeLease', '/v3/lease/revoke', { ID: leaseId }, emptySchema)
    return answer.ok ? Ok(undefined) : Err(answer.val)
  }
}
