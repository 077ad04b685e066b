// Stand-in of the platform's store, as the pages describe it: linearizable, with leases, watches, history, limits of size and rate.
import { createServer } from 'node:http'
import { listenOn, readBody, sendJson, sleep } from './http.mjs'

const PAGE_ITEMS = 500
const PAGE_BYTES = 1024 * 1024
const MAX_ENTRIES = 32
const MAX_KEY_BYTES = 200
const MAX_WATCH_MS = 30_000
const RENEWAL_PRICE = 0.1

export class Store {
  /** Keys that the operator and the workers write; calls of the system must not. */
  static reserved = ['op/', 'servers/']

  constructor ({ valueBytes = 1_048_576, writesPerS = 400, readsPerS = 2000, historyS = 20, answerMs = 4 } = {}) {
    Object.assign(this, { valueBytes, writesPerS, readsPerS, historyS, answerMs })
    this.items = new Map()
    this.leases = new Map()
    this.events = []
    this.rev = 100
    this.forgottenRev = 100
    this.nextLease = 1000
    this.waiters = new Set()
    this.spent = { write: [], read: [] }
    this.counts = { writes: 0, lostAnswers: 0, tooLarge: 0, throttled: 0 }
    /** Called with the body of each writing transaction; may return { lose: true, lateMs }: it is done after lateMs and not answered. */
    this.onTransaction = () => undefined
    this.server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.timer = setInterval(() => this.#expire(), 20)
  }

  async listen (address) {
    this.address = `${address}:${await listenOn(this.server, address, 0)}`
    return this.address
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes as the operator or a worker does. */
  put (key, value, lease = 0) {
    this.rev++
    this.#set(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), lease)
    this.#wake()
    return this.rev
  }

  remove (key) {
    if (!this.items.has(key)) return
    this.rev++
    this.#delete(key)
    this.#wake()
  }

  text (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.Value, 'base64').toString()
  }

  keys (prefix) { return [...this.items.keys()].filter((key) => key.startsWith(prefix)) }

  #set (key, value, lease) {
    const created = this.items.get(key)?.Created ?? this.rev
    const item = { Key: key, Value: value, Rev: this.rev, Created: created, Lease: lease }
    this.items.set(key, item)
    this.events.push({ atMs: performance.now(), event: item })
  }

