/**
 * Guards against a lasting job that is shown as failed because workers under its tasks are lost for other reasons.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInCommand, StandInWorker } from '@quillscale/standins'
import type { JobId, StepSpec } from '@quillscale/policy'
import { LossyFleet } from './LossyFleet.js'

const MAX_LEASE_MS = 2500
const RANDOM_CRASHES_MS = 12_000
const LASTING: StandInCommand = { runMs: 0 }
/** Time after the last crash in which every task has to run again: the longest lease, and the wait for a worker without other jobs. */
const RECOVERY_MS = 6000

interface SeriesCase {
  readonly name: string
  /** Time from each start of the task to the loss of its worker. */
  readonly lostAfterMs: readonly number[]
  /** Whether a new duty holder takes over before each loss. */
  readonly replacesHolder?: boolean
  readonly isSilent?: boolean
}

const repeat = (times: number, ms: number): number[] => Array.from({ length: times }, () => ms)

const seriesCases: readonly SeriesCase[] = [
  { name: 'crash a second after each start', lostAfterMs: repeat(6, 1000) },
  { name: 'crash a second after each start, each under a new duty holder', lostAfterMs: repeat(6, 1000), replacesHolder: true },
  { name: 'crash early and late by turns', lostAfterMs: [100, 1600, 100, 1600, 100, 1600, 100, 1600] },
  { name: 'crash two seconds after each start, each before it answers a new duty holder', lostAfterMs: repeat(6, 2000), replacesHolder: true, isSilent: true }
]

describe('a lasting task that crashes no worker', () => {
  let fleet: LossyFleet
  beforeEach(() => { fleet = new LossyFleet(MAX_LEASE_MS) })
  afterEach(() => fleet.service.close())

  /** Waits until a task runs, and returns its worker. */
  async function workerOf (taskKey: string): Promise<StandInWorker> {
    await fleet.service.until(`${taskKey} runs`, () => fleet.runsOf(taskKey).length > 0)
    return fleet.runsOf(taskKey).map((run) => fleet.workerOf(run))[0] as StandInWorker
  }

  /** Checks that jobs run, that none of their tasks was given up, and that none ran twice at a time. */
  async function expectRunning (jobIds: readonly JobId[]): Promise<void> {
    expect(await Promise.all(jobIds.map((jobId) => fleet.service.status(jobId))), fleet.evidence).to.deep.equal(jobIds.map(() => 'running'))
    expect(fleet.service.log.lines.filter((line) => line.startsWith('task given up'))).to.deep.equal([])
    expect(fleet.service.duplicatedTasks).to.deep.equal([])
  }

  const submit = (number: number, steps: ReadonlyArray<Partial<StepSpec>>): Promise<JobId> => fleet.service.submit(number, LASTING, steps)

  for (const { name, lostAfterMs, replacesHolder = false, isSilent = false } of seriesCases) {
    it(`is never given up, although its workers ${name}`, async () => {
      await fleet.takeOver()
      const jobId = await submit(1, [{ isLasting: true }])
      const taskKey = `${jobId}.0.0.0`
      for (const afterMs of lostAfterMs) {
        const worker = await workerOf(taskKey)
        await delay(afterMs)
        worker.faults.isSilent = isSilent
        if (replacesHolder) await fleet.takeOver()
        await fleet.crash(worker)
      }
      await workerOf(taskKey)
      await expectRunning([jobId])
    }).timeout(60_000)
  }

  for (const seed of [1, 2, 3]) {
    it(`is never given up, although workers crash at random and two duty holders are killed: seed ${seed}`, async () => {
      await fleet.takeOver()
      const jobIds = await Promise.all([1, 2, 3, 4, 5].map((number) => submit(number, [{ isLasting: true, taskCount: 3, cpuMillis: 500 }])))
      await fleet.crashAtRandom(seed, RANDOM_CRASHES_MS)
      const keys = jobIds.flatMap((jobId) => [0, 1, 2].map((index) => `${jobId}.0.0.${index}`))
      await fleet.service.until('all tasks run again', () => keys.every((key) => fleet.runsOf(key).length > 0), RECOVERY_MS).catch(() => {})
      await expectRunning(jobIds)
      expect(keys.filter((key) => fleet.runsOf(key).length === 0)).to.deep.equal([])
    }).timeout(60_000)
  }
})
