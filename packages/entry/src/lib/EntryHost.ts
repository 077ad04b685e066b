/**
 * One entry host: starts its parts, runs their tasks, and stops them as planned or at once.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import type { Server } from 'node:http'
import { getHeapStatistics } from 'node:v8'
import type Logger from 'bunyan'
import { start as startActors, stop as stopActors, type ActorSystemRef } from 'nact'
import { ClosingLog, deriveIngressLimits, IngressBudget } from '@quillscale/ingress'
import { delay, listen, systemClock, type Clock } from '@quillscale/utils'
import { HttpWorkerTasks } from '@quillscale/platform-http'
import type { PeerIdentity } from '@quillscale/membership'
import { createEntryHostParts } from './createEntryHostParts.js'
import { createPlatform, type OpenPlatform } from './createPlatform.js'
import type { EntryHostParts } from './EntryHostParts.js'
import { Housekeeper } from './Housekeeper.js'
import { OperatorServer } from './OperatorServer.js'
import { createOperatorRoutes } from './operatorRoutes.js'
import { Prober } from './Prober.js'
import { readTls } from './readTls.js'
import { runEvery } from './runEvery.js'
import type { Settings } from './settings.js'
import { TargetClient } from './TargetClient.js'
import { ZoneDuties } from './ZoneDuties.js'

const BOOT_RETRY_MS = 300
const HOUSEKEEPING_MS = 500
const ONCE_TICK_MS = 1000
/** A hand-over may meet one that is under way, or a platform that does not answer. */
const MAX_HAND_OVERS = 5
const HAND_OVER_PAUSE_MS = 200
const BYTES_PER_MB = 1024 * 1024

/** What tests and tools put in place of the outside. @public */
export interface EntryHostOptions {
  readonly settings: Settings
  readonly log: Logger
  readonly clock?: Clock
  readonly platform?: OpenPlatform
  /** This life of the process; the start time by default. */
  readonly incarnation?: number
}

/** A running entry host. @public */
export class EntryHost {
  readonly parts: EntryHostParts
  readonly #stopping = new AbortController()
  readonly #budget: IngressBudget
  readonly #prober: Prober
  readonly #duties: ZoneDuties
  readonly #housekeeper: Housekeeper
  readonly #client = new TargetClient()
  readonly #tasksClient = new HttpWorkerTasks()
  readonly #operators: OperatorServer
  readonly #system: ActorSystemRef
  readonly #tasks: Array<Promise<unknown>> = []
  #isStopping = false

