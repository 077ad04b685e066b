/**
 * Guards against a job that fails because its workers are lost for other reasons, and against a job that crashes workers without end.
 */
import { expect } from 'chai'
import { Err, Ok } from '@quillscale/utils'
import { createAvailabilityZone, createEntryHostId, createHostId, type HostId } from '@quillscale/model'
import type { TaskReport, TaskStart } from '@quillscale/ports'
import { jobSubmissionSchema, type Job } from '@quillscale/jobs'
import { JobManager } from '../lib/JobManager.js'
import { TASK_LEASE_MS } from '../lib/JobRunner.js'

const SELF = createEntryHostId('e0')
const START_MS = 1_000_000
const ROUND_MS = 1000
const HOSTS = 8
const SLOTS = 4
const RUN_MS = 3_600_000
/** Longer than the lease of a run, and so long that the next start on the same worker is not answered either. */
const CUT_OFF_MS = 12_000

/** A worker that runs tasks and restarts. */
class FakeWorker {
  /** Tasks by id, with the time of their start. */
  readonly tasks = new Map<string, number>()
  leaseEndsMs = -Infinity
  downUntilMs = -Infinity
  /** Until then calls have no effect and get no answer. */
  cutOffUntilMs = -Infinity

  isDown (nowMs: number): boolean {
    return nowMs < this.downUntilMs
  }
}

/** The holder of a zone whose workers are lost. */
class LossyZone {
  nowMs = START_MS
  /** Time until a worker that a job has crashed is back. */
  downMs = 0
  readonly workers = new Map(Array.from({ length: HOSTS }, (_, index): [HostId, FakeWorker] => [createHostId(`h${index}`), new FakeWorker()]))
  /** Jobs that crash their worker, and how long after their start. */
  readonly crashAfterMs: ReadonlyMap<string, number>
  readonly starts: Array<{ jobId: string, hostId: HostId, atMs: number }> = []
  readonly manager: JobManager

  constructor (jobIds: readonly string[], crashAfterMs: ReadonlyMap<string, number> = new Map(), slots = SLOTS) {
    this.crashAfterMs = crashAfterMs
    const submission = jobSubmissionSchema.parse({ team: 't', command: 'x', slots })
    const queued = { state: 'queued' as const, submittedMs: 0, sinceMs: 0, attempt: 0, failedOn: [], lostRuns: 0 }
    const jobs = Object.fromEntries(jobIds.map((jobId): [string, Job] => [jobId, { ...submission, ...queued, jobId }]))
    let modRevision = 1
    let value = JSON.stringify({ revision: 1, fencingToken: 1, jobs })
    const store = {
      get: async () => Ok({ key: 'k', value, modRevision }),
      compareAndSwap: async (swap: { value: string }) => {
        value = swap.value
        return Ok({ swapped: true, modRevision: ++modRevision })
      }
    }
    const tasks = {
      start: async ({ hostId }: { hostId: HostId }, task: TaskStart) => this.#start(hostId, task),
      renew: async ({ hostId }: { hostId: HostId }, taskIds: readonly string[]) => this.#renew(hostId, taskIds)
    }
    const declarations = (kind: string): Map<string, unknown> => new Map(kind === 'team'
      ? [['t', { spec: { quotaSlots: 1000, weight: 1 } }]]
      : kind === 'pool' ? [['p', { spec: { jobSlots: SLOTS } }]] : [])
    const placed = new Map([...this.workers.keys()].map((hostId) => [hostId, { host: { hostId, labels: {}, version: '1' }, pool: 'p', services: [], isLeaving: false }]))
    this.manager = new JobManager({
      zone: createAvailabilityZone('a'),
      store: store as never,
      lease: { grantAt: () => ({ fencingToken: 2 }) } as never,
      tasks: tasks as never,
      replica: { declarations } as never,
      registry: { placed } as never,
      mesh: { isLinked: () => false } as never,
      clock: { wallMs: () => this.nowMs, monotonicMs: () => this.nowMs, latestMs: () => this.nowMs } as never,
      log: { info: () => {} } as never,
      holders: () => [SELF],
      zoneCount: () => 1
    })
  }

