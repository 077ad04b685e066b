/**
 * Tracks the workers of one service: connects to them when they register, and reports their runs as lost once their leases have expired.
 *
 * @module
 */
import { largestOf } from '@quillscale/utils'
import type { Clock } from '@quillscale/utils'
import { isNextLifetime, workerIdOf, type WorkerId, type WorkerInstance } from '@quillscale/ports'
import { type Run, stepOf } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { WorkerLoss } from '../jobs/CrashTracker.js'
import type { LossEvidence } from '../jobs/JobRegistry.js'
import type { MachineLossReport } from '../machines/machineLossReport.js'
import type { FencingTokens } from './FencingTokens.js'
import { LeaseBounds } from './LeaseBounds.js'
import { isEndedByMachineList, MACHINE_GONE, OTHER_LIFETIME, EndedLifetimes } from './EndedLifetimes.js'
import { PREVIOUS_LEASES_EXPIRED, LEASES_EXPIRED, RunLossHandler, WORKER_RESTARTED } from './RunLossHandler.js'
import type { SilentWorkers } from './SilentWorkers.js'
import type { RegisteredWorkers } from './WorkerRegistrations.js'
import { runKey, SILENT_AFTER_MS, WorkerLink, type WorkerLinkOptions } from './WorkerLink.js'

/** Dependencies of a {@link WorkerTracker}. @public */
export interface WorkerTrackerOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** The longest lease that a worker accepts, and the longest time that a stop takes. */
  readonly bounds: () => { readonly maxLeaseMs: number, readonly stopMs: number }
  readonly fencingTokens: FencingTokens
  /** Options passed on to each link. */
  readonly linkOptions: Omit<WorkerLinkOptions, 'clock' | 'fencingToken' | 'hasPredecessor' | 'leaseMs' | 'onLifetimeEnded' | 'onContactChange' | 'holdWaitMs' | 'isRecordedSilent' | 'removeSilentRecord'>
  /** The workers recorded as silent by this holder or previous ones. */
  readonly silentWorkers: SilentWorkers
  /** Whether a machine is being drained. */
  readonly isDraining: (machineId: string) => boolean
  /** Called for each worker whose runs are lost, before {@link WorkerTrackerOptions.onLost} is called for the runs. */
  readonly onWorkerLost: (loss: WorkerLoss) => void
  /** Called for each run that is lost with its worker. */
  readonly onLost: (run: Run, evidence: LossEvidence) => void
  /** Called when it no longer matters that a worker's machine was down. */
  readonly onMachineDownForgotten: (workerId: WorkerId) => void
  /** Called for each run that the next lifetime of its worker turns out to run. */
  readonly onMoved: (run: Run) => void
  /** Called when capacity or runs have changed. */
  readonly onChange: () => void
}

/** Numbers of workers of a service by usability. @public */
export interface WorkerCounts {
  readonly registered: number
  /** Registered, but their lifetime is taken to have ended. */
  readonly over: number
  /** Registered, but not answering. */
  readonly silent: number
  /** Answering and ready for work. */
  readonly usable: number
}

/** How long a hold waits for a run to end; shorter where progress must be seen soon. */
const HOLD_WAIT_MS = 1000
const SHORT_HOLD_WAIT_MS = 400
/** By the users' specification, registrations that lapsed during a store outage are back within two seconds; half a second for the notice. */
const REGISTRATION_RECOVERY_MS = 2500
/** A live worker answers a new holder well within this: a few ms, about 250 ms on a loaded host. Runs on the others have to wait. */
const FIRST_RESPONSE_TIMEOUT_MS = 600
/** An answer counts as late if it takes this much longer than the hold waits. */
const RESPONSE_MARGIN_MS = 200
/** Limit of the runs named in one log line. */
const MAX_LOGGED_RUNS = 20

/** Tracks a service's workers, their leases and their runs. @public */
export class WorkerTracker {
  readonly #options: WorkerTrackerOptions
  readonly #links = new Map<string, WorkerLink>()
  /** Runs of previous holders on lifetimes without a link. */
  readonly #orphans = new Set<Run>()
  readonly #endedLifetimes: EndedLifetimes
  readonly #leases: LeaseBounds
  readonly #lossHandler: RunLossHandler
  readonly #tookOverMs: number
  #registered: RegisteredWorkers = { workers: [], restartedElsewhere: [], registeredIds: new Set() }
  #hasLoggedLeaseWaits = false
  /** Monotonic time when the registrations were first known. */
  #firstRegistrationsMs = Infinity

