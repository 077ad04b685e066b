import { expect } from 'chai'
import type { AccountName } from '@quillscale/ports'
import { createJob, type Task } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { computeServiceDemand } from '../lib/machines/computeServiceDemand.js'
import { placeTasks } from '../lib/placement/placeTasks.js'
import type { WorkerRoom } from '../lib/placement/WorkerRoom.js'
import { QuotaAdmission } from '../lib/quotas/QuotaAdmission.js'
import { NO_RESOURCES, type Resources } from '../lib/quotas/resources.js'
import { AccountTokenBuckets } from '../lib/quotas/AccountTokenBuckets.js'
import { testJobId } from '../testing/testJobId.js'

const PRESS = 'press' as AccountName
const HERALD = 'herald' as AccountName
const cpu = (cpuMillis: number): Resources => ({ cpuMillis, memoryMb: Infinity, gpus: Infinity })

function tasksFor (number: number, account: AccountName | undefined, step: Partial<StepSpec>): readonly Task[] {
  const owner = account === undefined ? undefined : { account, keyTag: 't' }
  const spec = jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', owner, submittedMs: 0, steps: [{ taskCount: 4, cpuMillis: 100, ...step }] })
  return tasksOf(createJob(spec), 0)[0] ?? []
}

function roomOf (instanceId: string, cpuMillis: number): WorkerRoom {
  const capacity = { cpuMillis, memoryMb: 1000, gpus: 0 }
  return {
    instanceId,
    labels: ['a', 'r1'],
    ...capacity,
    reservable: capacity,
    capacity,
    isCold: false,
    latencySensitiveTasks: 0,
    fillers: 0,
    runsByStep: new Map(),
    runsByJob: new Map(),
    lastingRuns: 0,
    reservedFor: undefined
  }
}

interface GroupShape { readonly account?: AccountName, readonly step?: Partial<StepSpec> }

describe('QuotaAdmission', () => {
  const cases: ReadonlyArray<{
    readonly name: string,
    readonly usable: number,
    readonly used?: number,
    readonly limit?: number,
    readonly groups: readonly GroupShape[]
    readonly placed: readonly number[],
    readonly wanted?: number,
    readonly first?: number,
    readonly oversized?: number
  }> = [
    { name: 'as many tasks as the grant allows', usable: 250, groups: [{ account: PRESS }], placed: [2], wanted: 200, first: 100 },
    { name: 'running tasks count against the grant', usable: 250, used: 200, groups: [{ account: PRESS }], placed: [0], wanted: 400, first: 100 },
    { name: 'jobs without an owner are not counted', usable: 0, groups: [{}], placed: [4] },
    { name: 'another account is not affected', usable: 100, groups: [{ account: PRESS }, { account: HERALD }], placed: [1, 4], wanted: 300, first: 100 },
    { name: 'smaller tasks behind one that is too large for now', usable: 250, groups: [{ account: PRESS, step: { taskCount: 1, cpuMillis: 300 } }, { account: PRESS }], placed: [0, 2], wanted: 500, first: 300 },
    { name: 'a whole gang that fits', usable: 400, groups: [{ account: PRESS, step: { isGang: true } }], placed: [4] },
    { name: 'no part of a gang that does not fit', usable: 399, groups: [{ account: PRESS, step: { isGang: true } }], placed: [0], wanted: 400, first: 400 },
    {
      name: 'a task that exceeds the limit waits, and causes no shortage',
      usable: 1000,
      limit: 1000,
      groups: [{ account: PRESS, step: { taskCount: 1, cpuMillis: 1001 } }, { account: PRESS }],
      placed: [0, 4],
      oversized: 1
    },
    { name: 'a gang that exceeds the limit waits, too', usable: 300, limit: 300, groups: [{ account: PRESS, step: { isGang: true } }, { account: PRESS }], placed: [0, 3], wanted: 100, first: 100, oversized: 1 },
    { name: 'a task that fits no worker leaves the quota to the next', usable: 5000, groups: [{ account: PRESS, step: { taskCount: 1, cpuMillis: 5000 } }, { account: PRESS }], placed: [0, 4] },
    { name: 'a lowered limit: nothing starts', usable: 0, used: 700, limit: 500, groups: [{ account: PRESS }], placed: [0], wanted: 400, first: 100 }
  ]
  for (const { name, usable, used = 0, limit = 10_000, groups, placed, wanted, first, oversized = 0 } of cases) {
    it(name, () => {
      const room = { used: { ...NO_RESOURCES, cpuMillis: used }, usable: cpu(usable), limit: cpu(limit) }
      const quota = new QuotaAdmission((account) => account === PRESS ? room : undefined)
      const steps = groups.map(({ account, step = {} }, at) => tasksFor(at, account, step))
      const placements = placeTasks(steps.map((tasks) => ({ tasks, mayReserve: false })), [roomOf('w0', 2000)], quota)
      expect(steps.map((tasks) => placements.filter(({ task }) => tasks.includes(task)).length)).to.deep.equal(placed)
      expect(quota.shortages.get(PRESS)?.wanted.cpuMillis).to.equal(wanted)
      expect(quota.shortages.get(PRESS)?.first.cpuMillis).to.equal(first)
      expect(quota.oversized).to.have.length(oversized)
    })
  }

  it('reserves no capacity on workers for tasks that wait for a grant', () => {
    const quota = new QuotaAdmission((account) => account === PRESS ? { used: NO_RESOURCES, usable: cpu(0), limit: cpu(1000) } : undefined)
    const [held, open] = [tasksFor(1, PRESS, { isLasting: true }), tasksFor(2, HERALD, {})]
    const placements = placeTasks([{ tasks: held, mayReserve: true }, { tasks: open, mayReserve: false }], [roomOf('w0', 400)], quota)
    expect(placements.map(({ task }) => task)).to.deep.equal(open)
  })
})

