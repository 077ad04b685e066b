// Starts the project's program with the command of the deploy file, one process for each entry host, and starts it again when it ends.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { freePort, isFree, sleep } from './http.mjs'

export const ROOT = fileURLToPath(new URL('../../', import.meta.url))
/** Port of the metrics in the deploy file. */
const METRICS_PORT = 9464
const RESTART_MS = 300

function runCommand () {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run *= *"([^"]+)"/m.exec(deploy)[1].split(' ')
}

/** Settings of a small deployment, as the pages show them. */
export const SMALL_BOUNDS = {
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
export const SMALL_CONTRACTS = ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing']

export class Hosts {
  constructor ({ record, zones, storeAddress, cloudAddress, adviceAddress, contracts, bounds }) {
    Object.assign(this, { record, zones, storeAddress, cloudAddress, adviceAddress, contracts, bounds })
    this.directory = mkdtempSync(join(tmpdir(), 'review-2-'))
    this.hosts = []
    this.isClosing = false
  }

  async add (name, zone) {
    const ip = await this.#freeAddress()
    const frontend = `${ip}:${await freePort(ip)}`
    const readiness = `${ip}:${await freePort(ip)}`
    const host = { name, zone, ip, frontend, readiness, file: join(this.directory, `${name}.json`), child: undefined, isKept: true, ends: [] }
    writeFileSync(host.file, JSON.stringify(this.#settingsOf(host)))
    this.hosts.push(host)
    this.#start(host)
    return host
  }

  /** Has all fields that the pages show. */
  #settingsOf ({ name, zone, ip, frontend, readiness }) {
    return {
      NodeName: name,
      Role: 'entry',
      MachineClass: 'edge',
      Serves: ['edge'],
      Ip: ip,
      Zone: zone,
      Region: 'region',
      Zones: Object.fromEntries(this.zones.map((each) => [each, 'region'])),
      ListenAddrs: { Frontend: frontend, Readiness: readiness },
      InternalPorts: [7060, 7075],
      Seeds: [],
      Bootstrap: true,
      FaultCounted: false,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1500,
      Contracts: this.contracts,
      FaultTolerance: { Machines: 2, Zones: 1, Regions: 0 },
      Bounds: this.bounds,
      Orders: 'request',
      Advice: this.adviceAddress,
      platform: { Address: this.storeAddress, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1_048_576, TtlMinMs: 1000 },
      CloudApi: { Address: this.cloudAddress, RatePerS: 64, Duties: [], DutyPerS: 64 }
    }
  }

  async #freeAddress () {
    for (let tries = 0; tries < 50; tries++) {
      const ip = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
      if (await isFree(ip, METRICS_PORT)) return ip
    }
    throw new Error('no free loopback address')
  }

  #start (host) {
    const [program, ...args] = runCommand()
    const log = createWriteStream(join(this.directory, `${host.name}.log`), { flags: 'a' })
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, QUILLSCALE_CONFIG: host.file }
    })
    host.child = child
    host.startedMs = performance.now()
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.record.write('process starts', { host: host.name, pid: child.pid })
    child.once('exit', (code, signal) => {
      log.end()
      host.child = undefined
      host.ends.push({ code, signal, atMs: performance.now(), wasSignalled: host.wasSignalled === true })
      this.record.write('process ends', { host: host.name, code, signal, bySignalOfTest: host.wasSignalled === true })
      host.wasSignalled = false
      if (host.isKept && !this.isClosing) setTimeout(() => { if (host.isKept && !this.isClosing) this.#start(host) }, RESTART_MS)
    })
  }

  /** Sends SIGKILL; the host comes back unless it is gone for good. */
  kill (host, { forGood = false } = {}) {
    host.isKept = !forGood
    host.wasSignalled = true
    this.record.write('SIGKILL', { host: host.name, forGood })
    host.child?.kill('SIGKILL')
  }

  log (host) {
    try { return readFileSync(join(this.directory, `${host.name}.log`), 'utf8') } catch { return '' }
  }

  async close () {
    this.isClosing = true
    const children = this.hosts.flatMap(({ child }) => child ?? [])
    for (const child of children) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    for (let tries = 0; tries < 50 && this.hosts.some(({ child }) => child !== undefined); tries++) await sleep(20)
    if (process.env.KEEP_LOGS !== '1') rmSync(this.directory, { recursive: true, force: true })
    else process.stderr.write(`logs: ${this.directory}\n`)
  }
}
