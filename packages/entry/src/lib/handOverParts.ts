/**
 * The message in which an entry host hands shards of keys, and what it remembers of them, to their next owner.
 *
 * @module
 */
import { z } from 'zod'
import type { HandoverEntry } from '@quillscale/once'
import { keptAnswerSchema } from './keyedMessages.js'

const recordSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('answered'), answer: keptAnswerSchema.optional() })
])

/** Checks such a message. @internal */
export const handOverSchema = z.object({
  shards: z.array(z.object({ shard: z.number().int(), completeSinceMs: z.number() })),
  entries: z.array(z.object({ key: z.string(), fingerprint: z.string(), createdMs: z.number(), shard: z.number(), record: recordSchema }))
})

/** Such a message, as it is sent. @internal */
export type HandOver = z.input<typeof handOverSchema>

/** A shard on its way to the next owner. @internal */
export interface HandedShard { readonly shard: number, readonly completeSinceMs: number, readonly entries: HandoverEntry[] }

const MAX_HAND_OVER_BYTES = 3 * 1024 * 1024

/**
 * Divides a hand-over into messages that fit a link; each names all shards.
 *
 * @param handed - the shards with what is remembered of them
 * @returns the messages, one at least
 * @internal
 */
export function * handOverParts (handed: readonly HandedShard[]): Generator<HandOver> {
  let part: HandOver = { shards: handed.map(({ shard, completeSinceMs }) => ({ shard, completeSinceMs })), entries: [] }
  let bytes = 0
  for (const entry of handed.flatMap(({ entries }) => entries)) {
    part.entries.push(entry as HandOver['entries'][number])
    bytes += 200 + (entry.record.state === 'answered' ? entry.record.answer?.body.length ?? 0 : 0)
    if (bytes < MAX_HAND_OVER_BYTES) continue
    yield part
    part = { shards: part.shards, entries: [] }
    bytes = 0
  }
  yield part
}
