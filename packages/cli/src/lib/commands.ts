/**
 * The operators' commands.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { command, flag, multioption, array, number, oneOf, option, optional, positional, restPositionals, string } from 'cmd-ts'
import { DECLARATION_KINDS } from '@quillscale/model'
import { declarationsSchema, editReportSchema, planSchema, revisionsSchema, statusSchema } from './answers.js'
import { commonArgs, createClient } from './commandArgs.js'
import { EXIT_CODE } from './exitCodes.js'
import type { OperatorClient } from './OperatorClient.js'
import { print, type OutputFormat, type Row } from './printTable.js'
import { readDeclarations } from './readDeclarations.js'

const readFile = (path: string): string => readFileSync(path, 'utf8')
const POLL_MS = 100
const fileArg = option({ type: string, long: 'file', short: 'f', description: 'a file with declarations, or a folder of such files' })

/** Ends the command with a message. @public */
export class CommandFailure extends Error {
  override readonly name = 'CommandFailure'

  /** @param exitCode - of the command @param message - for the operator */
  constructor (readonly exitCode: number, message: string) {
    super(message)
  }
}

function readChecked (path: string): unknown[] {
  const { found, problems } = readDeclarations(path)
  if (problems.length > 0) {
    throw new CommandFailure(EXIT_CODE.badInput, problems.map(({ file, index, path, reason }) => `${file}[${index}]: ${path}: ${reason}`).join('\n'))
  }
  return found.map(({ declaration }) => declaration)
}

interface Acceptance { readonly documentName: string, readonly revision: number }

