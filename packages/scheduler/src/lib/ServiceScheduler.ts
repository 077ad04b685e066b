/**
 * Runs the jobs of one service, while this process holds that service's duty.
 *
 * A placement is written under the duty before its start is sent, and an end before it is acknowledged to its worker. So
 * a next holder finds every run that may be going on, and a deposed one can neither place nor acknowledge.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { delay, type Clock } from '@quillscale/utils'
import type { FleetConfiguration, HoldReport, KeyValue, KeyValueStore, PlacementAdvice, RunOrders, RunOrderError, WorkerInstance } from '@quillscale/ports'
import { PrefixReplica, type PrefixChange } from '@quillscale/leases'
import { AdviceBook } from './AdviceBook.js'
import { CommitLog } from './CommitLog.js'
import type { EventLog } from './EventLog.js'
import { jobSpecSchema, type JobId } from './JobSpec.js'
import { decodeProgress, encodeProgress, restoreProgress } from './jobProgress.js'
import { createJob, hasEnded, stepOf, type Job, type Run } from './JobState.js'
import { MachineVacator } from './MachineVacator.js'
import { demandOf } from './demandOf.js'
import { planPaces } from './planPaces.js'
import { machinesNeeded } from './planPools.js'
import { PlacementRound } from './PlacementRound.js'
import { RunBook } from './RunBook.js'
import { RunTimes } from './RunTimes.js'
import { demandKey, encodeDemand } from './serviceDemand.js'
import type { SchedulerMetrics } from './SchedulerMetrics.js'
import { cancelKey, chainKey, inboxPrefix, jobKey, parseInboxKey, progressKey, progressPrefix, waitingKey } from './storeKeys.js'
import { CLOCK_DRIFT_SHARE } from './WorkerClock.js'
import { runKey, WorkerLink } from './WorkerLink.js'

/** Figures of the platform that the scheduler goes by. @public */
export interface SchedulerBounds {
  /** The longest lease that a worker grants. */
  readonly maxLeaseMs: number
  /** How long a stop takes at most. */
  readonly stopMs: number
  /** For how long an ended job is still answered for. */
  readonly keepEndedMs: number
}

/** What a scheduler works with. @public */
export interface ServiceSchedulerOptions {
  readonly service: string
  readonly dutyKey: string
  /** The duty key's revision: it grows with each holder. */
  readonly fencingToken: number
  /** Whether the duty is held at this moment. */
  readonly mayOrder: () => boolean
  readonly store: KeyValueStore
  readonly orders: RunOrders
  readonly advice: PlacementAdvice
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  readonly configuration: () => FleetConfiguration | undefined
  readonly bounds: () => SchedulerBounds
  /** Where workers register themselves, and how they are read. */
  readonly workersPrefix: string
  readonly decodeWorker: (item: KeyValue) => WorkerInstance | undefined
  /** Called when another holder has taken over. */
  readonly onDeposed: () => void
}

/** Share of the longest lease that is used at most. */
const LEASE_SHARE = 0.8
/** Enough to outlast a take-over or a cut of the usual 5.5 s; each further second delays the work of workers that are lost. */
const LEASE_MS = 6500
/** The least time between two placement rounds: tasks that end together are replaced together. */
const ROUND_SPACING_MS = 20
/** Also without an event: retries, expiring waits, due times. */
const TICK_MS = 200
/** A hold waits so long for an end; shorter where something is to be watched closely. */
const HOLD_WAIT_MS = 1000
const CLOSE_HOLD_WAIT_MS = 400
/** How long one watch waits: after so much more a silent connection is noticed. */
const WATCH_MS = 3000
/** What a watch missed is found after so long: below the 10 s after which a job nobody starts counts as lost at the users' sites. */
const RELIST_MS = 8000
/** Changes of workers' registrations may wait a little; new jobs should start soon. */
const WORKERS_SPACING_MS = 150
const INBOX_SPACING_MS = 20
/** How often the counts of waiting jobs are written at least; readers take older ones for outdated. */
const WAITING_COUNT_MS = 1000
/** The demand for machines is summed up this often; written at once if it grew by a machine, else this often if it changed, and as a sign of life. */
const DEMAND_MS = 100
const DEMAND_CHANGE_MS = 400
const DEMAND_REPEAT_MS = 2000
/** A worker that refuses a start for want of room or health is left alone so long. */
const REFUSAL_PAUSE_MS = 300
/** Added to a lease's end before its runs count as over: late timers, both ways. */
const LEASE_END_SLACK_MS = 300

