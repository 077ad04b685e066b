/**
 * One service on stand-ins: a store with faults, workers, and schedulers that take over from each other.
 *
 * @module
 */
import { decodeJson, delay, Err, Ok, systemClock, type Result } from '@quillscale/utils'
import {
  bornMsOf, createInstanceId, workerIdOf, type AccountName, type FleetConfiguration, type KeyValue, type PlatformError, type Transaction,
  type TransactionOutcome, type WorkerId, type WorkerInstance
} from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { StandInRuns, type StandInCommand, type StandInWorker } from '@quillscale/standins'
import { type JobId, type JobOwner, type JobSpec, jobSpecSchema, type StepSpec } from '@quillscale/policy'
import * as z from 'zod'
import { JobApi } from '../lib/jobs/JobApi.js'
import type { EventLog } from '../lib/duties/EventLog.js'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { ServiceScheduler } from '../lib/duties/ServiceScheduler.js'
import { encodeMachineLossReport } from '../lib/machines/machineLossReport.js'
import { goneKey, leaseTimerPrefix, serviceDutyKey } from '../lib/records/storeKeys.js'

/** The service under test. */
export const SERVICE = 'checks'
/** Its queue. */
export const QUEUE = 'queue'
const WORKERS_PREFIX = 'workers/'
const DUTY_KEY = serviceDutyKey(SERVICE)
const DEADLINE_MS = 2000
/** As {@link TestService.list} writes it. */
const workerSchema = z.object({ instanceId: z.string(), service: z.string(), port: z.number() }).loose().transform((raw) => raw as unknown as WorkerInstance)
const POLL_MS = 5
/** The clock of a worker that has started again shows an earlier time than it did before. */
const RESTARTED_CLOCK_SHIFT_MS = 3_600_000
/** Asks for all jobs of a test, whichever account handed them in. */
const TEST_CALLER: JobOwner = { account: 'test' as AccountName, keyTag: 'test' }

/** A store that is slow in parts, or whose answers are lost. */
export class FaultyStore extends MemoryKeyValueStore {
  /** How long a list of a prefix takes. */
  readonly listDelayMs = new Map<string, number>()
  /** Share of transactions that take effect without an answer. */
  loseAnswers = (): boolean => false
  isDown = false
  /** Writes are refused, as by a store whose rate is used up; reads are not. */
  refusesWrites = false
  /** How long a write takes to have its effect, and how long its answer takes then. */
  writeDelayMs = (): number => 0
  /** How long the answers take by which a timer for silent workers is made: its lease, and its key. */
  timerAnswerMs = 0

  override async list (prefix: string): Promise<Result<{ items: readonly KeyValue[], revision: number }, PlatformError>> {
    for (const [start, delayMs] of this.listDelayMs) if (prefix.startsWith(start)) await delay(delayMs)
    return this.isDown ? down() : await super.list(prefix)
  }

  override async get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    return this.isDown ? down() : await super.get(key)
  }

  override async transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    if (this.isDown || this.refusesWrites) return down()
    await this.#pause()
    const outcome = await super.transact(transaction)
    await this.#pause()
    if (transaction.puts.some(({ key }) => key.startsWith(leaseTimerPrefix(SERVICE)))) await delay(this.timerAnswerMs)
    return this.loseAnswers() ? Err({ kind: 'unknown-effect', detail: 'lost' }) : outcome
  }

  override async grantLease (ttlMs: number): Promise<Result<string, PlatformError>> {
    if (this.isDown || this.refusesWrites) return down()
    const granted = await super.grantLease(ttlMs)
    await this.#pause()
    await delay(this.timerAnswerMs)
    return granted
  }

  async #pause (): Promise<void> {
    const delayMs = this.writeDelayMs()
    if (delayMs > 0) await delay(delayMs)
  }
}

const down = <T>(): Result<T, PlatformError> => Err({ kind: 'unavailable', detail: 'down' })

/** Collects lines, so that a failed test can show them. */
export class TestLog implements EventLog {
  /** What the program would write. */
  readonly lines: string[] = []
  debug (): void {
    // Below the level that is written.
  }

