/**
 * What operators declare in files under version control, with its checks beside the types.
 *
 * @module
 */
import { z } from 'zod'
import { labelSelectorSchema, labelsSchema } from './LabelSelector.js'

/** The schema version that this program writes. @public */
export const DECLARATION_SCHEMA_VERSION = 1

const MAX_TIMEOUT_MS = 24 * 3_600_000
const nameSchema = z.string().regex(/^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$/, 'must be 1 to 63 letters, digits, dots, dashes or underscores')
const timeoutMs = z.number().int().positive().max(MAX_TIMEOUT_MS)
const countOrShare = z.union([
  z.number().int().nonnegative(),
  z.string().regex(/^(100|\d{1,2})%$/, 'must be a count such as 2 or a share such as "25%"')
])

/** A set of hosts that are used for the same services. @public */
export const poolSpecSchema = z.strictObject({
  /** Which hosts belong to it. */
  selector: labelSelectorSchema,
  /** Slots for jobs that each of its hosts offers, beside the slots of its services. */
  jobSlots: z.number().int().nonnegative().max(1000).default(0),
  /** Decides when selectors of two pools claim one host; the higher wins, then the name that sorts first. */
  priority: z.number().int().min(-1000).max(1000).default(0),
  /** How many working hosts it should have in each availability zone; hosts beyond are left to other pools. */
  wantedHostsPerZone: z.number().int().nonnegative().optional(),
  /** Which hosts of pools with a lower priority it may use while it has fewer working hosts than wanted. */
  spareSelector: labelSelectorSchema.optional()
})

/** How much of a service may be unavailable at once. @public */
export const availabilityBudgetSchema = z.strictObject({
  /** Over the whole service. */
  maxUnavailable: countOrShare,
  /** Within one failure domain (rack), besides the whole. */
  maxUnavailablePerDomain: countOrShare.optional()
})

/** A class of requests of a service. @public */
export const requestClassSchema = z.strictObject({
  name: nameSchema,
  /** `urgent` goes before `normal`, which goes before `batch`. */
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  /** A request's deadline when the caller states none. */
  deadlineMs: timeoutMs.default(10_000)
})

/** Something that callers send requests to, served by targets on hosts. @public */
export const serviceSpecSchema = z.strictObject({
  /** Which hosts run it; the label `pool` stands for the host's pool. */
  selector: labelSelectorSchema,
  /** How callers name it. */
  route: z.strictObject({
    hostnames: z.array(z.string().min(1)).default([]),
    pathPrefix: z.string().startsWith('/').default('/')
  }),
  /** The port of its targets, when it isn't the one in the list of hosts. */
  port: z.number().int().min(1).max(65_535).optional(),
  /** How many requests a target runs at once. */
  slotsPerTarget: z.number().int().min(1).max(10_000).default(8),
  budget: availabilityBudgetSchema,
  /** Methods whose requests may be sent again. */
  repeatableMethods: z.array(z.string().regex(/^[A-Z]+$/)).default(['GET', 'HEAD', 'OPTIONS']),
  classes: z.array(requestClassSchema).min(1).max(16).default([{ name: 'default', priority: 'normal', deadlineMs: 10_000 }]),
  /** The request header that names the class; without it the first class applies. */
  classHeader: z.string().toLowerCase().optional(),
  /** The request headers that together name the tenant. */
  tenantHeaders: z.array(z.string().toLowerCase()).max(4).default([]),
  /** Weights of tenants that differ from 1. */
  tenantWeights: z.record(z.string(), z.number().positive().max(1000)).default({}),
  maxRequestBodyBytes: z.number().int().positive().default(8 * 1024 * 1024),
  /** How many requests may wait on one entry host. */
  maxQueuedRequests: z.number().int().nonnegative().max(100_000).default(256),
  /** Whether a target must repeat the request id in its answer. */
  requireRequestIdEcho: z.boolean().default(false),
  /** Asked of targets that have had no request for a while; any answer below 500 counts as well. */
  probePath: z.string().startsWith('/').default('/health')
})

/** One period of a day or week in which maintenance may start, in UTC. @public */
export const maintenanceWindowSchema = z.strictObject({
  daysOfWeek: z.array(z.enum(['sun', 'mon', 'tue', 'wed', 'thu', 'fri', 'sat'])).min(1).default(['sun', 'mon', 'tue', 'wed', 'thu', 'fri', 'sat']),
  startTime: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be a time of day such as "02:30"'),
  durationMs: timeoutMs
})

/** A wanted version for selected hosts. @public */
export const maintenanceSpecSchema = z.strictObject({
  selector: labelSelectorSchema,
  wantedVersion: z.string().min(1).max(253),
  /** Without windows maintenance may start at any time. */
  windows: z.array(maintenanceWindowSchema).max(64).default([]),
  /** How many hosts go first and must succeed before the wave widens. */
  canaryHosts: z.number().int().positive().max(1000).default(1),
  /** Once the first hosts succeeded, this many times the successes may be under way at once. */
  wideningFactor: z.number().min(1).max(100).default(4),
  /** How many hosts of one failure domain may fail before the wave stops there. */
  maxFailuresPerDomain: z.number().int().positive().default(1),
  drainTimeoutMs: timeoutMs.default(60_000),
  rebootTimeoutMs: timeoutMs.default(600_000),
  paused: z.boolean().default(false)
})

