/**
 * The environment of one run: stand-ins of store, workers and machines, proxies in front of them, and the processes under test.
 *
 * @module
 */
import type { Clock, SeededRandom } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { encodeConfiguration, encodeEvacuationRequest, encodeWaveRequest, StandInWireFleet, StandInWireStore, type QueueSettings } from '@quillscale/platform-fleet'
import { EntryProcess } from './EntryProcess.js'
import { FaultProxy } from './FaultProxy.js'
import type { DutyTenure, Evacuation, ExtraQueueChange, StoredConfiguration, StoredJob } from './History.js'
import type { LagContent } from './LagContent.js'
import { Rotations } from './Rotations.js'
import { APPLY_MS, SoakAccounts } from './SoakAccounts.js'
import { StallMonitor } from './StallMonitor.js'

/** The number of hosts and machines of a run. @public */
export interface SoakSize { readonly hosts: number, readonly machinesPerService: number }

/** The services; each has a permanent queue. @public */
export const SERVICES = ['grids', 'checks'] as const
/** The availability zones of the machines. @public */
export const ZONES = ['z0', 'z1', 'z2'] as const
/** The host name of all queues. @public */
export const QUEUE_HOST = 'soak.example'
const PERMANENT_QUEUES: readonly QueueSettings[] = SERVICES.map((service) => ({ host: QUEUE_HOST, pathPrefix: `/${service}/`, service }))
/** The path of the queue that configuration changes add and remove. @public */
export const EXTRA_QUEUE_PATH = '/extra/'
const EXTRA_QUEUE: QueueSettings = { host: QUEUE_HOST, pathPrefix: EXTRA_QUEUE_PATH, service: SERVICES[0] }
const MOVED_EXTRA_QUEUE: QueueSettings = { ...EXTRA_QUEUE, service: SERVICES[1] }
/** Makes a configuration of about 90 KB. */
const FILLER_COUNT = 800
const FILLER_QUEUES = Array.from({ length: FILLER_COUNT }, (_, index): QueueSettings => ({ ...EXTRA_QUEUE, pathPrefix: `/filler-${index}/` }))
const DUTY_PREFIX = 'duty/service/'
const EXTRA_INBOX_PREFIX = `inbox/${EXTRA_QUEUE.service}/`
const CONFIGURATION_PREFIX = 'op/'
/** With this delay, a version is still in force within the bound of the users' sites. */
const MAX_CONFIGURATION_DELAY_MS = 1000
const RECORD_WATCH_MS = 1000
const BEAT_INTERVAL_MS = 100
/** CPU of each machine, enough for six tasks. */
const MACHINE_CPU_MILLIS = 6000
const MAX_CLOCK_OFFSET_MS = 400
/** How many machines of a wave may be down for maintenance at once. @public */
export const MAX_IN_MAINTENANCE = 2

/** Unexpected values: truncated, of another type, or with an address at which nothing listens. */
const FOREIGN_VALUES: readonly string[] = [
  '', '{', '7', '[]', JSON.stringify({ Service: SERVICES[0], Address: '127.0.0.1:9', State: 'ready' }), JSON.stringify({ Service: 7, Address: '127.0.0.1:99999', State: 'x' })
]

