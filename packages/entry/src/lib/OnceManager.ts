/**
 * Runs requests with an Idempotency-Key at most once, at the entry host that owns the key.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { QuillscaleError, type EntryHostId } from '@quillscale/model'
import { IdempotencyTable, mintKey, parseKey, type IdempotencyKey, type CachedResponse, type IdempotencyTableOptions } from '@quillscale/once'
import { forwardedSchema, keyedAnswerSchema, ownerRefusalSchema, type KeyedAnswer, type KeyedRequest } from './keyedMessages.js'
import { HAND_OVER_TOPIC, KeyShards, type KeyShardsOptions } from './KeyShards.js'

/** What it works with. @public */
export interface OnceManagerOptions extends KeyShardsOptions {
  readonly secrets: readonly string[]
  /** Runs a request here. @throws QuillscaleError with a true outcome */
  readonly run: (request: KeyedRequest) => Promise<CachedResponse>
  readonly table: Partial<IdempotencyTableOptions>
}

/** The topics of this concern. @public */
export const ONCE_TOPICS = { run: 'once/run', handOver: HAND_OVER_TOPIC } as const

const FORWARD_MARGIN_MS = 500
const RETRY_AFTER_MS = 1000

/** Owns keys, runs their requests and forwards those of others. @public */
export class OnceManager {
  readonly table: IdempotencyTable
  readonly #options: OnceManagerOptions
  readonly #shards: KeyShards
  #nextSequence = 1

  /** @param options - what it works with */
  constructor (options: OnceManagerOptions) {
    this.#options = options
    this.table = new IdempotencyTable(options.table)
    this.#shards = new KeyShards(options, this.table)
  }