/** Waits until every entry host in reach has the revisions; names those that have not. */
async function waitInForce (client: OperatorClient, accepted: readonly Acceptance[], timeoutMs: number): Promise<{ lacking: string[], unreachable: string[] }> {
  const untilMs = performance.now() + timeoutMs
  for (;;) {
    const hosts = revisionsSchema.parse(await client.call('GET', '/v1/revisions'))
    const hasAll = (documents: ReadonlyArray<{ documentName: string, revision: number }>): boolean => accepted.every(({ documentName, revision }) =>
      (documents.find((document) => document.documentName === documentName)?.revision ?? 0) >= revision)
    const lacking = hosts.filter(({ isReachable, answer }) => isReachable && !hasAll(answer?.documents ?? [])).map(({ entryHostId }) => entryHostId)
    const unreachable = hosts.filter(({ isReachable }) => !isReachable).map(({ entryHostId }) => entryHostId)
    if (lacking.length === 0 || performance.now() > untilMs) return { lacking, unreachable }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

const editRows = (edits: ReadonlyArray<{ kind: string, name: string, revision: number, changedFields: string[] }>): Row[] => edits.map((edit) => ({
  declaration: `${edit.kind}/${edit.name}`,
  revision: edit.revision,
  change: edit.changedFields.length === 0 ? 'none' : edit.changedFields.join(' ')
}))

async function sendEdit (client: OperatorClient, output: OutputFormat, edit: Record<string, unknown>, wait: boolean, timeoutMs: number): Promise<void> {
  const report = editReportSchema.parse(await client.call('POST', '/v1/edits', { editId: randomUUID(), ...edit }))
  const inForce = wait && !report.dryRun ? await waitInForce(client, report.edits, timeoutMs) : undefined
  print(output, { ...report, inForce }, editRows(report.edits))
  for (const entryHostId of inForce?.unreachable ?? []) process.stderr.write(`${entryHostId} cannot be reached; it will get this once it can\n`)
  if (inForce !== undefined && inForce.lacking.length > 0) {
    throw new CommandFailure(EXIT_CODE.notInForce, `not in force yet at ${inForce.lacking.join(', ')}`)
  }
}

const apply = command({
  name: 'apply',
  description: `Make declarations be in force
Examples:
  quillscale apply -f declarations/ --wait
  quillscale apply -f pools.json --dry-run`,
  args: {
    ...commonArgs,
    file: fileArg,
    dryRun: flag({ long: 'dry-run', description: 'only tell which fields would change' }),
    wait: flag({ long: 'wait', description: 'return once every entry host in reach has it in force' }),
    timeoutMs: option({ type: number, long: 'timeout-ms', defaultValue: () => 10_000, description: 'how long --wait waits' })
  },
  handler: async (args) => {
    const client = createClient(args, readFile)
    await sendEdit(client, args.output, { declarations: readChecked(args.file), dryRun: args.dryRun }, args.wait, args.timeoutMs)
    await client.close()
  }
})

const diff = command({
  name: 'diff',
  description: 'Show which fields of files differ from what is in force\nExample:\n  quillscale diff -f declarations/',
  args: { ...commonArgs, file: fileArg },
  handler: async (args) => {
    const client = createClient(args, readFile)
    const report = editReportSchema.parse(await client.call('POST', '/v1/edits', { declarations: readChecked(args.file), dryRun: true }))
    const changed = report.edits.filter(({ changedFields }) => changedFields.length > 0)
    print(args.output, changed, editRows(changed))
    await client.close()
  }
})

const plan = command({
  name: 'plan',
  description: 'Show what files would move, drain and maintain, before they are applied\nExample:\n  quillscale plan -f declarations/',
  args: { ...commonArgs, file: fileArg },
  handler: async (args) => {
    const client = createClient(args, readFile)
    const report = planSchema.parse(await client.call('POST', '/v1/plan', { declarations: readChecked(args.file) }))
    const rows: Row[] = [
      ...report.moves.map(({ hostId, from, to, isDrained }) => ({ host: hostId, effect: 'move', detail: `${from ?? 'no pool'} to ${to ?? 'no pool'}${isDrained ? ', drained first' : ''}` })),
      ...report.maintenance.map(({ hostId, maintenance, wantedVersion }) => ({ host: hostId, effect: 'maintenance', detail: `${maintenance} to ${wantedVersion}` })),
      ...report.ambiguous.map(({ hostId, claimedBy }) => ({ host: hostId, effect: 'ambiguous', detail: `claimed by ${claimedBy.join(', ')}; the first wins` }))
    ]
    print(args.output, report, rows.length === 0 ? [{ host: '-', effect: 'none', detail: 'no host is moved, drained or maintained' }] : rows)
    for (const zone of report.notAsked) process.stderr.write(`no entry host of ${zone} can be reached; its hosts are not in this plan\n`)
    await client.close()
  }
})

const get = command({
  name: 'get',
  description: 'Show declarations in force; JSON output can be edited and applied again\nExamples:\n  quillscale get service\n  quillscale get host west-a-w00 -o json',
  args: {
    ...commonArgs,
    kind: positional({ type: optional(oneOf(DECLARATION_KINDS)), displayName: 'kind' }),
    name: positional({ type: optional(string), displayName: 'name' })
  },
  handler: async (args) => {
    const client = createClient(args, readFile)
    const query = new URLSearchParams({ ...(args.kind === undefined ? {} : { kind: args.kind }), ...(args.name === undefined ? {} : { name: args.name }) })
    const { declarations } = declarationsSchema.parse(await client.call('GET', `/v1/declarations?${query.toString()}`))
    print(args.output, declarations, declarations.map(({ kind, name, baseRevision, spec }) =>
      ({ kind, name, revision: baseRevision, spec: JSON.stringify(spec).slice(0, 100) })))
    await client.close()
  }
})

const remove = command({
  name: 'delete',
  description: 'Take declarations out of force\nExample:\n  quillscale delete pool old-pool',
  args: {
    ...commonArgs,
    kind: positional({ type: oneOf(DECLARATION_KINDS), displayName: 'kind' }),
    names: restPositionals({ type: string, displayName: 'name' })
  },
  handler: async (args) => {
    const client = createClient(args, readFile)
    await sendEdit(client, args.output, { deletions: args.names.map((name) => ({ kind: args.kind, name })) }, true, 10_000)
    await client.close()
  }
})

const label = command({
  name: 'label',
  description: `Set labels of hosts; KEY- removes one
Examples:
  quillscale label west-a-w00 use=spare
  quillscale label west-a-w00 west-a-w01 --set use=solution-checks --set tier-`,
  args: {
    ...commonArgs,
    set: multioption({ type: array(string), long: 'set', description: 'KEY=VALUE or KEY-' }),
    names: restPositionals({ type: string, displayName: 'host or KEY=VALUE' })
  },
  handler: async (args) => {
    const client = createClient(args, readFile)
    const isLabel = (text: string): boolean => text.includes('=') || text.endsWith('-')
    const changes = [...args.set, ...args.names.filter(isLabel)]
    const hosts = args.names.filter((name) => !isLabel(name))
    if (hosts.length === 0 || changes.length === 0) throw new CommandFailure(EXIT_CODE.badInput, 'name a host and a label such as use=spare')
    const declarations = await Promise.all(hosts.map(async (name) => relabel(client, name, changes)))
    await sendEdit(client, args.output, { declarations }, true, 10_000)
    await client.close()
  }
})

async function relabel (client: OperatorClient, name: string, changes: readonly string[]): Promise<unknown> {
  const { declarations } = declarationsSchema.parse(await client.call('GET', `/v1/declarations?kind=host&name=${encodeURIComponent(name)}`))
  const declared = declarations[0]
  const labels = { ...declared?.spec.labels as Record<string, string> }
  for (const change of changes) {
    const [key = '', ...value] = change.split('=')
    if (change.includes('=')) labels[key] = value.join('=')
    else Reflect.deleteProperty(labels, change.slice(0, -1))
  }
  return { ...declared, spec: { ...declared?.spec, labels } }
}

const status = command({
  name: 'status',
  description: 'Show entry hosts, services, budgets, work on hosts, the buffer and requests\nExample:\n  quillscale status',
  args: commonArgs,
  handler: async (args) => {
    const client = createClient(args, readFile)
    const report = statusSchema.parse(await client.call('GET', '/v1/status'))
    const reached = report.entryHosts.flatMap(({ answer }) => answer ?? [])
    const sections: Row[][] = [
      report.entryHosts.map(({ entryHostId, isReachable, answer }) => ({
        entryHost: entryHostId,
        zone: answer?.availabilityZone ?? null,
        reachable: isReachable,
        ready: answer?.isReady ?? null,
        holder: answer?.isZoneHolder ?? null,
        inFlight: answer?.inFlight ?? null,
        keyShards: answer?.ownedKeyShards ?? null,
        residentMB: answer === null ? null : Math.round(answer.residentBytes / 1e6)
      })),
      report.budgets.map(({ permits, ...row }) => ({ ...row, permits: permits.join(' ') || '-' })),
      reached.flatMap(({ work }) => work).map((work) => ({ host: work.hostId, phase: work.phase, maintenance: work.maintenance, waits: work.why })),
      report.buffer.held.map((row) => ({ ...row })),
      reached.flatMap(({ entryHostId, requests }) => requests.map(({ service, tenant, requestClass, results, p50Ms, p99Ms }) =>
        ({ entryHost: entryHostId, service, tenant, class: requestClass, p50Ms, p99Ms, results: JSON.stringify(results) })))
    ]
    if (args.output === 'json') print('json', report, [])
    else for (const rows of sections) if (rows.length > 0) print('table', report, [...rows, Object.fromEntries(Object.keys(rows[0] ?? {}).map((name) => [name, '']))])
    await client.close()
  }
})

const explain = command({
  name: 'explain',
  description: 'Tell why a host is where it is, or what became of a request or a job\nExamples:\n  quillscale explain host west-a-w00\n  quillscale explain request 0c9f...',
  args: {
    ...commonArgs,
    what: positional({ type: oneOf(['host', 'request', 'job'] as const), displayName: 'host|request|job' }),
    name: positional({ type: string, displayName: 'name or id' })
  },
  handler: async (args) => {
    const client = createClient(args, readFile)
    const answer = await client.call('GET', `/v1/explain/${args.what}/${encodeURIComponent(args.name)}`) as Record<string, unknown>
    print(args.output, answer, Object.entries(answer).map(([field, value]) => ({ field, value: typeof value === 'string' ? value : JSON.stringify(value) })))
    await client.close()
  }
})

/** All commands by name. @public */
export const COMMANDS = { apply, diff, plan, get, delete: remove, label, status, explain }
