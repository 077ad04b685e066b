// Stand-ins of the workers, of the machines that they run on, and of the service for advice, as the pages describe them. They record every start and end.
import { createServer } from 'node:http'
import { listenOn, readBody, sendJson, sleep } from './http.mjs'

const MAX_ENDS = 500
const MAX_WAIT_MS = 2000

/** What the workers share: the jobs that clients sent (a work unit's size and length), gangs, and the record of what ran. */
export class Fleet {
  constructor ({ store, record, address, bounds, heartbeatMs = 1500 }) {
    Object.assign(this, { store, record, address, bounds, heartbeatMs })
    this.workers = []
    /** Steps of the jobs by id, as submitted; `runMs` of a step is how long its work units work, 0 for those that last. */
    this.jobs = new Map()
    this.gangs = new Map()
    this.starts = []
    this.ends = []
    this.nextId = 1
    this.machineOrders = 0
    /** Tells whether a worker accepts a ticket for a step; without it, none is needed. */
    this.acceptsTicket = undefined
  }

  async add (options) {
    const machine = { id: `m-${String(this.workers.length + 1).padStart(4, '0')}`, ...options }
    const worker = new Worker(this, machine)
    this.workers.push(worker)
    await worker.listen()
    worker.begin()
    return worker
  }

  /** Serves the list of machines. No case has a reason for a move or an upkeep: one that comes is not answered, and the case could not run. */
  async listenCloud () {
    this.cloud = createServer((request, response) => {
      request.resume()
      if (request.method !== 'GET') {
        this.machineOrders++
        return response.destroy()
      }
      const Machines = this.workers.map(({ machine, life }) => ({
        Machine: machine.id, Pool: machine.service, State: life === undefined ? 'down' : 'up', Zone: machine.zone, Labels: machine.labels, Capacity: machine.capacity, Id: life?.id ?? ''
      }))
      sendJson(response, 200, { Machines, NextToken: null })
    })
    this.cloudAddress = `${this.address}:${await listenOn(this.cloud, this.address, 0)}`
    return this.cloudAddress
  }

  close () {
    for (const worker of this.workers) worker.close()
    this.cloud?.close()
    this.cloud?.closeAllConnections()
  }

  stepOf (task) {
    const [jobId, , step] = task.split('.')
    return this.jobs.get(jobId)?.[Number(step)]
  }

  noteStart (run) {
    this.starts.push(run)
    this.record.write('start', { task: run.task, run: run.runId, worker: run.life.id, checkpoint: run.startedFrom, fence: run.fence })
  }

  noteEnd (run, how) {
    run.how = how
    run.endedMs = performance.now()
    this.ends.push(run)
    this.record.write('end', { task: run.task, run: run.runId, worker: run.life.id, how, saved: run.saved })
  }

  /** A member of a gang has come. The gang works from the moment that all members of one run are there, with one checkpoint. */
  joinGang (run) {
    const key = run.gangKey
    const members = this.gangs.get(key) ?? []
    members.push(run)
    this.gangs.set(key, members)
    const step = this.stepOf(run.task)
    const isWhole = members.length === step.Count && new Set(members.map(({ startedFrom }) => startedFrom)).size === 1
    if (!isWhole) return
    for (const member of members) member.life.work(member)
  }

  /** A member has ended; those that work with it end `broken`. */
  leaveGang (run, how) {
    const members = this.gangs.get(run.gangKey) ?? []
    if (run.worksSinceMs === undefined) return this.gangs.set(run.gangKey, members.filter((member) => member !== run))
    this.gangs.delete(run.gangKey)
    for (const member of members) if (member !== run) member.life.end(member, how === 'done' ? 'done' : 'broken')
  }
}

/** A machine and the successive lives of its worker. */
export class Worker {
  constructor (fleet, machine) {
    this.fleet = fleet
    this.machine = machine
    this.life = undefined
    this.server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  }

  async listen () { this.address = `${this.fleet.address}:${await listenOn(this.server, this.fleet.address, 0)}` }

  close () {
    this.life?.close()
    this.server.close()
    this.server.closeAllConnections()
  }

  begin () {
    this.life = new Life(this, `i-${(this.fleet.nextId++).toString(16).padStart(8, '0')}`)
    this.life.register()
  }

  /** The worker crashes, and comes back with a new id. Its entry goes after three check-ins of silence. */
  crash (backAfterMs) {
    const { life, fleet } = this
    if (life === undefined) return
    fleet.record.write('worker crashes', { worker: life.id, machine: this.machine.id })
    this.life = undefined
    life.close()
    for (const run of [...life.runs.values()]) {
      run.endedMs = performance.now()
      if (run.gangKey !== undefined) fleet.leaveGang(run, 'lost')
    }
    this.server.closeAllConnections()
    setTimeout(() => fleet.store.remove(`servers/${life.id}`), fleet.heartbeatMs * 3)
    if (backAfterMs !== undefined) setTimeout(() => this.begin(), backAfterMs)
  }

