import { expect } from 'chai'
import { createJob, jobSpecSchema, type Run, type RunPhase, type StepSpec, tasksOf } from '@quillscale/policy'
import type { JobRegistry } from '../lib/jobs/JobRegistry.js'
import { RunStarter } from '../lib/jobs/RunStarter.js'
import { runKey, type WorkerLink } from '../lib/workers/WorkerLink.js'
import { testJobId } from '@quillscale/policy/testing'

interface Worker { readonly cpuMillis: number, readonly memoryMb?: number, readonly gpus?: number }

/** A step of three tasks beside other runs. */
interface Case {
  readonly name: string
  readonly worker: Worker
  readonly step: Partial<StepSpec>
  /** Phases of the other runs, which take 1000 thousandths of a core each. */
  readonly others?: readonly RunPhase[]
  /** How many of its tasks start. */
  readonly starts: number
}

/** Runs on workers that changed their capacity after the placement. */
class StartPlay {
  readonly started: string[] = []
  readonly closed: string[] = []
  readonly refusedJobs = new Set<string>()
  /** How often the phase of any run was looked at. */
  looks = 0
  readonly #links: readonly WorkerLink[]
  #jobs = 0

  /** @param workers - capacity of each worker now */
  constructor (...workers: Worker[]) {
    this.#links = workers.map((worker, index) => ({
      acceptsRuns: true,
      runs: new Map<string, Run>(),
      instance: { instanceId: String(index), capacity: { memoryMb: 1e6, gpus: 0, ...worker } },
      startRun: async ({ taskKey }: Run) => { this.started.push(taskKey) }
    }) as unknown as WorkerLink)
  }

  /** Adds the runs of a job of one step, one for each worker in turn. @param step - the step @param phase - phase of the runs @returns the runs */
  add (step: Partial<StepSpec>, phase: RunPhase = 'recording'): Run[] {
    const spec = jobSpecSchema.parse({ jobId: testJobId(++this.#jobs), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1, ...step }] })
    const look = (): void => { this.looks++ }
    return tasksOf(createJob(spec), 0).flat().map((task, index) => {
      const link = this.#links[index % this.#links.length] as WorkerLink
      let current = phase
      const run = {
        task,
        taskKey: task.key,
        runNumber: 1,
        instanceId: link.instance.instanceId,
        get phase () {
          look()
          return current
        },
        set phase (next: RunPhase) { current = next }
      } as unknown as Run
      task.runs.push(run)
      link.runs.set(runKey(run), run)
      return run
    })
  }

  /** Starts runs. @param runs - runs in phase `recording` */
  async start (runs: readonly Run[]): Promise<void> {
    const linkOf = ({ instanceId }: Run): WorkerLink | undefined => this.#links[Number(instanceId)]
    this.looks = 0
    await new RunStarter({
      registry: {
        closeRun: (run: Run) => {
          linkOf(run)?.runs.delete(runKey(run))
          this.closed.push(run.taskKey)
        }
      } as unknown as JobRegistry,
      whenFlushed: async () => true,
      linkOf,
      withoutWithdrawn: (all) => all,
      stopRun: () => {},
      canRecord: ({ spec }) => !this.refusedJobs.has(spec.jobId),
      onChanged: () => {}
    }).start(runs)
  }
}

describe('RunStarter', () => {
  // Guards against a holder that stands still over the starts of a large job until it has lost the duty.
  it('looks at each run as often however many start at once', async () => {
    const looksPerRun = async (runCount: number): Promise<number> => {
      const play = new StartPlay({ cpuMillis: 1e6 }, { cpuMillis: 1e6 })
      await play.start(play.add({ taskCount: runCount, cpuMillis: 1 }))
      expect(play.started).to.have.length(runCount)
      return play.looks / runCount
    }
    expect(await looksPerRun(400)).to.equal(await looksPerRun(20))
  })

  const cases: readonly Case[] = [
    { name: 'all if they fit', worker: { cpuMillis: 3000 }, step: { cpuMillis: 1000 }, starts: 3 },
    { name: 'as many as the CPU left allows', worker: { cpuMillis: 2999 }, step: { cpuMillis: 1000 }, starts: 2 },
    { name: 'as many as the memory left allows', worker: { cpuMillis: 9000, memoryMb: 250 }, step: { cpuMillis: 1000, memoryMb: 100 }, starts: 2 },
    { name: 'as many as the GPUs left allow', worker: { cpuMillis: 9000, gpus: 1 }, step: { cpuMillis: 1000, gpus: 1 }, starts: 1 },
    { name: 'fewer beside runs that go on or are being stopped', worker: { cpuMillis: 4000 }, step: { cpuMillis: 1000 }, others: ['running', 'stopping', 'starting'], starts: 1 },
    { name: 'as many beside runs whose placement is not durable yet', worker: { cpuMillis: 3000 }, step: { cpuMillis: 1000 }, others: ['recording', 'recording'], starts: 3 },
    { name: 'none on a worker that its runs exceed', worker: { cpuMillis: 500 }, step: { cpuMillis: 0 }, others: ['running'], starts: 0 }
  ]
  for (const { name, worker, step, others = [], starts } of cases) {
    it(`starts ${name}`, async () => {
      const play = new StartPlay(worker)
      for (const phase of others) play.add({ cpuMillis: 1000 }, phase)
      await play.start(play.add({ taskCount: 3, ...step }))
      expect(play.started).to.have.length(starts)
      expect(play.closed).to.have.length(3 - starts)
    })
  }

  it('keeps no room for runs that it does not start', async () => {
    const play = new StartPlay({ cpuMillis: 1000 })
    const large = play.add({ cpuMillis: 2000 })
    const unrecorded = play.add({ cpuMillis: 1000 })
    play.refusedJobs.add(testJobId(2))
    const last = play.add({ cpuMillis: 1000 })
    await play.start([...large, ...unrecorded, ...last])
    expect(play.started).to.deep.equal(last.map(({ taskKey }) => taskKey))
  })
})
