import { expect } from 'chai'
import { allTasks, createJob, jobSpecSchema, type Job, type Run, tasksOf } from '@quillscale/policy'
import { countParts, decodeProgress, encodePart, encodeProgress, joinProgress, restoreProgress } from '../lib/jobs/jobProgress.js'
import { progressKey, progressPrefix } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { SERVICE, TestService } from './TestService.js'

/** The largest value that the platform's store keeps. */
const VALUE_BYTES = 1_048_576
/** What the slowest link, 7 Mbit/s, carries in half of the call timeout of 0.9 s, in base64. */
const SLOW_LINK_BYTES = 7e6 / 8 * 0.45 * 3 / 4
const LONGEST_CHECKPOINT = 'c'.repeat(3990)

/** Gives each task of a job a run and a checkpoint. */
function startAll (job: Job, checkpoint: string): void {
  const occurrences = job.spec.schedule?.runs ?? 1
  for (let occurrence = 0; occurrence < occurrences; occurrence++) tasksOf(job, occurrence)
  for (const task of allTasks(job)) {
    task.lastRunNumber = 12
    task.checkpoint = checkpoint
    task.failures = 3
    task.runs.push({ task, taskKey: task.key, runNumber: 12, instanceId: 'i-0123456789abcdef/1796584859981', phase: 'running', shouldStop: false, workerClockStartMs: 1796584859981 } as unknown as Run)
  }
}

const recordsOf = (job: Job): string[] =>
  [encodeProgress(job), ...Array.from({ length: countParts(job) }, (_, part) => encodePart(job, part) ?? '')]

describe('large jobs', () => {
  const shapes: ReadonlyArray<{ readonly name: string, readonly counts: readonly number[], readonly times?: number, readonly checkpoint?: string }> = [
    { name: 'one small step', counts: [64], checkpoint: LONGEST_CHECKPOINT },
    { name: 'a step of 65 tasks', counts: [65], checkpoint: LONGEST_CHECKPOINT },
    { name: 'steps of 10,000 tasks, 100,000 in all', counts: Array(10).fill(10_000) as number[] },
    { name: 'long checkpoints', counts: [10_000, 1], checkpoint: LONGEST_CHECKPOINT },
    { name: 'a schedule of 10,000 runs of 10 tasks', counts: [3, 7], times: 10_000 },
    { name: 'a schedule of one task 5,000 times with long checkpoints', counts: [1], times: 5000, checkpoint: LONGEST_CHECKPOINT }
  ]
  for (const { name, counts, times, checkpoint = '' } of shapes) {
    // Guards against a progress record that the store refuses because the whole job is in one value.
    it(`have records within the limits of the store, which restore all of their tasks: ${name}`, () => {
      const spec = jobSpecSchema.parse({
        jobId: testJobId(1),
        queue: 'q',
        command: '',
        submittedMs: 0,
        steps: counts.map((taskCount) => ({ taskCount, isCheckpointing: true })),
        ...(times === undefined ? {} : { schedule: { runs: times, firstRunMs: 0, intervalMs: 1 } })
      })
      const job = createJob(spec)
      startAll(job, checkpoint)
      const records = recordsOf(job)
      const largest = Math.max(...records.map((record) => Buffer.byteLength(record)))
      expect(largest).to.be.below(Math.min(VALUE_BYTES, SLOW_LINK_BYTES))
      const restored = createJob(spec)
      const progress = joinProgress(records.map((record) => decodeProgress(record).unwrap()))
      if (progress === undefined) throw new Error('no progress')
      restoreProgress(restored, progress, 0)
      expect(recordsOf(restored).map((record) => record.replaceAll('"isStopping":true', ''))).to.deep.equal(records)
    }).timeout(20_000)
  }

  describe('in a service', () => {
    let service: TestService
    afterEach(() => service.close())

    // Guards against a large job whose records cannot be written, so that nothing is started in its service any more.
    it('run to their end, over changes of the holder, and hold up no other job', async () => {
      service = new TestService(8, 16_000)
      service.store.maxValueBytes = 40_000
      await service.takeOver()
      const large = await service.submit(1, { runMs: 30 }, [{ taskCount: 1500, cpuMillis: 20 }, { taskCount: 300, cpuMillis: 20, dependsOn: [0] }])
      await service.until('it has started', () => service.runs.records.length > 200, 20_000)
      for (let change = 0; change < 2; change++) {
        service.tenures.at(-1)?.scheduler.close()
        await service.takeOver()
        const other = await service.submit(10 + change, { runMs: 10 }, [{ taskCount: 4 }])
        await service.untilStatus(other, 'succeeded')
      }
      await service.untilStatus(large, 'succeeded')
      expect(service.store.refusedTransactions).to.deep.equal([])
      expect(service.duplicatedTasks).to.deep.equal([])
      await service.until('the records of its tasks are removed', async () =>
        (await service.store.list(progressPrefix(SERVICE))).unwrap().items.every(({ key }) => !key.startsWith(`${progressKey(SERVICE, large)}/`)))
    }).timeout(60_000)

    it('hold up no other job, start nothing, and are not sent again if the store refuses their records', async () => {
      service = new TestService(2, 16_000)
      // The record of four tasks fits; that of the tasks that are placed first of a large job does not.
      service.store.maxValueBytes = 600
      await service.takeOver()
      const large = await service.submit(1, { runMs: 10 }, [{ taskCount: 60 }])
      await service.until('its first tasks are placed', () => service.log.lines.some((line) => line.startsWith('tasks placed')))
      const others = await Promise.all([2, 3, 4].map((number) => service.submit(number, { runMs: 10 }, [{ taskCount: 4 }])))
      for (const other of others) await service.untilStatus(other, 'succeeded')
      const later = await service.submit(5, { runMs: 10 }, [{ taskCount: 4 }])
      await service.untilStatus(later, 'succeeded')
      expect(service.runs.records.filter(({ taskKey }) => taskKey.startsWith(large))).to.deep.equal([])
      const refusedValues = service.store.refusedTransactions.filter(({ puts }) => puts.length === 2).map(({ puts }) => puts[1]?.value)
      expect(new Set(refusedValues).size).to.equal(refusedValues.length)
      expect(refusedValues.length).to.be.at.most(2)
      expect(service.log.lines.some((line) => line.startsWith('record left out: the store refuses it'))).to.equal(true)
    }).timeout(20_000)
  })
})