  info (fields: object, message: string): void { this.#add(fields, message) }
  warn (fields: object, message: string): void { this.#add(fields, message) }
  #add (fields: object, message: string): void {
    this.lines.push(`${message} ${JSON.stringify(fields)}`)
  }
}

/** @param number - any @returns a job id */
export const testJobId = (number: number): JobId => number.toString(16).padStart(16, '0') as JobId

/** One scheduler's tenure. */
export interface Tenure {
  readonly scheduler: ServiceScheduler
  readonly fencingToken: number
  /** Whether the grant counts as held; a test may take it away. */
  holdsDuty: boolean
  isDeposed: boolean
}

/** The harness. */
export class TestService {
  readonly store = new FaultyStore()
  readonly runs: StandInRuns
  readonly log = new TestLog()
  readonly metrics = new SchedulerMetrics()
  readonly records = new RecordReader(this.log, this.metrics)
  /** In the program other calls find out that the store is back; here a test has to make one. */
  readonly deskStore: MonitoredStore
  readonly desk: JobApi
  readonly tenures: Tenure[] = []
  maxLeaseMs = 1000
  configuration: FleetConfiguration = {
    version: 1,
    maxBodyBytes: 10_000,
    services: [{ name: SERVICE, isHeadroom: false, refusesOverload: true, healthPath: '/health' }],
    queues: [{ name: QUEUE, host: 'h', pathPrefix: '/q/', service: SERVICE, priority: 0, attempts: 2, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000 }]
  }

