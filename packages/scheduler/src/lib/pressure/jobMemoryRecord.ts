/**
 * Encodes the memory that the jobs of a service take, for the hosts that accept its jobs.
 *
 * @module
 */
import * as z from 'zod'
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'

const bytes = z.number().nonnegative()
const jobMemorySchema = z.object({ allBytes: bytes, accounts: z.array(z.tuple([z.string(), bytes])) })

/** Memory of the jobs of a service, and of the accounts that take the most of it; the empty name stands for jobs without an account. @public */
export type JobMemoryRecord = z.infer<typeof jobMemorySchema>

/** Begins each record. Hosts of older versions list the key among the duties and show what stands before the `#` as its holder. */
const TAG = 'memory#'

/** @param record - the memory of the jobs of a service @returns the text of the record @public */
export const encodeJobMemory = (record: JobMemoryRecord): string => `${TAG}${JSON.stringify(record)}`

/** @param text - the text of a record @returns the record, or why it is malformed @public */
export const decodeJobMemory = (text: string): Result<JobMemoryRecord, DecodeProblem> =>
  decodeJson(jobMemorySchema, text.startsWith(TAG) ? text.slice(TAG.length) : text)
