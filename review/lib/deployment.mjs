// Starts a small deployment for a case of the review: the program on three hosts by the command of the deploy file, the platform's stand-ins, and clients.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync, existsSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { fileURLToPath } from 'node:url'
import { Advice, Fleet, Store } from './platform.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const METRICS_PORT = 9464
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const MAX_ATTEMPTS = 40
const LIMIT_MS = 110_000
/** Memory of each worker. */
export const MEM_MB = 32_000
/** Figures of the smallest deployment on the users' pages. */
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
  HoldMaxMs: 6000,
  StopTimeoutMs: 200,
  GangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  FarX: 3,
  CheckpointS: 1,
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

export const CONFIG_APPLY_MS = BOUNDS.ConfigApplyMs
export const NOTICE_MS = BOUNDS.NoticeMs
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const beganMs = performance.now()
export const sinceMs = () => Math.round(performance.now() - beganMs)

/** The exit code of a case that could not run. */
export const NOT_RUN = 2

/** Writes what was sent, answered and run, one JSON object a line. */
export class Record {
  lines = []
  #file

  constructor (file) {
    this.#file = file
  }

  write = (what, fields = {}) => {
    this.lines.push({ atMs: sinceMs(), what, ...fields })
  }

  of (what) {
    return this.lines.filter((line) => line.what === what)
  }

  save () {
    writeFileSync(this.#file, this.lines.map((line) => `${JSON.stringify(line)}\n`).join(''))
  }
}

function isFree (address, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, address, () => server.close(() => resolve(true)))
  })
}

function freePort (address) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, address, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

/** Finds a loopback address on which the port of the metrics is free, as the deploy file fixes that port. */
async function freeAddress (index) {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const address = `127.${20 + index}.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    if (await isFree(address, METRICS_PORT)) return address
  }
  throw new Error('no free loopback address')
}

/** Options: record, services, spare (a pool of machines that are off), machinesPerPool, cpu. */
export class Deployment {
  store = new Store()
  #record
  #options
  #fleet
  #advice
  #hosts = []
  #version = 1
  #steps = new Map()
  #directory = mkdtempSync(join(tmpdir(), 'review-'))

  constructor (options) {
    this.#options = options
    this.#record = options.record
    this.#advice = new Advice(this.#record.write)
    this.#fleet = new Fleet({
      store: this.store,
      record: this.#record.write,
      pools: [...options.services, ...(options.spare === undefined ? [] : [options.spare])],
      machinesPerPool: options.machinesPerPool,
      zones: ZONES,
      cpu: options.cpu,
      memMb: MEM_MB,
      holdMaxMs: BOUNDS.HoldMaxMs,
      migrateMs: BOUNDS.MigrateS * 1000,
      upkeepMs: BOUNDS.MaintenanceS * 1000,
      stepOf: (unit) => this.#steps.get(unit.split('.')[0])?.[Number(unit.split('.')[2])] ?? { cpu: 0, memMb: 0, needsTicket: false }
    })
  }

  get fleet () {
    return this.#fleet
  }

  get hostCount () {
    return this.#hosts.length
  }

  /** Starts everything. `configuration` is in the store before the first client. */
  async start (configuration) {
    await this.store.start()
    await this.#fleet.start()
    await this.#advice.start()
    this.configure(configuration)
    for (let index = 0; index < ZONES.length; index++) this.#hosts.push(await this.#prepareHost(index))
    for (const host of this.#hosts) this.#startHost(host)
    const dueMs = performance.now() + 15_000
    while (performance.now() < dueMs) {
      await sleep(200)
      const ready = await Promise.all(this.#hosts.map((host) => call(host.address, host.readiness, 'GET', '/quillscale/ready', {})))
      const held = this.#options.services.every((service) => this.store.get(`duty/service/${service}`) !== undefined)
      if (ready.every(({ status }) => status === 200) && held) {
        await sleep(1500)
        this.#record.write('ready', { hosts: this.#hosts.length })
        return
      }
    }
    throw new Error('the hosts did not become ready')
  }

  /** Writes a configuration as the operator does; its version climbs in uneven steps. */
  configure (configuration) {
    this.#version += 1 + this.#version % 3
    const value = { Version: this.#version, ...configuration, Limits: { MaxBodyBytes: 262_144 } }
    this.store.put('op/config', value)
    this.#record.write('configuration acknowledged', value)
  }

  async #prepareHost (index) {
    const address = await freeAddress(index)
    const host = { name: `edge-${ZONES[index]}-1`, address, frontend: await freePort(address), readiness: await freePort(address) }
    host.file = join(this.#directory, `${host.name}.json`)
    const control = `${address}:${await freePort(address)}`
    writeFileSync(host.file, JSON.stringify({
      NodeName: host.name,
      Role: 'entry',
      MachineClass: 'edge',
      Serves: ['edge'],
      Ip: address,
      Zone: ZONES[index],
      Region: 'region',
      Zones: Object.fromEntries(ZONES.map((zone) => [zone, 'region'])),
      ListenAddrs: { Frontend: `${address}:${host.frontend}`, Readiness: `${address}:${host.readiness}`, Control: control },
      InternalPorts: [7060, 7075],
      Seeds: [],
      Bootstrap: true,
      FaultCounted: false,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1500,
      Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing'],
      FaultTolerance: { Machines: 2, Zones: 1, Regions: 0 },
      Bounds: BOUNDS,
      Orders: 'request',
      Advice: `127.0.0.1:${this.#advice.port}`,
      platform: {
        Address: `127.0.0.1:${this.store.port}`, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1_048_576, TtlMinMs: 1000
      },
      CloudApi: { Address: `127.0.0.1:${this.#fleet.port}`, RatePerS: 64, Duties: [], DutyPerS: 64 }
    }))
    return host
  }

  #startHost (host) {
    const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [program, ...parameters] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ')
    if (!existsSync(join(ROOT, 'target/quillscale-fleet.cjs'))) throw new Error('the program is not built: run the build of the deploy file')
    const log = openSync(join(this.#directory, `${host.name}.log`), 'w')
    const environment = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', QUILLSCALE_CONFIG: host.file }
    host.child = spawn(program, parameters, { cwd: ROOT, env: environment, stdio: ['ignore', log, log] })
    closeSync(log)
    host.child.on('exit', (code, signal) => this.#record.write('host ended', { host: host.name, code, signal }))
    this.#record.write('host started', { host: host.name })
  }

  /** Remembers what the client asked for the work units of a job. */
  expect (jobId, steps, needsTicket = false) {
    this.#steps.set(jobId, steps.map(({ Cpu: cpu = 0, MemMb: memMb = 0 }) => ({ cpu, memMb, needsTicket })))
  }

  /** A call of a client to one host, recorded with its answer. */
  async client (hostIndex, method, routeHost, path, body) {
    const host = this.#hosts[hostIndex]
    this.#record.write('sent', { host: host.name, method, path, body })
    const answer = await call(host.address, host.frontend, method, path, { host: routeHost, 'x-deadline-ms': '3000' }, body)
    this.#record.write('answered', { host: host.name, method, path, ...answer })
    return answer
  }

  /** Ends all processes and stand-ins. Set KEEP_LOGS to leave what the hosts wrote. */
  async close () {
    await Promise.all(this.#hosts.map(({ child }) => new Promise((resolve) => {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) return resolve()
      child.once('exit', resolve)
      child.kill('SIGKILL')
    })))
    this.#fleet.close()
    this.#advice.close()
    this.store.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else process.stdout.write(`logs in ${this.#directory}\n`)
  }
}