describe('computeServiceDemand', () => {
  const cases = [
    { name: 'all waiting tasks, without a limit', limit: undefined, wantedMillis: 400 },
    { name: 'all waiting tasks, below the limit', limit: cpu(1000), wantedMillis: 400 },
    { name: 'no more than the limit of the account', limit: cpu(150), wantedMillis: 150 },
    { name: 'no more than the memory limit of the account allows', limit: { cpuMillis: Infinity, memoryMb: 100, gpus: Infinity }, wantedMillis: 100 }
  ]
  for (const { name, limit, wantedMillis } of cases) {
    it(name, () => {
      const job = tasksFor(1, PRESS, { memoryMb: 100 })[0]?.job
      const demand = computeServiceDemand({ service: 's', jobs: job === undefined ? [] : [job], workerViews: [], limitOf: () => limit, isEvacuated: () => false, nowMs: 0, wallMs: 0 })
      expect(demand.wantedMillis).to.equal(wantedMillis)
    })
  }
})

describe('AccountTokenBuckets', () => {
  const everyMs = (spacingMs: number, count: number): number[] => Array.from({ length: count }, (_, at) => at * spacingMs)
  const cases = [
    { name: 'an account that submits its share', weight: 10, arrivalsMs: everyMs(100, 50), excess: 0 },
    { name: 'an account that submits its share of a second at once', weight: 10, arrivalsMs: everyMs(0, 10), excess: 0 },
    { name: 'a flood of seven times the share', weight: 10, arrivalsMs: everyMs(14, 350), excess: 350 - 10 - 48 },
    { name: 'a share below one a second', weight: 0.5, arrivalsMs: [0, 100, 2000, 2100], excess: 2 },
    { name: 'no share at all', weight: 0, arrivalsMs: [0, 100, 5000], excess: 2 },
    { name: 'clocks that run backwards', weight: 1, arrivalsMs: [1000, 500, 900], excess: 2 }
  ]
  for (const { name, weight, arrivalsMs, excess } of cases) {
    it(name, () => {
      const tokenBuckets = new AccountTokenBuckets()
      expect(arrivalsMs.filter((atMs) => tokenBuckets.isOverShare(PRESS, weight, atMs))).to.have.length(excess)
    })
  }

  it('does not count one account against another', () => {
    const tokenBuckets = new AccountTokenBuckets()
    for (let job = 0; job < 100; job++) tokenBuckets.isOverShare(PRESS, 1, 0)
    expect(tokenBuckets.isOverShare(HERALD, 1, 0)).to.equal(false)
  })
})
