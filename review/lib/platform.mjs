// Stand-ins of the platform for the review: the store, the machines with their workers, and the advice service, over HTTP on loopback addresses.
// They follow PROTOCOL.md of the users' pages and inject no faults by themselves.
import { createServer } from 'node:http'
import { performance } from 'node:perf_hooks'

const LOCAL = '127.0.0.1'
const HEARTBEAT_MS = 1500
const MISSED_HEARTBEATS = 3
const MAX_HOLD_WAIT_MS = 2000
const MAX_ENDS = 500
const PAGE_ITEMS = 500
const STEP_MS = 10
/** How long a work unit that lasts takes until it is at work. */
const START_MS = 50

const nowMs = () => performance.now()
const encode = (text) => Buffer.from(text).toString('base64')
const decode = (text) => Buffer.from(text, 'base64').toString()

/** Serves JSON calls; `handle` returns [status, body], or undefined for no answer. */
function serve (handle) {
  const server = createServer(async (request, response) => {
    try {
      const chunks = []
      for await (const chunk of request) chunks.push(chunk)
      const url = new URL(request.url, 'http://stand-in')
      const text = Buffer.concat(chunks).toString()
      const answer = await handle(request, url, text === '' ? {} : JSON.parse(text))
      if (answer === undefined) return response.destroy()
      response.writeHead(answer[0], { 'content-type': 'application/json' })
      response.end(JSON.stringify(answer[1]))
    } catch {
      response.destroy()
    }
  })
  server.keepAliveTimeout = 60_000
  return server
}

function listen (server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, LOCAL, () => resolve(server.address().port))
  })
}

/** The platform's store, held in memory. */
export class Store {
  #items = new Map()
  #leases = new Map()
  #events = []
  #waiters = new Set()
  #revision = 1
  #nextLease = 1
  #server = serve((request, url, body) => this.#answer(request.method, url, body))
  #timer = setInterval(() => this.#expire(), STEP_MS)