/** Sends one request. The status is 0 if no answer came. */
function call (address, port, method, path, headers, body) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const sent = request({
      host: address,
      port,
      method,
      path,
      agent: false,
      timeout: 4000,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers }
    }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => resolve({ status: 0 }))
      response.on('end', () => {
        const answered = Buffer.concat(chunks).toString()
        resolve({ status: response.statusCode, body: answered === '' ? undefined : JSON.parse(answered) })
      })
    })
    sent.on('timeout', () => sent.destroy())
    sent.on('error', () => resolve({ status: 0 }))
    sent.end(text)
  })
}

/**
 * Runs a case: `play` gets the deployment, the record and whether the disruption comes, and returns the breaches of the rule that it saw.
 * Exits with 1 if there are any, 0 if there are none, 2 if the case could not run.
 */
export async function runCase (file, options, configuration, play) {
  const record = new Record(join(dirname(fileURLToPath(file)), 'record.txt'))
  const deployment = new Deployment({ ...options, record })
  const isDisrupted = process.env.TROUBLE !== '0'
  let code = NOT_RUN
  const limit = setTimeout(() => {
    record.write('not run', { reason: 'the time limit has passed' })
    void finish()
  }, LIMIT_MS)
  const finish = async () => {
    clearTimeout(limit)
    await deployment.close()
    record.save()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { void finish() })
  try {
    record.write('case', { isDisrupted })
    await deployment.start(configuration)
    const breaches = await play(deployment, record, isDisrupted)
    for (const breach of breaches) record.write('rule broken', breach)
    if (breaches.length === 0) record.write('rule held')
    code = breaches.length > 0 ? 1 : 0
  } catch (error) {
    record.write('not run', { reason: String(error.stack ?? error) })
  }
  await finish()
}
