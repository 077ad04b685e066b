/**
 * All stand-ins of one deployment in one process, with an HTTP interface to control them.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { SeededRandom } from '@quillscale/utils'
import { createAvailabilityZone, createHostId, type HostId } from '@quillscale/model'
import type { ListedHost } from '@quillscale/ports'
import { MemoryHosts } from '@quillscale/platform-memory'
import { deployHosts, type Deployment } from './deployments.js'
import { StandInPlatform } from './StandInPlatform.js'
import { StandInTarget, type TargetFaults } from './StandInTarget.js'

/** Options of {@link StandIns}. @public */
export interface StandInsOptions {
  readonly deployment: Deployment
  readonly seed: number
  /** Port of the control interface. The platform's ports follow, one for each zone; the targets' ports begin at `firstPort + 100`. */
  readonly firstPort: number
  readonly rebootMs: number
  readonly listLagMs: number
  /** Hosts that do not come back from a reboot. */
  readonly brokenHosts?: readonly string[]
  /** Entry hosts that the platform lists, by name and zone. */
  readonly entryHosts?: ReadonlyArray<{ readonly entryHostId: string, readonly availabilityZone: string }>
}

/** Counts of calls and runs. @public */
export interface StandInCounts {
  readonly platformCalls: Record<string, number>
  /** Ids of calls that ran more than once, with the hosts that ran them. */
  readonly ranTwice: Record<string, string[]>
  readonly runs: number
  readonly refusals: number
  /** Number of requests that each host ran. */
  readonly runsByHost: Record<string, number>
  readonly hosts: readonly ListedHost[]
}

const TARGET_PORT_OFFSET = 100

/** Starts, controls and stops the stand-ins of a deployment. @public */
export class StandIns {
  readonly platform: StandInPlatform
  readonly hosts: MemoryHosts
  readonly targets = new Map<HostId, StandInTarget>()
  readonly #hostsByCall = new Map<string, string[]>()
  readonly #options: StandInsOptions
  readonly #controlServer: Server

  /** @param options - the deployment, ports and host behaviour */
  constructor (options: StandInsOptions) {
    this.#options = options
    const random = new SeededRandom(options.seed)
    const deployed = deployHosts(options.deployment, options.firstPort + TARGET_PORT_OFFSET)
    for (const { listed, use } of deployed) {
      const workMs = options.deployment.services.find(({ name }) => name === use)?.workMs ?? 10
      this.targets.set(listed.hostId, new StandInTarget({
        hostId: listed.hostId,
        address: listed.address,
        port: listed.port,
        slots: options.deployment.slotsPerTarget,
        workMs,
        random,
        onRun: (callId, hostId) => this.#recordRun(callId, hostId)
      }))
    }
    const entryHosts = (options.entryHosts ?? []).map(({ entryHostId, availabilityZone }): ListedHost => ({
      hostId: createHostId(entryHostId), availabilityZone: createAvailabilityZone(availabilityZone), rack: 'entry', role: 'entry', state: 'live', address: '127.0.0.1', port: 1, version: '1'
    }))
    this.hosts = new MemoryHosts([...deployed.map(({ listed }) => listed), ...entryHosts], {
      rebootMs: options.rebootMs, listLagMs: options.listLagMs, brokenHosts: new Set(options.brokenHosts ?? [])
    }, {
      onDrain: (hostId) => this.#setLeaving(hostId, true),
      onUndrain: (hostId) => this.#setLeaving(hostId, false),
      onDown: (hostId) => this.targets.get(hostId)?.down(),
      onUp: (hostId) => {
        this.#setLeaving(hostId, false)
        void this.targets.get(hostId)?.up()
      }
    })
    this.platform = new StandInPlatform(this.hosts, random)
    this.#controlServer = createServer((request, response) => { void this.#answerControl(request, response) })
  }

