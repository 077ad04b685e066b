/**
 * Runs the jobs of one service, while this process holds that service's duty.
 *
 * A placement is written under the duty before its start is sent, and an end before it is acknowledged to its worker. So
 * a next holder finds every run that may be going on, and a deposed one can neither place nor acknowledge.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { delay } from '@quillscale/utils'
import type { PrefixChange, PrefixReplica } from '@quillscale/leases'
import { hasEnded, type Job, PlacementRound, type Run, RunTimeEstimator } from '@quillscale/policy'
import { accountsOf } from '../accounts/AccountDirectory.js'
import { QuotaLedger } from '../accounts/QuotaLedger.js'
import { PlacementAdviceCache } from '../workers/PlacementAdviceCache.js'
import type { FencedBatchWriter, RecordEncoder } from '../records/FencedBatchWriter.js'
import { createReplica } from '../records/createReplica.js'
import type { EventLog } from './EventLog.js'
import { CrashTracker } from '../jobs/CrashTracker.js'
import { InboxReader } from '../jobs/InboxReader.js'
import { encodeProgress } from '../jobs/jobProgress.js'
import { MachineDrainer } from '../machines/MachineDrainer.js'
import { openFencedBatchWriter } from '../records/openFencedBatchWriter.js'
import { JobRegistry } from '../jobs/JobRegistry.js'
import { RunStarter } from '../jobs/RunStarter.js'
import { RunTracker } from '../jobs/RunTracker.js'
import type { ServiceSchedulerOptions } from './ServiceSchedulerOptions.js'
import { StatusWriter } from '../jobs/StatusWriter.js'
import { SilentWorkers } from '../workers/SilentWorkers.js'
import { cancelKey, chainKey, goneKey, inboxPrefix, jobKey, progressKey, progressPrefix, silentWorkersKey } from '../records/storeKeys.js'
import { retryUntilAnswered } from '../records/retryUntilAnswered.js'
import { WorkerRegistrations } from '../workers/WorkerRegistrations.js'
import { WorkerTracker, type WorkerTrackerOptions } from '../workers/WorkerTracker.js'

/** The least time between two placement rounds: tasks that end together are replaced together. */
const ROUND_SPACING_MS = 20
/** After a round, this many times as long passes as it took: a service that has grown leaves its host time for holds and requests. */
const ROUND_PAUSES = 2
/** Also without an event: retries, expiring waits, due times. */
const TICK_MS = 200
/** Changes of workers' registrations may wait a little; new jobs should start soon. */
const WORKERS_SPACING_MS = 150
const INBOX_SPACING_MS = 20

/** The scheduler. @public */
export class ServiceScheduler {
  readonly #options: ServiceSchedulerOptions
  readonly #book: JobRegistry
  readonly #log: EventLog
  readonly #times = new RunTimeEstimator()
  readonly #advice: PlacementAdviceCache
  readonly #vacator: MachineDrainer
  readonly #silentWorkers: SilentWorkers
  readonly #ledger: QuotaLedger
  readonly #workers: WorkerTracker
  readonly #tracker: RunTracker
  readonly #crashBook: CrashTracker
  readonly #starter: RunStarter
  readonly #statusWriter: StatusWriter
  readonly #registrations: WorkerRegistrations
  readonly #registrationItems: PrefixReplica
  readonly #inboxReader: InboxReader
  readonly #inbox: PrefixReplica
  readonly #stop = new AbortController()
  #wakeRound: () => void = () => {}
  /** Set once the store has answered. */
  #commits!: FencedBatchWriter
  #tookOverMs = 0
  #isRoundDue = false
  /** The first list of jobs was read: workers may be met. */
  #hasHeardOfAll = false