/** The scheduler. @public */
export class ServiceScheduler {
  readonly #options: ServiceSchedulerOptions
  readonly #book: RunBook
  readonly #log: EventLog
  readonly #links = new Map<string, WorkerLink>()
  /** Runs of earlier holders on workers that are not listed. */
  readonly #orphans = new Set<Run>()
  readonly #times = new RunTimes()
  readonly #advice: AdviceBook
  readonly #vacator: MachineVacator
  readonly #workers: PrefixReplica
  readonly #inbox: PrefixReplica
  readonly #stop = new AbortController()
  /** Progress as recorded by earlier holders, until its job is seen in the inbox. */
  readonly #recorded = new Map<JobId, KeyValue>()
  readonly #inboxListed: Promise<void>
  #noteInboxListed: () => void = () => {}
  #wakeRound: () => void = () => {}
  #commits!: CommitLog
  #tookOverMs = 0
  #isRoundDue = false
  #waitingText = ''
  #demandText = ''
  #demandNeed = 0
  #demandMadeMs = -Infinity
  #demandWrittenMs = -Infinity
  #waitingWrittenMs = -Infinity

  /** @param options - what it works with */
  constructor (options: ServiceSchedulerOptions) {
    this.#options = options
    this.#log = options.log
    // Many waits end with the scheduler.
    setMaxListeners(0, this.#stop.signal)
    this.#inboxListed = new Promise((resolve) => { this.#noteInboxListed = resolve })
    const { clock, store, service, configuration } = options
    this.#book = new RunBook({
      clock,
      log: options.log,
      times: this.#times,
      attemptsOf: (job) => configuration()?.queues.find(({ name }) => name === job.spec.queue)?.attempts ?? DEFAULT_ATTEMPTS,
      linkOf: (run) => this.#links.get(run.instanceId),
      onChanged: (job) => this.#changed(job),
      onUnneeded: (run) => this.#discard(run)
    })
    this.#advice = new AdviceBook({ advice: options.advice, clock, log: options.log, onAdvice: () => this.#wake() })
    this.#vacator = new MachineVacator({
      clock, log: options.log, put: (key, source, isUrgent) => this.#commits.put(key, source, isUrgent), stop: (run) => this.#discard(run)
    })
    const replica = (prefix: string, spacingMs: number, onChange: (change: PrefixChange) => void): PrefixReplica => new PrefixReplica({
      store,
      prefix,
      clock,
      watchMs: WATCH_MS,
      relistMs: RELIST_MS,
      spacingMs,
      onChange,
      onContact: (error) => options.log.warn({ prefix, service, error }, error === undefined ? 'store answers again' : 'store does not answer')
    })
    this.#workers = replica(options.workersPrefix, WORKERS_SPACING_MS, () => this.#followWorkers())
    this.#inbox = replica(inboxPrefix(service), INBOX_SPACING_MS, (change) => this.#readInbox(change))
  }

  /** Schedules until stopped or deposed. */
  async run (): Promise<void> {
    const { clock, service, fencingToken } = this.#options
    this.#tookOverMs = clock.monotonicMs()
    if (!await this.#recover()) return
    this.#log.info({ service, fencingToken, jobs: this.#book.jobs.size, tookMs: clock.monotonicMs() - this.#tookOverMs }, 'scheduling begins')
    await Promise.all([this.#commits.run(), this.#inbox.run(this.#stop.signal), this.#meetWorkers(), this.#rounds()])
  }

  /** Workers are met only once all jobs are known: the end of a run whose job is not would be acknowledged, and lost. */
  async #meetWorkers (): Promise<void> {
    await this.#inboxListed
    await this.#workers.run(this.#stop.signal)
  }

  /** Stops at once; what runs goes on under its lease, for the next holder. */
  close (): void {
    if (this.#stop.signal.aborted) return
    this.#stop.abort()
    this.#wakeRound()
    this.#noteInboxListed()
    this.#commits?.close()
    this.#advice.close()
    for (const link of this.#links.values()) link.close()
    this.#log.info({ service: this.#options.service, fencingToken: this.#options.fencingToken }, 'scheduling ends')
  }

  /** Writes what is known, for a planned hand-over. @param timeoutMs - how long at most */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#commits !== undefined) await Promise.race([this.#commits.flushed(), delay(timeoutMs)])
  }

  /** Reads what earlier holders recorded, until the store has answered. */
  async #recover (): Promise<boolean> {
    const { store, service, dutyKey, fencingToken, clock, metrics } = this.#options
    for (;;) {
      if (this.#stop.signal.aborted) return false
      const [chain, progress] = await Promise.all([store.get(chainKey(service)), store.list(progressPrefix(service))])
      if (chain.ok && progress.ok) {
        for (const item of progress.val.items) this.#recorded.set(item.key.slice(progressPrefix(service).length) as JobId, item)
        this.#commits = new CommitLog({
          store,
          clock,
          dutyKey,
          dutyRevision: fencingToken,
          chainKey: chainKey(service),
          chainRevision: chain.val?.modRevision ?? 0,
          onDeposed: () => this.#deposed('the duty has another holder'),
          onStoreError: (error, transactionNumber) => this.#log.warn({ service, error, transactionNumber }, 'records not written yet'),
          onCommit: (entries, latencyMs) => {
            metrics.count('records_written', service, entries)
            metrics.record('commit', service, latencyMs)
          }
        })
        return true
      }
      await delay(TICK_MS, this.#stop.signal)
    }
  }

  #deposed (reason: string): void {
    if (this.#stop.signal.aborted) return
    this.#log.warn({ service: this.#options.service, fencingToken: this.#options.fencingToken, reason }, 'deposed')
    this.close()
    this.#options.onDeposed()
  }

  #readInbox ({ changed, removed }: PrefixChange): void {
    this.#noteInboxListed()
    const prefix = inboxPrefix(this.#options.service)
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'vacate') this.#vacator.request(subject.machineId, item.value)
      else if (subject.kind === 'job') this.#addJob(item)
    }
    // Cancels last: a list may bring one before its job.
    for (const item of changed) {
      const subject = parseInboxKey(item.key, prefix)
      if (subject.kind === 'cancel') this.#cancel(subject.jobId)
    }
    for (const key of removed) {
      const subject = parseInboxKey(key, prefix)
      if (subject.kind === 'vacate') this.#vacator.withdraw(subject.machineId)
    }
    this.#wake()
  }

  #addJob (item: KeyValue): void {
    const parsed = jobSpecSchema.safeParse(JSON.parse(item.value))
    if (!parsed.success) {
      this.#log.warn({ key: item.key, problem: parsed.error.issues[0] }, 'a job record cannot be read')
      return
    }
    const spec = parsed.data
    if (this.#book.jobs.has(spec.jobId)) return
    const job = createJob(spec)
    this.#book.jobs.set(spec.jobId, job)
    const recorded = this.#recorded.get(spec.jobId)
    this.#recorded.delete(spec.jobId)
    if (recorded === undefined) return
    for (const run of restoreProgress(job, decodeProgress(recorded.value), this.#options.clock.monotonicMs())) this.#adopt(run)
  }

  #adopt (run: Run): void {
    const link = this.#links.get(run.instanceId)
    if (link === undefined) this.#orphans.add(run)
    else link.runs.set(runKey(run), run)
  }

  #cancel (jobId: JobId): void {
    const job = this.#book.jobs.get(jobId)
    if (job === undefined || hasEnded(job)) return
    job.isCancelRequested = true
    this.#book.end(job, 'cancelled')
  }

  #followWorkers (): void {
    const listed = new Map<string, WorkerInstance>()
    for (const item of this.#workers.items.values()) {
      const instance = this.#options.decodeWorker(item)
      if (instance?.service === this.#options.service) listed.set(instance.instanceId, instance)
    }
    for (const instance of listed.values()) this.#meet(instance)
    const liveMachines = new Map([...listed.values()].map(({ machineId, instanceId }) => [machineId, instanceId]))
    for (const link of this.#links.values()) {
      const { instanceId, machineId } = link.instance
      const wasListed = link.isListed
      link.isListed = listed.has(instanceId)
      if (link.isListed) continue
      if (wasListed) this.#log.info({ instanceId, runs: link.runs.size }, 'worker is not listed any more')
      const successor = liveMachines.get(machineId)
      if (machineId !== '' && successor !== undefined && successor !== instanceId) this.#instanceOver(link, 'its machine has another worker')
    }
    this.#wake()
  }

  #meet (instance: WorkerInstance): void {
    const known = this.#links.get(instance.instanceId)
    if (known !== undefined) {
      if (known.instance.state !== instance.state) this.#log.info({ instanceId: instance.instanceId, state: instance.state }, 'worker changed its state')
      known.instance = instance
      return
    }
    const { orders, clock, fencingToken, mayOrder } = this.#options
    const link: WorkerLink = new WorkerLink(instance, {
      orders,
      clock,
      fencingToken,
      mayOrder,
      leaseMs: this.#leaseMs(),
      onReport: (of, report, askedMs) => this.#readReport(of, report, askedMs),
      onStarted: (run) => this.#started(run),
      onNotStarted: (run, error) => this.#notStarted(link, run, error),
      ensureDurable: () => this.#commits.flushed(),
      onInstanceOver: (of) => this.#instanceOver(of, 'it answered as another lifetime'),
      onFencedOff: () => this.#deposed('a worker obeys a newer holder'),
      onContact: (of, error) => this.#log.warn({ instanceId: of.instance.instanceId, error }, error === undefined ? 'worker answers again' : 'worker does not answer'),
      holdWaitMs: () => this.#holdWaitMs(link)
    })
    this.#links.set(instance.instanceId, link)
    for (const run of this.#orphans) {
      if (run.instanceId !== instance.instanceId) continue
      this.#orphans.delete(run)
      link.runs.set(runKey(run), run)
    }
    this.#log.info({ instanceId: instance.instanceId, address: instance.address, labels: instance.labels, capacity: instance.capacity }, 'worker met')
    void link.run()
  }

  #leaseMs (): number {
    return Math.min(LEASE_MS, this.#options.bounds().maxLeaseMs * LEASE_SHARE)
  }

  /** Paces and lasting tasks on their way are watched more closely. */
  #holdWaitMs (link: WorkerLink): number {
    const isClose = this.#vacator.isVacating(link.instance.machineId) ||
      [...link.runs.values()].some((run) => stepOf(run.task).isFiller || (stepOf(run.task).isLasting && run.percent < 100))
    return isClose ? CLOSE_HOLD_WAIT_MS : HOLD_WAIT_MS
  }

  #instanceOver (link: WorkerLink, reason: string): void {
    if (this.#links.get(link.instance.instanceId) !== link) return
    this.#log.info({ instanceId: link.instance.instanceId, runs: link.runs.size, reason }, 'worker lifetime is over')
    this.#dropLink(link)
  }

  #dropLink (link: WorkerLink): void {
    for (const run of [...link.runs.values()]) this.#book.close(run, 'lost')
    link.close()
    this.#links.delete(link.instance.instanceId)
    this.#wake()
  }

  #readReport (link: WorkerLink, report: HoldReport, askedMs: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const end of report.ended) this.#book.noteEnd(link, end)
    const running = new Map(report.running.map((run) => [runKey(run), run]))
    for (const [key, run] of [...link.runs]) {
      const seen = running.get(key)
      if (seen !== undefined) this.#seenRunning(run, seen.percent, seen.load, seen.checkpoint, nowMs)
      else this.#notSeen(run, askedMs)
    }
    for (const [key, seen] of running) {
      if (link.runs.has(key)) continue
      // Placements are written before starts, so this is a run that was given up; it is stopped again.
      this.#log.warn({ taskKey: seen.taskKey, runNumber: seen.runNumber, instanceId: link.instance.instanceId }, 'a run that is not recorded is stopped')
      void this.#options.orders.stop(link.instance, seen, this.#options.fencingToken)
    }
    for (const { run, percent } of planPaces([...link.runs.values()])) void this.#pace(link, run, percent)
    this.#wake()
  }

  #seenRunning (run: Run, percent: number, load: number, checkpoint: string, nowMs: number): void {
    if (run.phase === 'unconfirmed' || run.phase === 'starting') {
      run.phase = 'running'
      this.#hasBegun(run.task.job)
      run.startedMs = nowMs
      if (hasEnded(run.task.job) || run.task.isDone) this.#discard(run)
    }
    if (percent > run.percent) run.progressMs = nowMs
    run.seenMs = nowMs
    run.percent = percent
    run.load = load
    if (checkpoint !== '' && stepOf(run.task).isCheckpointing) run.task.checkpoint = checkpoint
  }

  /** A run that the worker does not list: never started, or over and stopped. @param askedMs - when the worker was asked */
  #notSeen (run: Run, askedMs: number): void {
    if (run.phase === 'unconfirmed') this.#book.close(run, 'not-started')
    else if (run.phase === 'stopping' && run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= askedMs) this.#book.close(run, 'stopped')
    else if (run.phase === 'running' && run.startedMs !== undefined && run.startedMs < askedMs) this.#book.close(run, 'lost')
  }

  async #pace (link: WorkerLink, run: Run, percent: number): Promise<void> {
    const before = run.pacePercent
    run.pacePercent = percent
    const isPaced = await link.pace(run, percent)
    if (!isPaced) run.pacePercent = before
    this.#log.info({ taskKey: run.taskKey, instanceId: run.instanceId, before, percent, isPaced }, 'filling task paced')
  }

  #started (run: Run): void {
    if (run.phase !== 'starting') return
    run.phase = 'running'
    this.#hasBegun(run.task.job)
    run.startedMs = run.progressMs = this.#options.clock.monotonicMs()
    this.#options.metrics.count('runs_started', this.#options.service)
  }

  /** A job waits until a worker has begun with it: placements may come to nothing. */
  #hasBegun (job: Job): void {
    if (job.status !== 'queued') return
    job.status = 'running'
    this.#changed(job)
  }

  #notStarted (link: WorkerLink, run: Run, error: RunOrderError): void {
    const { taskKey, runNumber, instanceId } = run
    this.#log.info({ taskKey, runNumber, instanceId, error, isUncertain: run.isUncertain }, 'run not started')
    this.#options.metrics.count('starts_refused', error.kind)
    const nowMs = this.#options.clock.monotonicMs()
    if (error.kind === 'unhealthy' || error.kind === 'no-room') link.refusingUntilMs = nowMs + REFUSAL_PAUSE_MS
    if (error.kind === 'unknown-effect') link.refusingUntilMs = nowMs + REFUSAL_PAUSE_MS * 3
    if (error.kind === 'no-ticket') this.#advice.forget(run.task)
    if (run.isUncertain) void link.stop(run)
    else this.#book.close(run, 'not-started')
    this.#wake()
  }

  /** Stops a run that is not needed any more, whatever is known of it. */
  #discard (run: Run): void {
    const link = this.#links.get(run.instanceId)
    if (run.phase === 'recording') {
      this.#book.close(run, 'not-started')
      return
    }
    if (run.phase === 'stopping' || link === undefined) return
    void link.stop(run)
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
    while (!this.#stop.signal.aborted) {
      if (!this.#isRoundDue) await this.#untilWoken()
      await delay(ROUND_SPACING_MS, this.#stop.signal)
      this.#isRoundDue = false
      if (!this.#stop.signal.aborted) this.#round()
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
    this.#closeLapsed(nowMs)
    if (!this.#inbox.isListed || !this.#workers.isListed) return
    this.#vacator.step([...this.#links.values()], nowMs)
    this.#place(nowMs)
    this.#writeWaiting(nowMs)
    this.#writeDemand(nowMs)
    this.#forgetEnded()
  }

  /** Runs on workers that do not answer are over once their leases surely are. */
  #closeLapsed (nowMs: number): void {
    const { stopMs } = this.#options.bounds()
    const slackMs = stopMs + LEASE_END_SLACK_MS
    const formerLeasesEndMs = this.#tookOverMs + this.#leaseMs() / (1 - CLOCK_DRIFT_SHARE) + slackMs
    for (const link of this.#links.values()) {
      if (link.isAnswering(nowMs)) continue
      const areOver = link.hasAnswered ? link.clock.haveLeasesEnded(nowMs, slackMs) : nowMs > formerLeasesEndMs
      if (!areOver) continue
      if (!link.isListed) this.#dropLink(link)
      else for (const run of [...link.runs.values()]) if (run.phase !== 'recording') this.#book.close(run, 'lost')
    }
    if (nowMs <= formerLeasesEndMs) return
    for (const run of this.#orphans) this.#book.close(run, 'lost')
    this.#orphans.clear()
  }

  #place (nowMs: number): void {
    if (!this.#options.mayOrder()) return
    const configuration = this.#options.configuration()
    if (configuration === undefined) return
    const round = new PlacementRound({
      configuration,
      jobs: this.#book.jobs.values(),
      links: [...this.#links.values()],
      times: this.#times,
      advice: this.#advice,
      vacating: this.#vacator,
      nowMs,
      wallMs: this.#options.clock.wallMs()
    })
    const runs = round.place()
    for (const run of round.toStop) this.#discard(run)
    if (runs.length === 0) return
    for (const run of runs) {
      this.#links.get(run.instanceId)?.runs.set(runKey(run), run)
    }
    for (const job of new Set(runs.map(({ task }) => task.job))) {
      const placed = runs.filter(({ task }) => task.job === job)
      this.#log.info({ jobId: job.spec.jobId, runs: placed.map(({ taskKey, runNumber, instanceId }) => `${taskKey}#${runNumber}@${instanceId}`) }, 'tasks placed')
      this.#changed(job, true)
    }
    void this.#startRecorded(runs)
  }

  /** Starts runs once their placement is durable. */
  async #startRecorded (runs: readonly Run[]): Promise<void> {
    if (!await this.#commits.flushed()) return
    for (const run of runs) {
      const link = this.#links.get(run.instanceId)
      const isWanted = run.phase === 'recording' && run.task.runs.includes(run)
      if (!isWanted) continue
      if (link === undefined || link.instance.state !== 'ready') {
        this.#book.close(run, 'not-started')
        continue
      }
      run.phase = 'starting'
      const { task } = run
      const checkpoint = stepOf(task).isCheckpointing && task.checkpoint !== '' ? task.checkpoint : undefined
      void link.start(run, task.job.spec.command, checkpoint)
    }
  }

  #writeWaiting (nowMs: number): void {
    const counts: Record<string, number> = {}
    for (const job of this.#book.jobs.values()) {
      if (job.status === 'queued' && job.spec.schedule === undefined) counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1
    }
    const text = JSON.stringify(counts)
    const ageMs = nowMs - this.#waitingWrittenMs
    if (ageMs < WAITING_COUNT_MS) return
    if (text === this.#waitingText && text === '{}') return
    this.#waitingText = text
    this.#waitingWrittenMs = nowMs
    const atMs = this.#options.clock.wallMs()
    this.#commits.put(waitingKey(this.#options.service), () => JSON.stringify({ atMs, counts }))
  }

  /** More need is told at once, anything else now and then. */
  #writeDemand (nowMs: number): void {
    if (nowMs - this.#demandMadeMs < DEMAND_MS) return
    this.#demandMadeMs = nowMs
    const { service, clock } = this.#options
    const demand = demandOf({ service, jobs: this.#book.jobs.values(), links: [...this.#links.values()], nowMs, wallMs: clock.wallMs() })
    const need = machinesNeeded(demand)
    const text = encodeDemand(demand)
    const isMore = need > this.#demandNeed
    const ageMs = nowMs - this.#demandWrittenMs
    if (!isMore && ageMs < (text === this.#demandText ? DEMAND_REPEAT_MS : DEMAND_CHANGE_MS)) return
    if (need !== this.#demandNeed) this.#log.info({ service, need, machines: demand.runsByMachine.size, wantedMillis: demand.wantedMillis }, 'need of machines')
    this.#demandWrittenMs = nowMs
    this.#demandText = text
    this.#demandNeed = need
    this.#commits.put(demandKey(service), () => text, isMore)
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