  /** @returns a key that names this entry host as its owner */
  mint (): string {
    const { self, secrets, clock } = this.#options
    return mintKey(self.entryHostId, self.incarnation, this.#nextSequence++, clock.wallMs(), secrets[0] ?? '')
  }

  /** @param text - the header's value @returns the key @throws QuillscaleError `key-invalid` */
  parse (text: string): IdempotencyKey {
    const key = parseKey(text, this.#options.secrets)
    if (key === undefined) throw new QuillscaleError('key-invalid', 'use a UUID of version 7 or a key from POST /-/quillscale/keys')
    return key
  }

  /**
   * Answers a keyed request, here or at the owner of its key.
   *
   * @param request - what
   * @returns the answer of the one run
   * @throws QuillscaleError whose outcome speaks of the key: `not-run` only where no request with it can have run
   */
  async answer (request: KeyedRequest): Promise<KeyedAnswer> {
    const owner = this.#shards.ownerOf(request.key)
    if (owner === undefined) throw new QuillscaleError('key-owner-unreachable', 'the key has no owner yet', { outcome: 'unknown', retryAfterMs: RETRY_AFTER_MS })
    const { self } = this.#options
    if (owner.entryHostId !== self.entryHostId) return this.#forward(owner.entryHostId, request)
    if (owner.incarnation !== self.incarnation) throw new QuillscaleError('key-unknown', 'the key’s owner was replaced')
    return this.#answerHere(request)
  }

  /** @param body - a request that another entry host forwarded @returns its answer or a refusal */
  async answerForwarded (body: unknown): Promise<unknown> {
    const { key, body: bytes, ...rest } = forwardedSchema.parse(body)
    try {
      const request: KeyedRequest = { ...rest, key: this.parse(key), body: Buffer.from(bytes) }
      const owner = this.#shards.ownerOf(request.key)
      const isHere = owner?.entryHostId === this.#options.self.entryHostId && owner.incarnation === this.#options.self.incarnation
      if (!isHere) throw new QuillscaleError('key-unknown', 'the key belongs to another entry host or an earlier life of this one')
      return await this.#answerHere(request)
    } catch (error) {
      if (!(error instanceof QuillscaleError)) throw error
      return { refusal: { kind: error.kind, detail: error.message, outcome: error.outcome, retryAfterMs: error.options.retryAfterMs } }
    }
  }

  /** Takes free shards, hands over what is too much; called now and then, and at a planned stop. */
  async tick (): Promise<void> {
    await this.#shards.tick()
  }

  /** @param body - shards and entries from their present owner, in force once the document says so @returns true, for the sender */
  receiveHandOver (body: unknown): boolean {
    return this.#shards.receiveHandOver(body)
  }

  /** How many shards this entry host owns. */
  get ownedShards (): number {
    return this.#shards.ownedShards
  }

  async #forward (owner: EntryHostId, request: KeyedRequest): Promise<KeyedAnswer> {
    const { key, ...rest } = request
    const answer = await this.#options.mesh.request(owner, ONCE_TOPICS.run, { ...rest, key: key.text }, request.timeoutMs + FORWARD_MARGIN_MS)
    if (answer.err) {
      // Even when nothing was sent now, an earlier request with this key may have run at its owner.
      throw new QuillscaleError('key-owner-unreachable', answer.val.message, { outcome: 'unknown', retryAfterMs: RETRY_AFTER_MS })
    }
    const refusal = ownerRefusalSchema.safeParse(answer.val)
    if (refusal.success) {
      const { kind, detail, outcome, retryAfterMs } = refusal.data.refusal
      throw new QuillscaleError(kind as QuillscaleError['kind'], detail, { outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
    }
    const parsed = keyedAnswerSchema.safeParse(answer.val)
    if (!parsed.success) throw new QuillscaleError('peer-protocol', 'the owner’s answer cannot be read', { outcome: 'unknown' })
    return parsed.data
  }

  async #answerHere (request: KeyedRequest): Promise<KeyedAnswer> {
    const claim = this.table.claim(request.key, fingerprintOf(request), this.#options.clock.wallMs())
    switch (claim) {
      case 'run': return this.#run(request)
      case 'running':
        await this.table.waitUntilEnded(request.key, request.timeoutMs)
        return this.#replay(request)
      case 'answered': return this.#replay(request)
      case 'unknown': throw new QuillscaleError('key-unknown', 'a request with this key may have run; its end is not known')
      case 'mismatch': throw new QuillscaleError('key-mismatch', 'the key was used for a different request')
      case 'too-old': throw new QuillscaleError('key-too-old', 'the key is older than results are kept')
      case 'not-yet-valid': throw new QuillscaleError('key-invalid', 'the key’s time lies in the future')
      case 'full': throw new QuillscaleError('overloaded', 'too many keys are remembered', { outcome: 'not-run', retryAfterMs: RETRY_AFTER_MS })
      case 'not-owner': throw new QuillscaleError('key-owner-unreachable', 'the key’s owner is changing', { outcome: 'unknown', retryAfterMs: RETRY_AFTER_MS })
    }
  }

  async #run (request: KeyedRequest): Promise<KeyedAnswer> {
    try {
      const answer = await this.#options.run(request)
      this.table.finish(request.key, answer)
      return { ...answer, isReplayed: false }
    } catch (error) {
      const isNotRun = error instanceof QuillscaleError && error.outcome === 'not-run'
      this.table.finish(request.key, isNotRun ? 'not-run' : 'unknown')
      throw error
    }
  }

  #replay (request: KeyedRequest): KeyedAnswer {
    const record = this.table.record(request.key)
    if (record === undefined) throw new QuillscaleError('overloaded', 'the first request with this key was not run', { outcome: 'not-run', retryAfterMs: RETRY_AFTER_MS })
    if (record.state === 'running') throw new QuillscaleError('key-in-flight', 'a request with this key is running', { retryAfterMs: RETRY_AFTER_MS })
    if (record.state === 'unknown') throw new QuillscaleError('key-unknown', 'the end of the request with this key is not known')
    if (record.answer === undefined) throw new QuillscaleError('key-unknown', 'the request ran; its answer was too large to keep', { outcome: 'ran' })
    return { ...record.answer, isReplayed: true }
  }
}

function fingerprintOf (request: KeyedRequest): string {
  return createHash('sha256').update(`${request.service} ${request.method} ${request.path}\n`).update(request.body).digest('base64url').slice(0, 16)
}
