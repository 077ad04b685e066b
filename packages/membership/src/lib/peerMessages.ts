/**
 * Schemas and encoding of the messages between entry hosts.
 *
 * @module
 */
import { Packr } from 'msgpackr'
import { z } from 'zod'
import { isAvailabilityZone, isEntryHostId, type AvailabilityZone, type EntryHostId } from '@quillscale/model'

/** Version of the peer protocol, incremented by changes that older versions do not understand. @public */
export const PEER_PROTOCOL_VERSION = 1
/** Maximum size of an encoded message. @public */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024

const helloSchema = z.object({
  kind: z.literal('hello'),
  protocolVersion: z.number().int(),
  entryHostId: z.custom<EntryHostId>(isEntryHostId),
  availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone),
  incarnation: z.number().int().nonnegative(),
  /** Address (`host:port`) on which the sender accepts links. */
  address: z.string().max(255),
  nonce: z.string().length(32)
})
const proofSchema = z.object({ kind: z.literal('proof'), proof: z.string().length(64) })
const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  sequence: z.number().int(),
  /** Whether the sender only finishes its running work and takes no new work. */
  isStopping: z.boolean(),
  /** Status of the sender, validated by the code that uses it. */
  status: z.unknown()
})
const noticeSchema = z.object({ kind: z.literal('notice'), topic: z.string().max(64), body: z.unknown() })
const requestSchema = z.object({ kind: z.literal('request'), id: z.number().int(), topic: z.string().max(64), body: z.unknown() })
const responseSchema = z.object({ kind: z.literal('response'), id: z.number().int(), body: z.unknown(), error: z.string().max(64).optional() })

const peerMessageSchema = z.discriminatedUnion('kind', [
  helloSchema, proofSchema, heartbeatSchema, noticeSchema, requestSchema, responseSchema
])

/** A message between entry hosts. @public */
export type PeerMessage = z.infer<typeof peerMessageSchema>
/** First message that each side sends on a link. @public */
export type Hello = z.infer<typeof helloSchema>

const packr = new Packr({ useRecords: false })

/**
 * Encodes a message.
 *
 * @param message - the message
 * @returns the encoded message
 * @public
 */
export function encodePeerMessage (message: PeerMessage): Buffer {
  return packr.pack(message)
}

/**
 * Decodes and validates a message.
 *
 * @param bytes - the received bytes
 * @returns the message, `undefined` if the bytes are not a valid message
 * @public
 */
export function decodePeerMessage (bytes: Buffer): PeerMessage | undefined {
  try {
    const parsed = peerMessageSchema.safeParse(packr.unpack(bytes))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