  /** @param options - dependencies of the tracker; leases of previous holders are counted from the time of construction */
  constructor (options: WorkerTrackerOptions) {
    this.#options = options
    this.#tookOverMs = options.clock.monotonicMs()
    this.#endedLifetimes = new EndedLifetimes(options.log)
    this.#leases = new LeaseBounds({ ...options, tookOverMs: this.#tookOverMs, tookOverWallMs: options.clock.wallMs() })
    this.#lossHandler = new RunLossHandler({ ...options, leases: this.#leases, tookOverMs: this.#tookOverMs })
  }

  /** Links to all connected workers. */
  get links (): WorkerLink[] {
    return [...this.#links.values()]
  }

  /** Counts the service's workers by usability. @param nowMs - monotonic time @returns the numbers */
  counts (nowMs: number): WorkerCounts {
    const { links } = this
    const { workers } = this.#registered
    return {
      registered: workers.length,
      over: workers.filter(({ instanceId }) => this.#endedLifetimes.endReasonOf(instanceId) !== undefined).length,
      silent: links.filter((link) => link.isRegistered && !link.isAnswering(nowMs)).length,
      usable: links.filter((link) => link.acceptsRuns && link.isAnswering(nowMs)).length
    }
  }

  /** Whether runs of previous holders may still be running on lifetimes without a link. */
  get hasOrphanedRuns (): boolean {
    return this.#orphans.size > 0
  }

  /** Returns the link to the worker of a run. @param run - the run @returns `undefined` if there is no link */
  linkOf (run: Run): WorkerLink | undefined {
    return this.#links.get(run.instanceId)
  }

  /**
   * Lists the workers that are about to end: they are draining, or still answer although their registration has ended. The list is
   * empty while no other worker could take their runs.
   *
   * @param storeReachableMs - how long the store has been answering; after an outage, registrations may be missing for a while
   * @param nowMs - monotonic time
   */
  leaving (storeReachableMs: number, nowMs: number): WorkerLink[] {
    const isBelieved = storeReachableMs > REGISTRATION_RECOVERY_MS
    const hasOthers = this.links.some((link) => link.acceptsRuns && link.isAnswering(nowMs))
    return this.links.filter((link) => hasOthers && link.isAnswering(nowMs) && (link.isRegistered ? link.instance.state === 'draining' : isBelieved))
  }

  /** Adds a run that was placed by this holder or a previous one. @param run - the run, with its worker's id */
  addRun (run: Run): void {
    const link = this.linkOf(run)
    if (run.phase === 'recording' && stepOf(run.task).isLasting) run.workerClockStartMs = link?.clock.latestMs(this.#options.clock.monotonicMs())
    if (link !== undefined) link.runs.set(runKey(run), run)
    else if (this.links.some(({ instance }) => isNextLifetime(instance.instanceId, run.instanceId))) this.#lossHandler.addUnresolved(run)
    else this.#orphans.add(run)
  }

  /** Applies the current registrations: opens links to new lifetimes, and updates the others. @param registered - the registrations */
  updateRegistrations (registered: RegisteredWorkers): void {
    const { workers: listed, registeredIds, restartedElsewhere } = registered
    this.#registered = registered
    for (const instance of restartedElsewhere) this.#lossHandler.reportRestartElsewhere(instance)
    const linksById = new Map(this.links.map((link) => [workerIdOf(link.instance.instanceId), link]))
    for (const instance of listed) this.#handleRegistration(instance, linksById.get(workerIdOf(instance.instanceId)))
    if (this.#firstRegistrationsMs === Infinity) this.#firstRegistrationsMs = this.#options.clock.monotonicMs()
    const lifetimes = new Map(listed.map(({ instanceId }) => [workerIdOf(instanceId), instanceId]))
    for (const link of this.links) {
      const { instanceId } = link.instance
      const { isRegistered: wasRegistered } = link
      const workerId = workerIdOf(instanceId)
      const isOther = (lifetimes.get(workerId) ?? instanceId) !== instanceId
      link.registration = lifetimes.get(workerId) === instanceId ? 'readable' : registeredIds.has(workerId) && !isOther ? 'unreadable' : 'missing'
      if (wasRegistered) link.hasLeft = !link.isRegistered && !link.hasFailedCalls
      if (wasRegistered && !link.isRegistered) this.#options.log.info({ instanceId, runs: link.runs.size }, 'worker is not listed any more')
    }
    this.#pruneEndedLifetimes()
    this.#options.onChange()
  }

  /** Ends workers whose machine has a new worker, since a machine has one at a time. The new one must have answered: others may have written its entry. */
  #endReplacedWorkers (): void {
    const missing = this.links.filter((link) => !link.isRegistered && link.instance.machineId !== '')
    if (missing.length === 0) return
    const answering = this.links.filter((link) => link.isRegistered && link.hasResponded)
    const nextByMachine = new Map(answering.map((link) => [link.instance.machineId, link]))
    for (const link of missing) {
      const next = nextByMachine.get(link.instance.machineId)
      if (next !== undefined && next.openedMs > link.openedMs) this.#endLifetime(link, 'its machine has another worker')
    }
  }

  /**
   * Handles a report that a worker's machine is down: lifetimes that began earlier have ended, even if they are still registered.
   *
   * @param workerId - the worker
   * @param report - the report on its machine
   */
  handleMachineDown (workerId: WorkerId, { machineId, listedWallMs }: MachineLossReport): void {
    const link = this.links.find(({ instance }) => workerIdOf(instance.instanceId) === workerId)
    if (link !== undefined && link.instance.machineId !== '' && link.instance.machineId !== machineId) {
      this.#options.log.warn({ workerId, machineId, runsOn: link.instance.machineId }, 'report of a down machine ignored: the worker runs on another machine')
      return
    }
    this.#endedLifetimes.recordMachineDown(workerId, listedWallMs)
    if (link !== undefined && isEndedByMachineList(link.instance.instanceId, listedWallMs)) this.#endLifetime(link, MACHINE_GONE)
    for (const instanceId of this.#orphanedLifetimes()) {
      if (workerIdOf(instanceId) === workerId && isEndedByMachineList(instanceId, listedWallMs)) this.#loseOrphans(instanceId, MACHINE_GONE)
    }
    this.#pruneEndedLifetimes()
  }

  /** Records silent workers, and reports their runs as lost once their leases have expired. @param nowMs - monotonic time */
  loseExpiredRuns (nowMs: number): void {
    this.#logLeaseWaits(nowMs)
    this.#endReplacedWorkers()
    this.#options.silentWorkers.refreshLeaseMs()
    void this.#options.silentWorkers.recordSilent(this.#silentWorkersWithRuns(SILENT_AFTER_MS, FIRST_RESPONSE_TIMEOUT_MS, nowMs))
    for (const link of this.links) {
      const { instanceId } = link.instance
      if (link.isAnswering(nowMs) || this.#lifetimeLeasesLeftMs(instanceId, nowMs) > 0) continue
      const reason = link.clock.hasGrantedLease ? LEASES_EXPIRED : PREVIOUS_LEASES_EXPIRED
      if (!link.isRegistered && this.leasesLeftMs(instanceId, nowMs) === 0) this.#removeLink(link, reason)
      else this.#lossHandler.loseRuns(instanceId, link, [...link.runs.values()].filter((run) => run.phase !== 'recording' && this.#startLeaseLeftMs(link, run, nowMs) <= 0), reason)
    }
    for (const instanceId of this.#orphanedLifetimes()) {
      if (this.leasesLeftMs(instanceId, nowMs) === 0) this.#loseOrphans(instanceId, PREVIOUS_LEASES_EXPIRED)
    }
    this.#lossHandler.loseExpired(nowMs)
  }

  /** Records the workers that do not answer before a planned handover, for the next holder. @param nowMs - monotonic time */
  async recordSilentWorkers (nowMs: number): Promise<void> {
    await this.#options.silentWorkers.whenIdle()
    await this.#options.silentWorkers.recordSilent(this.#silentWorkersWithRuns(HOLD_WAIT_MS + RESPONSE_MARGIN_MS, RESPONSE_MARGIN_MS, nowMs))
  }

  /** Tells whether a lifetime is connected or may have runs. @param instanceId - id of the lifetime @returns true if so */
  isTracked (instanceId: string): boolean {
    return this.#links.has(instanceId) || this.#lossHandler.hasUnresolved(instanceId) || [...this.#orphans].some((run) => run.instanceId === instanceId)
  }

  /** Returns the lifetimes without a link that have runs of previous holders. */
  #orphanedLifetimes (): Set<string> {
    return new Set([...this.#orphans].map((run) => run.instanceId))
  }

  /**
   * Computes the time until all leases of a lifetime have surely expired: leases of this holder by the worker's clock, leases of previous
   * holders by the timer that they left, or else by the longest lease that they may have granted until the takeover. A call that was meant for an
   * earlier lifetime of the worker may have extended the lease up to the longest one that the worker accepts, and a start may have reached a lifetime that
   * this holder has not met.
   *
   * @param instanceId - id of the lifetime
   * @param nowMs - monotonic time
   * @returns the remaining time
   */
  leasesLeftMs (instanceId: string, nowMs: number): number {
    const link = this.#links.get(instanceId)
    const startsMs = link === undefined ? [] : [...link.runs.values()].map((run) => this.#startLeaseLeftMs(link, run, nowMs))
    return startsMs.reduce((longest, leftMs) => Math.max(longest, leftMs), this.#lifetimeLeasesLeftMs(instanceId, nowMs))
  }

  /** Returns the time until a lease that the next lifetime may have granted for a run has surely expired, at most 0 if there is none. */
  #startLeaseLeftMs (link: WorkerLink, run: Run, nowMs: number): number {
    return link.startMayArriveUntilMs(run) + this.#leases.longestWorkerLeaseMs - nowMs
  }

  /** Returns the time until all leases of one lifetime have surely expired. */
  #lifetimeLeasesLeftMs (instanceId: string, nowMs: number): number {
    const link = this.#links.get(instanceId)
    const ownMs = link?.clock.leasesLeftMs(nowMs, this.#leases.slackMs) ?? 0
    return Math.max(0, ownMs, this.#leases.previousLeasesLeftMs(instanceId, nowMs, link))
  }

  /** Returns the longest lease, of any holder, that may still be active; the settings may have changed since it was granted. @param nowMs - monotonic time */
  longestLeaseMs (nowMs: number): number {
    return this.#leases.longestActiveLeaseMs(nowMs)
  }

  /** Returns the workers with runs whose last answer is too old, or that were asked for too long and never answered. */
  #silentWorkersWithRuns (answeredAgoMs: number, askedAgoMs: number, nowMs: number): string[] {
    const late = this.links.filter((link) => {
      const silentMs = link.silentForMs(nowMs)
      return link.runs.size > 0 && (silentMs === undefined ? nowMs - link.openedMs >= askedAgoMs : silentMs >= answeredAgoMs)
    })
    // Unregistered workers cannot be asked; before the registrations are first known, all workers seem unregistered.
    const orphans = nowMs - this.#firstRegistrationsMs >= askedAgoMs ? [...this.#orphans] : []
    const instanceIds = new Set([...late.map(({ instance }) => instance.instanceId), ...orphans.map((run) => run.instanceId)])
    return [...instanceIds].filter((instanceId) => this.leasesLeftMs(instanceId, nowMs) > 0)
  }

  /** Logs once which runs a new holder can neither reach nor place again yet, and the longest wait. */
  #logLeaseWaits (nowMs: number): void {
    if (this.#hasLoggedLeaseWaits || nowMs < this.#tookOverMs + FIRST_RESPONSE_TIMEOUT_MS) return
    this.#hasLoggedLeaseWaits = true
    const waiting = [...this.links.filter((link) => !link.hasResponded).flatMap((link) => [...link.runs.values()]), ...this.#orphans]
    if (waiting.length === 0) return
    const runs = waiting.slice(0, MAX_LOGGED_RUNS).map(({ taskKey, runNumber, instanceId }) => `${taskKey}#${runNumber}@${instanceId}`)
    const instanceIds = new Set(waiting.map(({ instanceId }) => instanceId))
    const mostLeftMs = Math.round(largestOf([...instanceIds].map((instanceId) => this.leasesLeftMs(instanceId, nowMs))))
    this.#options.log.warn({ runs, count: waiting.length, mostLeftMs }, 'runs wait for leases of former holders')
  }

  /** Closes all links; runs continue under their leases. */
  close (): void {
    for (const link of this.links) link.close()
  }

  /** Reports the runs of previous holders on a lifetime without a link as lost. */
  #loseOrphans (instanceId: string, reason: string): void {
    const runs = [...this.#orphans].filter((run) => run.instanceId === instanceId)
    for (const run of runs) this.#orphans.delete(run)
    this.#lossHandler.loseRuns(instanceId, undefined, runs, reason)
  }

  #pruneEndedLifetimes (): void {
    for (const workerId of this.#endedLifetimes.pruneUnregistered(this.#registered)) this.#options.onMachineDownForgotten(workerId)
  }

  /** Handles one registration. @param instance - the registered worker @param link - link to a lifetime of the same worker, if there is one */
  #handleRegistration (instance: WorkerInstance, link: WorkerLink | undefined): void {
    const { instanceId, state } = instance
    const endReason = this.#endedLifetimes.endReasonOf(instanceId)
    if (endReason !== undefined) return this.#endedLifetimes.logUnused(instance, endReason)
    if (link?.instance.instanceId === instanceId) {
      if (link.instance.state !== state) this.#options.log.info({ instanceId, state }, 'worker changed its state')
      link.instance = instance
      return
    }
    if (link !== undefined) {
      // The previous lifetime may write its registration late.
      if (!isNextLifetime(instanceId, link.instance.instanceId)) return
      this.#endedLifetimes.recordSuperseded(link.instance.instanceId)
      this.#endLifetime(link, WORKER_RESTARTED)
    }
    this.#connect(instance)
  }

  #connect (instance: WorkerInstance): void {
    const { clock, log, linkOptions, fencingTokens } = this.#options
    const hasPredecessor = this.#firstRegistrationsMs < Infinity
    const { instanceId, address, labels, capacity } = instance
    const link: WorkerLink = new WorkerLink(instance, {
      ...linkOptions,
      clock,
      hasPredecessor,
      fencingToken: hasPredecessor ? fencingTokens.next() : Promise.resolve(fencingTokens.dutyToken),
      leaseMs: this.#leases.grantLeaseMs(),
      onLifetimeEnded: (of, by) => {
        this.#endedLifetimes.recordSuperseded(instanceId)
        this.#endLifetime(of, by === 'next-lifetime' ? WORKER_RESTARTED : OTHER_LIFETIME)
      },
      onReport: (of, report, askedMs) => {
        this.#lossHandler.resolve(of, report, askedMs)
        linkOptions.onReport(of, report, askedMs)
      },
      onContactChange: (of, error) => log.warn({ instanceId: of.instance.instanceId, error }, error === undefined ? 'worker answers again' : 'worker does not answer'),
      holdWaitMs: () => this.#holdWaitMs(link),
      isRecordedSilent: () => this.#options.silentWorkers.isRecorded(instanceId),
      removeSilentRecord: () => this.#options.silentWorkers.remove(instanceId)
    })
    this.#links.set(instanceId, link)
    for (const run of this.#orphans) {
      if (workerIdOf(run.instanceId) !== workerIdOf(instanceId)) continue
      this.#orphans.delete(run)
      if (run.instanceId === instanceId) link.runs.set(runKey(run), run)
      else this.#lossHandler.addUnresolved(run)
    }
    log.info({ instanceId, machineId: instance.machineId, workerZone: instance.availabilityZone, address, labels, capacity }, 'worker met')
    void link.keepPolling()
  }

  /** Returns the hold time; it is shorter for machines being drained, filler runs and starting long-running tasks. */
  #holdWaitMs (link: WorkerLink): number {
    const isClose = this.#options.isDraining(link.instance.machineId) ||
      [...link.runs.values()].some((run) => stepOf(run.task).isFiller || (stepOf(run.task).isLasting && run.percent < 100))
    return isClose ? SHORT_HOLD_WAIT_MS : HOLD_WAIT_MS
  }

  #endLifetime (link: WorkerLink, reason: string): void {
    const { instanceId } = link.instance
    if (this.#links.get(instanceId) !== link) return
    this.#options.log.info({ instanceId, runs: link.runs.size, reason }, 'worker lifetime is over')
    this.#removeLink(link, reason)
  }

  #removeLink (link: WorkerLink, reason: string): void {
    this.#lossHandler.loseRunsOfLink(link, reason)
    link.close()
    this.#links.delete(link.instance.instanceId)
    this.#options.onChange()
  }
}
