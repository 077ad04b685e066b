/**
 * Test harness for one service: a store that can fail, simulated workers, and schedulers that take over from each other.
 *
 * @module
 */
import { decodeJson, delay, Err, Ok, systemClock, type DecodeProblem, type Result } from '@quillscale/utils'
import {
  lifetimeStartMsOf, createInstanceId, workerIdOf, type AccountName, type EvacuationRequest, type FleetConfiguration, type KeyValue, type PlatformError,
  type RunOrders, type Transaction, type TransactionOutcome, type WatchEvents, type WorkerId, type WorkerInstance
} from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { StandInRuns, type StandInCommand, type StandInWorker } from '@quillscale/standins'
import { type JobId, type JobOwner, type JobSpec, jobSpecSchema, type StepSpec } from '@quillscale/policy'
import { testJobId } from '@quillscale/policy/testing'
import * as z from 'zod'
import { FleetReport } from '../lib/jobs/FleetReport.js'
import { JobApi } from '../lib/jobs/JobApi.js'
import type { EventLog } from '../lib/duties/EventLog.js'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'
import { OperatorRequests } from '../lib/records/OperatorRequests.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { ServiceScheduler } from '../lib/duties/ServiceScheduler.js'
import { encodeMachineLossReport } from '../lib/machines/machineLossReport.js'
import { goneKey, leaseTimerPrefix, serviceDutyKey } from '../lib/records/storeKeys.js'

/** The service under test. */
export const SERVICE = 'checks'
/** The queue of its jobs. */
export const QUEUE = 'queue'
/** Prefix of the registrations of its workers. */
export const WORKERS_PREFIX = 'workers/'
const DUTY_KEY = serviceDutyKey(SERVICE)
const DEADLINE_MS = 2000
/** Decodes a registration that {@link TestService.list} wrote. */
const workerSchema = z.object({ instanceId: z.string(), service: z.string(), port: z.number() }).loose().transform((raw) => raw as unknown as WorkerInstance)
const EVACUATION_PREFIX = 'op/evacuate/'
const evacuationKey = (zone: string): string | undefined => zone.includes('/') ? undefined : `${EVACUATION_PREFIX}${zone}`
const decodeWorker = ({ value }: KeyValue): Result<WorkerInstance, DecodeProblem> => decodeJson(workerSchema, value)
const decodeEvacuation = ({ key, modRevision }: KeyValue): Result<EvacuationRequest, DecodeProblem> => {
  const availabilityZone = key.slice(EVACUATION_PREFIX.length)
  if (evacuationKey(availabilityZone) === undefined) return Err({ reason: 'wrong-field', path: '(key)', detail: '' })
  return Ok({ availabilityZone, revision: modRevision })
}
const POLL_INTERVAL_MS = 5
/** After this time beyond its wait, a watch without an answer is asked again. */
const OVERDUE_MS = 600
/** The clock of a restarted worker is this much behind its clock before the restart. */
const RESTARTED_CLOCK_SHIFT_MS = 3_600_000
/** The account that queries all jobs of a test, whichever account submitted them. */
const TEST_OWNER: JobOwner = { account: 'test' as AccountName, keyTag: 'test' }

/** An in-memory store that can be slow, unavailable, or lose its answers. */
export class FaultyStore extends MemoryKeyValueStore {
  /** How long listing a prefix takes. */
  readonly listDelayMs = new Map<string, number>()
  /** Decides for each transaction whether it takes effect without an answer. */
  loseAnswers = (): boolean => false
  isDown = false
  readonly refusedTransactions: Transaction[] = []
  /** Refuses writes but not reads, as a store does whose write rate limit is exhausted. */
  refusesWrites = false
  /** The longest value that the store accepts. */
  maxValueBytes = 1_048_576
  /** Delay of a write before it takes effect, and again before its answer. */
  writeDelayMs = (): number => 0
  /** Prefix of which watches hear nothing. */
  deafPrefix: string | undefined
  /** Prefix of which watches get no answer at all. */
  unansweredPrefix: string | undefined
  readonly #watches = new Set<{ readonly prefix: string, isSilent: boolean }>()
  /** Additional delay of the two answers when a timer for silent workers is created: that of its lease and that of its key. */
  timerAnswerMs = 0

  override async list (prefix: string): Promise<Result<{ items: readonly KeyValue[], revision: number }, PlatformError>> {
    for (const [start, delayMs] of this.listDelayMs) if (prefix.startsWith(start)) await delay(delayMs)
    return this.isDown ? down() : await super.list(prefix)
  }

