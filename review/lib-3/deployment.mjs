// A small deployment on loopback addresses: the program under test, started by the command of the deploy file, and the project's own stand-ins of the
// workers and the machines. Each host has a loopback address of its own, as all hosts use the same ports.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { MemoryKeyValueStore } from '../../packages/platform-memory/dist/index.js'
import { StandInWireFleet } from '../../platform/dist/index.js'
import { systemClock } from '../../packages/utils/dist/index.js'
import { StoreServer } from './store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const RESTART_MS = 500
const FRONTEND_PORT = 8624
const READINESS_PORT = 8622
const FLEET_HOST = 'review.example'
export const SERVICES = ['grids', 'checks']
/** Figures of the smallest site of the users. */
const LIMITS = { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 }
const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchupS: 4,
  DrainMs: 2000,
  GraceS: 6,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxSkewMs: 5000,
  RecoveryS: 12,
  HoldMaxMs: 10000,
  StopTimeoutMs: 400,
  GangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  FarX: 2,
  CheckpointS: 0.5,
  RestoreMs: 250,
  NoticeMs: 4500,
  MigrateS: 1.5,
  MaintenanceS: 2,
  RequireFence: false,
  LeaseMs: 3000,
  ThawMs: 300,
  PaceMs: 100,
  HarmMs: 4000
}
const CONTRACTS = ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing']

/** Writes what happened to `record.txt` of a case. */
export class Record {
  #path
  #startedMs = Date.now()

