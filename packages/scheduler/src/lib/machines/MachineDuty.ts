/**
 * Orders upkeep and moves of machines, while this process holds that duty.
 *
 * Each machine is emptied by its service's scheduler first. What is under way is written down under the duty before its order
 * is sent: a next holder takes it over, and leaves machines that a former one ordered alone until that one's grant is over.
 *
 * @module
 */
import { delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore, ListedMachine, MachineControl, MachineOrderOutcome, WaveRequest } from '@quillscale/ports'
import type { PrefixReplica } from '@quillscale/leases'
import { planWave } from '@quillscale/policy'
import type { FencedBatchWriter } from '../records/FencedBatchWriter.js'
import { createReplica } from '../records/createReplica.js'
import type { DutyGrant, DutyTask } from '../duties/DutyElector.js'
import type { EventLog } from '../duties/EventLog.js'
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

/** What it works with. @public */
export interface MachineDutyOptions extends DutyGrant {
  readonly hostName: string
  readonly store: KeyValueStore
  readonly machines: MachineControl
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  /** The waves that operators asked for. */
  readonly waves: () => Iterable<WaveRequest>
  /** Services whose schedulers empty machines. */
  readonly services: () => readonly string[]
  /** Services whose machines are off. */
  readonly headroomPools: () => readonly string[]
  /** How a wave's state is shown to operators. */
  readonly waveStatus: (wave: number, isDone: boolean) => { readonly key: string, readonly value: string }
  /** How many orders the platform takes in a second, from all hosts together. */
  readonly ordersPerS: () => number
  /** For so long after a holder's last order no other may order the same machine. */
  readonly holderChangeMs: () => number
}

const CHAIN = 'machines'
/** Between rounds. */
const ROUND_MS = 100
/** How often the list of machines is read, while something is under way and otherwise; it tells first who is down. 64 pages a second are allowed. */
const LIST_BUSY_MS = 300
const LIST_IDLE_MS = 500
/** Demands that come close together cost one call. */
const DEMAND_SPACING_MS = 30
/** Added to the pause after a former holder's order. */
const HOLDER_CHANGE_SLACK_MS = 500
/** While a pause runs, what is left of it is written down this often. */
const PAUSES_RENEWED_MS = 500
/** An order that got no answer, or came at a bad moment, is repeated after this. */
const REPEAT_MS = 1000
/** The list may lag behind an order. */
const SETTLE_MS = 400
/** A machine whose move waits so long for its tasks to leave is left where it is. */
const MOVE_PATIENCE_MS = 3000

/** The task. @public */
export class MachineDuty implements DutyTask {
  readonly #options: MachineDutyOptions
  readonly #stop = new AbortController()
  readonly #vacated: PrefixReplica
  readonly #demandItems: PrefixReplica
  readonly #tasks = new Map<string, MachineTask>()
  readonly #waves = new Map<number, WaveProgress>()
  readonly #requests = new Map<number, WaveRequest>()
  readonly #demands: DemandTracker
  readonly #pauses: OrderCooldowns
  readonly #watch = new MachineLossDetector()
  readonly #sightings = new LastSeenWorkers()
  readonly #balancer: PoolBalancer
  #commits!: FencedBatchWriter
  #machines = new Map<string, ListedMachine>()
  #listedMs = -Infinity
  #tookOverMs = 0
  #recordedMs = -Infinity

  /** @param options - what it works with */
  constructor (options: MachineDutyOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#demands = new DemandTracker(options.records)
    this.#balancer = new PoolBalancer({ log, ordersPerS: options.ordersPerS })
    this.#pauses = new OrderCooldowns(() => options.holderChangeMs() + HOLDER_CHANGE_SLACK_MS)
    const ignored = (): void => {}
    this.#vacated = createReplica(log, { store, clock, prefix: VACATED_PREFIX, onChange: ignored })
    this.#demandItems = createReplica(log, { store, clock, prefix: DEMAND_PREFIX, spacingMs: DEMAND_SPACING_MS, onChange: ignored })
  }

