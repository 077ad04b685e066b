/**
 * The documents of the platform in which decisions about hosts are kept, with their checks.
 *
 * @module
 */
import { z } from 'zod'
import { isAvailabilityZone, isHostId, type AvailabilityZone, type HostId } from '@quillscale/model'

const hostId = z.custom<HostId>(isHostId)
const availabilityZone = z.custom<AvailabilityZone>(isAvailabilityZone)

/** What is being done to a host. */
const workSchema = z.object({
  /** `draining`: no new work; `rebooting`: ordered; `verifying`: back, not yet trusted; `failed`: did not come back. */
  phase: z.enum(['draining', 'rebooting', 'verifying', 'failed']),
  /** Since when, in milliseconds since 1970. */
  sinceMs: z.number(),
  startedMs: z.number(),
  /** The maintenance that wants it, if any. */
  maintenance: z.string().optional(),
  wantedVersion: z.string().optional(),
  /** The pool it goes to afterwards, where that changes. */
  moveTo: z.string().nullable().optional()
})

const zoneHostSchema = z.object({
  /** The pool it is in; `null` for none. */
  pool: z.string().nullable(),
  work: workSchema.optional()
})

const waveSchema = z.object({ done: z.number().int(), failedRacks: z.array(z.string()) })

/** Checks the document of a zone's hosts: one compare-and-swap carries a batch of moves and of maintenance. @public */
export const zoneHostsSchema = z.object({
  schemaVersion: z.literal(1).default(1),
  revision: z.number().int().nonnegative(),
  /** Of the holder that wrote it; an older holder must not write any more. */
  fencingToken: z.number(),
  hosts: z.record(z.string(), zoneHostSchema),
  /** Results of each maintenance and version, as `name@version`. */
  waves: z.record(z.string(), waveSchema),
  /** Moves of hosts between pools that were completed. */
  movesDone: z.number().int().default(0),
  /** Learned time from the start of a drain until the host is trusted again. */
  hostTimeMs: z.number().optional()
})

/** Checks a zone's report of what is unavailable. @public */
export const zoneReportSchema = z.object({
  revision: z.number().int().nonnegative(),
  availabilityZone,
  atMs: z.number(),
  services: z.record(z.string(), z.object({
    total: z.number().int(),
    /** Hosts that are out, each with its failure domain. */
    unavailable: z.array(z.tuple([hostId, z.string()])),
    /** Hosts that still need maintenance. */
    due: z.number().int().default(0)
  }))
})

const permitSchema = z.object({ availabilityZone, rack: z.string(), purpose: z.enum(['maintenance', 'move']), grantedMs: z.number() })

/** Checks a service's ledger of permits. @public */
export const ledgerSchema = z.object({
  revision: z.number().int().nonnegative(),
  permits: z.record(z.string(), permitSchema)
})

/** Work on a host. @public */
export type HostWork = z.infer<typeof workSchema>
/** A host of a zone, as agreed. @public */
export type ZoneHost = z.infer<typeof zoneHostSchema>
/** A zone's hosts. @public */
export type ZoneHostsDocument = z.infer<typeof zoneHostsSchema>
/** A zone's report. @public */
export type ZoneReport = z.infer<typeof zoneReportSchema>
/** A service's permits. @public */
export type Ledger = z.infer<typeof ledgerSchema>
/** One permit. @public */
export type Permit = z.infer<typeof permitSchema>

/** A zone without hosts. @public */
export const EMPTY_ZONE_HOSTS: ZoneHostsDocument = { schemaVersion: 1, revision: 0, fencingToken: 0, hosts: {}, waves: {}, movesDone: 0 }
/** A ledger without permits. @public */
export const EMPTY_LEDGER: Ledger = { revision: 0, permits: {} }