/** Starts, disturbs and stops everything that a run consists of. @public */
export class SoakEnvironment {
  readonly clock: Clock
  readonly store: StandInWireStore
  readonly memory: MemoryKeyValueStore
  readonly fleet: StandInWireFleet
  readonly hosts: EntryProcess[] = []
  /** Proxies between each host and the store, by the host's index. */
  readonly storeLinks: FaultProxy[] = []
  /** Proxies in front of the machines, by machine id. */
  readonly machineLinks = new Map<string, FaultProxy>()
  readonly extraQueueChanges: ExtraQueueChange[] = []
  readonly evacuations: Evacuation[] = []
  readonly tenures: DutyTenure[] = []
  readonly configurations: StoredConfiguration[] = []
  /** Jobs of the service of the extra queue. */
  readonly storedJobs: StoredJob[] = []
  readonly accounts = new SoakAccounts()
  readonly rotations = new Rotations()
  /** How many of the next jobs are sent again by the keys and to the queues that replace those of their first submission. */
  remainingRotatedJobs = 0
  /** How many meetings of {@link LagProbe} are to come. */
  remainingLagProbes = 0
  /** A host that no caller calls, so that it does not learn of configurations by requests; no caller submits a job meanwhile. */
  avoidedHost: EntryProcess | undefined
  /** Number of submissions in progress, those of a {@link LagProbe} aside. */
  submissionsInFlight = 0
  #lagContent: readonly LagContent[] = []
  /** Whether the configuration is large. */
  isConfigurationLarge = false
  /** How many of the next jobs crash the workers that start them. */
  remainingCrashingJobs = 0
  /** How many of the next jobs are sent to the extra queue. */
  remainingExtraJobs = 0
  /** Whether the jobs of the extra queue are sent again after it has moved. */
  resendsExtraJobs = false
  #extraQueue = EXTRA_QUEUE
  /** Time of the last store fault; `Infinity` while one is active. */
  storeLastDisturbedMs = -Infinity
  /** Whether all faults have ended; none starts after that. */
  isHealed = false
  #configurationVersion = 0
  #lastWave = 0
  readonly #stop = new AbortController()
  /** Tells when this process stood still, and with it the stand-ins and all callers. */
  readonly stalls: StallMonitor
  readonly #beats: NodeJS.Timeout

  /** @param clock - the clock of all stand-ins and records @param size - the number of hosts and machines */
  constructor (clock: Clock, size: SoakSize) {
    this.clock = clock
    this.stalls = new StallMonitor(clock.monotonicMs())
    this.#beats = setInterval(() => this.stalls.beat(clock.monotonicMs()), BEAT_INTERVAL_MS).unref()
    this.memory = new MemoryKeyValueStore(clock)
    this.store = new StandInWireStore(this.memory)
    this.fleet = new StandInWireFleet({
      store: this.memory,
      clock,
      services: SERVICES,
      zones: ZONES,
      machinesPerService: size.machinesPerService,
      cpuMillis: MACHINE_CPU_MILLIS,
      addressOf: async (machineId, port) => `127.0.0.1:${await this.#addMachineProxy(machineId, port)}`
    })
  }