  async start () {
    this.port = await listen(this.#server)
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes without a condition, as operators and workers do. Returns the revision. */
  put (key, value) {
    return this.#apply([{ Key: key, Value: encode(typeof value === 'string' ? value : JSON.stringify(value)) }], [])
  }

  remove (key) {
    return this.#apply([], [key])
  }

  get (key) {
    const item = this.#items.get(key)
    return item === undefined ? undefined : decode(item.Value)
  }

  #apply (puts, removals) {
    const revision = ++this.#revision
    for (const { Key: key, Value: value, Lease: lease = 0 } of puts) {
      const item = { Key: key, Value: value, Rev: revision, Created: this.#items.get(key)?.Created ?? revision, Lease: lease }
      this.#items.set(key, item)
      this.#events.push(item)
    }
    for (const key of removals) if (this.#items.delete(key)) this.#events.push({ Key: key, Rev: revision, Deleted: true })
    for (const wake of [...this.#waiters]) wake()
    return revision
  }

  #expire () {
    const now = nowMs()
    for (const [id, lease] of this.#leases) if (lease.untilMs <= now) this.#endLease(id)
  }

  #endLease (id) {
    this.#leases.delete(id)
    const keys = [...this.#items.values()].filter(({ Lease: lease }) => lease === id).map(({ Key: key }) => key)
    if (keys.length > 0) this.#apply([], keys)
  }

  async #answer (method, url, body) {
    this.#expire()
    const [, , call, id] = url.pathname.split('/')
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = this.#items.get(url.searchParams.get('Key'))
        return item === undefined ? [404, {}] : [200, { ...item, CurrentRev: this.#revision }]
      }
      case 'GET kv-range': {
        const prefix = url.searchParams.get('PathPrefix') ?? ''
        const after = url.searchParams.get('DependsOn') ?? ''
        const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
        const items = keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key))
        return [200, { items, HasMore: keys.length > PAGE_ITEMS, CurrentRev: this.#revision }]
      }
      case 'GET kv-watch': return await this.#watch(url.searchParams)
      case 'POST kv-txn': return this.#transact(body)
      case 'POST kv-lease': {
        const lease = this.#nextLease++
        this.#leases.set(lease, { ttlMs: body.TtlMs, untilMs: nowMs() + body.TtlMs })
        return [200, { Lease: lease, TtlMs: body.TtlMs }]
      }
      case 'POST kv-keep': {
        const lease = this.#leases.get(Number(id))
        if (lease === undefined) return [404, {}]
        lease.untilMs = nowMs() + lease.ttlMs
        return [200, { TtlMs: lease.ttlMs }]
      }
      case 'DELETE kv-lease-end': {
        if (!this.#leases.has(Number(id))) return [404, {}]
        this.#endLease(Number(id))
        return [200, {}]
      }
      default: return [404, {}]
    }
  }

  async #watch (query) {
    const prefix = query.get('PathPrefix') ?? ''
    const after = Number(query.get('DependsOn'))
    const dueMs = nowMs() + Number(query.get('WaitMs') ?? 0)
    for (;;) {
      const events = this.#events.filter((event) => event.Rev > after && event.Key.startsWith(prefix))
      if (events.length > 0 || nowMs() >= dueMs) return [200, { events, CurrentRev: this.#revision }]
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.max(1, dueMs - nowMs()))
        this.#waiters.add(wake)
      })
    }
  }

  #transact ({ ExpectedRev: conditions = [], Puts: puts = [], Remove: removals = [] }) {
    const written = [...puts.map(({ Key: key }) => key), ...removals]
    if (written.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}]
    if (conditions.length + puts.length + removals.length > 32) return [400, {}]
    if (puts.some(({ Lease: lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}]
    if (conditions.some(({ Key: key, Rev: revision }) => (this.#items.get(key)?.Rev ?? 0) !== revision)) {
      return [412, { items: conditions.flatMap(({ Key: key }) => this.#items.get(key) ?? []) }]
    }
    return [200, { Rev: this.#apply(puts, removals) }]
  }
}

/** One life of a worker. It runs what it is told under leases and fence numbers, and rejects what does not fit. */
class WorkerLife {
  #fence = 0
  #untilMs = 0
  #sequence = 0
  #running = new Map()
  #ends = []
  #closed = new Map()
  #waiters = new Set()
  #startedMs = nowMs()
  isOver = false

  constructor (id, machine, options) {
    this.id = id
    this.machine = machine
    this.options = options
  }

  get clockMs () {
    return Math.floor(nowMs() - this.#startedMs) + 1000
  }

  /** Kills all runs; the life answers nothing any more. */
  end (how) {
    if (this.isOver) return
    this.isOver = true
    for (const run of this.#running.values()) this.options.onEnd(this, run, how)
    this.#running.clear()
    for (const wake of [...this.#waiters]) wake()
  }

  get runs () {
    return [...this.#running.values()]
  }

  step () {
    for (const run of this.runs) {
      if (this.clockMs >= this.#untilMs) this.#close(run, 'lapsed')
      else if (this.clockMs >= run.endsMs) this.#close(run, run.fails ? 'failed' : 'done')
    }
  }

  #close (run, how) {
    this.#running.delete(run.task)
    this.#closed.set(run.task, Math.max(run.runId, this.#closed.get(run.task) ?? 0))
    this.#ends.push([++this.#sequence, run.task, run.runId, how, ''])
    this.options.onEnd(this, run, how, this.#sequence)
    for (const wake of [...this.#waiters]) wake()
  }

  #extend (untilMs) {
    if (untilMs === undefined) return
    this.#untilMs = Math.max(this.#untilMs, Math.min(untilMs, this.clockMs + this.options.holdMaxMs))
  }

  async answer (call, order) {
    this.step()
    const refuse = (reason) => [409, { ClockMs: this.clockMs, Reason: reason }]
    if ((order.Fence ?? 0) < this.#fence) return refuse('fence')
    this.#fence = order.Fence ?? 0
    if (call === 'run-start') return this.#start(order, refuse)
    if (call === 'run-stop') return this.#stop(order)
    if (call === 'pace') return [200, { ClockMs: this.clockMs }]
    return call === 'hold' ? await this.#hold(order) : [404, {}]
  }

  #start ({ Task: task, RunId: runId, TaskSpec: text, UntilMs: untilMs, Ticket: ticket, Fence: fence }, refuse) {
    const present = this.#running.get(task)
    if (present?.runId === runId) return [200, { ClockMs: this.clockMs }]
    if (present !== undefined || runId <= (this.#closed.get(task) ?? 0)) {
      this.#extend(untilMs)
      return refuse('old')
    }
    if (untilMs <= this.clockMs) return refuse('late')
    const step = this.options.stepOf(task)
    if (step.needsTicket && ticket !== this.options.ticketOf(task, this.id)) return refuse('ticket')
    const usedCpu = this.runs.reduce((sum, run) => sum + run.cpu, 0)
    const usedMemMb = this.runs.reduce((sum, run) => sum + run.memMb, 0)
    if (usedCpu + step.cpu > this.options.cpu || usedMemMb + step.memMb > this.options.memMb) {
      this.#extend(untilMs)
      return refuse('room')
    }
    this.#extend(untilMs)
    // A work unit without a time runs until it is stopped, and is at work after a short start.
    const { runMs, fails = 0 } = JSON.parse(text)
    const { cpu, memMb } = step
    const run = { task, runId, text, fence, cpu, memMb, fails: runId <= fails, beganMs: this.clockMs, endsMs: this.clockMs + (runMs ?? Infinity), runMs }
    this.#running.set(task, run)
    this.options.onStart(this, run)
    return [200, { ClockMs: this.clockMs }]
  }

  #stop ({ Task: task, RunId: runId }) {
    const run = this.#running.get(task)
    if (run?.runId === runId) this.#close(run, 'stopped')
    this.#closed.set(task, Math.max(runId, this.#closed.get(task) ?? 0))
    return [200, { ClockMs: this.clockMs }]
  }

  async #hold ({ LastSeen: lastSeen = 0, UntilMs: untilMs, WaitMs: waitMs = 0 }) {
    this.#extend(untilMs)
    for (const [number, task, runId] of this.#ends) if (number <= lastSeen) this.options.onNoted(this, task, runId, number)
    this.#ends = this.#ends.filter(([number]) => number > lastSeen)
    if (this.#ends.length === 0 && waitMs > 0) await this.#waitForEnd(Math.min(MAX_HOLD_WAIT_MS, waitMs))
    if (this.isOver) return undefined
    const running = this.runs.map((run) => [run.task, run.runId, '', this.#percentOf(run), run.cpu])
    return [200, { ClockMs: this.clockMs, Running: running, Ended: this.#ends.slice(0, MAX_ENDS) }]
  }

  #percentOf ({ beganMs, runMs }) {
    const goneMs = this.clockMs - beganMs
    return runMs === undefined ? (goneMs > START_MS ? 100 : 0) : Math.min(99, Math.floor(goneMs / runMs * 100))
  }

  #waitForEnd (waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiters.add(wake)
    })
  }
}

/**
 * The machines, the life of a worker on each, and the calls that list, move and maintain machines.
 *
 * Options: store, record, pools (names), machinesPerPool, zones, cpu, memMb, holdMaxMs, migrateMs, upkeepMs, and stepOf, which gives cpu, memMb and
 * needsTicket of a work unit.
 */
export class Fleet {
  #options
  #machines = new Map()
  #lives = 0
  #server
  #timers = []

  constructor (options) {
    this.#options = options
    this.#server = serve((request, url, body) => this.#answer(url, body))
  }

  async start () {
    const { pools, machinesPerPool } = this.#options
    for (const pool of pools) for (let index = 0; index < machinesPerPool; index++) await this.#addMachine(`m-${pool}-${index}`, pool, index)
    this.#timers.push(setInterval(() => { for (const { life } of this.#machines.values()) life?.step() }, STEP_MS))
    this.#timers.push(setInterval(() => { for (const machine of this.#machines.values()) this.#beat(machine) }, HEARTBEAT_MS))
    this.port = await listen(this.#server)
  }

  close () {
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.close()
    this.#server.closeAllConnections()
    for (const { server } of this.#machines.values()) {
      server.close()
      server.closeAllConnections()
    }
  }

  async #addMachine (name, pool, index) {
    const { zones } = this.#options
    const machine = { name, pool, zone: zones[index % zones.length], labels: ['a', `r${index % 2}`], state: 'up', life: undefined, seq: 0 }
    machine.server = serve((request, url, body) => this.#callWorker(machine, request, url, body))
    machine.port = await listen(machine.server)
    this.#machines.set(name, machine)
    this.#bringUp(machine)
  }

  #bringUp (machine) {
    const { record, cpu, memMb, holdMaxMs, stepOf } = this.#options
    machine.state = 'up'
    const where = (life, run) => ({ unit: run.task, run: run.runId, worker: life.id, machine: machine.name, service: life.service })
    const id = `i-${(++this.#lives).toString(16).padStart(8, '0')}`
    machine.life = new WorkerLife(id, machine.name, {
      cpu,
      memMb,
      holdMaxMs,
      stepOf,
      ticketOf,
      onStart: (life, run) => record('run begun', { ...where(life, run), fence: run.fence, text: run.text }),
      onEnd: (life, run, how, number) => record('run ended', { ...where(life, run), how, number }),
      onNoted: (life, task, runId, number) => record('end noted', { unit: task, run: runId, worker: life.id, number })
    })
    machine.life.service = machine.pool
    machine.seq = 0
    this.#beat(machine)
  }

  #beat (machine) {
    const { store, cpu, memMb } = this.#options
    const { life, zone, labels, port, name } = machine
    if (life === undefined || life.isOver) return
    store.put(`servers/${life.id}`, {
      Service: life.service,
      Address: `${LOCAL}:${port}`,
      Zone: zone,
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      WarmupLeftMs: 0,
      Seq: ++machine.seq,
      Capacity: { Cpu: cpu, MemMb: memMb, Gpu: 0 },
      Labels: labels,
      Machine: name
    })
  }

  async #callWorker ({ life }, request, url, body) {
    if (life === undefined) return undefined
    if (request.headers['x-expect-instance'] !== life.id) return [421, { ClockMs: life.clockMs }]
    const answer = await life.answer(url.pathname.split('/').at(-1), body)
    return life.isOver ? undefined : answer
  }

  /** The workers of a service, and how much of their processors runs take. */
  workersOf (service) {
    const lives = [...this.#machines.values()].flatMap(({ life }) => life?.service === service ? [life] : [])
    return lives.map((life) => ({
      worker: life.id,
      usedCpu: life.runs.reduce((sum, run) => sum + run.cpu, 0),
      usedMemMb: life.runs.reduce((sum, run) => sum + run.memMb, 0)
    }))
  }

  /** The machine on which a work unit runs, if any. */
  machineOf (unit) {
    return [...this.#machines.values()].find(({ life }) => life?.runs.some((run) => run.task === unit))?.name
  }

  /** How long a work unit has been running where it runs now. */
  runningForMs (unit) {
    const lives = [...this.#machines.values()].flatMap(({ life }) => life === undefined ? [] : [life])
    return Math.max(0, ...lives.flatMap((life) => life.runs.filter((run) => run.task === unit).map((run) => life.clockMs - run.beganMs)))
  }

  /** A worker crashes with its machine: it states nothing, comes back with a new id, and its old entry goes after three missed check-ins. */
  crash (name, forMs) {
    const machine = this.#machines.get(name)
    const { life, server } = machine
    machine.state = 'down'
    machine.life = undefined
    life.end('crashed')
    server.closeAllConnections()
    this.#options.record('worker crashed', { worker: life.id, machine: name, service: life.service, forMs })
    this.#later(() => this.#options.store.remove(`servers/${life.id}`), MISSED_HEARTBEATS * HEARTBEAT_MS)
    this.#later(() => this.#bringUp(machine), forMs)
  }

  #later (act, delayMs) {
    this.#timers.push(setTimeout(act, delayMs))
  }

  #answer (url, body) {
    const call = url.pathname.split('/').at(-1)
    if (call === 'machines') return [200, { Machines: [...this.#machines.values()].map((machine) => this.#entryOf(machine)), NextToken: '' }]
    const machine = this.#machines.get(body.Machine)
    if (machine === undefined) return [400, {}]
    if (machine.state !== 'up') return [409, { Reason: 'busy' }]
    const { record, store, pools, migrateMs, upkeepMs } = this.#options
    if (call === 'machine-move') {
      if (!pools.includes(body.Pool)) return [400, {}]
      if (machine.pool === body.Pool) return [200, {}]
    } else if (call !== 'machine-upkeep') return [404, {}]
    const { life } = machine
    machine.life = undefined
    machine.state = call === 'machine-move' ? 'moving' : 'upkeep'
    if (call === 'machine-move') machine.pool = body.Pool
    life.end('machine order')
    record(call, { machine: machine.name, pool: machine.pool, wave: body.Wave })
    store.remove(`servers/${life.id}`)
    this.#later(() => this.#bringUp(machine), call === 'machine-move' ? migrateMs : upkeepMs)
    return [200, {}]
  }

  #entryOf ({ name, pool, state, zone, labels, life }) {
    const { cpu, memMb } = this.#options
    return { Machine: name, Pool: pool, State: state, Zone: zone, Labels: labels, Capacity: { Cpu: cpu, MemMb: memMb, Gpu: 0 }, Id: life?.id ?? '' }
  }
}

/** The ticket with which a worker may run a step. */
function ticketOf (unit, workerId) {
  return `t-${unit.split('.').slice(0, 3).join('.')}-${workerId}`
}

/** The service that tells which workers may run a step: here each of them. Its tickets hold for as long as the worker lives. */
export class Advice {
  #server = serve((request, url, body) => {
    this.#record('advice', { step: body.Step, workers: body.Workers.length })
    return [200, { Healthy: body.Workers.map((id) => [id, ticketOf(`${body.Step}.0`, id)]), ValidMs: 60_000 }]
  })

  #record

  constructor (record) {
    this.#record = record
  }

  async start () {
    this.port = await listen(this.#server)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
