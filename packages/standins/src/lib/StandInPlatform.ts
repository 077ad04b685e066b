/**
 * A stand-in for the platform's HTTP service, with a port for each availability zone so that single zones can be cut off.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { delay, type Result, type SeededRandom } from '@quillscale/utils'
import { createHostId, type AvailabilityZone } from '@quillscale/model'
import type { PlatformError } from '@quillscale/ports'
import { MemoryKeyValueStore, type MemoryHosts, type StoreSnapshot } from '@quillscale/platform-memory'

/** The faults that the platform shows. @public */
export interface PlatformFaults {
  /** Whether all calls are answered with 503. */
  isDown: boolean
  latencyMs: number
  /** Share of writes that take effect but get no answer. */
  loseAnswerShare: number
  /** Zones whose calls get no answer. */
  readonly cutZones: Set<string>
}

interface KeyRange { key: string, range_end?: string }
interface Txn {
  compare: Array<{ key: string, mod_revision: number }>
  success: Array<{ request_put?: { key: string, value: string, lease?: string }, request_delete_range?: { key: string } }>
}
type Body = Record<string, unknown>
type Handler = (body: Body, path: string, query: URLSearchParams) => Promise<unknown>

const encode = (text: string): string => Buffer.from(text).toString('base64')
const decode = (text: string): string => Buffer.from(text, 'base64').toString()
const WRITES = new Set(['/v3/kv/txn', '/v3/lease/grant', '/v3/lease/keepalive', '/v3/lease/revoke'])

function unwrap<T> (result: Result<T, PlatformError>): T {
  if (result.err) throw new Error(result.val.detail)
  return result.val
}

const toWire = (item: { key: string, value: string | undefined, modRevision: number }): unknown =>
  ({ key: encode(item.key), value: encode(item.value ?? ''), mod_revision: item.modRevision })

/** Serves the store, leases and the list of hosts, and injects faults. @public */
export class StandInPlatform {
  readonly faults: PlatformFaults = { isDown: false, latencyMs: 1, loseAnswerShare: 0, cutZones: new Set() }
  readonly calls = new Map<string, number>()
  readonly store = new MemoryKeyValueStore()
  readonly #hosts: MemoryHosts
  readonly #random: SeededRandom
  readonly #servers: Server[] = []
  readonly #handlers: Record<string, Handler>
  #backup: StoreSnapshot = []

  /**
   * @param hosts - the hosts to list and control
   * @param random - draws which answers are lost
   */
  constructor (hosts: MemoryHosts, random: SeededRandom) {
    this.#hosts = hosts
    this.#random = random
    this.#handlers = this.#createHandlers()
  }

  /** Listens for the calls of one zone. @param availabilityZone - the zone @param port - the port to listen on */
  async listen (availabilityZone: string, port: number): Promise<void> {
    const server = createServer((request, response) => { void this.#answer(availabilityZone, request, response) })
    server.keepAliveTimeout = 60_000
    this.#servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, '127.0.0.1', resolve)
    })
  }

  /** Takes a snapshot of the store for {@link restore}. */
  backUp (): void {
    this.#backup = this.store.snapshot()
  }

  /** Replaces the store's content by the snapshot of {@link backUp}. */
  restore (): void {
    this.store.restore(this.#backup)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  async #answer (zone: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    const url = new URL(request.url ?? '/', 'http://platform')
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    this.#countCall(url.pathname)
    if (this.faults.cutZones.has(zone)) return
    if (this.faults.isDown) {
      response.writeHead(503)
      response.end()
      return
    }
    await delay(this.faults.latencyMs)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()) as Body
    const handler = this.#handlers[url.pathname] ?? this.#handlers[url.pathname.split('/').slice(0, 3).join('/')]
    const answer = handler === undefined ? undefined : await handler(body, url.pathname, url.searchParams)
    const isLost = WRITES.has(url.pathname) && this.#random.next() < this.faults.loseAnswerShare
    if (isLost || this.faults.cutZones.has(zone) || this.faults.isDown) {
      response.destroy()
      return
    }
    response.writeHead(answer === undefined ? 404 : 200, { 'content-type': 'application/json' })
    response.end(JSON.stringify(answer ?? {}))
  }

