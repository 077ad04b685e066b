/**
 * Everything of one run: stand-ins of store, workers and machines, proxies in front of them, and the processes under test.
 *
 * @module
 */
import type { Clock, SeededRandom } from '@quillscale/utils'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { encodeConfiguration, encodeWaveRequest, StandInWireFleet, StandInWireStore, type QueueSettings } from '@quillscale/platform-fleet'
import { EntryProcess } from './EntryProcess.js'
import { FaultProxy } from './FaultProxy.js'
import { SoakAccounts } from './SoakAccounts.js'

/** How large a run is. @public */
export interface SoakSize { readonly hosts: number, readonly machinesPerService: number }

/** The services; each has a queue that stays. @public */
export const SERVICES = ['grids', 'checks'] as const
/** The host name of all queues. @public */
export const QUEUE_HOST = 'soak.example'
const PERMANENT_QUEUES: readonly QueueSettings[] = SERVICES.map((service) => ({ host: QUEUE_HOST, pathPrefix: `/${service}/`, service }))
/** Where the queue is that configurations add and remove. @public */
export const EXTRA_QUEUE_PATH = '/extra/'
const EXTRA_QUEUE: QueueSettings = { host: QUEUE_HOST, pathPrefix: EXTRA_QUEUE_PATH, service: SERVICES[0] }
/** Of each machine: so many tasks fit. */
const MACHINE_CPU_MILLIS = 6000
const MAX_CLOCK_OFFSET_MS = 400
/** The most machines of a wave that may be down. @public */
export const MAX_IN_MAINTENANCE = 2

/** Cut short, of another type, or naming an address where nobody listens. */
const FOREIGN_VALUES: readonly string[] = [
  '', '{', '7', '[]', JSON.stringify({ Service: SERVICES[0], Address: '127.0.0.1:9', State: 'ready' }), JSON.stringify({ Service: 7, Address: '127.0.0.1:99999', State: 'x' })
]

/** A change of the extra queue. @public */
export interface ExtraQueueChange { readonly atMs: number, readonly exists: boolean }

/** The world. @public */
export class SoakEnvironment {
  readonly clock: Clock
  readonly store: StandInWireStore
  readonly memory: MemoryKeyValueStore
  readonly fleet: StandInWireFleet
  readonly hosts: EntryProcess[] = []
  /** Between each host and the store. */
  readonly storeLinks: FaultProxy[] = []
  /** In front of each machine. */
  readonly machineLinks = new Map<string, FaultProxy>()
  readonly extraQueueChanges: ExtraQueueChange[] = []
  readonly accounts = new SoakAccounts()
  /** So many of the next jobs end the workers that start them. */
  remainingCrashingJobs = 0
  /** When the store was last disturbed. */
  storeLastDisturbedMs = -Infinity
  #configurationVersion = 0
  #lastWave = 0

  /** @param clock - steady, for everything @param size - how large */
  constructor (clock: Clock, size: SoakSize) {
    this.clock = clock
    this.memory = new MemoryKeyValueStore(clock)
    this.store = new StandInWireStore(this.memory)
    this.fleet = new StandInWireFleet({
      store: this.memory,
      clock,
      services: SERVICES,
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

  /** @param count - of hosts @param directory - for settings and logs @param random - draws their clocks */
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
  }

  /** Whether nothing but planned work touched a host lately. @param host - any @param forMs - how long */
  isUndisturbed (host: EntryProcess, forMs: number): boolean {
    const nowMs = this.clock.monotonicMs()
    return !host.isFrozen && nowMs - Math.max(host.lastDisturbedMs, this.storeLastDisturbedMs) > forMs
  }

  /** Writes a configuration. @param exists - whether the extra queue is in it */
  async setExtraQueue (exists: boolean): Promise<void> {
    this.extraQueueChanges.push({ atMs: this.clock.monotonicMs(), exists })
    await this.writeConfiguration()
  }

  /** Writes the configuration as it should be now. */
  async writeConfiguration (): Promise<void> {
    const queues = this.extraQueueChanges.at(-1)?.exists === true ? [...PERMANENT_QUEUES, EXTRA_QUEUE] : PERMANENT_QUEUES
    await this.#write(encodeConfiguration(++this.#configurationVersion, queues, SERVICES, this.accounts.accountSettings))
  }

  /** Asks for upkeep. @param machineIds - that are due */
  async requestMaintenanceWave (machineIds: readonly string[]): Promise<void> {
    await this.#write(encodeWaveRequest(++this.#lastWave, machineIds, MAX_IN_MAINTENANCE))
  }

  /** Somebody else writes below the prefixes that the program reads. @param random - picks what and where */
  async writeForeignEntry (random: SeededRandom): Promise<void> {
    const value = random.pick(FOREIGN_VALUES)
    const keys = ['servers/foreign', 'op/wave/x', 'op/other', 'demand/foreign', 'hosts/foreign', `inbox/${SERVICES[0]}/ffffffffffffffff`]
    await this.#write({ key: random.pick(keys), value })
  }

  async #write (record: { readonly key: string, readonly value: string }): Promise<void> {
    await this.memory.transact({ conditions: [], puts: [record], removals: [] })
  }

  /** Ends all faults. */
  heal (): void {
    this.store.forcedStatus = undefined
    this.store.losesAnswers = false
    this.store.latencyMs = 0
    for (const link of [...this.storeLinks, ...this.machineLinks.values()]) link.set('none')
    for (const host of this.hosts) host.thaw()
    for (const machineId of this.fleet.machineIds) {
      this.fleet.setWorkerFaults(machineId, { isSilent: false, losesAnswers: false, failsAll: false })
      this.fleet.resizeWorker(machineId, 1)
    }
  }

  /** Ends everything that was started here. */
  async close (): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()))
    for (const link of [...this.storeLinks, ...this.machineLinks.values()]) link.close()
    this.fleet.close()
    this.store.close()
  }
}

/** All hosts serve at the same ports; runs side by side use other addresses. */
function ownAddress (index: number): string {
  const OCTET_VALUES = 250
  return `127.${1 + process.pid % OCTET_VALUES}.${Math.floor(process.pid / OCTET_VALUES) % OCTET_VALUES}.${index + 1}`
}
