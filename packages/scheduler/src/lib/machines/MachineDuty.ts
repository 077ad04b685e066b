/**
 * Orders the maintenance (`upkeep`) and the moves of machines while this process holds the machine duty.
 *
 * Before an order is sent, the scheduler of the machine's service drains the machine, and the task is saved in a record that only the
 * duty holder can write. A new holder continues the recorded tasks, but does not order a machine that a previous holder ordered
 * until the previous holder's grant has expired (see {@link OrderCooldowns}).
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore, ListedMachine, MachineControl, MachineOrderOutcome, WaveRequest } from '@quillscale/ports'
import type { PrefixReplica } from '@quillscale/leases'
import type { FencedBatchWriter } from '../records/FencedBatchWriter.js'
import { ADVISORY_AGE_MS, createReplica } from '../records/createReplica.js'
import type { DutyGrant, DutyTask } from '../duties/DutyElector.js'
import type { EventLog } from '../duties/EventLog.js'
import { chooseWaveMachines } from './chooseWaveMachines.js'
import { decodeMachineDutyRecord, encodeMachineDutyRecord, MACHINE_DUTY_RECORD_KEY, FALLBACK_MACHINE_DUTY_RECORD, type MachineDutyRecord, type MachineTask, type WaveProgress } from './machineDutyRecord.js'
import { DemandTracker } from '../records/DemandTracker.js'
import type { RecordReader } from '../records/RecordReader.js'
import { openFencedBatchWriter } from '../records/openFencedBatchWriter.js'
import { encodeMachineLossReport } from './machineLossReport.js'
import { OrderCooldowns } from './OrderCooldowns.js'
import { DEMAND_PREFIX } from '../records/serviceDemand.js'
import { MachineLossDetector, type LostWorker } from './MachineLossDetector.js'
import { PoolBalancer } from './PoolBalancer.js'
import { LastSeenWorkers } from './LastSeenWorkers.js'
import { retryUntilAnswered } from '../records/retryUntilAnswered.js'
import { chainKey, goneKey, SIGHTINGS_PREFIX, vacateKey, vacatedKey, vacatePrefix, VACATED_PREFIX } from '../records/storeKeys.js'

/** Dependencies and settings of a {@link MachineDuty}. @public */
export interface MachineDutyOptions extends DutyGrant {
  readonly hostName: string
  readonly store: KeyValueStore
  readonly machines: MachineControl
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** Maintenance waves that operators requested. */
  readonly waves: () => Iterable<WaveRequest>
  /** Services whose schedulers drain machines on request. */
  readonly services: () => readonly string[]
  /** Pools whose machines are switched off. */
  readonly headroomPools: () => readonly string[]
  readonly isEvacuated: (availabilityZone: string) => boolean
  /** Encodes the status of a wave that operators read. */
  readonly waveStatus: (wave: number, isDone: boolean) => { readonly key: string, readonly value: string }
  /** Orders per second that the platform accepts from all hosts together. */
  readonly ordersPerS: () => number
  /** How long after a holder's last order for a machine no other holder may order that machine. */
  readonly holderChangeMs: () => number
}

const CHAIN_NAME = 'machines'
const RECONCILE_INTERVAL_MS = 100
/**
 * Intervals between lists of machines, with and without tasks or waves in progress. The list is the first sign that a machine is down.
 * The platform allows 64 pages per second.
 */
const BUSY_LIST_INTERVAL_MS = 300
const IDLE_LIST_INTERVAL_MS = 500
/** Demand changes within this time are read with one call. */
const DEMAND_WATCH_SPACING_MS = 30
/** Safety margin added to the cooldown after a previous holder's order. */
const HOLDER_CHANGE_SLACK_MS = 500
/** How often the remaining cooldowns are saved while any is running. */
const COOLDOWN_SAVE_INTERVAL_MS = 500
/** Delay before an order is repeated that got no answer or found the machine busy. */
const ORDER_RETRY_MS = 1000
/** How far the list of machines may lag behind an order. */
const LIST_LAG_MS = 400
/** A move is given up if the machine is not drained within this time. */
const MOVE_DRAIN_TIMEOUT_MS = 3000

