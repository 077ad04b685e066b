/**
 * Schedules the jobs of one service while this process holds the duty of that service.
 *
 * A placement is written under the duty's fencing token before the start is sent to the worker, and the end of a run before it is
 * acknowledged to the worker. So the next holder finds every run that may still be running, and a deposed holder can neither place
 * runs nor acknowledge their ends.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { delay } from '@quillscale/utils'
import { lifetimeStartMsOf } from '@quillscale/ports'
import type { PrefixChange } from '@quillscale/leases'
import { type AvailabilityContext, decidePlacement, hasEnded, type Job, maxAttemptsOf, PlacementRound, type Run, RunTimeEstimator, OrderWindow, type Task } from '@quillscale/policy'
import { accountsOf } from '../accounts/AccountDirectory.js'
import { QuotaLedger } from '../accounts/QuotaLedger.js'
import { PlacementAdviceCache } from '../workers/PlacementAdviceCache.js'
import type { FencedBatchWriter, RecordEncoder } from '../records/FencedBatchWriter.js'
import { ServiceReplicas } from '../records/ServiceReplicas.js'
import type { EventLog } from './EventLog.js'
import { ConfigurationGate } from '../jobs/ConfigurationGate.js'
import { CrashTracker } from '../jobs/CrashTracker.js'
import { InboxReader } from '../jobs/InboxReader.js'
import { ProgressRecorder } from '../jobs/ProgressRecorder.js'
import { MachineDrainer } from '../machines/MachineDrainer.js'
import { openFencedBatchWriter } from '../records/openFencedBatchWriter.js'
import { JobRegistry } from '../jobs/JobRegistry.js'
import { RoundPacer } from './RoundPacer.js'
import { RunStarter } from '../jobs/RunStarter.js'
import { RunTracker } from '../jobs/RunTracker.js'
import type { ServiceSchedulerOptions } from './ServiceSchedulerOptions.js'
import { StatusWriter } from '../jobs/StatusWriter.js'
import { SilentWorkers } from '../workers/SilentWorkers.js'
import { StopSlots } from '../workers/StopSlots.js'
import { chainKey, goneKey, progressPrefix, silentWorkersKey } from '../records/storeKeys.js'
import { retryUntilAnswered } from '../records/retryUntilAnswered.js'
import { UnplacedLog } from '../jobs/UnplacedLog.js'
import { WorkerRegistrations } from '../workers/WorkerRegistrations.js'
import { FencingTokens } from '../workers/FencingTokens.js'
import { WorkerTracker, type WorkerTrackerOptions } from '../workers/WorkerTracker.js'
import { ZoneEvacuator } from '../workers/ZoneEvacuator.js'

/** Places the tasks of one service on its workers, and tracks their runs, quotas and job states. @public */
export class ServiceScheduler {
  readonly #options: ServiceSchedulerOptions
  readonly #registry: JobRegistry
  readonly #log: EventLog
  readonly #runTimes = new RunTimeEstimator()
  readonly #adviceCache: PlacementAdviceCache
  readonly #drainer: MachineDrainer
  readonly #availability: Omit<AvailabilityContext, 'nowMs'> = {
    isMachineDraining: (machineId) => this.#drainer.isDraining(machineId), isEvacuated: (zone) => this.#options.evacuations.isEvacuated(zone)
  }

  readonly #silentWorkers: SilentWorkers
  readonly #ledger: QuotaLedger
  readonly #progress: ProgressRecorder
  readonly #workers: WorkerTracker
  readonly #tracker: RunTracker
  readonly #crashTracker: CrashTracker
  readonly #configurationGate: ConfigurationGate
  readonly #starter: RunStarter
  readonly #statusWriter: StatusWriter
  readonly #registrations: WorkerRegistrations
  readonly #inboxReader: InboxReader
  readonly #replicas: ServiceReplicas
  readonly #stop = new AbortController()
  readonly #pacer: RoundPacer
  readonly #orderWindow = new OrderWindow()
  readonly #unplacedLog: UnplacedLog
  readonly #evacuator: ZoneEvacuator
  /** Set once the store has answered in {@link ServiceScheduler.run}. */
  #writer!: FencedBatchWriter
  /** Whether the first list of jobs was read; workers are connected only after it. */
  #hasListedInbox = false

  /** @param options - the service, the duty under which it is scheduled, and access to the store and workers */
  constructor (options: ServiceSchedulerOptions) {
    this.#options = options
    this.#log = options.log
    // Many pending waits listen to this signal.
    setMaxListeners(0, this.#stop.signal)
    const { clock, service, configuration } = options
    this.#pacer = new RoundPacer(clock, (tookMs) => options.metrics.record('turn', 'round', tookMs))
    this.#unplacedLog = new UnplacedLog(options.log)
    options.metrics.gauge(`order_window{service="${service}"}`, () => this.#stop.signal.aborted ? 0 : this.#orderWindow.size)
    this.#registry = new JobRegistry({
      clock,
      log: options.log,
      runTimes: this.#runTimes,
      maxAttemptsOf: ({ spec }) => maxAttemptsOf(spec, configuration()?.queues.find(({ name }) => name === spec.queue)),
      linkOf: (run) => this.#workers.linkOf(run),
      onChanged: (job, tasks) => this.#saveProgress(job, tasks),
      onRunClosed: (run) => this.#ledger.removeRun(run),
      onUnneeded: (run) => this.#tracker.stopRun(run),
      onBegun: (waitedMs) => options.metrics.record('first_start_wait', service, waitedMs)
    })
    this.#progress = new ProgressRecorder({ service, log: options.log, writer: () => this.#writer })
    this.#ledger = this.#createLedger()
    this.#tracker = this.#createTracker()
    this.#evacuator = this.#createEvacuator()
    this.#starter = new RunStarter({
      registry: this.#registry,
      withoutWithdrawn: (runs) => this.#evacuator.withoutWithdrawn(runs),
      whenFlushed: () => this.#writer.flushed(),
      linkOf: (run) => this.#workers.linkOf(run),
      stopRun: (run) => this.#tracker.stopRun(run),
      canRecord: (job) => this.#progress.canRecord(job),
      onChanged: (job, tasks) => this.#saveProgress(job, tasks, true)
    })
    this.#crashTracker = new CrashTracker({
      log: options.log, tookOverMs: clock.monotonicMs(), count: (kind) => options.metrics.count('workers_ended_under_tasks', kind), onChanged: (job, tasks) => this.#saveProgress(job, tasks)
    })
    this.#configurationGate = new ConfigurationGate({ ...options, onKnown: () => this.#pacer.request() })
    const put = (key: string, source: RecordEncoder, isUrgent: boolean): void => this.#writer.put(key, source, isUrgent)
    this.#silentWorkers = this.#createSilentWorkers(put)
    this.#workers = this.#createWorkers()
    this.#statusWriter = new StatusWriter({
      ...options,
      put,
      runTimes: this.#runTimes,
      availability: this.#availability,
      isEvacuated: this.#availability.isEvacuated,
      limitOf: (account) => accountsOf(configuration()).limitOf(account)
    })
    this.#adviceCache = new PlacementAdviceCache({ advice: options.advice, clock, log: options.log, onAdvice: () => this.#pacer.request() })
    this.#drainer = new MachineDrainer({ service, clock, log: options.log, put, stop: (run) => { void this.#starter.evict(run) } })
    this.#registrations = new WorkerRegistrations({
      ...options, prefix: options.workersPrefix, isServiceConfigured: (name) => configuration()?.services.some((named) => named.name === name) === true
    })
    this.#inboxReader = new InboxReader({
      ...options,
      registry: this.#registry,
      drainer: this.#drainer,
      weightOf: (account) => accountsOf(configuration()).weightOf(account),
      onRunRestored: (run) => this.#trackRun(run),
      onMachineDown: (workerId, report) => this.#workers.handleMachineDown(workerId, report)
    })
    this.#replicas = new ServiceReplicas({ ...options, onRegistrations: () => this.#updateWorkers(), onInbox: (change) => this.#applyInboxChange(change) })
  }

  #createLedger (): QuotaLedger {
    const { configuration, bounds, metrics } = this.#options
    return new QuotaLedger({
      ...this.#options,
      accounts: () => accountsOf(configuration()),
      longestLeaseMs: () => bounds().maxLeaseMs,
      count: (kind) => metrics.count('quota_writes', kind),
      onChange: () => this.#pacer.request()
    })
  }

  #createEvacuator (): ZoneEvacuator {
    return new ZoneEvacuator({
      ...this.#options,
      links: () => this.#workers.links,
      linkOf: (run) => this.#workers.linkOf(run),
      isMachineDraining: (machineId) => this.#drainer.isDraining(machineId),
      withdraw: (run) => this.#registry.closeRun(run, 'not-started'),
      evict: (run) => { void this.#starter.evict(run) }
    })
  }

  #createTracker (): RunTracker {
    const { clock, log, metrics, service } = this.#options
    return new RunTracker({
      clock,
      log,
      registry: this.#registry,
      linkOf: (run) => this.#workers.linkOf(run),
      isSetAside: (jobId) => this.#inboxReader.isSetAside(jobId),
      onChanged: (job, tasks) => this.#saveProgress(job, tasks),
      onTicketRefused: ({ task, instanceId }) => this.#adviceCache.invalidate(task, instanceId),
      count: (name, label = service) => metrics.count(name, label),
      onReportApplied: (tookMs) => metrics.record('turn', 'report', tookMs)
    })
  }

  #createSilentWorkers (put: (key: string, source: RecordEncoder, isUrgent: boolean) => void): SilentWorkers {
    return new SilentWorkers({
      ...this.#options,
      put,
      minTtlMs: () => this.#options.bounds().minTtlMs,
      flushed: () => this.#writer.flushed([silentWorkersKey(this.#options.service)]),
      longestLeaseMs: () => this.#workers.longestLeaseMs(this.#options.clock.monotonicMs()),
      leasesLeftMs: (instanceId, nowMs) => this.#workers.leasesLeftMs(instanceId, nowMs),
      isTracked: (instanceId) => !this.#replicas.inbox.isListed || this.#workers.isTracked(instanceId),
      onTimerExpired: () => this.#pacer.request()
    })
  }

  #createWorkers (): WorkerTracker {
    const { service, orders, fencingToken, clock, log, holdsDuty, bounds } = this.#options
    const linkOptions: WorkerTrackerOptions['linkOptions'] = {
      orders,
      holdsDuty,
      mayStart: () => this.#replicas.freshness.isOpenNow(),
      onReport: (link, report, askedMs) => {
        const { instanceId } = link.instance
        if (report.lifetimeStartMs === lifetimeStartMsOf(instanceId)) this.#crashTracker.recordReport(instanceId, askedMs)
        this.#tracker.applyReport(link, report, askedMs)
        this.#pacer.request()
      },
      mayRepeatStart: (run) => this.#evacuator.mayRepeatStart(run),
      stopSlots: { answering: new StopSlots(this.#orderWindow), failing: new StopSlots(this.#orderWindow) },
      onOrderAnswered: (waitedMs) => this.#orderWindow.recordAnswer(waitedMs),
      onStarted: (run) => this.#tracker.started(run),
      onNotStarted: (link, run, error) => {
        this.#tracker.handleStartFailure(link, run, error)
        this.#pacer.request()
      },
      ensureDurable: () => this.#writer.flushed(),
      onFencedOff: () => this.#handleDeposed('a worker follows a newer holder')
    }
    return new WorkerTracker({
      clock,
      log,
      bounds,
      fencingTokens: new FencingTokens(fencingToken, (revision) => this.#writer.revisionAbove(revision)),
      linkOptions,
      silentWorkers: this.#silentWorkers,
      isDraining: (machineId) => this.#drainer.isDraining(machineId),
      onWorkerLost: (loss) => this.#crashTracker.recordLoss(loss, clock.monotonicMs()),
      onLost: (run, evidence) => {
        this.#options.metrics.record('lost_run_silence', evidence.reason, evidence.silentMs)
        this.#registry.closeRun(run, 'lost', { evidence })
      },
      onMachineDownForgotten: (workerId) => this.#writer.put(goneKey(service, workerId), () => undefined),
      onMoved: (run) => this.#saveProgress(run.task.job, [run.task], true),
      onChange: () => this.#pacer.request()
    })
  }

  /** Connects workers only once all jobs are loaded: the end of a run whose job is not loaded would be acknowledged, and lost. */
  #updateWorkers (): void {
    if (!this.#hasListedInbox || !this.#replicas.registrations.isListed) return
    this.#workers.updateRegistrations(this.#registrations.read(this.#replicas.registrations.items))
  }

  /** Schedules jobs until closed or deposed. */
  async run (): Promise<void> {
    const { clock, service, fencingToken } = this.#options
    const startedMs = clock.monotonicMs()
    this.#ledger.start(this.#stop.signal)
    const registrationsDone = this.#replicas.registrations.run(this.#stop.signal)
    if (!await this.#recover()) return
    this.#log.info({ service, fencingToken, jobs: this.#registry.jobs.size, tookMs: clock.monotonicMs() - startedMs }, 'scheduling begins')
    const roundsDone = this.#pacer.run(() => this.#runRound(), this.#stop.signal)
    await Promise.all([
      this.#writer.run(), this.#replicas.inbox.run(this.#stop.signal), registrationsDone, this.#silentWorkers.watchTimers(this.#stop.signal), roundsDone
    ])
  }

  /** Stops immediately. Runs continue under their leases, and the next holder takes them over. */
  close (): void {
    if (this.#stop.signal.aborted) return
    this.#stop.abort()
    this.#writer?.close()
    this.#adviceCache.close()
    this.#workers.close()
    this.#evacuator.close()
    this.#log.info({ service: this.#options.service, fencingToken: this.#options.fencingToken }, 'scheduling ends')
  }

  /**
   * Writes pending records before a planned handover.
   *
   * @param timeoutMs - the longest time to wait for the writes
   */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#writer === undefined) return
    const startMs = this.#options.clock.monotonicMs()
    await Promise.race([this.#workers.recordSilentWorkers(startMs), delay(timeoutMs)])
    await this.#writer.flushWithin(timeoutMs - (this.#options.clock.monotonicMs() - startMs))
  }

  /**
   * Loads the records of previous holders.
   *
   * @returns whether they were loaded; false if the scheduler was closed before that
   */
  async #recover (): Promise<boolean> {
    const { store, service, dutyKey, fencingToken, clock, metrics } = this.#options
    const [writer, progress, silent] = await Promise.all([
      openFencedBatchWriter({
        store,
        clock,
        dutyKey,
        dutyRevision: fencingToken,
        chainKey: chainKey(service),
        onDeposed: () => this.#handleDeposed('the duty has another holder'),
        guards: [this.#evacuator.guard],
        onStoreError: (error, transactionNumber) => this.#log.warn({ service, error, transactionNumber }, 'records not written, will retry'),
        onRefused: (key, chars, error) => this.#progress.handleRefusal(key, chars, error),
        onCommit: (entries, latencyMs) => {
          metrics.count('records_written', service, entries)
          metrics.record('commit', service, latencyMs)
        }
      }, this.#stop.signal),
      retryUntilAnswered(() => store.list(progressPrefix(service)), this.#stop.signal),
      retryUntilAnswered(async () => (await store.get(silentWorkersKey(service))).map((item) => ({ item })), this.#stop.signal)
    ])
    if (writer === undefined || progress === undefined || silent === undefined) return false
    this.#inboxReader.loadProgress(progress.items)
    this.#writer = writer
    this.#silentWorkers.restore(silent.item, writer.previousDutyRevision)
    return true
  }

  #handleDeposed (reason: string): void {
    if (this.#stop.signal.aborted) return
    this.#log.warn({ service: this.#options.service, fencingToken: this.#options.fencingToken, reason }, 'scheduler deposed')
    this.close()
    this.#options.onDeposed()
  }

  #applyInboxChange (change: PrefixChange): void {
    this.#inboxReader.applyChange(change)
    if (!this.#hasListedInbox) {
      this.#hasListedInbox = true
      this.#updateWorkers()
    }
    this.#pacer.request()
  }

  /**
   * Writes the progress of a job. Placements and ends of jobs are urgent. Ends of tasks may wait: until they are written, the worker only
   * keeps them in the list that it reports.
   */
  #saveProgress (job: Job, tasks?: readonly Task[], isUrgent?: boolean): void {
    this.#progress.save(job, tasks, isUrgent)
    this.#pacer.request()
  }

  #runRound (): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#workers.loseExpiredRuns(nowMs)
    if (!this.#replicas.areListed) return
    this.#drainer.reconcile(this.#workers, nowMs)
    this.#drainer.drainLeavingWorkers(this.#workers.leaving(this.#replicas.registrations.reachableForMs(nowMs), nowMs), nowMs)
    this.#evacuator.reconcile(nowMs)
    this.#placeTasks(nowMs)
    this.#statusWriter.write([...this.#registry.jobs.values()].filter((job) => this.#progress.canRecord(job)), this.#workers, nowMs)
    this.#removeEndedJobs()
  }

  #placeTasks (nowMs: number): void {
    if (!this.#options.holdsDuty() || !this.#replicas.freshness.isOpen(nowMs)) return
    const configuration = this.#options.configuration()
    if (configuration === undefined) return
    const round = new PlacementRound({
      configuration,
      jobs: this.#configurationGate.admit(this.#registry.jobs.values(), configuration, nowMs).filter((job) => this.#progress.canRecord(job)),
      workerViews: this.#workers.links,
      runTimes: this.#runTimes,
      advice: this.#adviceCache,
      accountQuotaOf: (account) => this.#ledger.quotaFor(account, nowMs),
      availability: this.#availability,
      maxStartsUnderWay: this.#orderWindow.size,
      nowMs,
      wallMs: this.#options.clock.wallMs()
    })
    const runs = round.place()
    for (const { job, error } of round.failedJobs) this.#progress.hold(job, error)
    if (round.isStartLimited) this.#orderWindow.recordFull()
    if (round.hasMoreSteps) this.#pacer.request()
    for (const run of runs) this.#trackRun(run)
    this.#unplacedLog.write(round, nowMs)
    this.#ledger.reconcile(round.quota.shortages, nowMs)
    this.#ledger.warnOversized(round.quota.oversized)
    for (const run of round.runsToStop) this.#tracker.stopRun(run)
    for (const task of round.tasksToGiveUp) {
      if (hasEnded(task.job) || decidePlacement(task, nowMs) !== 'give-up') continue
      this.#registry.giveUpTask(task)
      this.#crashTracker.clearOtherTasks(task)
    }
    if (runs.length === 0) return
    this.#evacuator.addPlacements(runs)
    this.#progress.savePlacements(runs, configuration.version)
    this.#pacer.request()
    void this.#starter.start(runs)
  }

  #trackRun (run: Run): void {
    this.#ledger.addRun(run)
    this.#workers.addRun(run)
  }

  /** Removes ended jobs, and their records, after the time for which their state stays available. */
  #removeEndedJobs (): void {
    const { clock, bounds } = this.#options
    const cutoffMs = clock.wallMs() - bounds().keepEndedMs
    for (const [jobId, job] of this.#registry.jobs) {
      if (job.endedMs === undefined || job.endedMs > cutoffMs) continue
      this.#registry.jobs.delete(jobId)
      this.#progress.remove(job)
    }
  }
}
