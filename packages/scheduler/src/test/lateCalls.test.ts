/**
 * Guards against a task that runs twice because a call that was meant for the previous lifetime of a worker extends the lease of the next one: the header
 * that names the worker is the same for both, and the lease end is on another clock, so that the next lifetime grants the longest lease that it accepts.
 */
import { expect } from 'chai'
import { delay, Err, type Result } from '@quillscale/utils'
import type { RunOrderError } from '@quillscale/ports'
import type { StepSpec } from '@quillscale/policy'
import type { StandInWorker } from '@quillscale/standins'
import { testJobId, TestService } from './TestService.js'

/** Results in leases of 6.5 s, as in production. */
const MAX_LEASE_MS = 10_000
const CPU_MILLIS = 4000
const BORN_MS = Date.now() - 600_000
/** Calls without an answer are carried out up to this much later. */
const LATE_CALL_MS = 12_000
const ALLOWANCE_MS = 2000
const STEP_MS = 5
const UNANSWERED_MS = 30
/** Several holds, of which the first acknowledges all ends. */
const ACKNOWLEDGED_MS = 2500

/** How a call that extends a lease reaches the next lifetime. */
interface LateCall {
  readonly name: string
  readonly kind: 'hold' | 'start'
  /** Whether it arrives before the scheduler knows the next lifetime, rather than once that one runs the task again. */
  readonly isEarly: boolean
}

const lateCalls: readonly LateCall[] = [
  { name: 'a hold, once the next lifetime runs the task', kind: 'hold', isEarly: false },
  { name: 'a hold, before the next lifetime is met', kind: 'hold', isEarly: true },
  { name: 'a start that is refused, once the next lifetime runs the task', kind: 'start', isEarly: false }
]

const steps: ReadonlyArray<{ readonly name: string, readonly runMs: number, readonly step: Partial<StepSpec> }> = [
  { name: 'a lasting task', runMs: 0, step: { isLasting: true } },
  { name: 'a finite task', runMs: 60_000, step: {} },
  { name: 'a gang', runMs: 60_000, step: { isGang: true, taskCount: 2 } }
]

/** A service with one worker that restarts while a call to it is on its way. */
class LateCallPlay {
  readonly service = new TestService(1, CPU_MILLIS, BORN_MS)
  readonly #stepping = setInterval(() => { for (const worker of this.service.runs.workers.values()) worker.step() }, STEP_MS)