  #start (hostId: HostId, { taskId }: TaskStart): unknown {
    const worker = this.workers.get(hostId) as FakeWorker
    if (worker.isDown(this.nowMs)) return Err({ kind: 'unavailable', detail: 'connection refused' })
    if (this.nowMs < worker.cutOffUntilMs) return Err({ kind: 'unknown-effect', detail: 'no answer' })
    this.starts.push({ jobId: jobIdOf(taskId), hostId, atMs: this.nowMs })
    worker.tasks.set(taskId, this.nowMs)
    worker.leaseEndsMs = this.nowMs + TASK_LEASE_MS
    if (this.crashAfterMs.get(jobIdOf(taskId)) !== 0) return Ok('started')
    this.crash(hostId, this.downMs)
    return Err({ kind: 'unknown-effect', detail: 'connection reset' })
  }

  #renew (hostId: HostId, ids: readonly string[]): unknown {
    const worker = this.workers.get(hostId) as FakeWorker
    if (worker.isDown(this.nowMs)) return Err({ kind: 'unavailable', detail: 'connection refused' })
    if (this.nowMs < worker.cutOffUntilMs) return Err({ kind: 'unknown-effect', detail: 'no answer' })
    worker.leaseEndsMs = this.nowMs + TASK_LEASE_MS
    return Ok(ids.map((taskId): TaskReport => {
      const startedMs = worker.tasks.get(taskId)
      const state = startedMs === undefined ? 'unknown-task' : this.nowMs - startedMs >= RUN_MS ? 'done' : 'running'
      return { taskId, state, usedSlots: SLOTS } as unknown as TaskReport
    }))
  }

  /** Ends all tasks of a worker, which is back after a while. */
  crash (hostId: HostId, downMs = 0): void {
    const worker = this.workers.get(hostId) as FakeWorker
    worker.tasks.clear()
    worker.downUntilMs = this.nowMs + downMs
  }

  hostOf (jobId: string): HostId | undefined {
    return [...this.workers].find(([, { tasks }]) => [...tasks.keys()].some((taskId) => jobIdOf(taskId) === jobId))?.[0]
  }

  stateOf (jobId: string): string | undefined {
    return this.manager.list().find((job) => job.jobId === jobId)?.state
  }

  /** Runs rounds until a time has passed, and crashes the workers of the jobs that do so. */
  async pass (durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs
    while (this.nowMs < untilMs) {
      await this.manager.tick()
      this.nowMs += ROUND_MS
      for (const [hostId, { tasks, leaseEndsMs }] of this.workers) {
        if (this.nowMs >= leaseEndsMs) tasks.clear()
        const isCrashed = [...tasks].some(([taskId, startedMs]) => this.nowMs - startedMs >= (this.crashAfterMs.get(jobIdOf(taskId)) ?? Infinity))
        if (isCrashed) this.crash(hostId, this.downMs)
      }
    }
  }
}

const jobIdOf = (taskId: string): string => taskId.split('.')[0] ?? ''

/** Cuts workers off for longer than the lease of a run. */
function cutOff (zone: LossyZone, hostIds: Iterable<HostId | undefined>): void {
  for (const hostId of hostIds) if (hostId !== undefined) (zone.workers.get(hostId) as FakeWorker).cutOffUntilMs = zone.nowMs + CUT_OFF_MS
}

interface InnocentCase {
  readonly name: string
  /** Loses workers once, some time after the job was placed. */
  readonly lose: (zone: LossyZone, hostId: HostId | undefined) => void
}