  constructor (directory) {
    this.#path = join(directory, 'record.txt')
    writeFileSync(this.#path, '')
  }

  write (what, fields = {}) {
    appendFileSync(this.#path, `${((Date.now() - this.#startedMs) / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}\n`)
  }
}

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
let lastJob = 0
/** Returns a new job id of 16 hexadecimal digits. */
export const newJobId = () => (0x1000000 * (process.pid % 0x100000) + ++lastJob).toString(16).padStart(16, '0')

/** A process of the program under test, started again after it has ended. */
class Host {
  ends = []
  #deployment
  #child
  #isClosed = false

  constructor (deployment, index, settings) {
    this.#deployment = deployment
    this.name = settings.NodeName
    this.address = settings.Ip
    this.settingsFile = join(deployment.directory, `${this.name}.json`)
    this.logFile = join(deployment.directory, `${this.name}.log`)
    writeFileSync(this.settingsFile, JSON.stringify(settings))
  }

  get pid () {
    return this.#child?.pid
  }

  start () {
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const environment = { PATH: process.env.PATH, HOME: process.env.HOME ?? '', QUILLSCALE_CONFIG: this.settingsFile }
    const child = spawn(program, args, { cwd: ROOT, env: environment, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    const log = (chunk) => appendFileSync(this.logFile, chunk)
    child.stdout.on('data', log)
    child.stderr.on('data', log)
    child.once('exit', (code, signal) => {
      this.#child = undefined
      if (this.#isClosed) return
      this.ends.push({ atMs: Date.now(), code, signal, expected: this.expectedSignal })
      this.#deployment.record.write('process ended', { host: this.name, code, signal, sentByTest: this.expectedSignal ?? 'none' })
      this.expectedSignal = undefined
      setTimeout(() => { if (!this.#isClosed) this.start() }, RESTART_MS)
    })
  }

  signal (name) {
    this.#deployment.record.write('signal sent', { host: this.name, name })
    if (name === 'SIGKILL' || name === 'SIGTERM') this.expectedSignal = name
    this.#child?.kill(name)
  }

  /** Ends the process without waiting, as the test itself ends. */
  kill () {
    this.#isClosed = true
    this.#child?.kill('SIGKILL')
  }

  async close () {
    this.#isClosed = true
    const child = this.#child
    if (child === undefined) return
    const gone = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGCONT')
    child.kill('SIGKILL')
    await gone
  }

  /** Calls the host as a client or the balancer does. */
  call (method, path, { body, waitMs = 3000, port = FRONTEND_PORT, agent, headers = {} } = {}) {
    const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
    const startedMs = Date.now()
    return new Promise((resolve) => {
      const finish = (outcome) => resolve({ ...outcome, tookMs: Date.now() - startedMs })
      const sent = request({
        host: this.address,
        port,
        method,
        path,
        agent: agent ?? this.#deployment.agent,
        headers: { host: FLEET_HOST, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'x-deadline-ms': String(waitMs), ...headers }
      }, (response) => {
        const chunks = []
        response.on('data', (chunk) => chunks.push(chunk))
        response.on('end', () => {
          const answer = Buffer.concat(chunks).toString()
          let decoded
          try { decoded = JSON.parse(answer) } catch { decoded = answer }
          finish({ status: response.statusCode, body: decoded })
        })
        response.on('error', () => finish({ status: 0, error: 'broken' }))
      })
      const timer = setTimeout(() => { finish({ status: 0, error: 'timeout' }); sent.destroy() }, waitMs)
      sent.on('error', (error) => finish({ status: 0, error: error.code ?? error.message }))
      sent.on('close', () => clearTimeout(timer))
      sent.end(text)
    })
  }

  async isReady () {
    return (await this.call('GET', '/quillscale/ready', { port: READINESS_PORT, waitMs: 900 })).status === 200
  }
}

/** Starts and ends the deployment. */
export class Deployment {
  agent = new Agent({ keepAlive: true, maxSockets: 64 })
  directory = mkdtempSync(join(tmpdir(), 'review-'))
  hosts = []
  #version = 0

  constructor (record) {
    this.record = record
    this.memory = new MemoryKeyValueStore(systemClock)
    this.store = new StoreServer(this.memory)
    process.once('exit', () => { for (const host of this.hosts) host.kill() })
    for (const name of ['SIGTERM', 'SIGINT']) process.once(name, () => process.exit(2))
  }

  /**
   * @param options.hosts - number of hosts
   * @param options.storePort - returns the port at which a host reaches the store, given that of the store
   * @param options.settings - further settings
   */
  async start ({ hosts = 4, machines = 4, storePort = (port) => port, machinesPort = (port) => port, settings = {}, routes = {}, addressOf } = {}) {
    this.fleet = new StandInWireFleet({
      store: this.memory,
      clock: systemClock,
      services: SERVICES,
      zones: ['z0', 'z1'],
      machinesPerService: machines,
      cpuMillis: 16000,
      addressOf: addressOf ?? (async (_, port) => `127.0.0.1:${port}`)
    })
    const fleetPort = await this.fleet.start()
    const { port } = await this.store.listen()
    this.routes = routes
    await this.writeConfiguration()
    for (let index = 0; index < hosts; index++) {
      const Ip = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}.${index + 1}`
      this.hosts.push(new Host(this, index, {
        NodeName: `edge-${index}`,
        Role: 'entry',
        MachineClass: 'edge',
        Serves: ['edge'],
        Ip,
        Zone: `z${index % 2}`,
        Region: 'r',
        Zones: { z0: 'r', z1: 'r' },
        ListenAddrs: { Frontend: `${Ip}:${FRONTEND_PORT}`, Readiness: `${Ip}:${READINESS_PORT}` },
        InternalPorts: [7060, 7075],
        Bootstrap: true,
        Limits: LIMITS,
        Contracts: CONTRACTS,
        Bounds: BOUNDS,
        Orders: 'request',
        Advice: '',
        platform: {
          Address: `127.0.0.1:${await storePort(port, index)}`, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000
        },
        CloudApi: { Address: `127.0.0.1:${await machinesPort(fleetPort, index)}`, RatePerS: 64, Duties: [], DutyPerS: 64 },
        ...settings
      }))
    }
    for (const host of this.hosts) host.start()
    const isUp = await this.until(async () => (await Promise.all(this.hosts.map((host) => host.isReady()))).every(Boolean), 20_000)
    if (!isUp) throw new Error('the hosts did not become ready')
    const hasHolders = await this.until(async () => (await Promise.all(SERVICES.map((service) => this.holderOf(service)))).every(Boolean), 10_000)
    if (!hasHolders) throw new Error('the services got no holders')
  }

  /** Writes the next version of the configuration, with one route for each service, further fields by service, and further routes. */
  async writeConfiguration (further = []) {
    const Routes = SERVICES.map((service) => ({
      Name: service,
      Host: FLEET_HOST,
      PathPrefix: `/${service}/`,
      Service: service,
      Priority: 0,
      Attempts: 4,
      Stretch: 2,
      TargetLatencyMs: 500,
      TimeoutMs: 3000,
      ...this.routes[service]
    }))
    const value = JSON.stringify({
      Version: ++this.#version,
      Routes: [...Routes, ...further],
      Services: SERVICES.map((Name) => ({ Name, RejectsOverload: true })),
      Limits: { MaxBodyBytes: 262144 }
    })
    await this.memory.transact({ conditions: [], puts: [{ key: 'op/config', value }], removals: [] })
  }

  /** Returns the host that holds the duty of a service by the store, as the command `duties` of the program shows it. */
  async holderOf (service) {
    const item = (await this.memory.get(`duty/service/${service}`)).unwrap()
    const name = item?.value.split('#')[0]
    return this.hosts.find((host) => host.name === name)
  }

  async until (isDone, mostMs, everyMs = 100) {
    const endMs = Date.now() + mostMs
    while (Date.now() < endMs) {
      if (await isDone()) return true
      await pause(everyMs)
    }
    return false
  }

  /** Calls one host after the other, as a client whose retries meet other hosts, until an answer comes that is not 429, 502, 503 or 504. */
  async callAny (method, path, { body, tries = 4, from = 0, waitMs = 3000 } = {}) {
    let outcome
    for (let attempt = 0; attempt < tries; attempt++) {
      const host = this.hosts[(from + attempt) % this.hosts.length]
      outcome = { ...await host.call(method, path, { body, waitMs }), host: host.name }
      if (outcome.status > 0 && ![429, 502, 503, 504].includes(outcome.status)) return outcome
      await pause(200)
    }
    return outcome
  }

  async close ({ keepLogs = false } = {}) {
    await Promise.all(this.hosts.map((host) => host.close()))
    this.fleet?.close()
    this.store.close()
    this.agent.destroy()
    if (!keepLogs) rmSync(this.directory, { recursive: true, force: true })
  }
}

/** The command of an ordinary task, as the stand-in of the worker reads it: it ends after the given time. */
export const taskSpec = (runMs) => JSON.stringify({ runMs })
