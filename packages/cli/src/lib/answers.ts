/**
 * The shapes of entry hosts' answers that the command prints.
 *
 * @module
 */
import { z } from 'zod'

const edit = z.object({ kind: z.string(), name: z.string(), documentName: z.string(), revision: z.number(), changedFields: z.array(z.string()) })
/** What edits did. @public */
export const editReportSchema = z.object({ dryRun: z.boolean(), edits: z.array(edit) })

/** What is in force at each entry host. @public */
export const revisionsSchema = z.array(z.object({
  entryHostId: z.string(),
  isReachable: z.boolean(),
  answer: z.object({ isComplete: z.boolean(), documents: z.array(z.object({ documentName: z.string(), revision: z.number(), digest: z.number() })) }).nullable()
}))

/** Declarations in force. @public */
export const declarationsSchema = z.object({
  declarations: z.array(z.object({
    schemaVersion: z.number(), kind: z.string(), name: z.string(), baseRevision: z.number(), spec: z.record(z.string(), z.unknown())
  }))
})

const service = z.object({
  name: z.string(), targets: z.number(), targetsInService: z.number(), usableSlots: z.number(), inFlight: z.number(), queued: z.number()
})
const requests = z.object({
  service: z.string(), tenant: z.string(), requestClass: z.string(), results: z.record(z.string(), z.number()), p50Ms: z.number(), p99Ms: z.number()
})
/** What one entry host tells of itself. @public */
export const localStatusSchema = z.object({
  entryHostId: z.string(),
  availabilityZone: z.string(),
  isReady: z.boolean(),
  isZoneHolder: z.boolean(),
  digest: z.number(),
  ownedKeyShards: z.number(),
  inFlight: z.number(),
  services: z.array(service),
  requests: z.array(requests),
  work: z.array(z.object({ hostId: z.string(), phase: z.string(), why: z.string().nullable(), maintenance: z.string().nullable() })),
  residentBytes: z.number()
})
/** What all entry hosts tell. @public */
export const statusSchema = z.object({
  members: z.array(z.object({ entryHostId: z.string(), availabilityZone: z.string(), state: z.string(), incarnation: z.number() })),
  entryHosts: z.array(z.object({ entryHostId: z.string(), isReachable: z.boolean(), answer: localStatusSchema.nullable() })),
  budgets: z.array(z.object({ service: z.string(), total: z.number(), unavailable: z.number(), left: z.number(), permits: z.array(z.string()) })),
  buffer: z.object({
    sharedHosts: z.number(),
    unsharedHosts: z.number(),
    held: z.array(z.object({ service: z.string(), promise: z.string(), slots: z.number() }))
  })
})

/** What a change would do to hosts. @public */
export const planSchema = z.object({
  edits: z.array(edit),
  moves: z.array(z.object({ hostId: z.string(), from: z.string().nullable(), to: z.string().nullable(), isDrained: z.boolean() })),
  maintenance: z.array(z.object({ hostId: z.string(), maintenance: z.string(), wantedVersion: z.string() })),
  ambiguous: z.array(z.object({ hostId: z.string(), claimedBy: z.array(z.string()) })),
  notAsked: z.array(z.string())
})
