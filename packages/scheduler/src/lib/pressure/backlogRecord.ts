/**
 * Encodes the backlog of a service for the hosts that accept its jobs.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import type { Backlog } from '@quillscale/policy'

/** A backlog and the duty under which it was measured. @public */
export interface BacklogRecord {
  /** Revision of the duty key of the holder that measured it. */
  readonly fencingToken: number
  readonly backlog: Backlog
}

/** Begins each record. Hosts of older versions list the key among the duties and show what stands before the `#` as its holder. */
const TAG = 'backlog#'

const amount = z.number().nonnegative()
const backlogRecordSchema = z.object({
  fencingToken: z.number(),
  roomMillis: amount,
  freeMillis: amount,
  largestFreeMillis: amount,
  ahead: z.array(z.tuple([z.number(), amount, amount])),
  runTimes: z.array(z.tuple([z.string(), amount]))
})

/**
 * Encodes a backlog for the store.
 *
 * @param record - the backlog and its duty
 * @returns the text of the record
 * @public
 */
export function encodeBacklog ({ fencingToken, backlog }: BacklogRecord): string {
  const ahead = backlog.ahead.map(({ priority, waitMs, taskMillis }) => [priority, waitMs, taskMillis])
  return `${TAG}${JSON.stringify({ fencingToken, ...backlog, ahead })}`
}

/**
 * Decodes a stored backlog.
 *
 * @param text - the text of the record
 * @returns the record, or why it is malformed
 * @public
 */
export function decodeBacklog (text: string): Result<BacklogRecord, DecodeProblem> {
  return decodeJson(backlogRecordSchema, text.startsWith(TAG) ? text.slice(TAG.length) : text).map(({ fencingToken, ahead, ...rest }) => ({
    fencingToken, backlog: { ...rest, ahead: ahead.map(([priority, waitMs, taskMillis]) => ({ priority, waitMs, taskMillis })) }
  }))
}