  async #serve (request, response) {
    const text = await readBody(request)
    const { life } = this
    if (life === undefined) return request.socket.destroy()
    if (request.headers['x-expect-instance'] !== life.id) return sendJson(response, 421, {})
    const name = request.url.split('/').at(-1)
    const body = JSON.parse(text || '{}')
    const [status, answer] = await life.answer(name, body)
    if (this.life !== life) return request.socket.destroy()
    sendJson(response, status, answer)
  }
}

class Life {
  constructor (worker, id) {
    Object.assign(this, { worker, id, fleet: worker.fleet, fence: 0, runs: new Map(), closed: new Map(), ended: [], n: 0, untilMs: 0, waiters: new Set() })
    /** The checkpoint of each work unit as it was last listed. */
    this.lastListed = new Map()
    this.offsetMs = 100_000 + Math.floor(Math.random() * 900_000) - performance.now()
    this.timer = setInterval(() => this.step(), 10)
  }

  get clockMs () { return Math.floor(performance.now() + this.offsetMs) }

  register (state = 'ready') {
    const { machine, address } = this.worker
    this.fleet.store.put(`servers/${this.id}`, {
      Service: machine.service, Address: address, Zone: machine.zone, Version: 'v1', Slots: 8, State: state, WarmupLeftMs: 0, Capacity: machine.capacity, Labels: machine.labels, ClockMs: this.clockMs, Seq: 1, Machine: machine.id
    })
  }

  close () {
    clearInterval(this.timer)
    for (const wake of [...this.waiters]) wake()
  }

  /** Ends what has run its time, whose lease is over, or whose gang did not come. */
  step () {
    const nowMs = performance.now()
    for (const run of [...this.runs.values()]) {
      if (!this.runs.has(run.task)) continue
      if (this.clockMs >= this.untilMs) this.end(run, 'lapsed')
      else if (run.worksSinceMs === undefined) {
        if (nowMs - run.startedMs >= this.fleet.bounds.GangTimeoutMs) this.end(run, 'alone')
      } else this.#progress(run, nowMs)
    }
  }