  private constructor (options: EntryHostOptions, platform: OpenPlatform, platformCalls: Map<string, number>, ports: { caller: number, operator: number }) {
    const { settings, log } = options
    const clock = options.clock ?? systemClock
    this.#system = startActors()
    // Every task listens to the one signal that ends them.
    setMaxListeners(0, this.#stopping.signal)
    const self: PeerIdentity = {
      entryHostId: settings.entryHostId,
      availabilityZone: settings.availabilityZone,
      incarnation: options.incarnation ?? clock.wallMs(),
      address: `${settings.operator.advertisedAddress}:${settings.operator.advertisedPort ?? ports.operator}`
    }
    const closingLog = new ClosingLog(clock, (fields, message) => log.warn(fields, message))
    this.#budget = new IngressBudget({
      clock,
      limits: deriveIngressLimits({ ...settings.limits, heapMb: getHeapStatistics().heap_size_limit / BYTES_PER_MB }),
      onClosed: (closed) => closingLog.add(closed)
    })
    this.parts = createEntryHostParts({
      settings,
      self,
      clock,
      log,
      budget: this.#budget,
      platform,
      platformCalls,
      client: this.#client,
      tasks: this.#tasksClient,
      actors: this.#system,
      signal: this.#stopping.signal,
      isStopping: () => this.#isStopping
    })
    const { registry, signals, members } = this.parts
    const { operator } = settings
    this.#operators = new OperatorServer({
      keys: operator.keys, routes: createOperatorRoutes(this.parts), tls: readTls(operator.tls), log, clock, budget: this.#budget
    })
    this.#prober = new Prober({ registry, signals, clock, self: self.entryHostId, zoneMembers: () => members.zoneMembers })
    this.#duties = new ZoneDuties(this.parts)
    this.#housekeeper = new Housekeeper(this.parts, this.#client)
  }

  /**
   * Starts an entry host.
   *
   * @param options - its settings and what stands in for the outside
   * @returns once it listens; it serves as soon as a configuration is in force
   */
  static async start (options: EntryHostOptions): Promise<EntryHost> {
    const calls = new Map<string, number>()
    const count = (kind: string): void => { calls.set(kind, (calls.get(kind) ?? 0) + 1) }
    const platform = options.platform ?? await createPlatform(options.settings, count)
    const { caller, operator } = options.settings
    const host = new EntryHost(options, platform, calls, { caller: caller.port, operator: operator.port })
    await host.#listen()
    host.#run()
    return host
  }

  /** Ports that callers and operators reach it at. */
  get ports (): { caller: number, operator: number } {
    const portOf = (server: Server): number => (server.address() as AddressInfo).port
    return { caller: portOf(this.parts.callers.server), operator: portOf(this.#operators.server) }
  }

  /** Stops as planned: leaves the balancer, finishes what is in flight, hands on what it owns. */
  async stop (): Promise<void> {
    const { settings, callers, mesh, once, log, clock } = this.parts
    if (this.#isStopping) return
    this.#isStopping = true
    log.info('stopping: leaving the balancer')
    callers.failHealthCheck()
    mesh.broadcastHeartbeat()
    await delay(settings.stop.balancerNoticeMs)
    callers.refuseNew()
    const untilMs = clock.monotonicMs() + settings.stop.drainTimeoutMs
    while (callers.inFlight > 0 && clock.monotonicMs() < untilMs) await delay(20)
    for (let tries = 0; tries < MAX_HAND_OVERS && once.ownedShards > 0; tries++) {
      await once.tick()
      if (once.ownedShards > 0) await delay(HAND_OVER_PAUSE_MS)
    }
    log.info({ cutOff: callers.inFlight, ownedKeyShards: once.ownedShards }, 'stopping: drained')
    await this.close()
  }

  /** Ends everything at once, as a crash would, but frees the process's resources. */
  async close (): Promise<void> {
    const { callers, mesh, platform } = this.parts
    this.#isStopping = true
    this.#stopping.abort()
    callers.server.close()
    callers.server.closeAllConnections()
    this.#operators.server.close()
    this.#operators.server.closeAllConnections()
    await mesh.close()
    await Promise.race([Promise.allSettled(this.#tasks), delay(1000)])
    await Promise.race([this.#client.close(), delay(500)])
    await Promise.all([platform.close(), this.#tasksClient.close()])
    stopActors(this.#system)
  }

  async #listen (): Promise<void> {
    const { settings, mesh, callers } = this.parts
    mesh.attach(this.#operators.server, (socket) => this.#budget.exempt(socket as Socket), (socket, bytes) => {
      this.#budget.connectionOf(socket as Socket)?.hold(bytes)
      this.#budget.enforce()
    })
    await listen(this.#operators.server, settings.operator.port, settings.operator.address)
    await listen(callers.server, settings.caller.port, settings.caller.address)
  }

  #run (): void {
    const { mesh, zoneLease } = this.parts
    const { signal } = this.#stopping
    mesh.start()
    this.#tasks.push(
      this.#boot(signal), zoneLease.run(signal), this.#prober.run(signal),
      runEvery(HOUSEKEEPING_MS, signal, this.parts.log, () => this.#housekeeper.tick()), runEvery(ONCE_TICK_MS, signal, this.parts.log, () => this.#tickOnce()),
      ...this.#duties.run(signal)
    )
  }

  /** Gets a first configuration from the platform or, through the links, from peers, whichever answers first. */
  async #boot (signal: AbortSignal): Promise<void> {
    const { sync, replica, log } = this.parts
    while (!signal.aborted && !replica.isComplete) {
      if (await sync.readStore()) this.#duties.notePlatformOk()
      else await delay(BOOT_RETRY_MS * (1 + Math.random()), signal)
    }
    log.info({ documents: replica.versions().length }, 'configuration in force')
    this.parts.registry.queueRefresh()
  }

  async #tickOnce (): Promise<void> {
    if (!this.parts.replica.isComplete || this.#isStopping) return
    await this.parts.once.tick()
  }
}
