import { expect } from 'chai'
import { SeededRandom } from '@quillscale/utils'
import type { AccountName, QueueConfiguration } from '@quillscale/ports'
import { createJob, type Job } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema } from '../lib/jobs/JobSpec.js'
import { compareRanks, rankStep } from '../lib/jobs/rankStep.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { AccountTokenBuckets } from '../lib/quotas/AccountTokenBuckets.js'
import { testJobId } from '../testing/testJobId.js'

const QUEUE: QueueConfiguration = {
  name: 'q', service: 's', host: 'h', pathPrefix: '/', timeoutMs: 3000, priority: 0, attempts: 3, stretch: 1.6, targetLatencyMs: 600
}
const ACCOUNTS = Array.from({ length: 10 }, (_, at) => `account-${at}` as AccountName)
const FLOODING = ACCOUNTS[0] as AccountName
const FLOOD = 7
const RUN_MS = 600
const OBJECTIVE_MS = QUEUE.stretch * RUN_MS + QUEUE.targetLatencyMs
const JOBS_PER_S = 4
/** Capacity for a quarter more than the mean load of all accounts. */
const SLOTS = Math.ceil(ACCOUNTS.length * JOBS_PER_S * RUN_MS / 1000 * 1.25)
const WEIGHT = JOBS_PER_S * 1.8
const LENGTH_MS = 20_000
const TICK_MS = 20
/** Largest share of the other accounts' jobs that a flood may delay beyond the objective. */
const MOST_LOST_SHARE = 0.02

interface Arrival { readonly account: AccountName, readonly atMs: number }
interface Ended { readonly account: AccountName, readonly tookMs: number }

function arrivals (flood: number): Arrival[] {
  const random = new SeededRandom(1)
  const made: Arrival[] = []
  for (const account of ACCOUNTS) {
    const perS = JOBS_PER_S * (account === FLOODING ? flood : 1)
    for (let atMs = 0; atMs < LENGTH_MS;) {
      atMs += -Math.log(1 - random.next()) * 1000 / perS
      made.push({ account, atMs })
    }
  }
  return made.sort((a, b) => a.atMs - b.atMs)
}

/** Simulates jobs of one task each on a service with {@link SLOTS} slots, in the order of their ranks. */
function play (flood: number, hasShares: boolean): Ended[] {
  const tokenBuckets = new AccountTokenBuckets()
  const times = new RunTimeEstimator()
  const coming = arrivals(flood)
  let waiting: Job[] = []
  let running: Array<{ readonly job: Job, readonly endMs: number }> = []
  const ended: Ended[] = []
  for (let nowMs = 0; nowMs < LENGTH_MS + 10_000; nowMs += TICK_MS) {
    for (const { job } of running.filter(({ endMs }) => endMs <= nowMs)) {
      ended.push({ account: job.spec.owner?.account as AccountName, tookMs: nowMs - job.spec.submittedMs })
    }
    running = running.filter(({ endMs }) => endMs > nowMs)
    while (coming[0] !== undefined && coming[0].atMs <= nowMs) {
      const { account, atMs } = coming.shift() as Arrival
      const job = createJob(jobSpecSchema.parse({
        jobId: testJobId(ended.length), queue: 'q', command: '', owner: { account, keyTag: '' }, submittedMs: atMs, steps: [{ taskCount: 1, cpuMillis: 1000, estimateMs: RUN_MS }]
      }))
      job.isOverShare = hasShares && tokenBuckets.isOverShare(account, WEIGHT, atMs)
      waiting.push(job)
    }
    const ranked = waiting.map((job) => ({
      job, rank: rankStep((tasksOf(job, 0)[0] ?? [])[0] as never, QUEUE, times, nowMs)
    })).sort((a, b) => compareRanks(a.rank, b.rank))
    const started = ranked.slice(0, SLOTS - running.length).map(({ job }) => job)
    running.push(...started.map((job) => ({ job, endMs: nowMs + RUN_MS })))
    waiting = waiting.filter((job) => !started.includes(job))
  }
  return ended
}

/** Returns the share of jobs in time over all accounts but the flooding one. */
function othersInTime (flood: number, hasShares: boolean): number {
  const others = play(flood, hasShares).filter(({ account }) => account !== FLOODING)
  return others.filter(({ tookMs }) => tookMs <= OBJECTIVE_MS).length / others.length
}

describe('a flood of jobs from one account', () => {
  it('hardly delays jobs of the other accounts', () => {
    const without = othersInTime(1, true)
    expect(without).to.be.above(0.95)
    expect(othersInTime(FLOOD, true)).to.be.at.least(without - MOST_LOST_SHARE)
  })

  it('would delay them more if shares did not count', () => {
    expect(othersInTime(FLOOD, false)).to.be.below(othersInTime(1, false) - MOST_LOST_SHARE)
  })

  it('still runs on spare capacity', () => {
    const mine = play(FLOOD, true).filter(({ account }) => account === FLOODING)
    expect(mine.length).to.be.above(JOBS_PER_S * LENGTH_MS / 1000 * 1.8)
  })
})