/** Runs the machine duty: drains machines, orders maintenance and moves, and reports workers whose machine is lost. @public */
export class MachineDuty implements DutyTask {
  readonly #options: MachineDutyOptions
  readonly #stop = new AbortController()
  readonly #drainedReplica: PrefixReplica
  readonly #demandReplica: PrefixReplica
  readonly #tasks = new Map<string, MachineTask>()
  readonly #waves = new Map<number, WaveProgress>()
  readonly #requests = new Map<number, WaveRequest>()
  readonly #demands: DemandTracker
  readonly #cooldowns: OrderCooldowns
  readonly #lossDetector = new MachineLossDetector()
  readonly #lastSeenWorkers = new LastSeenWorkers()
  readonly #balancer: PoolBalancer
  #writer!: FencedBatchWriter
  #machines = new Map<string, ListedMachine>()
  /** Machines of the list before the last one, `undefined` if this holder has read only one. */
  #previousMachines: ReadonlyMap<string, ListedMachine> | undefined
  #listedMs = -Infinity
  #tookOverMs = 0
  #recordSavedMs = -Infinity

  /** @param options - dependencies and settings */
  constructor (options: MachineDutyOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#demands = new DemandTracker(options.records)
    this.#balancer = new PoolBalancer({ ...options })
    this.#cooldowns = new OrderCooldowns(() => options.holderChangeMs() + HOLDER_CHANGE_SLACK_MS)
    const replica = { store, clock, maxAgeMs: ADVISORY_AGE_MS, onChange: (): void => {} }
    this.#drainedReplica = createReplica(log, { ...replica, prefix: VACATED_PREFIX })
    this.#demandReplica = createReplica(log, { ...replica, prefix: DEMAND_PREFIX, spacingMs: DEMAND_WATCH_SPACING_MS })
  }

