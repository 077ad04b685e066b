/**
 * Test harness for calls that were meant for one lifetime of a worker and reach the next one.
 *
 * @module
 */
import { expect } from 'chai'
import { delay, Err, type Result } from '@quillscale/utils'
import type { HoldRequest, RunOrderError } from '@quillscale/ports'
import type { StepSpec } from '@quillscale/policy'
import type { StandInWorker } from '@quillscale/standins'
import { testJobId } from '@quillscale/policy/testing'
import { TestService } from './TestService.js'

/** Results in leases of 6.5 s, as in production. */
export const MAX_LEASE_MS = 10_000
const CPU_MILLIS = 4000
const BORN_MS = Date.now() - 600_000
const STEP_MS = 5
const UNANSWERED_MS = 30

/** How a call that extends a lease reaches the next lifetime. */
export interface LateCall {
  readonly name: string
  readonly kind: 'hold' | 'start'
  /** Whether it arrives before the scheduler knows the next lifetime, rather than once that one runs the task again. */
  readonly isEarly: boolean
}

/** A call that has been sent and has not reached the worker. */
export interface HeldCall { readonly isSent: () => boolean, readonly arriveAt: (next: StandInWorker) => Promise<void> }

/** A kind of task that a late call may concern. */
export interface TaskShape { readonly name: string, readonly runMs: number, readonly step: Partial<StepSpec> }

/** Each kind of task that is started again after its run was lost. */
export const taskShapes: readonly TaskShape[] = [
  { name: 'a lasting task', runMs: 0, step: { isLasting: true } },
  { name: 'a finite task', runMs: 60_000, step: {} },
  { name: 'a gang', runMs: 60_000, step: { isGang: true, taskCount: 2 } }
]

/** A service with one worker that restarts while a call to it is on its way. */
export class LateCallPlay {
  readonly service = new TestService(1, CPU_MILLIS, BORN_MS)
  readonly #stepping = setInterval(() => { for (const worker of this.service.runs.workers.values()) worker.step() }, STEP_MS)

  /** @param maxLeaseMs - the longest lease that workers accept */
  constructor (readonly maxLeaseMs = MAX_LEASE_MS) {
    this.service.maxLeaseMs = maxLeaseMs
  }

  close (): void {
    clearInterval(this.#stepping)
    this.service.close()
  }

  runningOf (job: number): number {
    return this.service.runs.records.filter(({ taskKey, endedMs }) => endedMs === undefined && taskKey.startsWith(testJobId(job))).length
  }

  get onOtherWorker (): boolean {
    return this.service.runs.records.some(({ instanceId }) => instanceId.startsWith('w1'))
  }

  async startJob ({ runMs, step }: TaskShape): Promise<StandInWorker> {
    await this.service.submit(1, { runMs }, [step])
    await this.service.until('it runs', () => this.runningOf(1) === (step.taskCount ?? 1))
    const worker = [...this.service.runs.workers.values()].at(-1)
    if (worker === undefined) throw new Error('no worker')
    worker.maxLeaseMs = this.maxLeaseMs
    return worker
  }

  /** Keeps the next wanted call of a kind from the worker, like all later ones, and returns a function that makes it arrive. */
  holdBack (kind: LateCall['kind'], worker: StandInWorker, isWanted = ({ leaseEndsAtMs }: HoldRequest): boolean => leaseEndsAtMs !== undefined): HeldCall {
    const { runs } = this.service
    let arrive: ((next: StandInWorker) => Promise<unknown>) | undefined
    const { hold, start } = { hold: runs.hold.bind(runs), start: runs.start.bind(runs) }
    const isLate = (instanceId: string, called: LateCall['kind']): boolean => called === kind && !worker.hasEnded && instanceId === worker.instance.instanceId
    const unanswered = async <T>(): Promise<Result<T, RunOrderError>> => {
      await delay(UNANSWERED_MS)
      return Err({ kind: 'unknown-effect', detail: 'no answer' })
    }
    runs.hold = async (instance, request) => {
      if (!isLate(instance.instanceId, 'hold') || (arrive === undefined && !isWanted(request))) return await hold(instance, request)
      arrive ??= async (next) => await next.call(instance.instanceId, async () => await next.hold({ ...request, waitMs: 0 }))
      return await unanswered()
    }
    runs.start = async (instance, order) => {
      if (!isLate(instance.instanceId, 'start')) return await start(instance, order)
      arrive ??= async (next) => {
        const answer = await next.call(instance.instanceId, () => next.start(order))
        expect(answer.err && answer.val.kind).to.be.oneOf(['run-closed', 'fenced-off'])
      }
      return await unanswered()
    }
    return { isSent: () => arrive !== undefined, arriveAt: async (next) => { await arrive?.(next) } }
  }

  /** Starts a job, restarts its worker while a call is on its way, and lets it arrive, once the next lifetime has run the task for a while. */
  async restartUnder (late: LateCall, shape: TaskShape, runsForMs = 0): Promise<StandInWorker> {
    const { service } = this
    const worker = await this.startJob(shape)
    const held = this.holdBack(late.kind, worker)
    if (late.kind === 'start') await service.submit(2, { runMs: 10 })
    await service.until('a call is on its way', held.isSent)
    const next = service.restartWorker(worker, !late.isEarly)
    next.maxLeaseMs = this.maxLeaseMs
    if (late.isEarly) {
      await held.arriveAt(next)
      service.list(next.instance)
    }
    await service.until('the next lifetime runs it', () => this.runningOf(1) === (shape.step.taskCount ?? 1))
    if (late.kind === 'start') await service.untilStatus(testJobId(2), 'succeeded')
    await delay(runsForMs)
    if (!late.isEarly) await held.arriveAt(next)
    return next
  }

  /** Cuts a worker off, and lets another take its tasks. */
  cutOff (worker: StandInWorker): void {
    worker.faults.isSilent = true
    this.service.addWorker(1, 1, CPU_MILLIS).maxLeaseMs = this.maxLeaseMs
  }
}

/** A case by name, with the longest lease that workers accept. */
export interface LateCallCase { readonly name: string, readonly maxLeaseMs?: number, readonly play: (play: LateCallPlay) => Promise<void> }

/**
 * Plays all cases at the same time, since each waits for leases to end.
 *
 * @param cases - the cases
 * @returns the tasks that ran twice, by case
 */
export function playAll (cases: readonly LateCallCase[]): ReadonlyMap<string, Promise<readonly string[]>> {
  const outcomes = new Map(cases.map(({ name, maxLeaseMs, play: run }) => [name, (async () => {
    const play = new LateCallPlay(maxLeaseMs)
    try {
      await run(play)
      return play.service.duplicatedTasks
    } finally {
      play.close()
    }
  })()]))
  for (const outcome of outcomes.values()) outcome.catch(() => {})
  return outcomes
}