  async #addMachineProxy (machineId: string, port: number): Promise<number> {
    const proxy = new FaultProxy(port)
    this.machineLinks.set(machineId, proxy)
    return await proxy.listen()
  }

  /** Starts everything. @param count - number of hosts @param directory - directory for settings and logs @param random - draws the hosts' clock offsets */
  async start (count: number, directory: string, random: SeededRandom): Promise<void> {
    const machinesPort = await this.fleet.start()
    const { port: storePort } = await this.store.listen()
    await this.setExtraQueue(false)
    for (let index = 0; index < count; index++) {
      const link = new FaultProxy(storePort)
      this.storeLinks.push(link)
      const hostSettings = {
        hostName: `host-${index}`,
        ownAddress: ownAddress(index),
        storePort: await link.listen(),
        machinesPort,
        hasAccounts: true
      }
      this.hosts.push(new EntryProcess(hostSettings, directory, () => this.clock.monotonicMs(), Math.round((random.next() * 2 - 1) * MAX_CLOCK_OFFSET_MS)))
    }
    for (const host of this.hosts) host.start()
    void this.#follow(DUTY_PREFIX, (item) => this.#recordTenure(item))
    void this.#follow(EXTRA_INBOX_PREFIX, (item) => this.#recordJob(item))
  }

  /** Records which host held which duty, by the revision of its key, which is the token of its orders. */
  #recordTenure ({ key, value, modRevision }: KeyValue): void {
    // The value is the name of the host and the number of its claim.
    this.tenures.push({ service: key.slice(DUTY_PREFIX.length), fencingToken: modRevision, hostName: value.split('#')[0] ?? '' })
  }

  /** @param service - the service @returns the host that took its duty last */
  holderOf (service: string): EntryProcess | undefined {
    return this.#hostOf(this.tenures.findLast((tenure) => tenure.service === service))
  }

  /** @param fencingToken - the token of an order @returns the host that sent it */
  hostOfToken (fencingToken: number): EntryProcess | undefined {
    return this.#hostOf(this.tenures.find((tenure) => tenure.fencingToken === fencingToken))
  }

  #hostOf (tenure: DutyTenure | undefined): EntryProcess | undefined {
    return this.hosts.find(({ hostSettings }) => hostSettings.hostName === tenure?.hostName)
  }

  /** The hosts that callers call. */
  get callableHosts (): readonly EntryProcess[] {
    return this.hosts.filter((host) => host !== this.avoidedHost)
  }

  #recordJob ({ key, modRevision }: KeyValue): void {
    const jobId = key.slice(EXTRA_INBOX_PREFIX.length)
    if (!this.storedJobs.some((stored) => stored.jobId === jobId)) this.storedJobs.push({ jobId, revision: modRevision })
  }

  /** Follows the entries with a prefix until the run ends. */
  async #follow (prefix: string, record: (item: KeyValue) => void): Promise<void> {
    for (let revision = 0; !this.#stop.signal.aborted;) {
      const watched = (await this.memory.watch(prefix, revision, RECORD_WATCH_MS)).unwrap()
      revision = watched.revision
      for (const { key, value, modRevision } of watched.events) if (value !== undefined) record({ key, value, modRevision })
    }
  }

  /** Whether a host has been free of faults, planned stops aside. @param host - the host @param forMs - the required time without faults */
  isUndisturbed (host: EntryProcess, forMs: number): boolean {
    const nowMs = this.clock.monotonicMs()
    return !host.isFrozen && nowMs - Math.max(host.lastDisturbedMs, this.storeLastDisturbedMs) > forMs
  }

  /** Writes a configuration with or without the extra queue. @param exists - whether it contains the extra queue */
  async setExtraQueue (exists: boolean): Promise<void> {
    this.extraQueueChanges.push({ atMs: this.clock.monotonicMs(), exists })
    await this.writeConfiguration()
  }

  /** Moves the extra queue to the other service. It exists from then on. */
  async moveExtraQueue (): Promise<void> {
    this.#extraQueue = this.#extraQueue === EXTRA_QUEUE ? MOVED_EXTRA_QUEUE : EXTRA_QUEUE
    await this.setExtraQueue(true)
  }

  /** Replaces the rotating key and queue. */
  async rotate (): Promise<void> {
    const replaced = this.rotations.rotate(this.#configurationVersion + 1, this.clock.monotonicMs())
    await this.writeConfiguration()
    replaced.removedMs = this.clock.monotonicMs()
  }

  /** Writes a configuration that has some of the keys and queues of a {@link LagProbe}. @param content - what it has */
  async setLagContent (content: readonly LagContent[]): Promise<void> {
    this.#lagContent = content
    await this.writeConfiguration()
  }

  /** Lets no host hear of configurations for the time that one may take to apply. @returns ends it for later changes */
  silenceConfiguration (): () => void {
    this.store.watchDelayMs = (prefix) => prefix === CONFIGURATION_PREFIX ? APPLY_MS : 0
    this.store.refusesList = (prefix) => prefix === CONFIGURATION_PREFIX
    return () => this.restoreConfiguration()
  }

  /** Writes the current configuration under the next version. */
  async writeConfiguration (): Promise<void> {
    const hasExtraQueue = this.extraQueueChanges.at(-1)?.exists === true
    const lagQueues = this.#lagContent.map(({ path }): QueueSettings => ({ ...EXTRA_QUEUE, pathPrefix: path }))
    const changing = [...(hasExtraQueue ? [this.#extraQueue] : []), this.rotations.queueSettings(EXTRA_QUEUE), ...lagQueues]
    const queues = [...PERMANENT_QUEUES, ...changing, ...(this.isConfigurationLarge ? FILLER_QUEUES : [])]
    const rotating = this.rotations.accountSettings
    const accounts = [...this.accounts.accountSettings, { ...rotating, keys: [...rotating.keys, ...this.#lagContent.map(({ key }) => key)] }]
    const revision = await this.#write(encodeConfiguration(++this.#configurationVersion, queues, SERVICES, accounts))
    this.configurations.push({ revision, writtenMs: this.clock.monotonicMs(), hasExtraQueue })
  }

  /**
   * Lets hosts learn of configurations at different times, and refuses them any other reading.
   *
   * @param random - draws the delays
   * @param maxDelayMs - the longest delay
   */
  delayConfiguration (random: SeededRandom, maxDelayMs = MAX_CONFIGURATION_DELAY_MS): void {
    if (this.isHealed) return
    this.store.watchDelayMs = (prefix) => prefix === CONFIGURATION_PREFIX ? random.next() * maxDelayMs : 0
    this.store.refusesRead = (key) => key.startsWith(CONFIGURATION_PREFIX)
  }

  /** Ends {@link delayConfiguration}. */
  restoreConfiguration (): void {
    this.store.watchDelayMs = () => 0
    this.store.refusesRead = () => false
    this.store.refusesList = () => false
    this.store.losesAnswer = () => false
  }

  /** Requests a maintenance wave. @param machineIds - the machines that are due */
  async requestMaintenanceWave (machineIds: readonly string[]): Promise<void> {
    await this.#write(encodeWaveRequest(++this.#lastWave, machineIds, MAX_IN_MAINTENANCE))
  }

  /** Requests an evacuation, unless it is requested already. @param availabilityZone - the zone */
  async requestEvacuation (availabilityZone: string): Promise<void> {
    if (this.#openEvacuation(availabilityZone) !== undefined) return
    await this.#write(encodeEvacuationRequest(availabilityZone))
    this.evacuations.push({ availabilityZone, acknowledgedMs: this.clock.monotonicMs(), withdrawnMs: Infinity })
  }

  /** Withdraws a requested evacuation. @param availabilityZone - the zone */
  async withdrawEvacuation (availabilityZone: string): Promise<void> {
    const evacuation = this.#openEvacuation(availabilityZone)
    if (evacuation === undefined) return
    evacuation.withdrawnMs = this.clock.monotonicMs()
    await this.memory.transact({ conditions: [], puts: [], removals: [encodeEvacuationRequest(availabilityZone).key] })
  }

  #openEvacuation (zone: string): Evacuation | undefined {
    return this.evacuations.find(({ availabilityZone, withdrawnMs }) => availabilityZone === zone && withdrawnMs === Infinity)
  }

  /** Writes an unexpected entry below a prefix that the program reads. @param random - draws the key and the value */
  async writeForeignEntry (random: SeededRandom): Promise<void> {
    const value = random.pick(FOREIGN_VALUES)
    const keys = ['servers/foreign', 'op/wave/x', 'op/other', 'demand/foreign', 'hosts/foreign', `inbox/${SERVICES[0]}/ffffffffffffffff`]
    await this.#write({ key: random.pick(keys), value })
  }

  /** Returns the revision of the write. */
  async #write (record: { readonly key: string, readonly value: string }): Promise<number> {
    const outcome = (await this.memory.transact({ conditions: [], puts: [record], removals: [] })).unwrap()
    if (!outcome.committed) throw new Error(`an unconditional write of ${record.key} failed`)
    return outcome.modRevision
  }

  /** Ends all faults. */
  heal (): void {
    this.isHealed = true
    this.store.forcedStatus = undefined
    this.store.losesAnswers = false
    this.store.latencyMs = 0
    this.restoreConfiguration()
    for (const link of [...this.storeLinks, ...this.machineLinks.values()]) link.set('none')
    for (const host of this.hosts) host.thaw()
    for (const zone of ZONES) void this.withdrawEvacuation(zone)
    for (const machineId of this.fleet.machineIds) {
      this.fleet.setWorkerFaults(machineId, { isSilent: false, losesAnswers: false, failsAll: false })
      this.fleet.resizeWorker(machineId, 1)
    }
  }

  /** Stops all hosts, proxies and stand-ins. */
  async close (): Promise<void> {
    this.#stop.abort()
    clearInterval(this.#beats)
    await Promise.all(this.hosts.map((host) => host.close()))
    for (const link of [...this.storeLinks, ...this.machineLinks.values()]) link.close()
    this.fleet.close()
    this.store.close()
  }
}

/** Derives a host's loopback address. All hosts use the same ports, so each host, and each soak process running in parallel, needs its own address. */
function ownAddress (index: number): string {
  const OCTET_VALUES = 250
  return `127.${1 + process.pid % OCTET_VALUES}.${Math.floor(process.pid / OCTET_VALUES) % OCTET_VALUES}.${index + 1}`
}
