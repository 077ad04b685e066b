// Stand-in of the platform's store: serves the project's in-memory store as PROTOCOL.md describes it. Disturbances are set by the cases.
import { createServer } from 'node:http'
import { pause } from './deployment.mjs'

const PAGE_ITEMS = 500
const PAGE_BYTES = 1024 * 1024
const VALUE_BYTES = 1_048_576
const MOST_ENTRIES = 32

const encode = (text) => Buffer.from(text).toString('base64')
const decode = (text) => Buffer.from(text, 'base64').toString()
const toItem = ({ key, value, modRevision }) => ({ Key: key, Value: encode(value), Rev: modRevision })

/** HTTP server of the store. */
export class StoreServer {
  /** Returns after which time a writing transaction is carried out without an answer; `undefined` for at once and with one. */
  lateAfterMs = () => undefined
  /** Called with each transaction that was carried out. */
  onWritten = () => {}
  #memory
  #server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })

  constructor (memory) {
    this.#memory = memory
  }

  async listen () {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    return { port: this.#server.address().port }
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const [, , call, id] = url.pathname.split('/')
    const [status, answer] = await this.#answer(`${request.method} ${call}`, id, url.searchParams, chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()))
    if (status === 0) return response.destroy()
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(answer))
  }

  async #answer (call, id, query, body) {
    const memory = this.#memory
    switch (call) {
      case 'GET kv-key': {
        const item = (await memory.get(query.get('Key'))).unwrap()
        return item === undefined ? [404, {}] : [200, toItem(item)]
      }
      case 'GET kv-range': {
        const { items, revision } = (await memory.list(query.get('PathPrefix'))).unwrap()
        const after = query.get('DependsOn') ?? ''
        const page = []
        let bytes = 0
        const rest = items.filter(({ key }) => key > after)
        for (const item of rest) {
          bytes += item.value.length
          if (page.length > 0 && (page.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) break
          page.push(toItem(item))
        }
        return [200, { items: page, HasMore: page.length < rest.length, CurrentRev: revision }]
      }
      case 'GET kv-watch': {
        const { events, revision } = (await memory.watch(query.get('PathPrefix'), Number(query.get('DependsOn')), Number(query.get('WaitMs')))).unwrap()
        const rows = events.map((event) => event.value === undefined ? { Key: event.key, Rev: event.modRevision, Deleted: true } : toItem(event))
        return [200, { events: rows, CurrentRev: revision }]
      }
      case 'POST kv-txn': return await this.#transact(body)
      case 'POST kv-lease': return [200, { Lease: Number((await memory.grantLease(body.TtlMs)).unwrap()), TtlMs: body.TtlMs }]
      case 'POST kv-keep': return (await memory.renewLease(id)).unwrap() ? [200, {}] : [404, {}]
      case 'DELETE kv-lease-end':
        await memory.revokeLease(id)
        return [200, {}]
      default: return [404, {}]
    }
  }

  async #transact ({ ExpectedRev = [], Puts = [], Remove = [] }) {
    if (ExpectedRev.length + Puts.length + Remove.length > MOST_ENTRIES) return [400, {}]
    const puts = Puts.map(({ Key, Value, Lease }) => ({ key: Key, value: decode(Value), leaseId: Lease ? String(Lease) : undefined }))
    if (puts.some(({ key, value }) => Buffer.byteLength(key) > 200 || Buffer.byteLength(value) > VALUE_BYTES)) return [413, {}]
    const transaction = { conditions: ExpectedRev.map(({ Key, Rev }) => ({ key: Key, modRevision: Rev })), puts, removals: Remove }
    const lateMs = puts.length + Remove.length === 0 ? undefined : this.lateAfterMs(transaction)
    if (lateMs !== undefined) {
      void pause(lateMs).then(() => this.#apply(transaction, lateMs))
      return [0]
    }
    const outcome = await this.#apply(transaction)
    if (outcome.committed) return [200, { Rev: outcome.modRevision }]
    return [412, { items: outcome.current.map(toItem) }]
  }

  async #apply (transaction, lateMs) {
    const outcome = (await this.#memory.transact(transaction)).unwrap()
    this.onWritten(transaction, outcome, lateMs)
    return outcome
  }
}
