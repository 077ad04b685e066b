import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import { createJob, jobSpecSchema, type Job, type Run, RunTimeEstimator, tasksOf } from '@quillscale/policy'
import { decodeProgress, encodeProgress, restoreProgress } from '../lib/jobs/jobProgress.js'
import { JobRegistry } from '../lib/jobs/JobRegistry.js'
import { RunStarter } from '../lib/jobs/RunStarter.js'
import type { WorkerLink } from '../lib/workers/WorkerLink.js'
import { testJobId } from '@quillscale/policy/testing'
import { TestLog } from './TestService.js'

const MEMBERS = 4

/** What happens to the members of a gang before it is started again, each by its index. */
interface Case {
  readonly name: string
  readonly isGang: boolean
  readonly before: (play: GangPlay) => void
  /** What its members bring. */
  readonly brought: readonly string[]
}

/** A step of four tasks whose workers report checkpoints. */
class GangPlay {
  readonly registry = new JobRegistry({
    clock: systemClock,
    log: new TestLog(),
    runTimes: new RunTimeEstimator(),
    maxAttemptsOf: () => 3,
    linkOf: () => undefined,
    onChanged: () => {},
    onRunClosed: () => {},
    onUnneeded: () => {},
    onBegun: () => {}
  })

  job: Job

  constructor (isGang: boolean) {
    this.job = createJob(jobSpecSchema.parse({
      jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: MEMBERS, isGang, isCheckpointing: true }]
    }))
    this.place(1)
  }

  place (runNumber: number): Run[] {
    return (tasksOf(this.job, 0)[0] ?? []).map((task) => {
      task.lastRunNumber = runNumber
      const run = { task, taskKey: task.key, runNumber, instanceId: 'w', phase: 'recording' } as unknown as Run
      task.runs.push(run)
      return run
    })
  }

  runOf (index: number): Run {
    return tasksOf(this.job, 0)[0]?.[index]?.runs[0] as Run
  }

  report (index: number, checkpoint: string): void {
    this.registry.keepCheckpoint(this.runOf(index), checkpoint)
  }

  /** Ends the run of each member; a lost one brings no checkpoint. */
  end (ends: ReadonlyArray<readonly ['broken' | 'stopped' | 'lost', string?]>): void {
    ends.forEach(([outcome, checkpoint = ''], index) => this.registry.closeRun(this.runOf(index), outcome, { checkpoint }))
  }

  /** Continues as the next holder, from what an earlier version recorded of each member. */
  restore (checkpoints: readonly string[]): void {
    const progress = decodeProgress(encodeProgress(this.job)).unwrap()
    const spec = this.job.spec
    this.job = createJob(spec)
    restoreProgress(this.job, { ...progress, tasks: progress.tasks.map((task, index) => ({ ...task, checkpoint: checkpoints[index] })) }, 0)
  }

  async startAgain (): Promise<Array<string | undefined>> {
    const brought: Array<string | undefined> = []
    const link = {
      acceptsRuns: true,
      runs: new Map(),
      instance: { capacity: { cpuMillis: 1e6, memoryMb: 1e6, gpus: 0 } },
      startRun: async (_run: Run, _command: string, checkpoint: string | undefined) => { brought.push(checkpoint) }
    } as unknown as WorkerLink
    const starter = new RunStarter({
      registry: this.registry,
      whenFlushed: async () => true,
      linkOf: () => link,
      withoutWithdrawn: (runs) => runs,
      stopRun: () => {},
      canRecord: () => true,
      onChanged: () => {}
    })
    await starter.start(this.place(2))
    return brought
  }
}

const same = (checkpoint: string): string[] => Array.from({ length: MEMBERS }, () => checkpoint)
const cases: readonly Case[] = [
  {
    name: 'the worker of one member crashes after it has saved, before it is looked at again',
    isGang: true,
    before: (play) => {
      for (let index = 0; index < MEMBERS; index++) play.report(index, 'first')
      play.end([['lost'], ['broken', 'second'], ['broken', 'second'], ['broken', 'second']])
    },
    brought: same('second')
  },
  { name: 'the loss is noticed last', isGang: true, before: (play) => { play.report(3, 'first'); play.end([['broken', 'second'], ['broken', 'second'], ['broken', 'second'], ['lost']]) }, brought: same('second') },
  { name: 'members are stopped one after the other', isGang: true, before: (play) => play.end([['stopped', 'a'], ['stopped', 'b'], ['stopped', 'c'], ['stopped', 'd']]), brought: same('d') },
  { name: 'only one member has ever reported one', isGang: true, before: (play) => { play.report(2, 'only'); play.end([['lost'], ['lost'], ['lost'], ['lost']]) }, brought: same('only') },
  {
    name: 'a former holder recorded different ones',
    isGang: true,
    before: (play) => {
      play.end([['lost'], ['lost'], ['lost'], ['lost']])
      play.restore(['', 'x', 'y', 'x'])
    },
    brought: same('x')
  },
  { name: 'one is too long to be kept', isGang: true, before: (play) => { play.report(0, 'kept'); play.report(1, 'x'.repeat(5000)); play.end([['lost'], ['lost'], ['lost'], ['lost']]) }, brought: same('kept') },
  { name: 'they are no gang: each its own', isGang: false, before: (play) => play.end([['stopped', 'a'], ['stopped', 'b'], ['stopped', 'c'], ['stopped', 'd']]), brought: ['a', 'b', 'c', 'd'] }
]

describe('the checkpoints of a gang', () => {
  for (const { name, isGang, before: prepare, brought } of cases) {
    // Guards against members that are started from different checkpoints, so that the gang never works together again.
    it(`are the same for all members when it is started again: ${name}`, async () => {
      const play = new GangPlay(isGang)
      prepare(play)
      expect(await play.startAgain()).to.deep.equal(brought)
    })
  }
})