/** A quota for long-running work. @public */
export const teamSpecSchema = z.strictObject({
  quotaSlots: z.number().int().nonnegative(),
  weight: z.number().positive().max(1000).default(1)
})

/** Labels of one host. @public */
export const hostSpecSchema = z.strictObject({
  labels: labelsSchema,
  /** Takes the host out of service until it is declared otherwise. */
  drained: z.boolean().default(false)
})

/** The check of each kind's spec. @public */
export const SPEC_SCHEMAS = {
  pool: poolSpecSchema,
  service: serviceSpecSchema,
  maintenance: maintenanceSpecSchema,
  team: teamSpecSchema,
  host: hostSpecSchema
} as const

/** The kinds of declarations. @public */
export type DeclarationKind = keyof typeof SPEC_SCHEMAS
/** All kinds, in the order in which they are listed. @public */
export const DECLARATION_KINDS = Object.keys(SPEC_SCHEMAS) as DeclarationKind[]

/** A pool's spec. @public */
export type PoolSpec = z.infer<typeof poolSpecSchema>
/** A service's spec. @public */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>
/** A maintenance's spec. @public */
export type MaintenanceSpec = z.infer<typeof maintenanceSpecSchema>
/** A team's spec. @public */
export type TeamSpec = z.infer<typeof teamSpecSchema>
/** A host's spec. @public */
export type HostSpec = z.infer<typeof hostSpecSchema>
/** An availability budget. @public */
export type AvailabilityBudget = z.infer<typeof availabilityBudgetSchema>
/** A class of requests. @public */
export type RequestClass = z.infer<typeof requestClassSchema>
/** A maintenance window. @public */
export type MaintenanceWindow = z.infer<typeof maintenanceWindowSchema>
/** Maps each kind to its spec. @public */
export interface SpecByKind { pool: PoolSpec, service: ServiceSpec, maintenance: MaintenanceSpec, team: TeamSpec, host: HostSpec }

const envelopeSchema = z.strictObject({
  schemaVersion: z.number().int().positive().default(DECLARATION_SCHEMA_VERSION),
  kind: z.enum(DECLARATION_KINDS as [DeclarationKind, ...DeclarationKind[]]),
  name: nameSchema,
  /** The revision the file was made from; an edit of the same fields since then is refused. */
  baseRevision: z.number().int().nonnegative().optional(),
  spec: z.record(z.string(), z.unknown())
})

/** One declaration as it stands in a file. @public */
export interface Declaration<K extends DeclarationKind = DeclarationKind> {
  readonly schemaVersion: number
  readonly kind: K
  readonly name: string
  readonly baseRevision?: number | undefined
  readonly spec: SpecByKind[K]
}

/** A field that was refused. @public */
export interface FieldProblem {
  /** Such as `spec.budget.maxUnavailable`. */
  readonly path: string
  readonly reason: string
}

/** Changes a raw declaration of one version into one of the next; newer programs add rows. @public */
export const DECLARATION_MIGRATIONS: Record<number, (raw: Record<string, unknown>) => Record<string, unknown>> = {}

function migrate (raw: unknown): unknown {
  let current = raw
  while (typeof current === 'object' && current !== null && 'schemaVersion' in current) {
    const migration = DECLARATION_MIGRATIONS[Number(current.schemaVersion)]
    if (migration === undefined) return current
    current = migration(current as Record<string, unknown>)
  }
  return current
}

/**
 * Lists what a check refused, field by field.
 *
 * @param error - the check's error
 * @param prefix - the path of what was checked
 * @returns a problem for each field
 * @public
 */
export function fieldProblems (error: z.ZodError, prefix = ''): FieldProblem[] {
  return error.issues.map((issue) => {
    const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : []
    const steps = [...(prefix === '' ? [] : [prefix]), ...issue.path.map(String), ...unknownKeys.slice(0, 1)]
    const reason = unknownKeys.length > 0 ? 'is not a known field' : issue.message
    return { path: steps.join('.') || '(whole)', reason }
  })
}

/**
 * Checks one declaration of any kind.
 *
 * @param raw - parsed JSON
 * @returns the declaration with its defaults, or every refused field
 * @public
 */
export function parseDeclaration (raw: unknown): { declaration: Declaration } | { problems: FieldProblem[] } {
  const envelope = envelopeSchema.safeParse(migrate(raw))
  if (!envelope.success) return { problems: fieldProblems(envelope.error) }
  if (envelope.data.schemaVersion > DECLARATION_SCHEMA_VERSION) {
    return { problems: [{ path: 'schemaVersion', reason: `is newer than this program knows (${DECLARATION_SCHEMA_VERSION})` }] }
  }
  const spec = SPEC_SCHEMAS[envelope.data.kind].safeParse(envelope.data.spec)
  if (!spec.success) return { problems: fieldProblems(spec.error, 'spec') }
  return { declaration: { ...envelope.data, spec: spec.data } as Declaration }
}
