import { expect } from 'chai'
import { createJob, isCrashSuspect, jobSpecSchema, decidePlacement, clearCrashRecordIfSurvived, tasksOf, type Job, type Run, type Task, type PlacementDecision } from '@quillscale/policy'
import { CrashTracker } from '../lib/jobs/CrashTracker.js'
import { QUEUE, testJobId, TestLog } from './TestService.js'

/** One worker that ends, at which time, and what ran there: tasks, each with how long ago it was started. */
interface Loss {
  readonly atMs: number
  readonly rack?: string
  readonly zone?: string
  readonly runs: ReadonlyArray<{ readonly task: string, readonly agoMs: number, readonly phase?: Run['phase'] }>
  /** How long ago it last answered. */
  readonly heardAgoMs?: number
  readonly isPlanned?: boolean
  readonly isSilent?: boolean
}

/** Whether a job is given up for certain at some time: the others are cleared. */
interface Conviction { readonly atMs: number, readonly convicted: string }

interface Case {
  readonly name: string
  readonly steps: ReadonlyArray<Loss | Conviction>
  readonly expected: { readonly task: string, readonly points: number, readonly isSuspect: boolean, readonly verdict: PlacementDecision }
}

const SOON = 20
const LATE = 5000
const crash = (atMs: number, ...tasks: string[]): Loss => ({ atMs, runs: tasks.map((task) => ({ task, agoMs: SOON })) })
const lateCrash = (atMs: number, ...tasks: string[]): Loss => ({ atMs, runs: tasks.map((task) => ({ task, agoMs: LATE })) })

