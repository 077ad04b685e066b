import { expect } from 'chai'
import { systemClock, type Clock } from '@quillscale/utils'
import type { WorkerInstance } from '@quillscale/ports'
import { createJob, jobSpecSchema, RunTimeEstimator, tasksOf, type Run } from '@quillscale/policy'
import { JobRegistry } from '../lib/jobs/JobRegistry.js'
import { WorkerLink, type WorkerLinkOptions } from '../lib/workers/WorkerLink.js'
import { testJobId } from '@quillscale/policy/testing'
import { TestLog } from './TestService.js'

/** A worker registers at 1000 ms and again at 2000 ms. */
const cases: ReadonlyArray<{ name: string, warmups: readonly [number | undefined, number | undefined], startedMs: number, isCounted: boolean }> = [
  { name: 'no warm-up reported', warmups: [undefined, undefined], startedMs: 1000, isCounted: true },
  { name: 'warm from the start, registered again after the start of the run', warmups: [0, 0], startedMs: 1500, isCounted: true },
  { name: 'run began on the cold worker', warmups: [3000, 2000], startedMs: 1500, isCounted: false },
  { name: 'run began on the cold worker, which is warm since', warmups: [800, 0], startedMs: 1500, isCounted: false },
  { name: 'run began once it was warm', warmups: [800, 0], startedMs: 1800, isCounted: true }
]

describe('Cold workers', () => {
  for (const { name, warmups: [first, second], startedMs, isCounted } of cases) {
    it(`${isCounted ? 'count' : 'do not count'} for the run time: ${name}`, () => {
      let nowMs = 1000
      const clock: Clock = { ...systemClock, monotonicMs: () => nowMs }
      const instance = { instanceId: 'w', warmupLeftMs: first } as unknown as WorkerInstance
      const link = new WorkerLink(instance, { clock } as unknown as WorkerLinkOptions)
      nowMs = 1900
      link.instance = instance
      nowMs = 2000
      link.instance = { ...instance, warmupLeftMs: second }
      const runTimes = new RunTimeEstimator()
      const ignore = (): void => {}
      const registry = new JobRegistry({
        clock,
        log: new TestLog(),
        runTimes,
        maxAttemptsOf: () => 1,
        linkOf: () => link,
        onChanged: ignore,
        onRunClosed: ignore,
        onBegun: ignore,
        onUnneeded: ignore
      })
      const job = createJob(jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1, image: 'i' }] }))
      const task = tasksOf(job, 0)[0]?.[0]
      if (task === undefined) throw new Error('the job has no task')
      const run = { task, taskKey: task.key, runNumber: 1, instanceId: 'w', phase: 'running', startedMs } as unknown as Run
      task.runs.push(run)
      registry.closeRun(run, 'done')
      expect(task.isDone).to.equal(true)
      expect(runTimes.hasSamples(job.spec.steps[0] as never)).to.equal(isCounted)
    })
  }
})
