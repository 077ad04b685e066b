/**
 * One service of the simulated fleet: its jobs, its workers, and rounds of placing as its scheduler would make them.
 *
 * @module
 */
import type { FleetConfiguration } from '@quillscale/ports'
import {
  createJob, computeServiceDemand, hasEnded, isJobDone, planDrain, PlacementRound, RunTimeEstimator, stepOf,
  type Job, type JobSpec, type Run, type ServiceDemand, type Task
} from '@quillscale/policy'
import type { DrawnJob } from './drawJobs.js'
import type { PolicyLoad } from './policyLoad.js'
import type { SimulatedWorker } from './SimulatedWorker.js'

/** From an end on a worker until it is known. */
const NOTICE_MS = 5
/** Until a stop is over. */
const STOP_MS = 100
const NO_TICKETS = { ticketsFor: () => undefined }

interface HeldJob { readonly job: Job, readonly drawn: DrawnJob | undefined }

/** The service. */
export class SimulatedService {
  readonly workers = new Map<string, SimulatedWorker>()
  /** Machines that are being emptied, with the time when that began. */
  readonly vacating = new Map<string, number>()
  readonly #name: string
  readonly #configuration: FleetConfiguration
  readonly #leaseMs: number
  readonly #startMs: number
  readonly #held = new Map<string, HeldJob>()
  readonly #times = new RunTimeEstimator()
  readonly #stopping: Array<{ readonly run: Run, readonly atMs: number }> = []

  /** @param name - of the service @param configuration - with its queues @param load - its times until a start and until a silent worker's runs are over */
  constructor (name: string, configuration: FleetConfiguration, { leaseMs, startMs }: Pick<PolicyLoad, 'leaseMs' | 'startMs'>) {
    this.#name = name
    this.#configuration = configuration
    this.#leaseMs = leaseMs
    this.#startMs = startMs
  }

  /** @param spec - as accepted @param drawn - what the bench knows of it, `undefined` for lasting tasks @param nowMs - the present */
  accept (spec: JobSpec, drawn: DrawnJob | undefined, nowMs: number): void {
    this.#held.set(spec.jobId, { job: createJob(spec), drawn })
  }

  /** Takes note of what has ended on workers that answer. @param nowMs - the present @param onDone - called for each job that is done */
  hear (nowMs: number, onDone: (drawn: DrawnJob) => void): void {
    for (const worker of this.workers.values()) {
      if (!worker.isCut) this.#hearWorker(worker, nowMs, onDone)
      else if (nowMs - worker.answeredMs > this.#leaseMs) for (const run of [...worker.runs.values()]) this.#close(worker, run)
    }
    while (this.#stopping[0] !== undefined && this.#stopping[0].atMs <= nowMs) {
      const run = this.#stopping.shift()?.run
      const worker = run === undefined ? undefined : this.workers.get(run.instanceId)
      if (run !== undefined && worker !== undefined) this.#close(worker, run)
    }
  }

  #hearWorker (worker: SimulatedWorker, nowMs: number, onDone: (drawn: DrawnJob) => void): void {
    worker.answeredMs = nowMs
    for (const { run, startsMs, endsMs, isLost } of [...worker.trueRuns.values()]) {
      if (isLost) this.#close(worker, run)
      else if (endsMs + NOTICE_MS <= nowMs) this.#done(worker, run, endsMs - startsMs, onDone)
      else if (startsMs < nowMs) this.#progress(run, (nowMs - startsMs) / (endsMs - startsMs), nowMs)
    }
  }

  #progress (run: Run, share: number, nowMs: number): void {
    run.lastListedMs = run.progressMs = nowMs
    run.percent = stepOf(run.task).isLasting ? 100 : Math.floor(share * 100)
  }

  #done (worker: SimulatedWorker, run: Run, tookMs: number, onDone: (drawn: DrawnJob) => void): void {
    const { task } = run
    this.#times.addSample(stepOf(task), tookMs)
    task.isDone = true
    this.#close(worker, run)
    for (const copy of [...task.runs]) this.#stop(copy, -Infinity)
    const { job } = task
    const drawn = this.#held.get(job.spec.jobId)?.drawn
    if (drawn === undefined || hasEnded(job) || !isJobDone(job)) return
    job.status = 'succeeded'
    this.#held.delete(job.spec.jobId)
    onDone(drawn)
  }

  #close (worker: SimulatedWorker, run: Run): void {
    worker.remove(run)
    const at = run.task.runs.indexOf(run)
    if (at >= 0) run.task.runs.splice(at, 1)
  }

  #stop (run: Run, nowMs: number): void {
    if (run.phase === 'stopping') return
    run.phase = 'stopping'
    this.#stopping.push({ run, atMs: nowMs + STOP_MS })
  }

  /** Places what waits, and empties machines. @param nowMs - the present */
  round (nowMs: number): void {
    for (const [machineId, sinceMs] of this.vacating) {
      const runs = [...this.workers.values()].filter(({ instance }) => instance.machineId === machineId).flatMap((worker) => [...worker.runs.values()])
      for (const run of planDrain(runs, sinceMs, nowMs)) this.#stop(run, nowMs)
    }
    const round = new PlacementRound({
      configuration: this.#configuration,
      jobs: this.#jobs(),
      workerViews: [...this.workers.values()],
      runTimes: this.#times,
      advice: NO_TICKETS,
      accountQuotaOf: () => undefined,
      availability: { isMachineDraining: (machineId) => this.vacating.has(machineId), isEvacuated: () => false },
      nowMs,
      wallMs: nowMs
    })
    for (const run of round.place()) this.workers.get(run.instanceId)?.begin(run, nowMs + this.#startMs, this.#trueMs(run.task))
    for (const run of round.runsToStop) this.#stop(run, nowMs)
  }

  #trueMs (task: Task): number {
    return stepOf(task).isLasting ? Infinity : this.#held.get(task.job.spec.jobId)?.drawn?.taskMs[task.stepIndex]?.[task.index] ?? 0
  }

  #jobs (): Job[] {
    return [...this.#held.values()].map(({ job }) => job)
  }

  /** @param nowMs - the present @returns what it needs of machines */
  demand (nowMs: number): ServiceDemand {
    const jobs = this.#jobs()
    const workerViews = [...this.workers.values()]
    return computeServiceDemand({ service: this.#name, jobs, workerViews, limitOf: () => undefined, isEvacuated: () => false, nowMs, wallMs: nowMs })
  }
}
