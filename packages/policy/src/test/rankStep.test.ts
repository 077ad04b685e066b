import { expect } from 'chai'
import type { QueueConfiguration } from '@quillscale/ports'
import { createJob, type Job } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { compareRanks, rankStep } from '../lib/jobs/rankStep.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { testJobId } from '../testing/testJobId.js'

const QUEUE: QueueConfiguration = { name: 'q', service: 's', host: 'h', pathPrefix: '/', timeoutMs: 1000, priority: 1, attempts: 2, stretch: 2, targetLatencyMs: 500 }
/** 1 s of work, so that a job is in time until 2.5 s after its submission, and of some value until 7.5 s. */
const STEP: Partial<StepSpec> = { taskCount: 4, cpuMillis: 1000, estimateMs: 1000 }
const NOW_MS = 100_000

/** A job that waits for room. */
interface Waiting {
  readonly ageMs: number
  readonly doneTasks?: number
  readonly isExcess?: boolean
  readonly step?: Partial<StepSpec>
}

describe('rankStep and compareRanks', () => {
  function jobOf ({ ageMs, doneTasks = 0, isExcess = false, step = {} }: Waiting, number: number): Job {
    const job = createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', submittedMs: NOW_MS - ageMs, steps: [{ ...STEP, ...step }] }))
    job.isOverShare = isExcess
    for (const task of (tasksOf(job, 0)[0] ?? []).slice(0, doneTasks)) task.isDone = true
    return job
  }

  const cases: ReadonlyArray<{ readonly name: string, readonly first: Waiting, readonly second: Waiting }> = [
    { name: 'a lasting task before all others', first: { ageMs: 0, step: { isLasting: true } }, second: { ageMs: 100 } },
    { name: 'the earlier of two jobs that have not started', first: { ageMs: 200 }, second: { ageMs: 100 } },
    { name: 'a started job before an earlier one that has not started', first: { ageMs: 100, doneTasks: 1 }, second: { ageMs: 1000 } },
    { name: 'the job with the larger completed share', first: { ageMs: 100, doneTasks: 3 }, second: { ageMs: 300, doneTasks: 1 } },
    { name: 'a large job that is half done before a small one that has not started', first: { ageMs: 100, doneTasks: 20, step: { taskCount: 40 } }, second: { ageMs: 300 } },
    { name: 'a job that can be in time before a late one, however much of that is done', first: { ageMs: 1000 }, second: { ageMs: 3000, doneTasks: 3 } },
    { name: 'a late job before one of no value any more', first: { ageMs: 3000 }, second: { ageMs: 9000, doneTasks: 3 } },
    { name: 'a late job before one beyond its account\'s share', first: { ageMs: 3000 }, second: { ageMs: 100, isExcess: true } },
    { name: 'a job beyond its account\'s share before one of no value any more', first: { ageMs: 100, isExcess: true }, second: { ageMs: 9000 } },
    { name: 'of jobs of no value any more the one with the least work left', first: { ageMs: 9000, step: { taskCount: 2 } }, second: { ageMs: 20_000, doneTasks: 1 } }
  ]
  for (const { name, first, second } of cases) {
    it(`puts ${name}`, () => {
      const [a, b] = [first, second].map((waiting, index) => {
        const waitingTask = tasksOf(jobOf(waiting, index), 0)[0]?.find(({ isDone }) => !isDone)
        return rankStep(waitingTask!, QUEUE, new RunTimeEstimator(), NOW_MS)
      })
      expect(compareRanks(a!, b!)).to.be.below(0)
      expect(compareRanks(b!, a!)).to.be.above(0)
    })
  }
})