  #delete (key) {
    this.items.delete(key)
    this.events.push({ atMs: performance.now(), event: { Key: key, Rev: this.rev, Deleted: true } })
  }

  #wake () { for (const wake of [...this.waiters]) wake() }

  #expire () {
    const nowMs = performance.now()
    for (const [id, lease] of [...this.leases]) if (lease.endsMs <= nowMs) this.#endLease(id)
    while (this.events.length > 0 && nowMs - this.events[0].atMs > this.historyS * 1000) this.forgottenRev = this.events.shift().event.Rev
  }

  #endLease (id) {
    this.leases.delete(id)
    const keys = [...this.items.values()].filter(({ Lease }) => Lease === id).map(({ Key }) => Key)
    if (keys.length === 0) return
    this.rev++
    for (const key of keys) this.#delete(key)
    this.#wake()
  }

  /** Whether a call exceeds the rate of all nodes together. */
  #isThrottled (kind, price = 1) {
    const nowMs = performance.now()
    const calls = this.spent[kind] = this.spent[kind].filter(({ atMs }) => nowMs - atMs < 1000)
    const most = kind === 'write' ? this.writesPerS : this.readsPerS
    if (calls.reduce((sum, call) => sum + call.price, 0) + price > most) {
      this.counts.throttled++
      return true
    }
    calls.push({ atMs: nowMs, price })
    return false
  }

  async #serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const text = await readBody(request)
    const body = text === '' ? {} : JSON.parse(text)
    await sleep(this.answerMs)
    const [, , call, id] = url.pathname.split('/')
    const query = Object.fromEntries(url.searchParams)
    this.#expire()
    const [status, answer] = await this.#answer(request.method, call, id, query, body, response)
    if (status !== 0) sendJson(response, status, answer)
  }

  async #answer (method, call, id, query, body, response) {
    if (method === 'GET') {
      if (query.Serializable !== '1' && this.#isThrottled('read')) return [429, {}]
      if (call === 'kv-key') {
        const item = this.items.get(query.Key)
        return item === undefined ? [404, { CurrentRev: this.rev }] : [200, { ...item, CurrentRev: this.rev }]
      }
      if (call === 'kv-range') return this.#range(query.PathPrefix ?? '', query.DependsOn ?? '')
      if (call === 'kv-watch') return await this.#watch(query, response)
    }
    if (call === 'kv-keep') return this.#isThrottled('read', RENEWAL_PRICE) ? [429, {}] : this.#keep(Number(id))
    if (this.#isThrottled('write')) return [429, {}]
    this.counts.writes++
    if (call === 'kv-lease') {
      const lease = this.nextLease++
      this.leases.set(lease, { ttlMs: body.TtlMs, endsMs: performance.now() + body.TtlMs })
      return [200, { Lease: lease, TtlMs: body.TtlMs }]
    }
    if (call === 'kv-lease-end') {
      const isThere = this.leases.has(Number(id))
      if (isThere) this.#endLease(Number(id))
      return isThere ? [200, {}] : [404, {}]
    }
    if (call !== 'kv-txn') return [404, {}]
    const fault = this.onTransaction(body)
    if (fault?.lose !== true) return this.#transact(body)
    // It is done late, provided that its condition still holds, and the channel says nothing further.
    this.counts.lostAnswers++
    setTimeout(() => fault.onDone?.(this.#transact(body)[0]), fault.lateMs)
    return [0]
  }

  #range (prefix, after) {
    const keys = this.keys(prefix).filter((key) => key > after).sort()
    const items = []
    let bytes = 0
    for (const key of keys) {
      const item = this.items.get(key)
      bytes += item.Value.length
      if (items.length > 0 && (items.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) break
      items.push(item)
    }
    return [200, { items, HasMore: items.length < keys.length, CurrentRev: this.rev }]
  }

  async #watch ({ PathPrefix: prefix, DependsOn: after, WaitMs: waitMs }, response) {
    const fromRev = Number(after)
    const find = () => this.events.map(({ event }) => event).filter((event) => event.Rev > fromRev && event.Key.startsWith(prefix))
    if (fromRev < this.forgottenRev) return [410, {}]
    const endMs = performance.now() + Math.min(MAX_WATCH_MS, Number(waitMs))
    let isClosed = false
    response.on('close', () => { isClosed = true })
    for (;;) {
      if (fromRev < this.forgottenRev) return [410, {}]
      const events = find()
      const leftMs = endMs - performance.now()
      if (events.length > 0 || leftMs <= 0 || isClosed) return [200, { events, CurrentRev: this.rev }]
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer)
          this.waiters.delete(done)
          resolve()
        }
        const timer = setTimeout(done, leftMs)
        this.waiters.add(done)
      })
    }
  }

  #keep (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return [404, {}]
    lease.endsMs = performance.now() + lease.ttlMs
    return [200, { TtlMs: lease.ttlMs }]
  }

  #transact ({ ExpectedRev: conditions = [], Puts: puts = [], Remove: removals = [] }) {
    const keys = [...puts.map(({ Key }) => Key), ...removals]
    if (keys.some((key) => Store.reserved.some((prefix) => key.startsWith(prefix)))) return [403, {}]
    if (conditions.length + keys.length > MAX_ENTRIES || keys.some((key) => Buffer.byteLength(key) > MAX_KEY_BYTES)) return [400, {}]
    if (puts.some(({ Value }) => Buffer.from(Value, 'base64').length > this.valueBytes)) {
      this.counts.tooLarge++
      return [400, {}]
    }
    if (conditions.some(({ Key, Rev }) => (this.items.get(Key)?.Rev ?? 0) !== Rev)) {
      return [412, { items: conditions.map(({ Key }) => this.items.get(Key) ?? { Key, Rev: 0 }) }]
    }
    if (puts.some(({ Lease = 0 }) => Lease !== 0 && !this.leases.has(Lease))) return [404, {}]
    if (keys.length === 0) return [200, { Rev: this.rev }]
    this.rev++
    for (const { Key, Value, Lease = 0 } of puts) this.#set(Key, Value, Lease)
    for (const key of removals) if (this.items.has(key)) this.#delete(key)
    this.#wake()
    return [200, { Rev: this.rev }]
  }
}
