/**
 * How an account's limit is divided among services, as it is kept: one record an account, changed by compare-and-swap.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import type { AccountName } from '@quillscale/ports'
import type { QuotaClaim } from '@quillscale/policy'
import * as z from 'zod'

/** Below which the records are. @public */
export const QUOTA_PREFIX = 'quotas/'
/** @param account - any @returns where its record is @public */
export const quotaKey = (account: AccountName): string => `${QUOTA_PREFIX}${encodeURIComponent(account)}`

const amount = z.number().nonnegative()
const resourcesSchema = z.object({ cpuMillis: amount, memoryMb: amount, gpus: amount })
const claimSchema = z.object({
  service: z.string().min(1), granted: resourcesSchema, wanted: resourcesSchema, first: resourcesSchema, lackingSinceMs: z.number().optional()
})
const recordSchema = z.object({ account: z.custom<AccountName>((value) => typeof value === 'string'), claims: z.array(claimSchema) })

/** A record. @public */
export interface QuotaRecord {
  readonly account: AccountName
  /** One a service at most. */
  readonly claims: readonly QuotaClaim[]
}

/** @param record - of an account @returns it as text @public */
export function encodeQuotaRecord ({ account, claims }: QuotaRecord): string {
  return JSON.stringify({
    account,
    claims: claims.map(({ service, granted, wanted, first, lackingSinceMs }) => ({ service, granted, wanted, first, lackingSinceMs }))
  })
}

/** @param text - as kept @returns the record, or why it cannot be read @public */
export function decodeQuotaRecord (text: string): Result<QuotaRecord, DecodeProblem> {
  return decodeJson(recordSchema, text).map(({ account, claims }) =>
    ({ account, claims: claims.map((claim) => ({ ...claim, lackingSinceMs: claim.lackingSinceMs })) }))
}
