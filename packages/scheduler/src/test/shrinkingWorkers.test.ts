import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import type { JobId } from '@quillscale/policy'
import { SERVICE, TestService } from './TestService.js'

const FULL_MILLIS = 8000
const REDUCED_MILLIS = 2000
/** Delay until the scheduler has read a changed registration. */
const REGISTRATION_DELAY_MS = 300
const STORE_DELAY_MS = 400
const RUN_MS = 300

/** A service with one worker whose capacity changes. */
class ResizableWorkerService {
  readonly service = new TestService(1, FULL_MILLIS)

  get worker (): StandInWorker {
    return this.service.runs.workers.get('w0-1') as StandInWorker
  }

  /** Changes the capacity of the worker, which registers it at once. @param cpuMillis - the new CPU capacity */
  resize (cpuMillis: number): void {
    const { worker } = this
    worker.capacity = { ...worker.capacity, cpuMillis }
    this.service.list({ ...worker.instance, capacity: worker.capacity })
  }
}

interface Case {
  readonly name: string
  /** Plays the case. @returns the job that must succeed in the end */
  readonly play: (fleet: ResizableWorkerService) => Promise<JobId>
}

const cases: readonly Case[] = [
  {
    name: 'a task that fits only the previous capacity waits and starts once it fits',
    play: async (fleet) => {
      fleet.resize(REDUCED_MILLIS)
      await delay(REGISTRATION_DELAY_MS)
      const jobId = await fleet.service.submit(1, { runMs: RUN_MS }, [{ cpuMillis: REDUCED_MILLIS + 1 }])
      await delay(REGISTRATION_DELAY_MS)
      expect(fleet.worker.records).to.have.length(0)
      fleet.resize(FULL_MILLIS)
      return jobId
    }
  },
  {
    name: 'running tasks continue and no task is added',
    play: async (fleet) => {
      const jobId = await fleet.service.submit(1, { runMs: 1000 }, [{ taskCount: 6 }])
      await fleet.service.until('all run', () => fleet.worker.active.size === 6)
      fleet.resize(REDUCED_MILLIS)
      await delay(REGISTRATION_DELAY_MS)
      await fleet.service.submit(2, { runMs: RUN_MS }, [{ taskCount: 2 }])
      await delay(REGISTRATION_DELAY_MS)
      expect(fleet.worker.records).to.have.length(6)
      return jobId
    }
  },
  {
    name: 'a task placed before the worker shrank is not started afterwards',
    play: async (fleet) => {
      fleet.service.store.writeDelayMs = () => STORE_DELAY_MS
      const submitted = fleet.service.submit(1, { runMs: RUN_MS }, [{ taskCount: 6 }])
      await fleet.service.until('the tasks are placed', () => fleet.service.log.lines.some((line) => line.startsWith('tasks placed')))
      fleet.resize(REDUCED_MILLIS)
      await delay(REGISTRATION_DELAY_MS)
      fleet.service.store.writeDelayMs = () => 0
      return await submitted
    }
  },
  {
    name: 'a task that is being stopped still uses capacity',
    play: async (fleet) => {
      fleet.worker.stopDelayMs = 600
      const stopped = await fleet.service.submit(1, { runMs: 0 }, [{ taskCount: 8, isLasting: true }])
      await fleet.service.until('all run', () => fleet.worker.active.size === 8)
      await fleet.service.jobApi.cancel(stopped, [SERVICE], performance.now() + 1000)
      return await fleet.service.submit(2, { runMs: RUN_MS }, [{ taskCount: 2 }])
    }
  },
  {
    name: 'the capacity changes repeatedly',
    play: async (fleet) => {
      const jobId = await fleet.service.submit(1, { runMs: 50 }, [{ taskCount: 60 }])
      for (let times = 0; times < 6; times++) {
        // The worker shrinks only after the scheduler has been notified; the users' specification allows some seconds for that.
        fleet.service.list({ ...fleet.worker.instance, capacity: { ...fleet.worker.capacity, cpuMillis: REDUCED_MILLIS } })
        await delay(REGISTRATION_DELAY_MS)
        fleet.worker.capacity = { ...fleet.worker.capacity, cpuMillis: REDUCED_MILLIS }
        await delay(100)
        fleet.resize(FULL_MILLIS)
        await delay(100)
      }
      return jobId
    }
  }
]

describe('a worker that shrinks and grows', () => {
  let fleet: ResizableWorkerService
  afterEach(() => fleet.service.close())

  for (const guardsCapacity of [true, false]) {
    for (const { name, play } of cases) {
      it(`is not told to start tasks that do not fit, ${guardsCapacity ? 'and would refuse them' : 'though it would start them'}: ${name}`, async () => {
        fleet = new ResizableWorkerService()
        fleet.service.maxLeaseMs = 10_000
        fleet.worker.refusesOverload = guardsCapacity
        await fleet.service.takeOver()
        await delay(REGISTRATION_DELAY_MS)
        const jobId = await play(fleet)
        await fleet.service.untilStatus(jobId, 'succeeded')
        expect(fleet.worker.overloadTimesMs).to.deep.equal([])
      })
    }
  }
})