  override async get (key: string): Promise<Result<KeyValue | undefined, PlatformError>> {
    return this.isDown ? down() : await super.get(key)
  }

  override async watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    const dueMs = performance.now() + timeoutMs + OVERDUE_MS
    const call = { prefix, isSilent: false }
    this.#watches.add(call)
    const watched = await super.watch(prefix, afterRevision, timeoutMs)
    this.#watches.delete(call)
    if (call.isSilent || prefix === this.unansweredPrefix) {
      await delay(Math.max(0, dueMs - performance.now()))
      return prefix === this.unansweredPrefix ? Err({ kind: 'unknown-effect', detail: 'no answer' }) : await super.watch(prefix, afterRevision, 1)
    }
    if (prefix !== this.deafPrefix) return watched
    await delay(timeoutMs)
    return Ok({ events: [], revision: afterRevision })
  }

  /** Lets the watches under way go silent without an error. Their client asks again once the answer is overdue. @param prefix - the watched prefix */
  silenceWatches (prefix: string): void {
    for (const call of this.#watches) if (call.prefix === prefix) call.isSilent = true
  }

  override async transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    if (this.isDown || this.refusesWrites) return down()
    if (transaction.puts.some(({ value }) => Buffer.byteLength(value) > this.maxValueBytes)) {
      this.refusedTransactions.push(transaction)
      return Err({ kind: 'refused', detail: 'a value is too large' })
    }
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

/** Collects log lines, so that a failed test can print them. */
export class TestLog implements EventLog {
  /** The log lines from level info up. */
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

/** The time for which one scheduler holds the duty. */
export interface Tenure {
  readonly scheduler: ServiceScheduler
  readonly fencingToken: number
  /** Whether the scheduler believes that it holds the duty; a test may clear it. */
  holdsDuty: boolean
  isDeposed: boolean
}

/** Runs one service with simulated workers, a faulty store and the job API. */
export class TestService {
  readonly store = new FaultyStore()
  readonly runs: StandInRuns
  /** Delivers orders to {@link TestService.runs}; a test may put faults between. */
  orders: RunOrders
  readonly log = new TestLog()
  readonly metrics = new SchedulerMetrics()
  readonly records = new RecordReader(this.log, this.metrics)
  /** In production other calls notice that the store has recovered; a test has to make a call here for that. */
  readonly jobApiStore: MonitoredStore
  readonly jobApi: JobApi
  readonly tenures: Tenure[] = []
  /** Versions of the configuration that schedulers asked for. */
  readonly requiredVersions: number[] = []
  /** Evacuations as this host's watch knows them; {@link TestService.evacuate} keeps it up to date unless the watch is cut off. */
  readonly requests = new OperatorRequests({
    clock: systemClock,
    log: this.log,
    records: this.records,
    decodeWave: () => undefined,
    decodeEvacuation,
    ageMs: () => this.isWatchCutOff ? Infinity : 0
  })

  isWatchCutOff = false
  /** What operators are told. */
  readonly report = new FleetReport(this.store, { evacuationPrefix: EVACUATION_PREFIX, decodeEvacuation, workersPrefix: WORKERS_PREFIX, decodeWorker })
  maxLeaseMs = 1000
  cancelMs = 3000
  drainMs = 2000
  /** For how long ended jobs are kept. */
  keepEndedMs = 60_000
  /** What hosts record of the queue with its jobs; `undefined` as by program versions that record nothing. */
  recordedTerms: JobSpec['queueTerms']
  configuration: FleetConfiguration = {
    version: 1,
    maxBodyBytes: 10_000,
    services: [{ name: SERVICE, isHeadroom: false, refusesOverload: true, healthPath: '/health' }],
    queues: [{ name: QUEUE, host: 'h', pathPrefix: '/q/', service: SERVICE, priority: 0, attempts: 2, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000 }]
  }

  /**
   * @param workers - number of workers
   * @param cpuMillis - CPU capacity of each
   * @param bornMs - Unix time of their start, `undefined` if they don't report it
   * @param zones - number of availability zones, `z0` and so on, over which they are spread in turn
   */
  constructor (workers: number, cpuMillis = 4000, readonly bornMs?: number, readonly zones = 1) {
    this.runs = new StandInRuns(systemClock, (taskKey) => ({ cpuMillis: this.#cpuMillisOf(taskKey), memoryMb: 0, gpus: 0 }))
    this.orders = this.runs
    this.jobApiStore = new MonitoredStore(this.store, systemClock)
    this.jobApi = new JobApi({ store: this.jobApiStore, clock: systemClock, log: this.log, records: this.records })
    for (let index = 0; index < workers; index++) this.addWorker(index, 1, cpuMillis)
  }

  readonly #cpuMillisByStep = new Map<string, number>()
  #cpuMillisOf (taskKey: string): number {
    const [jobId, , step] = taskKey.split('.')
    return this.#cpuMillisByStep.get(`${jobId}.${step}`) ?? 1000
  }

  /**
   * Registers one lifetime of a worker.
   *
   * @param index - number of the machine
   * @param life - number of the lifetime, from 1
   * @param cpuMillis - CPU capacity
   * @param state - the state in its registration
   * @returns the worker
   */
  addWorker (index: number, life: number, cpuMillis = 4000, state: WorkerInstance['state'] = 'ready'): StandInWorker {
    const instance: WorkerInstance = {
      instanceId: createInstanceId(`w${index}-${life}` as WorkerId, this.bornMs),
      machineId: `m${index}`,
      service: SERVICE,
      address: `10.0.0.${index}`,
      port: 80,
      availabilityZone: `z${index % this.zones}`,
      state,
      labels: ['a', `r${index}`],
      capacity: { cpuMillis, memoryMb: 10_000, gpus: 0 }
    }
    this.list(instance)
    return this.runs.workers.get(instance.instanceId) ?? this.runs.add(instance)
  }

  /**
   * Restarts a worker: ends its lifetime and begins another under the same worker id, without the state of the first.
   *
   * @param worker - the worker to restart
   * @param isNewRegistered - whether the new lifetime is registered already
   * @param bornMs - Unix time of the new start
   * @returns the new lifetime
   */
  restartWorker (worker: StandInWorker, isNewRegistered = true, bornMs = Date.now()): StandInWorker {
    worker.crash()
    const { instanceId } = worker.instance
    const instance: WorkerInstance = { ...worker.instance, instanceId: createInstanceId(workerIdOf(instanceId), Math.max(bornMs, (lifetimeStartMsOf(instanceId) ?? 0) + 1)), state: 'ready' }
    const next = this.runs.add(instance)
    next.clockShiftMs = worker.clockShiftMs - RESTARTED_CLOCK_SHIFT_MS
    if (isNewRegistered) this.list(instance)
    return next
  }

  /**
   * Writes the registration of a worker.
   *
   * @param instance - the registration
   */
  list (instance: WorkerInstance): void {
    this.write(`${WORKERS_PREFIX}${workerIdOf(instance.instanceId)}`, JSON.stringify(instance))
  }

  /** Removes the registration of a worker. @param instanceId - the registered lifetime */
  unlist (instanceId: string): void {
    this.write(`${WORKERS_PREFIX}${workerIdOf(instanceId)}`, undefined)
  }

  /**
   * Writes a key as another process would, for example the holder of the machine duty, and without the faults of the store.
   *
   * @param key - the key
   * @param value - the value, `undefined` removes the key
   */
  write (key: string, value: string | undefined): void {
    const isRemoval = value === undefined
    void MemoryKeyValueStore.prototype.transact.call(this.store, { conditions: [], puts: isRemoval ? [] : [{ key, value }], removals: isRemoval ? [key] : [] })
  }

  /**
   * Reports a worker's machine as down, as the holder of the machine duty does.
   *
   * @param instance - the worker
   * @param listedWallMs - Unix time at which the list of machines was requested
   */
  reportGone ({ instanceId, machineId }: Pick<WorkerInstance, 'instanceId' | 'machineId'>, listedWallMs = Date.now()): void {
    this.write(goneKey(SERVICE, workerIdOf(instanceId)), encodeMachineLossReport({ machineId, listedWallMs }))
  }

  /**
   * Requests or withdraws an evacuation, as an operator does.
   *
   * @param availabilityZone - the zone
   * @param isRequested - false withdraws the request
   */
  evacuate (availabilityZone: string, isRequested = true): void {
    const key = `${EVACUATION_PREFIX}${availabilityZone}`
    this.write(key, isRequested ? '{}' : undefined)
    if (this.isWatchCutOff) return
    this.requests.applyChange(isRequested ? { changed: [{ key, value: '{}', modRevision: 1 }], removed: [] } : { changed: [], removed: [key] })
  }

  /**
   * Starts a new scheduler that takes the duty from any current holder.
   *
   * @returns the new tenure
   */
  async takeOver (): Promise<Tenure> {
    this.write(DUTY_KEY, undefined)
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
      orders: this.orders,
      advice: { advise: async () => Ok({ workers: [], validMs: 1000 }) },
      clock: systemClock,
      log: this.log,
      metrics: this.metrics,
      records: this.records,
      configuration: () => this.configuration,
      requireConfiguration: async (version) => {
        this.requiredVersions.push(version)
        return this.configuration.version >= version
      },
      bounds: () => ({ maxLeaseMs: this.maxLeaseMs, stopMs: 20, keepEndedMs: this.keepEndedMs, minTtlMs: 100, cancelMs: this.cancelMs, drainMs: this.drainMs }),
      managesPressure: true,
      evacuations: this.requests,
      evacuationKey,
      workersPrefix: WORKERS_PREFIX,
      decodeWorker,
      onDeposed: () => { tenure().isDeposed = true }
    })
  }

  /**
   * Submits a job.
   *
   * @param number - determines the job id
   * @param command - the command of all tasks
   * @param steps - the steps; by default one step of one task
   * @param attempts - how often the same job is sent
   * @param schedule - the schedule, if any
   * @param owner - the owner, if any
   * @returns the job id
   */
  async submit (
    number: number, command: StandInCommand, steps: ReadonlyArray<Partial<StepSpec>> = [{}], attempts = 1, schedule?: JobSpec['schedule'], owner?: JobOwner
  ): Promise<JobId> {
    const jobId = testJobId(number)
    const spec = jobSpecSchema.parse({
      jobId,
      queue: QUEUE,
      queueTerms: this.recordedTerms,
      command: JSON.stringify(command),
      submittedMs: Date.now(),
      schedule,
      owner,
      steps: steps.map((step) => ({ taskCount: 1, cpuMillis: 1000, ...step }))
    })
    spec.steps.forEach((step, index) => this.#cpuMillisByStep.set(`${jobId}.${index}`, step.isFiller ? 0 : step.cpuMillis))
    for (let attempt = 0; attempt < attempts; attempt++) await this.jobApi.submit(spec, SERVICE, performance.now() + DEADLINE_MS)
    return jobId
  }

  /**
   * Queries the state of a job as a client does.
   *
   * @param jobId - the job
   * @returns the state
   */
  status (jobId: JobId): Promise<string> {
    return this.jobApi.status(jobId, [SERVICE], performance.now() + DEADLINE_MS, TEST_OWNER)
  }

  /**
   * Waits until a condition holds.
   *
   * @param what - description of the condition for the error
   * @param condition - the condition
   * @param timeoutMs - the longest time to wait
   */
  async until (what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 10_000): Promise<void> {
    const timeoutAtMs = performance.now() + timeoutMs
    while (!await condition()) {
      if (performance.now() > timeoutAtMs) throw new Error(`timed out waiting until: ${what}\n${this.log.lines.slice(-40).join('\n')}`)
      await delay(POLL_INTERVAL_MS)
    }
  }

  /** Waits until a job has a state. @param jobId - the job @param status - the state to wait for */
  untilStatus (jobId: JobId, status: string): Promise<void> {
    return this.until(`${jobId} is ${status}`, async () => await this.status(jobId) === status)
  }

  /** Closes all schedulers. */
  close (): void {
    for (const { scheduler } of this.tenures) scheduler.close()
  }

  /**
   * Counts the runs of a task that ended `done`.
   *
   * @param taskKey - the task
   * @returns the number of runs
   */
  doneRuns (taskKey: string): number {
    return this.runs.records.filter((record) => record.taskKey === taskKey && record.end === 'done').length
  }

  /** Keys of tasks with two runs at the same time on live workers, or with another run after an acknowledged end. */
  get duplicatedTasks (): string[] {
    const records = this.runs.records
    return records.filter((a) => records.some((b) => a !== b && a.taskKey === b.taskKey && isDuplicate(a, b))).map(({ taskKey }) => taskKey)
  }
}

/** The start and end of a run as its worker recorded it. */
interface RunRecord { readonly startedMs: number, readonly endedMs: number | undefined, readonly end: string | undefined, readonly isAcknowledged: boolean }

/** Tells whether the second run begins while the first is running, or after the first's end `done` was acknowledged. */
function isDuplicate (first: RunRecord, second: RunRecord): boolean {
  if (second.startedMs < first.startedMs) return false
  return first.endedMs === undefined || second.startedMs < first.endedMs || (first.end === 'done' && first.isAcknowledged)
}