  /** Works until closed. */
  async run (): Promise<void> {
    const { store, clock, log, records, dutyKey, fencingToken, onDeposed } = this.#options
    this.#tookOverMs = clock.monotonicMs()
    const [commits, record, sightings] = await Promise.all([
      openFencedBatchWriter({
        store,
        clock,
        dutyKey,
        dutyRevision: fencingToken,
        chainKey: chainKey(CHAIN),
        onDeposed: () => {
          this.close()
          onDeposed()
        },
        onStoreError: (error, transactionNumber) => log.warn({ error, transactionNumber }, 'records of machines not written yet')
      }, this.#stop.signal),
      retryUntilAnswered(() => store.get(MACHINE_DUTY_RECORD_KEY), this.#stop.signal),
      retryUntilAnswered(() => store.list(SIGHTINGS_PREFIX), this.#stop.signal)
    ])
    if (commits === undefined || this.#stop.signal.aborted) return
    this.#commits = commits
    if (record !== undefined) this.#restore(records.read(record, decodeMachineDutyRecord) ?? FALLBACK_MACHINE_DUTY_RECORD)
    if (sightings !== undefined) this.#watch.restore(this.#sightings.restore(sightings.items, records))
    await this.#releaseForgotten()
    await Promise.all([this.#commits.run(), this.#vacated.run(this.#stop.signal), this.#demandItems.run(this.#stop.signal), this.#rounds()])
  }

  /** Stops at once. */
  close (): void {
    this.#stop.abort()
    this.#commits?.close()
  }

  /** Writes what is known. @param timeoutMs - how long at most */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#commits === undefined) return
    // With what is left of the pauses by now.
    this.#record()
    if (this.#listedMs > -Infinity) this.#recordSightings(true)
    await this.#commits.flushWithin(timeoutMs)
  }

  #restore ({ tasks, waves, cooldowns: pauses, allPausedMs }: MachineDutyRecord): void {
    this.#pauses.restore(pauses, allPausedMs, this.#options.clock.monotonicMs())
    for (const wave of waves) this.#waves.set(wave.wave, wave)
    for (const task of tasks) {
      this.#tasks.set(task.machineId, { ...task, sinceMs: this.#tookOverMs, orderedMs: this.#tookOverMs })
    }
    this.#options.log.info({ tasks: tasks.length, waves: waves.length }, 'work on machines taken over')
  }

  /** A former holder may have ended between the request to empty a machine and the record of it, or the other way round. */
  async #releaseForgotten (): Promise<void> {
    const { store, services, log } = this.#options
    for (const service of services()) {
      const asked = await retryUntilAnswered(() => store.list(vacatePrefix(service)), this.#stop.signal)
      for (const { key } of asked?.items ?? []) {
        const machineId = key.slice(vacatePrefix(service).length)
        if (this.#tasks.has(machineId)) continue
        this.#commits.put(key, () => undefined, true)
        log.info({ machineId, service }, 'a forgotten request to empty a machine is withdrawn')
      }
    }
  }

  async #rounds (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#meetWaves()
      await this.#list()
      this.#renewPauses()
      if (this.#listedMs > -Infinity && this.#vacated.isListed && this.#demandItems.isListed) await this.#round()
      await delay(ROUND_MS, this.#stop.signal)
    }
  }

  #meetWaves (): void {
    const { clock, log, waveStatus } = this.#options
    for (const request of this.#options.waves()) {
      this.#requests.set(request.wave, request)
      if (this.#waves.has(request.wave)) continue
      this.#waves.set(request.wave, { wave: request.wave, startedWallMs: clock.wallMs(), settled: [], isDone: false })
      this.#put(waveStatus(request.wave, false))
      this.#record()
      log.info({ ...request, machineIds: request.machineIds.length }, 'wave taken up')
    }
  }

  async #list (): Promise<void> {
    const { clock, machines, log } = this.#options
    const askedMs = clock.monotonicMs()
    const askedWallMs = clock.wallMs()
    if (askedMs - this.#listedMs < (this.#tasks.size > 0 || this.#openWaves().length > 0 ? LIST_BUSY_MS : LIST_IDLE_MS)) return
    const listed = await machines.listMachines()
    if (listed.err) {
      log.warn({ error: listed.val }, 'machines not listed')
      return
    }
    const listedMachines = new Map(listed.val.map((machine) => [machine.machineId, machine]))
    this.#machines = listedMachines
    this.#tellOfGone(this.#watch.detect(listedMachines), askedWallMs)
    this.#listedMs = askedMs
    this.#recordSightings(false)
  }

  #recordSightings (isHandOver: boolean): void {
    const changes = this.#sightings.changesToWrite(this.#machines.values(), this.#options.clock.monotonicMs(), isHandOver)
    for (const { key, value } of changes) this.#commits.put(key, () => value, isHandOver)
  }

  /** A scheduler would wait until all leases of a worker that went silent are over; a machine that is down ends that wait. */
  #tellOfGone (gone: readonly LostWorker[], listedWallMs: number): void {
    const services = this.#options.services()
    for (const { service, workerId, machineId } of gone) {
      if (!services.includes(service)) continue
      this.#put({ key: goneKey(service, workerId), value: encodeMachineLossReport({ machineId, listedWallMs }) })
      this.#options.log.warn({ service, workerId, machineId }, 'machine is down or gone')
    }
  }

  #openWaves (): WaveProgress[] {
    return [...this.#waves.values()].filter(({ isDone }) => !isDone)
  }

  async #round (): Promise<void> {
    for (const task of [...this.#tasks.values()]) this.#follow(task)
    for (const wave of this.#openWaves()) this.#advanceWave(wave)
    this.#balance()
    await this.#orderReady()
  }

  /** Ends tasks that are over. */
  #follow (task: MachineTask): void {
    const nowMs = this.#options.clock.monotonicMs()
    const machine = this.#machines.get(task.machineId)
    if (machine === undefined) return this.#finish(task, 'gone')
    const isListedSince = this.#listedMs > task.orderedMs + SETTLE_MS
    if (task.state === 'begun' && isListedSince && machine.state === 'up') return this.#finish(task, 'done')
    const isMove = task.kind === 'move'
    if (isMove && task.state === 'ordered' && isListedSince && machine.pool === task.to && machine.state === 'up') return this.#finish(task, 'done')
    const isTooSlow = isMove && task.state === 'vacating' && nowMs - task.sinceMs > MOVE_PATIENCE_MS
    if (isTooSlow) this.#finish(task, 'given up')
  }

  #finish (task: MachineTask, outcome: string): void {
    this.#tasks.delete(task.machineId)
    if (task.kind === 'upkeep' && task.state !== 'begun') this.#settle(task)
    if (task.from !== '') this.#commits.put(vacateKey(task.from, task.machineId), () => undefined, true)
    this.#record()
    const { machineId, kind, wave, from, to, state } = task
    const tookMs = Math.round(this.#options.clock.monotonicMs() - task.sinceMs)
    this.#options.log.info({ machineId, kind, wave, from, to, state, outcome, tookMs }, 'machine released')
  }

  /** The machine's upkeep has begun, or it is not there any more. */
  #settle (task: MachineTask): void {
    const wave = this.#waves.get(task.wave)
    if (wave === undefined || wave.settled.includes(task.machineId)) return
    wave.settled.push(task.machineId)
  }

  #advanceWave (progress: WaveProgress): void {
    const { clock, headroomPools, log, waveStatus } = this.#options
    const request = this.#requests.get(progress.wave)
    if (request === undefined) return
    const settled = new Set(progress.settled)
    for (const machineId of request.machineIds) if (!this.#machines.has(machineId)) settled.add(machineId)
    if (request.machineIds.every((machineId) => settled.has(machineId))) {
      progress.isDone = true
      this.#put(waveStatus(progress.wave, true))
      this.#record()
      log.info({ wave: progress.wave, tookMs: clock.wallMs() - progress.startedWallMs }, 'wave done')
      return
    }
    const underWay = [...this.#tasks.values()].filter(({ kind, wave }) => kind === 'upkeep' && wave === progress.wave).map(({ machineId }) => machineId)
    const headroom = new Set(headroomPools())
    const demands = this.#demands.current(this.#demandItems.items, clock.monotonicMs())
    const begin = planWave({
      pendingMachineIds: request.machineIds.filter((machineId) => !settled.has(machineId) && !underWay.includes(machineId)),
      machines: this.#machines,
      isBusy: (machineId) => this.#tasks.has(machineId),
      inProgressMachineIds: underWay,
      maxAtOnce: request.maxAtOnce,
      isHeadroomPool: (pool) => headroom.has(pool),
      countRuns: (machineId) => demands.find(({ runsByMachine }) => runsByMachine.has(machineId))?.runsByMachine.get(machineId) ?? 0,
      poolSize: (pool) => [...this.#machines.values()].filter((machine) => machine.pool === pool).length,
      remainingTimeShare: 1 - (clock.wallMs() - progress.startedWallMs) / Math.max(1, request.deadlineMs)
    }, request.machineIds.length)
    for (const machineId of begin) this.#begin({ machineId, kind: 'upkeep', wave: progress.wave, from: this.#machines.get(machineId)?.pool ?? '', to: '' })
  }

  #begin (what: Pick<MachineTask, 'machineId' | 'kind' | 'wave' | 'from' | 'to'>): void {
    const nowMs = this.#options.clock.monotonicMs()
    const isIdle = this.#options.headroomPools().includes(what.from)
    const task: MachineTask = { ...what, state: 'vacating', request: `${what.kind} ${this.#options.fencingToken}.${nowMs.toFixed(0)}`, sinceMs: nowMs, orderedMs: -Infinity }
    this.#tasks.set(what.machineId, isIdle ? { ...task, from: '' } : task)
    if (!isIdle) this.#put({ key: vacateKey(what.from, what.machineId), value: task.request })
    this.#record()
    this.#options.log.info({ ...what, isIdle }, 'machine is to be emptied')
  }

  #balance (): void {
    const { headroomPools, clock } = this.#options
    const nowMs = clock.monotonicMs()
    const demands = this.#demands.current(this.#demandItems.items, nowMs)
    const busy = new Map([...this.#tasks.values()].map(({ machineId, kind, to }) => [machineId, kind === 'move' ? to : this.#machines.get(machineId)?.pool ?? '']))
    const moves = this.#balancer.plan({ demands, headroomPools: headroomPools(), machines: this.#machines, busy }, nowMs)
    for (const { machineId, from, to } of moves) this.#begin({ machineId, kind: 'move', wave: 0, from, to })
  }

  #isReady (task: MachineTask): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#pauses.isCoolingDown(task.machineId, nowMs)) return false
    if (task.state === 'ordered') return nowMs - task.orderedMs > REPEAT_MS
    return task.state === 'vacating' && (task.from === '' || this.#vacated.items.get(vacatedKey(task.from, task.machineId))?.value === task.request)
  }

  /** Sends what may be sent, once it is written down. */
  async #orderReady (): Promise<void> {
    const ready = [...this.#tasks.values()].filter((task) => this.#isReady(task))
    if (ready.length === 0) return
    for (const task of ready) {
      task.state = 'ordered'
      task.orderedMs = this.#options.clock.monotonicMs()
      this.#pauses.beginOrder(task.machineId)
    }
    this.#record()
    if (!await this.#commits.flushed()) return
    await Promise.all(ready.map((task) => this.#send(task)))
  }

  async #send (task: MachineTask): Promise<void> {
    const { machines, hostName, fencingToken, log, holdsDuty: mayOrder, clock } = this.#options
    if (!mayOrder()) return this.#pauses.endOrder(task.machineId, clock.monotonicMs())
    const order = { machineId: task.machineId, holder: hostName, fencingToken }
    const sent = await (task.kind === 'upkeep' ? machines.upkeep(order, task.wave) : machines.move(order, task.to))
    const outcome = sent.ok ? sent.val : sent.val.kind
    log.info({ machineId: task.machineId, kind: task.kind, wave: task.wave, to: task.to, fencingToken, outcome }, 'machine ordered')
    task.orderedMs = clock.monotonicMs()
    this.#pauses.endOrder(task.machineId, task.orderedMs)
    if (sent.ok) this.#applyOutcome(task, sent.val)
  }

  #applyOutcome (task: MachineTask, outcome: MachineOrderOutcome): void {
    if (outcome === 'accepted') {
      if (task.kind === 'upkeep') this.#settle(task)
      task.state = 'begun'
      return this.#record()
    }
    if (outcome === 'unknown-machine' && task.kind === 'move') this.#balancer.recordRefusal(task.machineId, task.to)
    if (outcome === 'busy' && task.kind === 'upkeep') return
    this.#finish(task, outcome)
  }

  #put ({ key, value }: { readonly key: string, readonly value: string }): void {
    this.#commits.put(key, () => value, true)
  }

  /** Also a next holder after a kill waits for not much more than what is left. */
  #renewPauses (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs > this.#recordedMs + PAUSES_RENEWED_MS && (this.#pauses.left(nowMs).length > 0 || this.#pauses.globalRemainingMs(nowMs) > 0)) this.#record()
  }

  #record (): void {
    this.#recordedMs = this.#options.clock.monotonicMs()
    const text = (): string => {
      const nowMs = this.#options.clock.monotonicMs()
      return encodeMachineDutyRecord({
        tasks: [...this.#tasks.values()],
        waves: [...this.#waves.values()],
        cooldowns: this.#pauses.left(nowMs),
        allPausedMs: this.#pauses.globalRemainingMs(nowMs)
      })
    }
    this.#commits.put(MACHINE_DUTY_RECORD_KEY, text, true)
  }
}