  #countCall (path: string): void {
    const kind = path.startsWith('/v1/hosts/') ? `/v1/hosts/${path.split('/').at(-1) ?? ''}` : path
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1)
  }

  #createHandlers (): Record<string, Handler> {
    const { store } = this
    return {
      '/v3/kv/range': (body) => this.#range(body as unknown as KeyRange),
      '/v3/kv/txn': (body) => this.#txn(body as unknown as Txn),
      '/v3/watch': (body) => this.#watch(body.create_request as KeyRange & { start_revision: number, timeout_ms: number }),
      '/v3/lease/grant': async (body) => ({ ID: unwrap(await store.grantLease(Number(body.TTL) * 1000)), TTL: body.TTL }),
      '/v3/lease/keepalive': async (body) => ({ result: { ID: body.ID, TTL: unwrap(await store.renewLease(String(body.ID))) ? 1 : 0 } }),
      '/v3/lease/revoke': async (body) => {
        await store.revokeLease(String(body.ID))
        return {}
      },
      '/v1/hosts': (body, path, query) => this.#handleHostCall(body, path, query)
    }
  }

  async #range ({ key, range_end: end }: KeyRange): Promise<unknown> {
    if (end !== undefined) {
      const { items, revision } = unwrap(await this.store.list(decode(key)))
      return { header: { revision }, kvs: items.map(toWire) }
    }
    const item = unwrap(await this.store.get(decode(key)))
    return { header: { revision: item?.modRevision ?? 0 }, kvs: item === undefined ? [] : [toWire(item)] }
  }

  async #txn ({ compare, success }: Txn): Promise<unknown> {
    const outcome = unwrap(await this.store.transact({
      conditions: compare.map(({ key, mod_revision: modRevision }) => ({ key: decode(key), modRevision })),
      puts: success.flatMap(({ request_put: put }) => put === undefined ? [] : [{ key: decode(put.key), value: decode(put.value), leaseId: put.lease }]),
      removals: success.flatMap(({ request_delete_range: removal }) => removal === undefined ? [] : [decode(removal.key)])
    }))
    if (outcome.committed) return { header: { revision: outcome.modRevision }, succeeded: true }
    return { header: { revision: 0 }, succeeded: false, responses: outcome.current.map((item) => ({ response_range: { kvs: [toWire(item)] } })) }
  }

  async #watch (create: KeyRange & { start_revision: number, timeout_ms: number }): Promise<unknown> {
    const { events, revision } = unwrap(await this.store.watch(decode(create.key), create.start_revision - 1, create.timeout_ms))
    return { result: { header: { revision }, events: events.map((event) => ({ type: event.value === undefined ? 'DELETE' : 'PUT', kv: toWire(event) })) } }
  }

  async #handleHostCall (body: Body, path: string, query: URLSearchParams): Promise<unknown> {
    const [, , , name, order] = path.split('/')
    if (name === undefined) return { hosts: unwrap(await this.#hosts.listHosts((query.get('availabilityZone') ?? '') as AvailabilityZone)) }
    const fenced = { hostId: createHostId(decodeURIComponent(name)), fencingToken: Number(body.fencingToken) }
    const orders: Record<string, () => Promise<Result<unknown, PlatformError>>> = {
      drain: () => this.#hosts.drain(fenced),
      undrain: () => this.#hosts.undrain(fenced),
      reboot: () => this.#hosts.reboot({ ...fenced, version: String(body.version) })
    }
    const act = orders[order ?? '']
    return act === undefined ? undefined : { outcome: unwrap(await act()) }
  }
}