  /** Starts the targets, the platform and the control interface. */
  async start (): Promise<void> {
    const { firstPort, deployment } = this.#options
    await Promise.all([...this.targets.values()].map((target) => target.up()))
    for (const [index, zone] of deployment.availabilityZones.entries()) await this.platform.listen(zone, firstPort + 1 + index)
    await new Promise<void>((resolve) => this.#controlServer.listen(firstPort, '127.0.0.1', resolve))
  }

  /** Stops all stand-ins and the control interface. */
  close (): void {
    this.#controlServer.close()
    this.#controlServer.closeAllConnections()
    this.platform.close()
    for (const target of this.targets.values()) target.down()
  }

  /** @returns the counts so far */
  counts (): StandInCounts {
    const targets = [...this.targets]
    return {
      platformCalls: Object.fromEntries(this.platform.calls),
      ranTwice: Object.fromEntries([...this.#hostsByCall].filter(([, hosts]) => hosts.length > 1)),
      runs: targets.reduce((sum, [, target]) => sum + target.runs, 0),
      refusals: targets.reduce((sum, [, target]) => sum + target.refusals, 0),
      runsByHost: Object.fromEntries(targets.map(([hostId, target]) => [hostId, target.runs])),
      hosts: this.hosts.current()
    }
  }

  /** @param callId - the id that the caller gave a call @returns the hosts that ran it, one entry for each run */
  runsOf (callId: string): readonly string[] {
    return this.#hostsByCall.get(callId) ?? []
  }

  /**
   * Carries out an order of the control interface.
   *
   * @param order - name of the order, such as `platform` or `host`
   * @param body - the arguments of the order
   * @returns the answer
   */
  control (order: string, body: Record<string, unknown>): unknown {
    const handler = this.#controlHandlers[order]
    return handler === undefined ? { error: `no order ${order}; there are ${Object.keys(this.#controlHandlers).join(', ')}` } : handler(body)
  }

  readonly #controlHandlers: Record<string, (body: Record<string, unknown>) => unknown> = {
    counts: () => this.counts(),
    runs: ({ callId }) => ({ hosts: this.runsOf(String(callId)) }),
    platform: (body) => {
      Object.assign(this.platform.faults, pick(body, ['isDown', 'latencyMs', 'loseAnswerShare']))
      return { ...this.platform.faults, cutZones: [...this.platform.faults.cutZones] }
    },
    cut: ({ availabilityZone, isCut }) => {
      if (isCut === true) this.platform.faults.cutZones.add(String(availabilityZone))
      else this.platform.faults.cutZones.delete(String(availabilityZone))
      return { cutZones: [...this.platform.faults.cutZones] }
    },
    store: ({ action }) => {
      if (action === 'back-up') this.platform.backUp()
      if (action === 'restore') this.platform.restore()
      return { action }
    },
    target: ({ hostId, ...faults }) => {
      const target = this.targets.get(String(hostId) as HostId)
      if (target !== undefined) Object.assign(target.faults, faults as Partial<TargetFaults>)
      return target?.faults ?? { error: 'no such host' }
    },
    host: ({ hostId, state }) => {
      const id = createHostId(String(hostId))
      if (state === 'gone') this.hosts.fail(id)
      if (state === 'live') this.hosts.recover(id)
      if (state === 'leaving') this.#setLeaving(id, true)
      return { hostId, state }
    }
  }

  async #answerControl (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const text = Buffer.concat(chunks).toString()
    const order = (request.url ?? '/').replace(/^\/control\//, '')
    response.setHeader('content-type', 'application/json')
    try {
      response.end(JSON.stringify(this.control(order, text === '' ? {} : JSON.parse(text) as Record<string, unknown>)))
    } catch (error) {
      response.statusCode = 400
      response.end(JSON.stringify({ error: String(error) }))
    }
  }

  #recordRun (callId: string, hostId: string): void {
    if (callId === '') return
    const hosts = this.#hostsByCall.get(callId)
    if (hosts === undefined) this.#hostsByCall.set(callId, [hostId])
    else hosts.push(hostId)
  }

  #setLeaving (hostId: HostId, isLeaving: boolean): void {
    const target = this.targets.get(hostId)
    if (target !== undefined) target.isLeaving = isLeaving
  }
}

function pick (body: Record<string, unknown>, names: readonly string[]): Record<string, unknown> {
  return Object.fromEntries(Object.entries(body).filter(([name]) => names.includes(name)))
}