  /** @param workers - how many @param cpuMillis - of each @param bornMs - Unix time of their start, `undefined` where they do not tell */
  constructor (workers: number, cpuMillis = 4000, readonly bornMs?: number) {
    this.runs = new StandInRuns(systemClock, (taskKey) => ({ cpuMillis: this.#cpuOf(taskKey), memoryMb: 0, gpus: 0 }))
    this.deskStore = new MonitoredStore(this.store, systemClock)
    this.desk = new JobApi({ store: this.deskStore, clock: systemClock, log: this.log, records: this.records })
    for (let index = 0; index < workers; index++) this.addWorker(index, 1, cpuMillis)
  }

  readonly #cpu = new Map<string, number>()
  #cpuOf (taskKey: string): number {
    const [jobId, , step] = taskKey.split('.')
    return this.#cpu.get(`${jobId}.${step}`) ?? 1000
  }

  /** Registers a lifetime. @param index - of the machine @param life - from 1 @param cpuMillis - its size @returns the worker */
  addWorker (index: number, life: number, cpuMillis = 4000, state: WorkerInstance['state'] = 'ready'): StandInWorker {
    const instance: WorkerInstance = {
      instanceId: createInstanceId(`w${index}-${life}` as WorkerId, this.bornMs),
      machineId: `m${index}`,
      service: SERVICE,
      address: `10.0.0.${index}`,
      port: 80,
      availabilityZone: 'z',
      state,
      labels: ['a', `r${index}`],
      capacity: { cpuMillis, memoryMb: 10_000, gpus: 0 }
    }
    this.list(instance)
    return this.runs.workers.get(instance.instanceId) ?? this.runs.add(instance)
  }

  /**
   * Ends a lifetime, and begins another one under its id that knows nothing of it.
   *
   * @param worker - that starts again
   * @param isRegistered - whether it says so in its entry already
   * @param bornMs - Unix time of its start
   * @returns the new lifetime
   */
  restartWorker (worker: StandInWorker, isRegistered = true, bornMs = Date.now()): StandInWorker {
    worker.crash()
    const { instanceId } = worker.instance
    const instance: WorkerInstance = { ...worker.instance, instanceId: createInstanceId(workerIdOf(instanceId), Math.max(bornMs, (bornMsOf(instanceId) ?? 0) + 1)), state: 'ready' }
    const next = this.runs.add(instance)
    next.clockShiftMs = worker.clockShiftMs - RESTARTED_CLOCK_SHIFT_MS
    if (isRegistered) this.list(instance)
    return next
  }

  /** @param instance - as it registers itself */
  list (instance: WorkerInstance): void {
    this.#set(`${WORKERS_PREFIX}${workerIdOf(instance.instanceId)}`, JSON.stringify(instance))
  }

  /** @param instanceId - whose registration ends */
  unlist (instanceId: string): void {
    this.#set(`${WORKERS_PREFIX}${workerIdOf(instanceId)}`, undefined)
  }

  /** Writes a key as somebody else. @param key - which @param value - `undefined` removes it */
  #set (key: string, value: string | undefined): void {
    const isGone = value === undefined
    void MemoryKeyValueStore.prototype.transact.call(this.store, { conditions: [], puts: isGone ? [] : [{ key, value }], removals: isGone ? [key] : [] })
  }

  /** Writes into the scheduler's inbox, as the holder of machine upkeep does. @param key - which @param value - what */
  write (key: string, value: string | undefined): void {
    this.#set(key, value)
  }

  /**
   * Tells, as the holder of machines does, that a list shows a worker's machine down.
   *
   * @param instance - of the worker
   * @param listedWallMs - when the list was asked for
   */
  reportGone ({ instanceId, machineId }: Pick<WorkerInstance, 'instanceId' | 'machineId'>, listedWallMs = Date.now()): void {
    this.write(goneKey(SERVICE, workerIdOf(instanceId)), encodeMachineLossReport({ machineId, listedWallMs }))
  }

  /** Takes the duty, whoever had it. @returns the new tenure */
  async takeOver (): Promise<Tenure> {
    this.#set(DUTY_KEY, undefined)
    const taken = await MemoryKeyValueStore.prototype.compareAndSwap.call(this.store, { key: DUTY_KEY, expectedModRevision: 0, value: 'test' })
    const fencingToken = taken.ok && taken.val.swapped ? taken.val.modRevision : 0
    const tenure: Tenure = { scheduler: this.#createScheduler(fencingToken, () => tenure), fencingToken, holdsDuty: true, isDeposed: false }
    this.tenures.push(tenure)
    void tenure.scheduler.run()
    return tenure
  }

  #createScheduler (fencingToken: number, tenure: () => Tenure): ServiceScheduler {
    return new ServiceScheduler({
      service: SERVICE,
      dutyKey: DUTY_KEY,
      fencingToken,
      holdsDuty: () => tenure().holdsDuty,
      store: this.store,
      orders: this.runs,
      advice: { advise: async () => Ok({ workers: [], validMs: 1000 }) },
      clock: systemClock,
      log: this.log,
      metrics: this.metrics,
      records: this.records,
      configuration: () => this.configuration,
      bounds: () => ({ maxLeaseMs: this.maxLeaseMs, stopMs: 20, keepEndedMs: 60_000, minTtlMs: 100 }),
      workersPrefix: WORKERS_PREFIX,
      decodeWorker: ({ value }) => decodeJson(workerSchema, value),
      onDeposed: () => { tenure().isDeposed = true }
    })
  }

  /** Submits a job. @param number - names it @param command - for all tasks @param steps - what differs from one task of a step */
  async submit (
    number: number, command: StandInCommand, steps: ReadonlyArray<Partial<StepSpec>> = [{}], attempts = 1, schedule?: JobSpec['schedule'], owner?: JobOwner
  ): Promise<JobId> {
    const jobId = testJobId(number)
    const spec = jobSpecSchema.parse({
      jobId,
      queue: QUEUE,
      command: JSON.stringify(command),
      submittedMs: Date.now(),
      schedule,
      owner,
      steps: steps.map((step) => ({ taskCount: 1, cpuMillis: 1000, ...step }))
    })
    spec.steps.forEach((step, index) => this.#cpu.set(`${jobId}.${index}`, step.isFiller ? 0 : step.cpuMillis))
    for (let attempt = 0; attempt < attempts; attempt++) await this.desk.submit(spec, SERVICE, performance.now() + DEADLINE_MS)
    return jobId
  }

  /** @param jobId - any @returns its state as clients see it */
  status (jobId: JobId): Promise<string> {
    return this.desk.status(jobId, [SERVICE], performance.now() + DEADLINE_MS, TEST_CALLER)
  }

  /** Waits until a condition holds. @param what - for the error @param condition - to hold @param timeoutMs - at most */
  async until (what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 10_000): Promise<void> {
    const untilMs = performance.now() + timeoutMs
    while (!await condition()) {
      if (performance.now() > untilMs) throw new Error(`never: ${what}\n${this.log.lines.slice(-40).join('\n')}`)
      await delay(POLL_MS)
    }
  }

  /** @param jobId - any @param status - awaited */
  untilStatus (jobId: JobId, status: string): Promise<void> {
    return this.until(`${jobId} is ${status}`, async () => await this.status(jobId) === status)
  }

  /** Ends everything. */
  close (): void {
    for (const { scheduler } of this.tenures) scheduler.close()
  }

  /** Runs of a task that ended `done`. @param taskKey - which */
  doneRuns (taskKey: string): number {
    return this.runs.records.filter((record) => record.taskKey === taskKey && record.end === 'done').length
  }

  /** Task keys of which two runs went at the same time on workers that lived, or that ran again after an acknowledged end. */
  get duplicatedTasks (): string[] {
    const records = this.runs.records
    return records.filter((a) => records.some((b) => a !== b && a.taskKey === b.taskKey && overlaps(a, b))).map(({ taskKey }) => taskKey)
  }
}

interface Span { readonly startedMs: number, readonly endedMs: number | undefined, readonly end: string | undefined, readonly isAcknowledged: boolean }

/** Whether the second begins while the first runs, or after the first's end `done` was acknowledged. */
function overlaps (first: Span, second: Span): boolean {
  if (second.startedMs < first.startedMs) return false
  return first.endedMs === undefined || second.startedMs < first.endedMs || (first.end === 'done' && first.isAcknowledged)
}
