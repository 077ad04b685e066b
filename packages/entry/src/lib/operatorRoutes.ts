/**
 * What operators can ask of an entry host, and what entry hosts ask each other for them.
 *
 * @module
 */
import { z } from 'zod'
import { DECLARATION_KINDS, QuillscaleError, type DeclarationKind, type EntryHostId, type HostId } from '@quillscale/model'
import { claimPool, hostLabels, orderClaims } from '@quillscale/fleet'
import { documentNameOf } from '@quillscale/configuration'
import { explainPlan, planEffect } from './planEffect.js'
import { bufferStatus, budgetStatus, localStatus, type LocalStatus } from './statusReports.js'
import type { EntryHostParts } from './EntryHostParts.js'
import type { OperatorHandler, OperatorRequest, OperatorRoutes } from './OperatorServer.js'

const ASK_TIMEOUT_MS = 1500
const nameSchema = z.object({ name: z.string() })

interface OperatorTopic { readonly topic: string, readonly answer: (parts: EntryHostParts, body: unknown) => unknown }

/** Answers given to other entry hosts on behalf of their operators. @internal */
export const OPERATOR_TOPICS = {
  status: { topic: 'operator/status', answer: (parts) => localStatus(parts) },
  versions: { topic: 'operator/versions', answer: (parts) => parts.sync.report() },
  explainHost: { topic: 'operator/explain-host', answer: (parts, body) => explainHost(parts, nameSchema.parse(body).name) ?? null },
  plan: { topic: 'operator/plan', answer: (parts, body) => planEffect(parts, body) },
  explainRequest: { topic: 'operator/explain-request', answer: (parts, body) => parts.requestLog.find(nameSchema.parse(body).name) ?? null }
} as const satisfies Record<string, OperatorTopic>

/** @param parts - of this entry host @returns the routes @internal */
export function createOperatorRoutes (parts: EntryHostParts): OperatorRoutes {
  const routes: Record<string, OperatorHandler> = {
    'GET /v1/status': () => status(parts),
    'GET /v1/revisions': () => askAll(parts, OPERATOR_TOPICS.versions, {}),
    'GET /v1/metrics': () => parts.metrics.render() + renderGauges(parts),
    'GET /v1/declarations': (request) => listDeclarations(parts, request),
    'POST /v1/edits': async ({ body }) => await parts.editDesk.handle(body),
    'POST /v1/plan': ({ body }) => explainPlan(parts, body, (zoneBody) => askAll(parts, OPERATOR_TOPICS.plan, zoneBody)),
    'GET /v1/explain/host/': ({ rest }) => explainAnywhere(parts, 'explainHost', rest),
    'GET /v1/explain/job/': ({ rest }) => parts.jobs.get(rest),
    'GET /v1/explain/request/': ({ rest }) => explainAnywhere(parts, 'explainRequest', rest)
  }
  return routes
}

interface Asked { readonly entryHostId: EntryHostId, readonly isReachable: boolean, readonly answer: unknown }

/** Asks this and all other entry hosts, and names those that do not answer. */
async function askAll (parts: EntryHostParts, { topic, answer }: OperatorTopic, body: unknown): Promise<Asked[]> {
  const own: Asked = { entryHostId: parts.self.entryHostId, isReachable: true, answer: answer(parts, body) }
  const others = parts.mesh.members().map(async ({ entryHostId, state }): Promise<Asked> => {
    const asked = state === 'unreachable' ? undefined : await parts.mesh.request(entryHostId, topic, body, ASK_TIMEOUT_MS)
    return { entryHostId, isReachable: asked?.ok === true, answer: asked?.ok === true ? asked.val : null }
  })
  return [own, ...await Promise.all(others)]
}

async function explainAnywhere (parts: EntryHostParts, kind: 'explainHost' | 'explainRequest', name: string): Promise<unknown> {
  const asked = await askAll(parts, OPERATOR_TOPICS[kind], { name })
  const found = asked.find(({ answer }) => answer !== null && answer !== undefined)
  if (found === undefined) throw new QuillscaleError('no-such-route', `no entry host in reach knows ${name}`)
  return { answeredBy: found.entryHostId, ...found.answer as object }
}

async function status (parts: EntryHostParts): Promise<unknown> {
  const members = parts.mesh.members().map(({ entryHostId, availabilityZone, state, incarnation }) => ({ entryHostId, availabilityZone, state, incarnation }))
  const entryHosts = await askAll(parts, OPERATOR_TOPICS.status, {})
  const answers = entryHosts.flatMap(({ answer }) => answer === null ? [] : [answer as LocalStatus])
  const movesDone = parts.fleetView.allZoneHosts.reduce((sum, zone) => sum + zone.movesDone, 0)
  return { members, entryHosts, movesDone, budgets: budgetStatus(parts), buffer: bufferStatus(parts, answers) }
}

function renderGauges (parts: EntryHostParts): string {
  const lines: string[] = []
  for (const { name, router } of parts.registry.services.values()) {
    lines.push(`quillscale_queued{service="${name}"} ${router.queued}`, `quillscale_usable_slots{service="${name}"} ${router.usableSlots}`)
  }
  for (const [kind, count] of parts.platformCalls) lines.push(`quillscale_platform_calls_total{kind="${kind}"} ${count}`)
  const { sentBytes, receivedBytes } = parts.mesh.traffic
  lines.push(`quillscale_peer_bytes_total{direction="sent"} ${sentBytes}`, `quillscale_peer_bytes_total{direction="received"} ${receivedBytes}`)
  return lines.join('\n') + '\n'
}

function listDeclarations (parts: EntryHostParts, { query }: OperatorRequest): unknown {
  const kind = query.get('kind')
  const name = query.get('name')
  const kinds = kind === null ? DECLARATION_KINDS : DECLARATION_KINDS.filter((known) => known === kind)
  if (kinds.length === 0) throw new QuillscaleError('no-such-route', `no kind ${kind ?? ''}; there are ${DECLARATION_KINDS.join(', ')}`)
  const found = kinds.flatMap((one: DeclarationKind) => [...parts.replica.declarations(one).values()]
    .filter((declaration) => name === null || declaration.name === name)
    .map((declaration) => ({ schemaVersion: 1, kind: one, name: declaration.name, baseRevision: declaration.revision, spec: declaration.spec })))
  if (name !== null && found.length === 0) throw new QuillscaleError('no-such-route', `no ${kind ?? 'declaration'} ${name}`)
  return { declarations: found }
}

function explainHost (parts: EntryHostParts, name: string): unknown {
  const placed = parts.registry.placed.get(name as HostId)
  if (placed === undefined) return undefined
  const declared = parts.replica.declarations('host').get(name)
  const labels = hostLabels(placed.host, declared?.spec, placed.pool)
  const { claims } = claimPool(hostLabels(placed.host, declared?.spec), orderClaims(parts.replica.declarations('pool').values()))
  return {
    host: placed.host,
    labels,
    declaredIn: { document: documentNameOf('host', name), revision: declared?.revision ?? null },
    pool: placed.pool ?? null,
    claimedBy: claims,
    rule: claims.length > 1 ? 'several pools claim it: the higher priority wins, then the name that sorts first' : claims.length === 1 ? 'one pool claims it' : 'no pool claims it',
    services: placed.services,
    isLeaving: placed.isLeaving,
    leavingReason: placed.leavingReason ?? null,
    work: parts.fleetView.work(name as HostId) ?? null,
    waits: parts.fleet.reasonOf(name as HostId) ?? null,
    permits: placed.services.filter((service) => parts.fleetView.ledger(service).permits[name] !== undefined)
  }
}