  /** @param options - what it works with */
  constructor (options: ServiceSchedulerOptions) {
    this.#options = options
    this.#log = options.log
    // Many waits end with the scheduler.
    setMaxListeners(0, this.#stop.signal)
    const { clock, store, service, configuration } = options
    this.#book = new JobRegistry({
      clock,
      log: options.log,
      times: this.#times,
      maxAttemptsOf: (job) => configuration()?.queues.find(({ name }) => name === job.spec.queue)?.attempts ?? DEFAULT_ATTEMPTS,
      linkOf: (run) => this.#workers.linkOf(run),
      onChanged: (job) => this.#changed(job),
      onRunClosed: (run) => this.#ledger.removeRun(run),
      onUnneeded: (run) => this.#tracker.stopRun(run)
    })
    this.#ledger = this.#createLedger()
    this.#tracker = this.#createTracker()
    this.#starter = new RunStarter({
      registry: this.#book,
      whenFlushed: () => this.#commits.flushed(),
      linkOf: (run) => this.#workers.linkOf(run),
      stopRun: (run) => this.#tracker.stopRun(run),
      onChanged: (job) => this.#changed(job, true)
    })
    this.#crashBook = new CrashTracker({
      log: options.log, count: (kind) => options.metrics.count('workers_ended_under_tasks', kind), onChanged: (job) => this.#changed(job)
    })
    const put = (key: string, source: RecordEncoder, isUrgent: boolean): void => this.#commits.put(key, source, isUrgent)
    this.#silentWorkers = this.#createSilentWorkers(put)
    this.#workers = this.#createWorkers()
    this.#statusWriter = new StatusWriter({ service, clock, log: options.log, put, limitOf: (account) => accountsOf(configuration()).limitOf(account) })
    this.#advice = new PlacementAdviceCache({ advice: options.advice, clock, log: options.log, onAdvice: () => this.#wake() })
    this.#vacator = new MachineDrainer({ service, clock, log: options.log, put, stop: (run) => { void this.#starter.evict(run) } })
    this.#registrations = new WorkerRegistrations({
      ...options, prefix: options.workersPrefix, isServiceConfigured: (name) => configuration()?.services.some((named) => named.name === name) === true
    })
    this.#registrationItems = createReplica(options.log, {
      store, clock, prefix: options.workersPrefix, spacingMs: WORKERS_SPACING_MS, onChange: () => this.#followWorkers()
    })
    this.#inboxReader = new InboxReader({
      ...options,
      registry: this.#book,
      vacator: this.#vacator,
      weightOf: (account) => accountsOf(configuration()).weightOf(account),
      onRunRestored: (run) => this.#adopt(run),
      onGone: (workerId, report) => this.#workers.handleMachineDown(workerId, report)
    })
    this.#inbox = createReplica(options.log, {
      store, clock, prefix: inboxPrefix(service), spacingMs: INBOX_SPACING_MS, onChange: (change) => this.#readInbox(change)
    })
  }

  #createLedger (): QuotaLedger {
    const { configuration, bounds, metrics } = this.#options
    return new QuotaLedger({
      ...this.#options,
      accounts: () => accountsOf(configuration()),
      longestLeaseMs: () => bounds().maxLeaseMs,
      count: (kind) => metrics.count('quota_writes', kind),
      onChange: () => this.#wake()
    })
  }

  #createTracker (): RunTracker {
    const { orders, fencingToken, clock, log, metrics, service } = this.#options
    return new RunTracker({
      orders,
      fencingToken,
      clock,
      log,
      registry: this.#book,
      linkOf: (run) => this.#workers.linkOf(run),
      isSetAside: (jobId) => this.#inboxReader.isSetAside(jobId),
      onChanged: (job) => this.#changed(job),
      onTicketRefused: (run) => this.#advice.invalidate(run.task),
      count: (name, label = service) => metrics.count(name, label)
    })
  }

  #createSilentWorkers (put: (key: string, source: RecordEncoder, isUrgent: boolean) => void): SilentWorkers {
    return new SilentWorkers({
      ...this.#options,
      put,
      minTtlMs: () => this.#options.bounds().minTtlMs,
      flushed: () => this.#commits.flushed(),
      longestLeaseMs: () => this.#workers.longestLeaseMs(this.#options.clock.monotonicMs()),
      leasesLeftMs: (instanceId, nowMs) => this.#workers.leasesLeftMs(instanceId, nowMs),
      isTracked: (instanceId) => !this.#inbox.isListed || this.#workers.isTracked(instanceId),
      onTimerExpired: () => this.#wake()
    })
  }

  #createWorkers (): WorkerTracker {
    const { service, orders, fencingToken, clock, log, holdsDuty: mayOrder, bounds } = this.#options
    const linkOptions: WorkerTrackerOptions['linkOptions'] = {
      orders,
      fencingToken,
      holdsDuty: mayOrder,
      onReport: (link, report, askedMs) => {
        this.#tracker.applyReport(link, report, askedMs)
        this.#wake()
      },
      onStarted: (run) => this.#tracker.started(run),
      onNotStarted: (link, run, error) => {
        this.#tracker.handleStartFailure(link, run, error)
        this.#wake()
      },
      ensureDurable: () => this.#commits.flushed(),
      onFencedOff: () => this.#deposed('a worker obeys a newer holder')
    }
    return new WorkerTracker({
      clock,
      log,
      bounds,
      linkOptions,
      silentWorkers: this.#silentWorkers,
      isVacating: (machineId) => this.#vacator.isVacating(machineId),
      onWorkerLost: (loss) => this.#crashBook.recordLoss(loss, clock.monotonicMs()),
      onLost: (run, evidence) => {
        this.#options.metrics.record('lost_run_silence', evidence.reason, evidence.silentMs)
        this.#book.closeRun(run, 'lost', { evidence })
      },
      onMachineDownForgotten: (workerId) => this.#commits.put(goneKey(service, workerId), () => undefined),
      onMoved: (run) => this.#changed(run.task.job, true),
      onChange: () => this.#wake()
    })
  }

  /** Workers are met only once all jobs are known: the end of a run whose job is not would be acknowledged, and lost. */
  #followWorkers (): void {
    if (!this.#hasHeardOfAll || !this.#registrationItems.isListed) return
    this.#workers.updateRegistrations(this.#registrations.read(this.#registrationItems.items))
  }

  /** Schedules until stopped or deposed. */
  async run (): Promise<void> {
    const { clock, service, fencingToken } = this.#options
    this.#tookOverMs = clock.monotonicMs()
    this.#ledger.start(this.#stop.signal)
    const registrationsFollowed = this.#registrationItems.run(this.#stop.signal)
    if (!await this.#recover()) return
    this.#log.info({ service, fencingToken, jobs: this.#book.jobs.size, tookMs: clock.monotonicMs() - this.#tookOverMs }, 'scheduling begins')
    await Promise.all([
      this.#commits.run(), this.#inbox.run(this.#stop.signal), registrationsFollowed, this.#silentWorkers.watchTimers(this.#stop.signal), this.#rounds()
    ])
  }

  /** Stops at once; what runs goes on under its lease, for the next holder. */
  close (): void {
    if (this.#stop.signal.aborted) return
    this.#stop.abort()
    this.#wakeRound()
    this.#commits?.close()
    this.#advice.close()
    this.#workers.close()
    this.#log.info({ service: this.#options.service, fencingToken: this.#options.fencingToken }, 'scheduling ends')
  }

  /** Writes what is known, for a planned hand-over. @param timeoutMs - how long at most */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#commits === undefined) return
    const beganMs = this.#options.clock.monotonicMs()
    await Promise.race([this.#workers.recordSilentWorkers(beganMs), delay(timeoutMs)])
    await this.#commits.flushWithin(timeoutMs - (this.#options.clock.monotonicMs() - beganMs))
  }

  /** Reads what earlier holders recorded. @returns whether that came to an end */
  async #recover (): Promise<boolean> {
    const { store, service, dutyKey, fencingToken, clock, metrics } = this.#options
    const [commits, progress, silent] = await Promise.all([
      openFencedBatchWriter({
        store,
        clock,
        dutyKey,
        dutyRevision: fencingToken,
        chainKey: chainKey(service),
        onDeposed: () => this.#deposed('the duty has another holder'),
        onStoreError: (error, transactionNumber) => this.#log.warn({ service, error, transactionNumber }, 'records not written yet'),
        onCommit: (entries, latencyMs) => {
          metrics.count('records_written', service, entries)
          metrics.record('commit', service, latencyMs)
        }
      }, this.#stop.signal),
      retryUntilAnswered(() => store.list(progressPrefix(service)), this.#stop.signal),
      retryUntilAnswered(async () => (await store.get(silentWorkersKey(service))).map((item) => ({ item })), this.#stop.signal)
    ])
    if (commits === undefined || progress === undefined || silent === undefined) return false
    this.#inboxReader.loadProgress(progress.items)
    this.#commits = commits
    this.#silentWorkers.restore(silent.item, commits.previousDutyRevision)
    return true
  }

  #deposed (reason: string): void {
    if (this.#stop.signal.aborted) return
    this.#log.warn({ service: this.#options.service, fencingToken: this.#options.fencingToken, reason }, 'deposed')
    this.close()
    this.#options.onDeposed()
  }

  #readInbox (change: PrefixChange): void {
    this.#inboxReader.applyChange(change)
    if (!this.#hasHeardOfAll) {
      this.#hasHeardOfAll = true
      this.#followWorkers()
    }
    this.#wake()
  }

  /** Placements and ends of jobs are waited for; ends of tasks only keep their worker's list long. */
  #changed (job: Job, isUrgent = hasEnded(job)): void {
    this.#commits.put(progressKey(this.#options.service, job.spec.jobId), () => encodeProgress(job), isUrgent)
    this.#wake()
  }

  #wake (): void {
    this.#isRoundDue = true
    this.#wakeRound()
  }

  async #rounds (): Promise<void> {
    const { clock } = this.#options
    let spacingMs = ROUND_SPACING_MS
    while (!this.#stop.signal.aborted) {
      if (!this.#isRoundDue) await this.#untilWoken()
      await delay(spacingMs, this.#stop.signal)
      this.#isRoundDue = false
      if (this.#stop.signal.aborted) return
      const startedMs = clock.monotonicMs()
      this.#round()
      spacingMs = Math.max(ROUND_SPACING_MS, (clock.monotonicMs() - startedMs) * ROUND_PAUSES)
    }
  }

  #untilWoken (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, TICK_MS)
      this.#wakeRound = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  #round (): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#workers.loseExpiredRuns(nowMs)
    if (!this.#inbox.isListed || !this.#registrationItems.isListed) return
    this.#vacator.reconcile(this.#workers, nowMs)
    this.#vacator.drainLeavingWorkers(this.#workers.leaving(this.#registrationItems.steadyForMs(nowMs), nowMs), nowMs)
    this.#place(nowMs)
    this.#statusWriter.write([...this.#book.jobs.values()], this.#workers, nowMs)
    this.#forgetEnded()
  }

  #place (nowMs: number): void {
    if (!this.#options.holdsDuty()) return
    const configuration = this.#options.configuration()
    if (configuration === undefined) return
    const round = new PlacementRound({
      configuration,
      jobs: [...this.#book.jobs.values()],
      workerViews: this.#workers.links,
      runTimes: this.#times,
      advice: this.#advice,
      accountQuotaOf: (account) => this.#ledger.quotaFor(account, nowMs),
      vacating: this.#vacator,
      nowMs,
      wallMs: this.#options.clock.wallMs()
    })
    const runs = round.place()
    for (const run of runs) this.#adopt(run)
    this.#ledger.reconcile(round.quota.shortages, nowMs)
    this.#ledger.warnOversized(round.quota.oversized)
    for (const run of round.runsToStop) this.#tracker.stopRun(run)
    for (const task of round.tasksToGiveUp) {
      if (hasEnded(task.job)) continue
      this.#book.giveUpTask(task)
      this.#crashBook.clearOtherJobs(task.job)
    }
    if (runs.length === 0) return
    for (const job of new Set(runs.map(({ task }) => task.job))) {
      const placed = runs.filter(({ task }) => task.job === job)
      this.#log.info({ jobId: job.spec.jobId, runs: placed.map(({ taskKey, runNumber, instanceId }) => `${taskKey}#${runNumber}@${instanceId}`) }, 'tasks placed')
      this.#changed(job, true)
    }
    void this.#starter.start(runs)
  }

  #adopt (run: Run): void {
    this.#ledger.addRun(run)
    this.#workers.addRun(run)
  }

  /** Ended jobs are removed once nobody is owed an answer about them. */
  #forgetEnded (): void {
    const { clock, bounds, service } = this.#options
    const beforeMs = clock.wallMs() - bounds().keepEndedMs
    for (const [jobId, job] of this.#book.jobs) {
      if (job.endedMs === undefined || job.endedMs > beforeMs) continue
      this.#book.jobs.delete(jobId)
      for (const key of [jobKey(service, jobId), cancelKey(service, jobId), progressKey(service, jobId)]) this.#commits.put(key, () => undefined)
    }
  }
}

/** For jobs of a queue that was removed: what most queues of the users have. */
const DEFAULT_ATTEMPTS = 3
