// A small deployment on loopback addresses: store, machines, workers, advice and entry hosts, and the clients' calls. Runs one case and ends with its verdict.
import { randomBytes } from 'node:crypto'
import { join } from 'node:path'
import { call, sleep } from './http.mjs'
import { Fleet, Advice } from './fleet.mjs'
import { Hosts, SMALL_BOUNDS, SMALL_CONTRACTS } from './hosts.mjs'
import { Record } from './record.mjs'
import { Store } from './store.mjs'

export { call, sleep, SMALL_BOUNDS, SMALL_CONTRACTS }

const PLATFORM = '127.0.0.1'
export const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d']
export const newJobId = () => randomBytes(8).toString('hex')

export class Deployment {
  constructor ({ folder, bounds = SMALL_BOUNDS, contracts = SMALL_CONTRACTS }) {
    this.record = new Record(join(folder, 'record.txt'))
    Object.assign(this, { bounds, contracts })
    this.store = new Store()
    this.version = 0
  }

  /** Starts the platform: store, workers, machines and, if asked for, advice. `services`: names with the number of workers and what each is. */
  async startPlatform ({ services, advice }) {
    await this.store.listen(PLATFORM)
    this.fleet = new Fleet({ store: this.store, record: this.record, address: PLATFORM, bounds: this.bounds })
    for (const { name, workers } of services) {
      for (const [at, options] of workers.entries()) await this.fleet.add({ service: name, zone: ZONES[at % ZONES.length], ...options })
    }
    await this.fleet.listenCloud()
    if (advice !== undefined) {
      this.advice = new Advice({ address: PLATFORM, record: this.record, ...advice })
      this.adviceAddress = await this.advice.listen()
    }
  }

  /** The zone of each host may be given. */
  async startHosts (count, zones = ZONES) {
    const { record, contracts, bounds, adviceAddress = null } = this
    const addresses = { storeAddress: this.store.address, cloudAddress: this.fleet.cloudAddress, adviceAddress }
    this.hosts = new Hosts({ record, zones: ZONES, ...addresses, contracts, bounds })
    for (let at = 0; at < count; at++) await this.hosts.add(`edge-${at + 1}`, zones[at % zones.length])
    const endMs = performance.now() + 20_000
    const isReady = async ({ readiness }) => (await call({ address: readiness, method: 'GET', path: '/quillscale/ready', waitMs: 500 })).status === 200
    while (performance.now() < endMs) {
      if ((await Promise.all(this.hosts.hosts.map(isReady))).every(Boolean)) return
      await sleep(100)
    }
    throw new CannotRun('the entry hosts did not become ready')
  }

  /** Writes the configuration as the operator does. */
  configure ({ routes, services, tenants }) {
    this.version += 3
    const config = {
      Version: this.version,
      Routes: routes.map((route) => ({ Kind: 'non_idempotent', TimeoutMs: 3000, TargetLatencyMs: 600, Priority: 0, Attempts: 3, Stretch: 1.6, ...route })),
      Services: services.map((service) => ({ HealthPath: '/health', MaxConns: 64, Protocol: 'h1', Tls: false, RejectsOverload: true, Headroom: false, ...service })),
      Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
      ...(tenants === undefined ? {} : { Tenants: tenants })
    }
    this.record.write('configuration', { version: this.version, rev: this.store.put('op/config', config) })
  }

  /** Hands a job in once. `steps` have the fields of the page, and `runMs` and `fails` for the stand-in of the workers. */
  async submit (host, route, jobId, steps, { key, waitMs = 3000, more = {} } = {}) {
    this.fleet.jobs.set(jobId, steps)
    const body = { TaskSpec: `work of ${jobId}`, Steps: steps.map(({ runMs, fails, ...step }) => step), ...more }
    return await this.send(host, 'POST', route, jobId, { body, key, waitMs })
  }

  async send (host, method, route, jobId, { body, key, waitMs = 3000 } = {}) {
    const headers = { host: route.Host, ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) }
    const answer = await call({ address: host.frontend, method, path: `${route.PathPrefix}${jobId}`, headers, body, waitMs })
    this.record.write(`${method} ${jobId}`, { host: host.name, route: route.Name, status: answer.status, body: answer.body, why: answer.why, tookMs: answer.tookMs })
    return answer
  }

  /** Hands a job in as a client does: again after no answer, 502, 503, 504 or 429, at another host. @returns whether it was accepted */
  async submitUntilAccepted (route, jobId, steps, { key, more, tries = 5 } = {}) {
    const hosts = this.liveHosts()
    for (let at = 0; at < tries; at++) {
      const { status } = await this.submit(hosts[at % hosts.length], route, jobId, steps, { key, more })
      if (status >= 200 && status < 300) return true
      await sleep(400)
    }
    return false
  }

  liveHosts () { return this.hosts.hosts.filter(({ isKept }) => isKept) }

  async stateOf (route, jobId, { key, host = this.liveHosts()[0] } = {}) {
    const { status, body } = await this.send(host, 'GET', route, jobId, { key })
    return status === 200 ? body?.State : status === 410 ? 'gone' : `status ${status}`
  }

  /** Runs of a job's work units. */
  startsOf (jobId) { return this.fleet.starts.filter(({ task }) => task.startsWith(`${jobId}.`)) }

  async close () {
    await this.hosts?.close()
    this.fleet?.close()
    this.advice?.close()
    this.store.close()
    await this.record.close()
  }
}

export class CannotRun extends Error {}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, options, play) {
  const deployment = new Deployment({ folder, ...options })
  const limit = setTimeout(() => finish(2, 'the case took too long'), 118_000)
  let isFinished = false
  async function finish (code, text) {
    if (isFinished) return
    isFinished = true
    clearTimeout(limit)
    deployment.record.write('verdict', { code, text })
    process.stdout.write(`${code === 1 ? 'RULE BROKEN' : code === 0 ? 'rule held' : 'could not run'}: ${text}\n`)
    await deployment.close()
    process.exit(code)
  }
  process.once('SIGTERM', () => { void finish(2, 'stopped') })
  process.once('SIGINT', () => { void finish(2, 'stopped') })
  try {
    const { broken, text } = await play(deployment, process.env.TROUBLE !== '0')
    if (deployment.fleet.machineOrders > 0) throw new CannotRun('an order for a machine came, which the stand-in does not carry out')
    await finish(broken ? 1 : 0, text)
  } catch (error) {
    await finish(2, error instanceof CannotRun ? error.message : error.stack)
  }
}
