/**
 * Stored division of an account's limit among services: one record for each account, changed by compare-and-swap.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import type { AccountName } from '@quillscale/ports'
import type { QuotaClaim } from '@quillscale/policy'
import * as z from 'zod'

/** Prefix of the record keys. @public */
export const QUOTA_PREFIX = 'quotas/'
/** @param account - account name @returns the key of its record @public */
export const quotaKey = (account: AccountName): string => `${QUOTA_PREFIX}${encodeURIComponent(account)}`

const amountSchema = z.number().nonnegative()
const resourcesSchema = z.object({ cpuMillis: amountSchema, memoryMb: amountSchema, gpus: amountSchema })
const claimSchema = z.object({
  service: z.string().min(1), granted: resourcesSchema, wanted: resourcesSchema, first: resourcesSchema, lackingSinceMs: z.number().optional()
})
const recordSchema = z.object({ account: z.custom<AccountName>((value) => typeof value === 'string'), claims: z.array(claimSchema) })

/** The grants and wants of all services that run jobs of an account. @public */
export interface QuotaRecord {
  readonly account: AccountName
  /** At most one for each service. */
  readonly claims: readonly QuotaClaim[]
}

/** @param record - the record @returns its stored text @public */
export function encodeQuotaRecord ({ account, claims }: QuotaRecord): string {
  return JSON.stringify({
    account,
    claims: claims.map(({ service, granted, wanted, first, lackingSinceMs }) => ({ service, granted, wanted, first, lackingSinceMs }))
  })
}

/** @param text - the stored text @returns the record, or why it cannot be decoded @public */
export function decodeQuotaRecord (text: string): Result<QuotaRecord, DecodeProblem> {
  return decodeJson(recordSchema, text).map(({ account, claims }) =>
    ({ account, claims: claims.map((claim) => ({ ...claim, lackingSinceMs: claim.lackingSinceMs })) }))
}