const cases: readonly Case[] = [
  { name: 'one crash', steps: [crash(0, 'a')], expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' } },
  { name: 'two, alone and soon after its start', steps: [crash(0, 'a', 'b'), crash(2000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, verdict: 'give-up' } },
  { name: 'two, the first late in the run', steps: [lateCrash(0, 'a'), crash(9000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, verdict: 'place' } },
  {
    name: 'three, the first late in the run',
    steps: [lateCrash(0, 'a'), crash(9000, 'a'), crash(11_000, 'a')],
    expected: { task: 'a', points: 6, isSuspect: true, verdict: 'give-up' }
  },
  { name: 'two, late in the run', steps: [lateCrash(0, 'a'), lateCrash(9000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, verdict: 'place' } },
  { name: 'two, with others', steps: [crash(0, 'a', 'b'), crash(2000, 'a', 'c')], expected: { task: 'a', points: 4, isSuspect: true, verdict: 'place' } },
  { name: 'three, whatever ran there', steps: [crash(0, 'a', 'b'), crash(2000, 'a', 'c'), crash(4000, 'a', 'd')], expected: { task: 'a', points: 6, isSuspect: true, verdict: 'give-up' } },
  { name: 'five of a doubtful cause', steps: [0, 1, 2, 3, 4].map((at) => ({ ...crash(at * 9000, 'a'), isSilent: true })), expected: { task: 'a', points: 5, isSuspect: true, verdict: 'give-up' } },
  { name: 'a start that was never sent', steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: SOON, phase: 'recording' }] }], expected: { task: 'a', points: 0, isSuspect: false, verdict: 'place' } },
  { name: 'a start whose outcome is unknown', steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: SOON, phase: 'starting' }] }], expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' } },
  { name: 'a worker that was to end', steps: [{ ...lateCrash(0, 'a'), isPlanned: true }], expected: { task: 'a', points: 0, isSuspect: false, verdict: 'place' } },
  { name: 'a worker that was to end, soon after the start', steps: [{ ...crash(0, 'a'), isPlanned: true }], expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' } },
  {
    name: 'a worker that was to end and was not heard of since the start',
    steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: 1255 }], heardAgoMs: 1249, isPlanned: true }],
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'a rack that loses power twice under long tasks',
    steps: [0, 9000].flatMap((atMs) => [{ ...lateCrash(atMs, 'a'), rack: 'r1' }, { ...lateCrash(atMs + 300, 'b'), rack: 'r1' }]),
    expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' }
  },
  {
    name: 'a zone that loses power',
    steps: ['a', 'b', 'c'].map((task, at) => ({ ...lateCrash(at * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'a zone that loses power right after the task began',
    steps: ['a', 'b', 'c'].map((task, at) => ({ ...crash(at * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'two workers of a rack, right after the task began',
    steps: ['a', 'b'].map((task, at) => ({ ...crash(at * 100, task), rack: 'r1', zone: 'z' })),
    expected: { task: 'a', points: 1, isSuspect: true, verdict: 'place' }
  },
  {
    name: 'two workers of a zone, each by itself',
    steps: ['a', 'b'].map((task, at) => ({ ...lateCrash(at * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' }
  },
  {
    name: 'workers of a rack that all ended soon after tasks of one job began there',
    steps: ['a', 'a2'].map((task, at) => ({ ...crash(at * 100, task), rack: 'r1' })),
    expected: { task: 'a', points: 2, isSuspect: true, verdict: 'place' }
  },
  {
    name: 'beside a task that was suspected already and had just begun',
    steps: [crash(0, 'b'), { atMs: 2000, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: LATE }] }],
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'cleared, as another job turned out to be the cause',
    steps: [{ atMs: 0, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: LATE }] }, { atMs: 3000, convicted: 'b' }],
    expected: { task: 'a', points: 0, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'cleared, but it had just begun there as well',
    steps: [crash(0, 'a', 'b'), { atMs: 3000, convicted: 'b' }],
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  {
    name: 'cleared, but its worker was not heard of since it began there',
    steps: [{ atMs: 0, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: 1200 }], heardAgoMs: 1190 }, { atMs: 3000, convicted: 'b' }],
    expected: { task: 'a', points: 1, isSuspect: false, verdict: 'place' }
  },
  { name: 'a verdict that waits for what else is gone', steps: [crash(0, 'a'), crash(99_900, 'a')], expected: { task: 'a', points: 4, isSuspect: true, verdict: 'wait' } }
]
const JUDGED_MS = 100_000

/** Tasks by name: the letter names the job, a digit behind it another task of that job. */
class Tasks {
  readonly #jobs = new Map<string, Job>()

  jobOf (name: string): Job {
    const letter = name.charAt(0)
    const known = this.#jobs.get(letter)
    if (known !== undefined) return known
    const steps = [{ taskCount: 4, cpuMillis: 1000, isLasting: letter === 'l' }]
    const job = createJob(jobSpecSchema.parse({ jobId: testJobId(letter.charCodeAt(0)), queue: QUEUE, command: '', submittedMs: 0, steps }))
    this.#jobs.set(letter, job)
    return job
  }

  find (name: string): Task {
    return tasksOf(this.jobOf(name), 0)[0]?.[Number(name.slice(1) || 0)] as Task
  }
}

const runOf = (task: Task, startedMs: number, phase: Run['phase'] = 'running'): Run => ({
  task, taskKey: task.key, runNumber: 1, instanceId: 'w', phase, placedMs: startedMs, startedMs, stopConfirmedMs: undefined, isUncertain: false, shouldStop: false, lastListedMs: 0, percent: 0, progressMs: 0, pacePercent: 100, load: 0
})

describe('CrashBook', () => {
  for (const { name, steps, expected } of cases) {
    it(`judges a task: ${name}`, () => {
      const tasks = new Tasks()
      const book = new CrashTracker({ log: new TestLog(), count: () => {}, onChanged: () => {} })
      steps.forEach((step, at) => {
        if ('convicted' in step) return book.clearOtherJobs(tasks.jobOf(step.convicted))
        const { atMs, rack, zone, runs, heardAgoMs = 100, isPlanned = false, isSilent = false } = step
        const lost = runs.map(({ task, agoMs, phase }) => runOf(tasks.find(task), atMs - agoMs, phase))
        book.recordLoss({ instanceId: `w${at}`, rack, availabilityZone: zone, lastAnswerMs: atMs - heardAgoMs, runs: lost, isPlanned, isSilent }, atMs)
      })
      const task = tasks.find(expected.task)
      expect({ task: expected.task, points: task.crashes.points, isSuspect: isCrashSuspect(task), verdict: decidePlacement(task, JUDGED_MS) })
        .to.deep.equal(expected)
    })
  }

  it('takes nothing back of newer crashes for one that a long run has cleared a task of', () => {
    const tasks = new Tasks()
    const [lasting, culprit] = [tasks.find('l'), tasks.find('b')]
    const book = new CrashTracker({ log: new TestLog(), count: () => {}, onChanged: () => {} })
    const note = (atMs: number, begun: readonly Task[]): void => book.recordLoss({
      instanceId: `w${atMs}`, rack: undefined, availabilityZone: undefined, lastAnswerMs: atMs - 50, runs: begun.map((task) => runOf(task, atMs - 100)), isPlanned: false, isSilent: false
    }, atMs)
    note(0, [lasting, culprit])
    clearCrashRecordIfSurvived(runOf(lasting, 1000), 5000)
    note(6000, [lasting])
    note(8000, [lasting])
    const { points } = lasting.crashes
    book.clearOtherJobs(culprit.job)
    expect(lasting.crashes.points).to.equal(points)
    expect(isCrashSuspect(lasting)).to.equal(true)
  })

  it('holds nothing against a task that lasts and has been at work for long, however often', () => {
    const tasks = new Tasks()
    const task = tasks.find('l')
    const book = new CrashTracker({ log: new TestLog(), count: () => {}, onChanged: () => {} })
    for (let atMs = 10_000; atMs < 1_000_000; atMs += 10_000) {
      const run = runOf(task, atMs - 4000)
      clearCrashRecordIfSurvived(run, atMs)
      expect(decidePlacement(task, atMs)).to.equal('place')
      book.recordLoss({ instanceId: 'w', rack: undefined, availabilityZone: undefined, lastAnswerMs: atMs - 100, runs: [run], isPlanned: false, isSilent: false }, atMs)
    }
  })
})