  #progress (run, nowMs) {
    const { runMs, Checkpointing } = run.step
    if (runMs === 0) {
      run.percent = 100
      return
    }
    const doneMs = run.fromMs + nowMs - run.worksSinceMs
    run.percent = Math.max(0, Math.min(99, Math.floor(doneMs / runMs * 100)))
    const saveMs = this.fleet.bounds.CheckpointS * 1000
    if (Checkpointing === true && doneMs - run.savedMs >= saveMs) this.#save(run, Math.floor(doneMs / saveMs) * saveMs)
    if (doneMs >= runMs) this.end(run, run.step.fails === true ? 'failed' : 'done')
  }

  #save (run, atMs) {
    run.savedMs = atMs
    run.saved = `${Math.floor(atMs).toString(16).padStart(8, '0')}${run.task.slice(4, 12)}`
  }

  work (run) {
    run.worksSinceMs = performance.now() + (run.startedFrom === '' ? 0 : this.fleet.bounds.RestoreMs)
  }

  end (run, how) {
    if (this.runs.get(run.task) !== run) return
    if (how === 'stopped' && run.worksSinceMs !== undefined && run.step.Checkpointing === true && run.step.runMs > 0) this.#save(run, run.fromMs + Math.max(0, performance.now() - run.worksSinceMs))
    this.runs.delete(run.task)
    this.closed.set(run.task, Math.max(run.runId, this.closed.get(run.task) ?? 0))
    this.ended.push([++this.n, run.task, run.runId, how, run.saved])
    this.fleet.noteEnd(run, how)
    if (run.gangKey !== undefined) this.fleet.leaveGang(run, how)
    for (const wake of [...this.waiters]) wake()
  }

  #lease (until) { if (until !== undefined) this.untilMs = Math.max(this.untilMs, Math.min(until, this.clockMs + this.fleet.bounds.HoldMaxMs)) }

  async answer (name, body) {
    this.step()
    if (body.Fence !== undefined && body.Fence < this.fence) return [409, { ClockMs: this.clockMs, Reason: 'fence' }]
    this.fence = Math.max(this.fence, body.Fence ?? 0)
    if (name === 'run-start') return this.#start(body)
    if (name === 'run-stop') return this.#stop(body)
    if (name === 'hold') return await this.#hold(body)
    if (name === 'pace') return [200, { ClockMs: this.clockMs }]
    return [404, {}]
  }

  #start ({ Task: task, RunId: runId, TaskSpec: spec, UntilMs: until, Fence: fence, Checkpoint: checkpoint = '', Ticket: ticket }) {
    const refuse = (Reason) => [409, { ClockMs: this.clockMs, Reason }]
    const step = this.fleet.stepOf(task)
    if (step === undefined) return [400, {}]
    if (until <= this.clockMs) return refuse('late')
    const present = this.runs.get(task)
    if (present !== undefined && present.runId === runId) return [200, { ClockMs: this.clockMs }]
    if (present !== undefined || runId <= (this.closed.get(task) ?? 0)) {
      this.#lease(until)
      return refuse('old')
    }
    if (this.fleet.acceptsTicket !== undefined && !this.fleet.acceptsTicket(task, this.id, ticket)) return refuse('ticket')
    const steps = [step, ...[...this.runs.values()].map((run) => run.step)]
    const used = { Cpu: steps.reduce((sum, { Cpu = 0 }) => sum + Cpu, 0), MemMb: steps.reduce((sum, { MemMb = 0 }) => sum + MemMb, 0) }
    const { capacity } = this.worker.machine
    if (used.Cpu > capacity.Cpu || used.MemMb > capacity.MemMb) {
      this.#lease(until)
      return refuse('room')
    }
    this.#lease(until)
    const [jobId, k, stepIndex] = task.split('.')
    const savedMs = checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16)
    const run = {
      task,
      runId,
      spec,
      fence,
      step,
      life: this,
      startedMs: performance.now(),
      startedFrom: checkpoint,
      fromMs: savedMs,
      savedMs,
      saved: checkpoint,
      percent: 0,
      worksSinceMs: undefined,
      endedMs: undefined,
      how: undefined
    }
    if (step.Gang === true) run.gangKey = `${jobId}.${k}.${stepIndex}#${runId}`
    this.runs.set(task, run)
    this.fleet.noteStart(run)
    if (step.Gang === true) this.fleet.joinGang(run)
    else this.work(run)
    return [200, { ClockMs: this.clockMs }]
  }

  #stop ({ Task: task, RunId: runId }) {
    const run = this.runs.get(task)
    if (run !== undefined && run.runId === runId) setTimeout(() => this.end(run, 'stopped'), this.fleet.bounds.StopTimeoutMs / 4)
    else if (run === undefined || run.runId < runId) this.closed.set(task, Math.max(runId, this.closed.get(task) ?? 0))
    return [200, { ClockMs: this.clockMs }]
  }

  async #hold ({ UntilMs: until, LastSeen: seen = 0, WaitMs: waitMs = 0 }) {
    this.#lease(until)
    this.ended = this.ended.filter(([n]) => n > seen)
    const endMs = performance.now() + Math.min(MAX_WAIT_MS, waitMs)
    while (this.ended.length === 0 && performance.now() < endMs && this.worker.life === this) {
      await Promise.race([sleep(Math.max(1, endMs - performance.now())), new Promise((resolve) => {
        const wake = () => {
          this.waiters.delete(wake)
          resolve()
        }
        this.waiters.add(wake)
      })])
    }
    for (const run of this.runs.values()) this.lastListed.set(run.task, run.saved)
    const Running = [...this.runs.values()].map((run) => [run.task, run.runId, run.saved, run.percent, 0])
    return [200, { ClockMs: this.clockMs, Running, Ended: this.ended.slice(0, MAX_ENDS) }]
  }
}

/** Service for advice: its policy lets only some workers run the steps, and this does not change. */
export class Advice {
  constructor ({ address, record, allows, decisionMs, eachMs, validMs }) {
    Object.assign(this, { address, record, allows, decisionMs, eachMs, validMs })
    this.tickets = new Map()
    this.turn = Promise.resolve()
    this.waiting = 0
    this.server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  }

  async listen () { return `${this.address}:${await listenOn(this.server, this.address, 0)}` }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  accepts (task, workerId, ticket) {
    const step = task.split('.').slice(0, 3).join('.')
    const given = this.tickets.get(ticket)
    return given !== undefined && given.step === step && given.workerId === workerId && performance.now() <= given.untilMs
  }

  async #serve (request, response) {
    const { Step: step, Workers: workers } = JSON.parse(await readBody(request))
    if (this.waiting >= 32) return sendJson(response, 429, {})
    this.waiting++
    const before = this.turn
    let free
    this.turn = new Promise((resolve) => { free = resolve })
    await before
    await sleep(this.decisionMs + this.eachMs * workers.length)
    this.waiting--
    free()
    const Healthy = workers.filter((id) => this.allows(id)).map((id) => {
      const ticket = `${step}-${id}-${Math.random().toString(16).slice(2, 10)}`
      this.tickets.set(ticket, { step, workerId: id, untilMs: performance.now() + this.validMs })
      return [id, ticket]
    })
    this.record.write('advice', { step, asked: workers.length, healthy: Healthy.map(([id]) => id) })
    sendJson(response, 200, { Healthy, ValidMs: this.validMs })
  }
}