  /** Runs until {@link close} is called or the duty is lost. */
  async run (): Promise<void> {
    const { store, clock, log, records, dutyKey, fencingToken, onDeposed } = this.#options
    this.#tookOverMs = clock.monotonicMs()
    const [writer, record, lastSeen] = await Promise.all([
      openFencedBatchWriter({
        store,
        clock,
        dutyKey,
        dutyRevision: fencingToken,
        chainKey: chainKey(CHAIN_NAME),
        onDeposed: () => {
          this.close()
          onDeposed()
        },
        onRefused: (key, chars, error) => log.warn({ key, chars, error }, 'record left out: the store refuses it'),
        onStoreError: (error, transactionNumber) => log.warn({ error, transactionNumber }, 'machine duty records are not written yet, retrying')
      }, this.#stop.signal),
      retryUntilAnswered(() => store.get(MACHINE_DUTY_RECORD_KEY), this.#stop.signal),
      retryUntilAnswered(() => store.list(SIGHTINGS_PREFIX), this.#stop.signal)
    ])
    if (writer === undefined || this.#stop.signal.aborted) return
    this.#writer = writer
    if (record !== undefined) this.#restore(records.read(record, decodeMachineDutyRecord) ?? FALLBACK_MACHINE_DUTY_RECORD)
    if (lastSeen !== undefined) this.#lossDetector.restore(this.#lastSeenWorkers.restore(lastSeen.items, records))
    await this.#withdrawUnrecordedDrains()
    await Promise.all([this.#writer.run(), this.#drainedReplica.run(this.#stop.signal), this.#demandReplica.run(this.#stop.signal), this.#runLoop()])
  }

  /** Stops immediately, without writing what is pending. */
  close (): void {
    this.#stop.abort()
    this.#writer?.close()
  }

  /** Writes the current state for the next holder. @param timeoutMs - maximum time to wait for the store */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#writer === undefined) return
    // Saved again so that the record holds the cooldowns as they remain now.
    this.#saveRecord()
    if (this.#listedMs > -Infinity) this.#saveLastSeenWorkers(true)
    await this.#writer.flushWithin(timeoutMs)
  }

  #restore ({ tasks, waves, cooldowns, allPausedMs }: MachineDutyRecord): void {
    this.#cooldowns.restore(cooldowns, allPausedMs, this.#options.clock.monotonicMs())
    for (const wave of waves) this.#waves.set(wave.wave, wave)
    for (const task of tasks) {
      this.#tasks.set(task.machineId, { ...task, sinceMs: this.#tookOverMs, orderedMs: this.#tookOverMs })
    }
    this.#options.log.info({ tasks: tasks.length, waves: waves.length }, 'took over the machine tasks and waves of the previous duty holder')
  }

  /** Withdraws drain requests without a recorded task: a previous holder may have stopped after it wrote or removed only one of the two. */
  async #withdrawUnrecordedDrains (): Promise<void> {
    const { store, services, log } = this.#options
    for (const service of services()) {
      const requested = await retryUntilAnswered(() => store.list(vacatePrefix(service)), this.#stop.signal)
      for (const { key } of requested?.items ?? []) {
        const machineId = key.slice(vacatePrefix(service).length)
        if (this.#tasks.has(machineId)) continue
        this.#writer.put(key, () => undefined, true)
        log.info({ machineId, service }, 'withdrew a drain request without a recorded task')
      }
    }
  }

  async #runLoop (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#registerNewWaves()
      await this.#refreshMachines()
      this.#refreshCooldownRecord()
      if (this.#listedMs > -Infinity && this.#drainedReplica.isListed && this.#demandReplica.isListed) await this.#reconcile()
      await delay(RECONCILE_INTERVAL_MS, this.#stop.signal)
    }
  }

  #registerNewWaves (): void {
    const { clock, log, waveStatus } = this.#options
    for (const request of this.#options.waves()) {
      this.#requests.set(request.wave, request)
      if (this.#waves.has(request.wave)) continue
      this.#waves.set(request.wave, { wave: request.wave, startedWallMs: clock.wallMs(), settled: [], isDone: false })
      this.#put(waveStatus(request.wave, false))
      this.#saveRecord()
      log.info({ ...request, machineIds: request.machineIds.length }, 'wave taken up')
    }
  }

  async #refreshMachines (): Promise<void> {
    const { clock, machines, log } = this.#options
    const requestedMs = clock.monotonicMs()
    const requestedWallMs = clock.wallMs()
    if (requestedMs - this.#listedMs < (this.#tasks.size > 0 || this.#activeWaves().length > 0 ? BUSY_LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS)) return
    const listed = await machines.listMachines()
    if (listed.err) {
      log.warn({ error: listed.val }, 'cannot list machines')
      return
    }
    const listedMachines = new Map(listed.val.map((machine) => [machine.machineId, machine]))
    this.#previousMachines = this.#listedMs > -Infinity ? this.#machines : undefined
    this.#machines = listedMachines
    this.#reportLostWorkers(this.#lossDetector.detect(listedMachines), requestedWallMs)
    this.#listedMs = requestedMs
    this.#saveLastSeenWorkers(false)
  }

  #saveLastSeenWorkers (isHandover: boolean): void {
    const changes = this.#lastSeenWorkers.changesToWrite(this.#machines.values(), this.#options.clock.monotonicMs(), isHandover)
    for (const { key, value } of changes) this.#writer.put(key, () => value, isHandover)
  }

  /** Reports lost workers to their schedulers, which otherwise wait until all leases of a silent worker have expired. */
  #reportLostWorkers (lostWorkers: readonly LostWorker[], listedWallMs: number): void {
    const services = this.#options.services()
    for (const { service, workerId, machineId } of lostWorkers) {
      if (!services.includes(service)) continue
      this.#put({ key: goneKey(service, workerId), value: encodeMachineLossReport({ machineId, listedWallMs }) })
      this.#options.log.warn({ service, workerId, machineId }, 'machine is down or gone')
    }
  }

  #activeWaves (): WaveProgress[] {
    return [...this.#waves.values()].filter(({ isDone }) => !isDone)
  }

  async #reconcile (): Promise<void> {
    for (const task of [...this.#tasks.values()]) this.#updateTask(task)
    for (const wave of this.#activeWaves()) this.#advanceWave(wave)
    this.#balancePools()
    await this.#sendReadyOrders()
  }

  /** Whether a machine was removed. The pages of a list are not a consistent snapshot, so it must be missing from two lists in a row. */
  #isGone (machineId: string): boolean {
    return !this.#machines.has(machineId) && this.#previousMachines?.has(machineId) === false
  }

  /** Finishes a task that has completed, timed out or lost its machine. */
  #updateTask (task: MachineTask): void {
    const nowMs = this.#options.clock.monotonicMs()
    const machine = this.#machines.get(task.machineId)
    if (this.#isGone(task.machineId)) return this.#finish(task, 'gone')
    if (machine === undefined) return
    const isListUpToDate = this.#listedMs > task.orderedMs + LIST_LAG_MS
    if (task.state === 'begun' && isListUpToDate && machine.state === 'up') return this.#finish(task, 'done')
    const isMove = task.kind === 'move'
    if (isMove && task.state === 'ordered' && isListUpToDate && machine.pool === task.to && machine.state === 'up') return this.#finish(task, 'done')
    const isDrainTimedOut = isMove && task.state === 'vacating' && nowMs - task.sinceMs > MOVE_DRAIN_TIMEOUT_MS
    if (isDrainTimedOut) this.#finish(task, 'given up')
  }

  #finish (task: MachineTask, outcome: string): void {
    this.#tasks.delete(task.machineId)
    if (task.kind === 'upkeep' && task.state !== 'begun') this.#markSettled(task)
    if (task.from !== '') this.#writer.put(vacateKey(task.from, task.machineId), () => undefined, true)
    this.#saveRecord()
    const { machineId, kind, wave, from, to, state } = task
    const tookMs = Math.round(this.#options.clock.monotonicMs() - task.sinceMs)
    this.#options.log.info({ machineId, kind, wave, from, to, state, outcome, tookMs }, 'machine released')
  }

  /** Marks a machine as settled in its wave: its maintenance has begun, or the machine is gone. */
  #markSettled (task: MachineTask): void {
    const wave = this.#waves.get(task.wave)
    if (wave === undefined || wave.settled.includes(task.machineId)) return
    wave.settled.push(task.machineId)
  }

  #advanceWave (progress: WaveProgress): void {
    const { clock, headroomPools, isEvacuated, log, waveStatus } = this.#options
    const request = this.#requests.get(progress.wave)
    if (request === undefined) return
    const settled = new Set(progress.settled)
    for (const machineId of request.machineIds) if (this.#isGone(machineId)) settled.add(machineId)
    if (request.machineIds.every((machineId) => settled.has(machineId))) {
      progress.isDone = true
      this.#put(waveStatus(progress.wave, true))
      this.#saveRecord()
      log.info({ wave: progress.wave, tookMs: clock.wallMs() - progress.startedWallMs }, 'wave done')
      return
    }
    const machineIdsToStart = chooseWaveMachines({
      request,
      progress,
      settled,
      tasks: this.#tasks,
      machines: this.#machines,
      demands: this.#demands.current(this.#demandReplica.items, clock.monotonicMs()),
      headroomPools: headroomPools(),
      isEvacuated
    }, clock.wallMs())
    for (const machineId of machineIdsToStart) this.#startTask({ machineId, kind: 'upkeep', wave: progress.wave, from: this.#machines.get(machineId)?.pool ?? '', to: '' })
  }

  #startTask (operation: Pick<MachineTask, 'machineId' | 'kind' | 'wave' | 'from' | 'to'>): void {
    const nowMs = this.#options.clock.monotonicMs()
    const isIdle = this.#options.headroomPools().includes(operation.from)
    const task: MachineTask = { ...operation, state: 'vacating', request: `${operation.kind} ${this.#options.fencingToken}.${nowMs.toFixed(0)}`, sinceMs: nowMs, orderedMs: -Infinity }
    this.#tasks.set(operation.machineId, isIdle ? { ...task, from: '' } : task)
    if (!isIdle) this.#put({ key: vacateKey(operation.from, operation.machineId), value: task.request })
    this.#saveRecord()
    this.#options.log.info({ ...operation, isIdle }, 'machine is to be emptied')
  }

  #balancePools (): void {
    const { headroomPools, clock } = this.#options
    const nowMs = clock.monotonicMs()
    const demands = this.#demands.current(this.#demandReplica.items, nowMs)
    const busy = new Map([...this.#tasks.values()].map(({ machineId, kind, to }) => [machineId, kind === 'move' ? to : this.#machines.get(machineId)?.pool ?? '']))
    const moves = this.#balancer.plan({ demands, headroomPools: headroomPools(), machines: this.#machines, busy }, nowMs)
    for (const { machineId, from, to } of moves) this.#startTask({ machineId, kind: 'move', wave: 0, from, to })
  }

  #isReady (task: MachineTask): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#cooldowns.isCoolingDown(task.machineId, nowMs)) return false
    if (task.state === 'ordered') return nowMs - task.orderedMs > ORDER_RETRY_MS
    return task.state === 'vacating' && (task.from === '' || this.#drainedReplica.items.get(vacatedKey(task.from, task.machineId))?.value === task.request)
  }

  /** Sends the orders of all ready tasks, after the tasks are saved as ordered. */
  async #sendReadyOrders (): Promise<void> {
    const ready = [...this.#tasks.values()].filter((task) => this.#isReady(task))
    if (ready.length === 0) return
    for (const task of ready) {
      task.state = 'ordered'
      task.orderedMs = this.#options.clock.monotonicMs()
      this.#cooldowns.beginOrder(task.machineId)
    }
    this.#saveRecord()
    if (!await this.#writer.flushed([MACHINE_DUTY_RECORD_KEY])) return
    await Promise.all(ready.map((task) => this.#sendOrder(task)))
  }

  async #sendOrder (task: MachineTask): Promise<void> {
    const { machines, hostName, fencingToken, log, holdsDuty, clock } = this.#options
    if (!holdsDuty()) return this.#cooldowns.endOrder(task.machineId, clock.monotonicMs())
    const order = { machineId: task.machineId, holder: hostName, fencingToken }
    const sent = await (task.kind === 'upkeep' ? machines.upkeep(order, task.wave) : machines.move(order, task.to))
    const outcome = sent.ok ? sent.val : sent.val.kind
    log.info({ machineId: task.machineId, kind: task.kind, wave: task.wave, to: task.to, fencingToken, outcome }, 'machine ordered')
    task.orderedMs = clock.monotonicMs()
    this.#cooldowns.endOrder(task.machineId, task.orderedMs)
    if (sent.ok) this.#applyOutcome(task, sent.val)
  }

  #applyOutcome (task: MachineTask, outcome: MachineOrderOutcome): void {
    if (outcome === 'accepted') {
      if (task.kind === 'upkeep') this.#markSettled(task)
      task.state = 'begun'
      return this.#saveRecord()
    }
    if (outcome === 'unknown-machine' && task.kind === 'move') this.#balancer.recordRefusal(task.machineId, task.to)
    if (outcome === 'busy' && task.kind === 'upkeep') return
    this.#finish(task, outcome)
  }

  #put ({ key, value }: { readonly key: string, readonly value: string }): void {
    this.#writer.put(key, () => value, true)
  }

  /** Saves the remaining cooldowns regularly, so that the successor of a killed holder waits little longer than necessary. */
  #refreshCooldownRecord (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs > this.#recordSavedMs + COOLDOWN_SAVE_INTERVAL_MS &&
      (this.#cooldowns.left(nowMs).length > 0 || this.#cooldowns.globalRemainingMs(nowMs) > 0)) this.#saveRecord()
  }

  #saveRecord (): void {
    this.#recordSavedMs = this.#options.clock.monotonicMs()
    const encode = (): string => {
      const nowMs = this.#options.clock.monotonicMs()
      return encodeMachineDutyRecord({
        tasks: [...this.#tasks.values()],
        waves: [...this.#waves.values()],
        cooldowns: this.#cooldowns.left(nowMs),
        allPausedMs: this.#cooldowns.globalRemainingMs(nowMs)
      })
    }
    this.#writer.put(MACHINE_DUTY_RECORD_KEY, encode, true)
  }
}