const innocentCases: readonly InnocentCase[] = [
  { name: 'all workers start again at once', lose: (zone) => { for (const hostId of zone.workers.keys()) zone.crash(hostId) } },
  { name: 'its worker and that of another job lose power for 15 s', lose: (zone, hostId) => { for (const each of [hostId, zone.hostOf('b')]) if (each !== undefined) zone.crash(each, 15_000) } },
  { name: 'its worker and that of another job are cut off', lose: (zone, hostId) => cutOff(zone, [hostId, zone.hostOf('b')]) },
  { name: 'all workers are cut off', lose: (zone) => cutOff(zone, zone.workers.keys()) }
]
const LOSSES = 10
const LOSS_INTERVAL_MS = 25_000
const LOST_AFTER_MS = 8000

describe('a job of the daemon that crashes no worker', () => {
  for (const { name, lose } of innocentCases) {
    it(`is not given up although, ten times in a row within 30 s of its start, ${name}`, async () => {
      const zone = new LossyZone(['a', 'b'])
      for (let loss = 0; loss < LOSSES; loss++) {
        await zone.pass(LOST_AFTER_MS)
        lose(zone, zone.hostOf('a'))
        await zone.pass(LOSS_INTERVAL_MS - LOST_AFTER_MS)
      }
      expect([zone.stateOf('a'), zone.stateOf('b')]).to.deep.equal(['running', 'running'])
    })
  }

  const silentCases: ReadonlyArray<[name: string, silentHosts: number, cutOffMs: number]> = [
    ['one worker, which is still listed as live, never answers', 1, Infinity],
    ['no worker answers for five minutes', HOSTS, 300_000]
  ]
  for (const [name, silentHosts, cutOffMs] of silentCases) {
    it(`runs although ${name}`, async () => {
      const zone = new LossyZone(['a'])
      for (const worker of [...zone.workers.values()].slice(0, silentHosts)) worker.cutOffUntilMs = zone.nowMs + cutOffMs
      await zone.pass(330_000)
      expect(zone.stateOf('a')).to.equal('running')
      expect(zone.starts.length).to.equal(1)
    })
  }
})

describe('a job of the daemon that shares its worker with one that crashes it', () => {
  for (const afterMs of [0, 3000, 8000]) {
    it(`is not given up with it: ${afterMs} ms after its start`, async () => {
      const zone = new LossyZone(['a', 'b', 'c'], new Map([['a', afterMs]]), 1)
      await zone.pass(600_000)
      expect(['a', 'b', 'c'].map((jobId) => zone.stateOf(jobId))).to.deep.equal(['failed', 'running', 'running'])
      expect(zone.starts.filter(({ jobId }) => jobId === 'a').length).to.be.at.most(5)
    })
  }
})

describe('a job of the daemon that crashes each worker', () => {
  const cases: ReadonlyArray<[name: string, crashAfterMs: ReadonlyMap<string, number>, maxStarts: number, downMs?: number]> = [
    ['at its start', new Map([['a', 0]]), 5],
    ['3 s after its start', new Map([['a', 3000]]), 5],
    ['at its start, and the worker is back after 15 s', new Map([['a', 0]]), 5, 15_000],
    ['3 s after its start, and the worker is back after 15 s', new Map([['a', 3000]]), 5, 15_000],
    ['at its start, as another one does', new Map([['a', 0], ['b', 0]]), 5],
    ['3 s after its start, as another one does', new Map([['a', 3000], ['b', 3000]]), 20]
  ]
  for (const [name, crashAfterMs, maxStarts, downMs = 0] of cases) {
    it(`is given up: ${name}`, async () => {
      const zone = new LossyZone(['a', 'b'], crashAfterMs)
      zone.downMs = downMs
      await zone.pass(600_000)
      for (const jobId of crashAfterMs.keys()) {
        expect(zone.stateOf(jobId)).to.equal('failed')
        expect(zone.starts.filter((start) => start.jobId === jobId).length).to.be.at.most(maxStarts)
      }
    })
  }
})