  constructor () {
    this.service.maxLeaseMs = MAX_LEASE_MS
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

  async startJob ({ runMs, step }: typeof steps[number]): Promise<StandInWorker> {
    await this.service.submit(1, { runMs }, [step])
    await this.service.until('it runs', () => this.runningOf(1) === (step.taskCount ?? 1))
    const worker = [...this.service.runs.workers.values()].at(-1)
    if (worker === undefined) throw new Error('no worker')
    worker.maxLeaseMs = MAX_LEASE_MS
    return worker
  }

  /** Keeps the next call of a kind that extends a lease from the worker, like all later ones, and returns a function that makes it arrive. */
  holdBack (kind: LateCall['kind'], worker: StandInWorker): { readonly isSent: () => boolean, readonly arriveAt: (next: StandInWorker) => Promise<void> } {
    const { runs } = this.service
    let arrive: ((next: StandInWorker) => Promise<unknown>) | undefined
    const { hold, start } = { hold: runs.hold.bind(runs), start: runs.start.bind(runs) }
    const isLate = (instanceId: string, called: LateCall['kind']): boolean => called === kind && !worker.hasEnded && instanceId === worker.instance.instanceId
    const unanswered = async <T>(): Promise<Result<T, RunOrderError>> => {
      await delay(UNANSWERED_MS)
      return Err({ kind: 'unknown-effect', detail: 'no answer' })
    }
    runs.hold = async (instance, request) => {
      if (!isLate(instance.instanceId, 'hold') || (arrive === undefined && request.leaseEndsAtMs === undefined)) return await hold(instance, request)
      arrive ??= async (next) => await next.call(instance.instanceId, async () => await next.hold({ ...request, waitMs: 0 }))
      return await unanswered()
    }
    runs.start = async (instance, order) => {
      if (!isLate(instance.instanceId, 'start')) return await start(instance, order)
      arrive ??= async (next) => {
        const answer = await next.call(instance.instanceId, () => next.start(order))
        expect(answer.err && answer.val.kind).to.equal('run-closed')
      }
      return await unanswered()
    }
    return { isSent: () => arrive !== undefined, arriveAt: async (next) => { await arrive?.(next) } }
  }

  /** Starts a job, restarts its worker while a call is on its way, and lets it arrive. */
  async restartUnder (late: LateCall, shape: typeof steps[number]): Promise<StandInWorker> {
    const { service } = this
    const worker = await this.startJob(shape)
    const held = this.holdBack(late.kind, worker)
    if (late.kind === 'start') await service.submit(2, { runMs: 10 })
    await service.until('a call is on its way', held.isSent)
    const next = service.restartWorker(worker, !late.isEarly)
    next.maxLeaseMs = MAX_LEASE_MS
    if (late.isEarly) {
      await held.arriveAt(next)
      service.list(next.instance)
    }
    await service.until('the next lifetime runs it', () => this.runningOf(1) === (shape.step.taskCount ?? 1))
    if (late.kind === 'start') await service.untilStatus(testJobId(2), 'succeeded')
    if (!late.isEarly) await held.arriveAt(next)
    return next
  }

  /** Cuts a worker off, and lets another take its tasks. */
  cutOff (worker: StandInWorker): void {
    worker.faults.isSilent = true
    this.service.addWorker(1, 1, CPU_MILLIS).maxLeaseMs = MAX_LEASE_MS
  }
}

interface Case { readonly name: string, readonly play: (play: LateCallPlay) => Promise<void> }

const lasting = steps[0] as typeof steps[number]
const LEASES_MS = MAX_LEASE_MS + 1000
const cases: readonly Case[] = [
  ...lateCalls.flatMap((late) => steps.map((shape): Case => ({
    name: `make no task run twice once the next one is cut off: ${late.name}, ${shape.name}`,
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(late, shape))
      await delay(LEASES_MS)
    }
  }))),
  ...lateCalls.map((late): Case => ({
    name: `make no task run twice if another holder takes over as the next one is cut off: ${late.name}`,
    play: async (play) => {
      const tenure = await play.service.takeOver()
      play.cutOff(await play.restartUnder(late, lasting))
      tenure.scheduler.close()
      await play.service.takeOver()
      await delay(LEASES_MS)
    }
  })),
  {
    name: 'delay the next start by no more than the time in which they can arrive, and the longest lease',
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(lateCalls[0] as LateCall, lasting))
      await play.service.until('another worker runs it', () => play.onOtherWorker, LATE_CALL_MS + MAX_LEASE_MS + ALLOWANCE_MS)
    }
  },
  {
    name: 'make no task run again after its end: the late call acknowledges ends of the former lifetime',
    play: async (play) => {
      const { service } = play
      await service.takeOver()
      const former = await play.startJob({ name: '', runMs: 50, step: { taskCount: 3 } })
      await service.untilStatus(testJobId(1), 'succeeded')
      await delay(ACKNOWLEDGED_MS)
      const held = play.holdBack('hold', former)
      await service.until('a call is on its way', held.isSent)
      const next = service.restartWorker(former)
      await service.submit(2, { runMs: 1600 })
      await service.until('the next lifetime runs a task', () => play.runningOf(2) === 1)
      next.faults.isSilent = true
      await service.until('the task has ended', () => play.runningOf(2) === 0)
      next.faults.isSilent = false
      await held.arriveAt(next)
      await service.untilStatus(testJobId(2), 'succeeded')
    }
  },
  {
    name: 'do not delay the next start of a task whose worker did not restart',
    play: async (play) => {
      await play.service.takeOver()
      const worker = await play.startJob(lasting)
      await delay(500)
      play.cutOff(worker)
      await play.service.until('another worker runs it', () => play.onOtherWorker, MAX_LEASE_MS + ALLOWANCE_MS)
    }
  }
]

describe('calls to the previous lifetime of a worker that arrive late', () => {
  /** All cases are played at the same time, since each waits for leases to end. */
  let outcomes: ReadonlyMap<string, Promise<readonly string[]>>
  before(() => {
    outcomes = new Map(cases.map(({ name, play: run }) => [name, (async () => {
      const play = new LateCallPlay()
      try {
        await run(play)
        return play.service.duplicatedTasks
      } finally {
        play.close()
      }
    })()]))
    for (const outcome of outcomes.values()) outcome.catch(() => {})
  })

  for (const { name } of cases) {
    it(name, async () => {
      expect(await outcomes.get(name)).to.deep.equal([])
    }).timeout(60_000)
  }
})
