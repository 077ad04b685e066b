/**
 * Guards against a finite job or gang that fails, or is left standing, because workers under its tasks are lost for reasons that no task causes.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInCommand, StandInWorker } from '@quillscale/standins'
import type { JobId, StepSpec } from '@quillscale/policy'
import { LossyFleet } from './LossyFleet.js'

/** Time from the registration of a worker as draining to its end. */
const DRAIN_MS = 100
const MAX_LEASE_MS = 1500
/** Longer than the leases, so that the runs of a worker without answers are lost. */
const CUT_OFF_MS = 2500
const RANDOM_LOSSES_MS = 12_000
/** Time after the last loss in which every job has to succeed: the longest lease, the wait for a worker without other jobs, and the runs. */
const RECOVERY_MS = 15_000
/** More than the losses of uncertain cause after which a task is given up. */
const LOSSES = 8
const ENDED: ReadonlySet<string> = new Set(['succeeded', 'failed'])

interface SeriesCase {
  readonly name: string
  /** Time from each start to the loss of its worker. */
  readonly lostAfterMs: number
  /** Whether a new duty holder takes over right before each loss, and the worker never answers it. */
  readonly replacesHolder?: boolean
  readonly lose: (fleet: LossyFleet, worker: StandInWorker, jobId: JobId) => Promise<void>
}

/** Crashes a worker together with another one on which no task of the job runs. */
const crashWithOther: SeriesCase['lose'] = async (fleet, worker, jobId) => {
  const other = fleet.liveWorkers.find((each) => each !== worker && ![...each.active.keys()].some((key) => key.startsWith(jobId)))
  await Promise.all([fleet.crash(worker), ...other === undefined ? [] : [fleet.crash(other)]])
}

/** Ends a worker as its operator does: it is registered as draining first. */
const restart: SeriesCase['lose'] = async (fleet, worker) => {
  fleet.service.list({ ...worker.instance, state: 'draining' })
  await delay(DRAIN_MS)
  await fleet.crash(worker)
}

/** Disconnects a worker until the runs on it are lost. */
const cutOff: SeriesCase['lose'] = async (_fleet, worker) => {
  worker.faults.isSilent = true
  await delay(CUT_OFF_MS)
  worker.faults.isSilent = false
  worker.step()
}

const seriesCases: readonly SeriesCase[] = [
  { name: 'crash a second after each start, each with a worker of other jobs', lostAfterMs: 1000, lose: crashWithOther },
  { name: 'crash 0.1 s after each start, each with a worker of other jobs', lostAfterMs: 100, lose: crashWithOther },
  { name: 'are restarted as planned a second after each start', lostAfterMs: 1000, lose: restart },
  { name: 'are restarted as planned right after each start', lostAfterMs: 0, lose: restart },
  { name: 'are restarted as planned a second after each start, before they answer a new duty holder', lostAfterMs: 1000, replacesHolder: true, lose: restart },
  { name: 'are cut off a second after each start', lostAfterMs: 1000, lose: cutOff },
  { name: 'are cut off right after each start', lostAfterMs: 0, lose: cutOff },
  { name: 'are cut off a second after each start, before they answer a new duty holder', lostAfterMs: 1000, replacesHolder: true, lose: cutOff }
]

interface Shape {
  readonly name: string
  readonly step: Partial<StepSpec>
}

const shapes: readonly Shape[] = [
  { name: 'a finite task', step: {} },
  { name: 'a gang', step: { taskCount: 2, isGang: true, maxPerWorker: 1 } }
]
const LONG: StandInCommand = { runMs: 2000 }

describe('a finite job that crashes no worker', () => {
  let fleet: LossyFleet
  beforeEach(() => { fleet = new LossyFleet(MAX_LEASE_MS) })
  afterEach(() => fleet.service.close())

  /** Waits until a run of a job is in progress, and returns its workers; none if the job has ended. */
  async function workersOf (jobId: JobId): Promise<StandInWorker[]> {
    const { service } = fleet
    await service.until(`${jobId} runs or has ended`, async () => fleet.runsOf(jobId).length > 0 || ENDED.has(await service.status(jobId)))
    return fleet.runsOf(jobId).map((run) => fleet.workerOf(run))
  }

  /** Checks that jobs succeed once no worker is lost any more, that no lost run counts as an attempt, and that no task runs twice. */
  async function expectSuccess (jobIds: readonly JobId[]): Promise<void> {
    const { service } = fleet
    const ended = async (): Promise<boolean> => (await Promise.all(jobIds.map((jobId) => service.status(jobId)))).every((status) => !['queued', 'running'].includes(status))
    await service.until('all jobs have ended', ended, RECOVERY_MS).catch(() => {})
    expect(await Promise.all(jobIds.map((jobId) => service.status(jobId))), fleet.evidence).to.deep.equal(jobIds.map(() => 'succeeded'))
    expect(service.log.lines.filter((line) => line.startsWith('run ended early') && !line.includes('"failures":0'))).to.deep.equal([])
    expect(service.duplicatedTasks).to.deep.equal([])
  }

  for (const { name: shapeName, step } of shapes) {
    for (const { name, lostAfterMs, replacesHolder = false, lose } of seriesCases) {
      it(`succeeds, although its workers ${name}: ${shapeName}`, async () => {
        await fleet.takeOver()
        const jobId = await fleet.service.submit(1, LONG, [step])
        for (let loss = 0; loss < LOSSES; loss++) {
          await workersOf(jobId)
          await delay(lostAfterMs)
          const workers = await workersOf(jobId)
          if (replacesHolder) for (const { faults } of workers) faults.isSilent = true
          if (replacesHolder) await fleet.takeOver()
          await Promise.all(workers.map((worker) => lose(fleet, worker, jobId)))
        }
        await expectSuccess([jobId])
      }).timeout(90_000)
    }
  }

  for (const seed of [1, 2, 3]) {
    it(`succeeds, although workers crash at random and two duty holders are killed: seed ${seed}`, async () => {
      await fleet.takeOver()
      const jobIds = await Promise.all([1, 2, 3, 4].map((number) => fleet.service.submit(number, LONG, [shapes[number % shapes.length]?.step ?? {}])))
      await fleet.crashAtRandom(seed, RANDOM_LOSSES_MS)
      await expectSuccess(jobIds)
    }).timeout(90_000)
  }
})
