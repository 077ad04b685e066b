/**
 * The settings of one entry host, strictly checked.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { Err, Ok, type Result } from '@quillscale/utils'
import { fieldProblems, isAvailabilityZone, isEntryHostId, isHostId, type AvailabilityZone, type EntryHostId, type FieldProblem, type HostId } from '@quillscale/model'

const port = z.number().int().min(0).max(65_535)
const key = z.string().min(16, 'must have at least 16 characters, such as the output of: openssl rand -hex 32')
const addressPort = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be ADDRESS:PORT, such as "10.0.1.7:7401"')
const tlsSchema = z.strictObject({
  certificateFile: z.string().min(1).describe('PEM file with the certificate and its chain'),
  keyFile: z.string().min(1).describe('PEM file with the private key')
})

const memoryHostSchema = z.strictObject({
  hostId: z.custom<HostId>(isHostId, 'must be a host id'),
  availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone, 'must be an availability zone'),
  rack: z.string().min(1),
  address: z.string().min(1),
  port,
  version: z.string().default('1'),
  role: z.enum(['worker', 'entry']).default('worker'),
  state: z.enum(['live', 'leaving', 'gone']).default('live')
})

/** Checks the settings; the reference in docs/operate is made from it. @public */
export const settingsSchema = z.strictObject({
  entryHostId: z.custom<EntryHostId>(isEntryHostId, 'must be 1 to 63 letters, digits, dots, dashes or underscores')
    .describe('Name of this entry host; the platform lists it under the same name'),
  availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone, 'must be 1 to 63 letters, digits, dots, dashes or underscores')
    .describe('Availability zone this entry host is in'),
  caller: z.strictObject({
    address: z.string().default('0.0.0.0').describe('Where the callers’ interface listens'),
    port: port.describe('Port of the callers’ interface; 0 takes a free one'),
    tls: tlsSchema.optional().describe('Certificate of the callers’ interface')
  }),
  operator: z.strictObject({
    address: z.string().default('0.0.0.0').describe('Where the operators’ and peers’ interface listens'),
    port: port.describe('Port of the operators’ and peers’ interface; 0 takes a free one'),
    advertisedAddress: z.string().min(1).default('127.0.0.1').describe('IP number under which peers reach this entry host'),
    advertisedPort: port.optional().describe('Port under which peers reach this entry host, when it is not `port`'),
    tls: tlsSchema.optional().describe('Certificate of the operators’ and peers’ interface'),
    keys: z.array(key).min(1).describe('Operators’ keys; all are valid, so that they can be rotated')
  }),
  peers: z.strictObject({
    seeds: z.array(addressPort).default([]).describe('Addresses of some other entry hosts; the rest are learned from them and from the platform'),
    keys: z.array(key).min(1).describe('Keys between entry hosts; the first is used, all are accepted'),
    bindAddress: z.string().optional().describe('Own IP number for outgoing links, on a host that has several'),
    caFile: z.string().optional().describe('PEM file of the authority of the peers’ certificates; turns TLS on for outgoing links')
  }),
  platform: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('http'),
      endpoint: z.url().describe('Endpoint of the platform’s service'),
      callTimeoutMs: z.number().int().positive().default(2000).describe('How long a call may take')
    }),
    z.strictObject({
      kind: z.literal('memory'),
      hosts: z.array(memoryHostSchema).default([]).describe('The fleet, for a first try on one machine'),
      declarationFiles: z.array(z.string()).default([]).describe('Declarations to start with')
    })
  ]).describe('The platform: `http`, or `memory` inside the process'),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info').describe('Least severe level that is logged')
  }).default({ level: 'info' }),
  limits: z.strictObject({
    memoryMb: z.number().positive().default(1024).describe('Memory that the process may use, in MB; what callers can make it hold is derived from it'),
    maxDescriptors: z.number().int().positive().default(16_384).describe('Descriptors that the process may open; half of them are for callers')
  }).default({ memoryMb: 1024, maxDescriptors: 16_384 }),
  stop: z.strictObject({
    balancerNoticeMs: z.number().int().nonnegative().default(3000).describe('How long the health check fails before new requests are refused'),
    drainTimeoutMs: z.number().int().positive().default(60_000).describe('How long requests in flight may take at a planned stop')
  }).default({ balancerNoticeMs: 3000, drainTimeoutMs: 60_000 }),
  idempotency: z.strictObject({
    retentionMs: z.number().int().positive().default(600_000).describe('How long after its creation an Idempotency-Key can be used'),
    clockSkewMs: z.number().int().positive().default(2000).describe('How far the clocks of callers and entry hosts may differ')
  }).default({ retentionMs: 600_000, clockSkewMs: 2000 }),
  timing: z.strictObject({
    hostListMs: z.number().int().positive().default(1000).describe('How often the zone’s holder reads the list of hosts'),
    zoneLeaseMs: z.number().int().min(1000).default(6000).describe('How long the zone’s lease lasts without renewal'),
    heartbeatMs: z.number().int().positive().default(1000).describe('Heartbeats within a zone'),
    crossZoneHeartbeatMs: z.number().int().positive().default(1500).describe('Heartbeats between zones'),
    maintenanceTickMs: z.number().int().positive().default(1000).describe('How often the zone’s holder decides about its hosts')
  }).default({ hostListMs: 1000, zoneLeaseMs: 6000, heartbeatMs: 1000, crossZoneHeartbeatMs: 1500, maintenanceTickMs: 1000 })
})

/** The settings of one entry host. @public */
export type Settings = z.infer<typeof settingsSchema>

/**
 * Checks settings.
 *
 * @param raw - parsed JSON
 * @returns the settings with their defaults, or every refused field
 * @public
 */
export function parseSettings (raw: unknown): Result<Settings, FieldProblem[]> {
  const parsed = settingsSchema.safeParse(raw)
  return parsed.success ? Ok(parsed.data) : Err(fieldProblems(parsed.error))
}

/**
 * Reads and checks a settings file and the files it names.
 *
 * @param file - its path
 * @returns the settings, or every problem
 * @public
 */
export function readSettings (file: string): Result<Settings, FieldProblem[]> {
  let raw: unknown
  try {
    raw = JSON.parse(readFileSync(file, 'utf8'))
  } catch (error) {
    return Err([{ path: '(file)', reason: `cannot be read as JSON: ${error instanceof Error ? error.message : String(error)}` }])
  }
  const parsed = parseSettings(raw)
  if (parsed.err) return parsed
  const problems = fileProblems(parsed.val)
  return problems.length > 0 ? Err(problems) : parsed
}

function fileProblems (settings: Settings): FieldProblem[] {
  const named: Array<[string, string | undefined]> = [
    ['caller.tls.certificateFile', settings.caller.tls?.certificateFile], ['caller.tls.keyFile', settings.caller.tls?.keyFile],
    ['operator.tls.certificateFile', settings.operator.tls?.certificateFile], ['operator.tls.keyFile', settings.operator.tls?.keyFile],
    ['peers.caFile', settings.peers.caFile]
  ]
  return named.flatMap(([path, file]) => {
    try {
      if (file !== undefined) readFileSync(file)
      return []
    } catch (error) {
      return [{ path, reason: `cannot be read: ${error instanceof Error ? error.message : String(error)}` }]
    }
  })
}
