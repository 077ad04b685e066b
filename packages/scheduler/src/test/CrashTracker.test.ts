import { expect } from 'chai'
import { createCrashRecord, createJob, isCrashSuspect, jobSpecSchema, decidePlacement, hasSurvivedUntil, tasksOf, type Job, type Run, type Task, type PlacementDecision } from '@quillscale/policy'
import { clearCrashRecord } from '../lib/jobs/clearCrashRecord.js'
import { CrashTracker } from '../lib/jobs/CrashTracker.js'
import { testJobId } from '@quillscale/policy/testing'
import { QUEUE, TestLog } from './TestService.js'

/** A worker that ends at some time, and the tasks that ran on it, each with the time since its start. */
interface Loss {
  readonly atMs: number
  readonly rack?: string
  readonly zone?: string
  readonly runs: ReadonlyArray<{ readonly task: string, readonly agoMs: number, readonly phase?: Run['phase'] }>
  /** Time since the worker last answered. */
  readonly lastAnswerAgoMs?: number
  /** Time since the last request to which the worker answered with a list of its runs. */
  readonly listedAgoMs?: number
  /** The starts of the runs were never confirmed. */
  readonly isUnconfirmed?: boolean
  readonly isPlanned?: boolean
  readonly isSilent?: boolean
  /** The worker never answered this holder, to which a previous one left the runs: their age is unknown. */
  readonly isUnknown?: boolean
}

/** The time at which a job is given up, so that the tasks of other jobs are cleared. */
interface GiveUp { readonly atMs: number, readonly culprit: string }

interface Case {
  readonly name: string
  readonly steps: ReadonlyArray<Loss | GiveUp>
  readonly expected: { readonly task: string, readonly points: number, readonly isSuspect: boolean, readonly decision: PlacementDecision }
}

const SOON = 20
const LATE = 1500
const crash = (atMs: number, ...tasks: string[]): Loss => ({ atMs, runs: tasks.map((task) => ({ task, agoMs: SOON })) })
const lateCrash = (atMs: number, ...tasks: string[]): Loss => ({ atMs, runs: tasks.map((task) => ({ task, agoMs: LATE })) })

/** A worker ends that never answered this holder. */
const unknownEnd = (atMs: number, ...tasks: string[]): Loss => ({ ...lateCrash(atMs, ...tasks), isUnknown: true })

/** A worker ends that runs nothing. */
const idleEnd = (atMs: number): Loss => ({ atMs, runs: [] })

const cases: readonly Case[] = [
  { name: 'one crash', steps: [crash(0, 'a')], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  { name: 'two crashes, the second soon after the start with no other job on the worker', steps: [crash(0, 'a', 'b'), crash(2000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, decision: 'give-up' } },
  { name: 'two crashes, an idle worker ends after the second', steps: [crash(0, 'a'), crash(700, 'a'), idleEnd(900)], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  { name: 'two crashes, an idle worker ends before the second', steps: [crash(0, 'a'), idleEnd(1500), crash(2000, 'a')], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  { name: 'two crashes, an idle worker ends after the first', steps: [crash(0, 'a'), idleEnd(200), crash(2000, 'a')], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  {
    name: 'two crashes, idle workers end at other times',
    steps: [idleEnd(0), crash(6000, 'a'), idleEnd(12_000), crash(18_000, 'a'), idleEnd(24_000)],
    expected: { task: 'a', points: 4, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'two crashes, idle workers end within a few seconds of each',
    steps: [idleEnd(0), crash(1500, 'a'), idleEnd(3000), crash(4500, 'a'), idleEnd(6000)],
    expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' }
  },
  {
    name: 'two crashes, an idle worker is drained and another falls silent',
    steps: [crash(0, 'a'), crash(700, 'a'), { ...idleEnd(800), isPlanned: true }, { ...idleEnd(900), isSilent: true }],
    expected: { task: 'a', points: 4, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'three crashes, an idle worker ends with each',
    steps: [0, 2000, 4000].flatMap((atMs) => [crash(atMs, 'a'), idleEnd(atMs + 100)]),
    expected: { task: 'a', points: 3, isSuspect: true, decision: 'place' }
  },
  {
    name: 'five crashes, an idle worker ends with each',
    steps: [0, 2000, 4000, 6000, 8000].flatMap((atMs) => [crash(atMs, 'a'), idleEnd(atMs + 100)]),
    expected: { task: 'a', points: 5, isSuspect: true, decision: 'give-up' }
  },
  { name: 'two crashes, the first late in the run', steps: [lateCrash(0, 'a'), crash(9000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, decision: 'place' } },
  {
    name: 'three crashes, the first late in the run',
    steps: [lateCrash(0, 'a'), crash(9000, 'a'), crash(11_000, 'a')],
    expected: { task: 'a', points: 6, isSuspect: true, decision: 'give-up' }
  },
  { name: 'two crashes, both late in the run', steps: [lateCrash(0, 'a'), lateCrash(9000, 'a')], expected: { task: 'a', points: 4, isSuspect: true, decision: 'place' } },
  { name: 'two crashes, each beside other jobs', steps: [crash(0, 'a', 'b'), crash(2000, 'a', 'c')], expected: { task: 'a', points: 4, isSuspect: true, decision: 'place' } },
  { name: 'three crashes, each beside other jobs', steps: [crash(0, 'a', 'b'), crash(2000, 'a', 'c'), crash(4000, 'a', 'd')], expected: { task: 'a', points: 6, isSuspect: true, decision: 'give-up' } },
  { name: 'five losses of uncertain cause', steps: [0, 1, 2, 3, 4].map((index) => ({ ...crash(index * 9000, 'a'), isSilent: true })), expected: { task: 'a', points: 5, isSuspect: true, decision: 'give-up' } },
  { name: 'a start that was never sent', steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: SOON, phase: 'recording' }] }], expected: { task: 'a', points: 0, isSuspect: false, decision: 'place' } },
  { name: 'a start whose outcome is unknown', steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: SOON, phase: 'starting' }] }], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  { name: 'a planned end of the worker', steps: [{ ...lateCrash(0, 'a'), isPlanned: true }], expected: { task: 'a', points: 0, isSuspect: false, decision: 'place' } },
  { name: 'a planned end of the worker, soon after the start', steps: [{ ...crash(0, 'a'), isPlanned: true }], expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' } },
  {
    name: 'a planned end of a worker that has not answered since the start',
    steps: [{ atMs: 0, runs: [{ task: 'a', agoMs: 1255 }], lastAnswerAgoMs: 1249, isPlanned: true }],
    expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' }
  },
  {
    name: 'a rack that loses power twice under long tasks',
    steps: [0, 9000].flatMap((atMs) => [{ ...lateCrash(atMs, 'a'), rack: 'r1' }, { ...lateCrash(atMs + 300, 'b'), rack: 'r1' }]),
    expected: { task: 'a', points: 0, isSuspect: false, decision: 'place' }
  },
  {
    name: 'a zone that loses power',
    steps: ['a', 'b', 'c'].map((task, index) => ({ ...lateCrash(index * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 0, isSuspect: false, decision: 'place' }
  },
  {
    name: 'a zone that loses power right after the task started',
    steps: ['a', 'b', 'c'].map((task, index) => ({ ...crash(index * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' }
  },
  {
    name: 'two workers of a rack, right after the task started',
    steps: ['a', 'b'].map((task, index) => ({ ...crash(index * 100, task), rack: 'r1', zone: 'z' })),
    expected: { task: 'a', points: 1, isSuspect: true, decision: 'place' }
  },
  {
    name: 'two workers of a zone, in different racks',
    steps: ['a', 'b'].map((task, index) => ({ ...lateCrash(index * 100, task), rack: task, zone: 'z' })),
    expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' }
  },
  {
    name: 'workers of a rack that all ended soon after tasks of one job started on them',
    steps: ['a', 'a2'].map((task, index) => ({ ...crash(index * 100, task), rack: 'r1' })),
    expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' }
  },
  {
    name: 'beside a task that was already suspected and had just started',
    steps: [crash(0, 'b'), { atMs: 2000, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: LATE }] }],
    expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' }
  },
  {
    name: 'cleared, since another job turned out to be the cause',
    steps: [{ atMs: 0, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: LATE }] }, { atMs: 3000, culprit: 'b' }],
    expected: { task: 'a', points: 0, isSuspect: false, decision: 'place' }
  },
  {
    name: 'cleared, but the task had just started on the worker as well',
    steps: [crash(0, 'a', 'b'), { atMs: 3000, culprit: 'b' }],
    expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' }
  },
  // A lasting job was given up for ends of workers that had run its task for seconds, under holders that had never heard of them.
  { name: 'a worker that never answered this holder', steps: [unknownEnd(0, 'a')], expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' } },
  {
    name: 'a crash that was shared, and two workers that never answered their holders',
    steps: [...['a', 'b'].map((task, index) => ({ ...lateCrash(index * 100, task), rack: 'r1' })), unknownEnd(5000, 'a'), unknownEnd(13_000, 'a')],
    expected: { task: 'a', points: 2, isSuspect: true, decision: 'place' }
  },
  {
    name: 'five workers that never answered their holders',
    steps: [0, 1, 2, 3, 4].map((index) => unknownEnd(index * 9000, 'a')),
    expected: { task: 'a', points: 5, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'two crashes, and a worker between them that never answered its holder',
    steps: [lateCrash(0, 'a'), unknownEnd(2000, 'a'), lateCrash(4000, 'a')],
    expected: { task: 'a', points: 5, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'cleared, but the worker has not answered since the task started',
    steps: [{ atMs: 0, runs: [{ task: 'b', agoMs: SOON }, { task: 'a', agoMs: 1200 }], lastAnswerAgoMs: 1190 }, { atMs: 3000, culprit: 'b' }],
    expected: { task: 'a', points: 1, isSuspect: false, decision: 'place' }
  },
  // A lasting task loses any number of workers over its life; its job was given up for losses that came seconds after its starts.
  {
    name: 'a lasting task, crashes late in the run',
    steps: [0, 9000, 18_000, 27_000].map((atMs) => lateCrash(atMs, 'l')),
    expected: { task: 'l', points: 0, isSuspect: false, decision: 'place' }
  },
  {
    name: 'a lasting task, crashes early and late by turns',
    steps: [0, 9000, 18_000, 27_000, 36_000].map((atMs, index) => (index % 2 === 0 ? crash : lateCrash)(atMs, 'l')),
    expected: { task: 'l', points: 2, isSuspect: true, decision: 'place' }
  },
  { name: 'a lasting task, three crashes early in the run', steps: [0, 9000, 18_000].map((atMs) => crash(atMs, 'l', 'b')), expected: { task: 'l', points: 6, isSuspect: true, decision: 'give-up' } },
  {
    name: 'a lasting task, its workers list it shortly before they crash, while others crash',
    steps: [0, 1000, 2000, 3000, 4000, 5000].flatMap((atMs) => [{ atMs, runs: [{ task: 'l', agoMs: 200 }], listedAgoMs: 100 }, idleEnd(atMs + 100)]),
    expected: { task: 'l', points: 0, isSuspect: false, decision: 'place' }
  },
  {
    name: 'a lasting task, its workers list it shortly before they crash, while no other crashes',
    steps: [0, 9000, 18_000].map((atMs) => ({ atMs, runs: [{ task: 'l', agoMs: 200 }, { task: 'b', agoMs: 200 }], listedAgoMs: 100 })),
    expected: { task: 'l', points: 6, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'a lasting task whose start was never confirmed, though its workers answered long after it was placed',
    steps: [0, 9000, 18_000].map((atMs) => ({ atMs, runs: [{ task: 'l', agoMs: LATE, phase: 'starting' as const }, { task: 'b', agoMs: LATE }], isUnconfirmed: true })),
    expected: { task: 'l', points: 6, isSuspect: true, decision: 'give-up' }
  },
  {
    name: 'another task of its job, which had just started on its workers each time, is given up',
    steps: [0, 9000, 18_000].map((atMs): Loss | GiveUp => crash(atMs, 'l', 'l1')).concat({ atMs: 19_000, culprit: 'l1' }),
    expected: { task: 'l', points: 3, isSuspect: true, decision: 'place' }
  },
  { name: 'a decision delayed until other losses nearby are known', steps: [crash(0, 'a'), crash(99_900, 'a')], expected: { task: 'a', points: 4, isSuspect: true, decision: 'wait' } }
]
const DECISION_MS = 100_000

/** Tasks by name: the letter selects the job, an optional digit one of its tasks. */
class Tasks {
  readonly #jobs = new Map<string, Job>()

  jobOf (name: string): Job {
    const letter = name.charAt(0)
    const existingJob = this.#jobs.get(letter)
    if (existingJob !== undefined) return existingJob
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

/** A worker lists a run in a report that was requested at some time. */
function listAt (run: Run, askedMs: number): void {
  if (hasSurvivedUntil(run, askedMs)) clearCrashRecord(run, askedMs, { log: new TestLog(), onChanged: () => {} })
}

/** A run that a previous holder placed, and of which this one has heard nothing. */
const unknownRunOf = (task: Task): Run => ({ ...runOf(task, 0, 'unconfirmed'), placedMs: undefined, startedMs: undefined })

describe('CrashTracker', () => {
  for (const { name, steps, expected } of cases) {
    it(`decides whether to give up a task: ${name}`, () => {
      const tasks = new Tasks()
      const tracker = new CrashTracker({ log: new TestLog(), tookOverMs: -Infinity, count: () => {}, onChanged: () => {} })
      steps.forEach((step, index) => {
        if ('culprit' in step) return tracker.clearOtherTasks(tasks.find(step.culprit))
        const { atMs, rack, zone, runs, lastAnswerAgoMs = 100, listedAgoMs, isUnconfirmed, isPlanned = false, isSilent = false, isUnknown = false } = step
        const lostRuns = runs.map(({ task, agoMs, phase }): Run => {
          if (isUnknown) return unknownRunOf(tasks.find(task))
          const run = runOf(tasks.find(task), atMs - agoMs, phase)
          if (listedAgoMs !== undefined) run.listedAskedMs = atMs - listedAgoMs
          return isUnconfirmed === true ? { ...run, startedMs: undefined } : run
        })
        const lastAnswerMs = isUnknown ? undefined : atMs - lastAnswerAgoMs
        const lastReportMs = lastAnswerMs ?? -Infinity
        tracker.recordLoss({ instanceId: `w${index}`, rack, availabilityZone: zone, lastAnswerMs, lastReportMs, runs: lostRuns, isPlanned, isSilent }, atMs)
      })
      const task = tasks.find(expected.task)
      expect({ task: expected.task, points: task.crashes.points, isSuspect: isCrashSuspect(task), decision: decidePlacement(task, DECISION_MS) })
        .to.deep.equal(expected)
    })
  }

  const inheritedCases: ReadonlyArray<{ readonly name: string, readonly tookOverMs: number, readonly points: number, readonly expected: number }> = [
    { name: 'a new holder that has not yet seen whether workers are lost without the task', tookOverMs: -1000, points: 3, expected: 4 },
    { name: 'a holder that has seen no other loss for a while', tookOverMs: -9000, points: 3, expected: 5 },
    { name: 'a new holder, no earlier loss', tookOverMs: -1000, points: 0, expected: 2 }
  ]
  for (const { name, tookOverMs, points, expected } of inheritedCases) {
    it(`charges a crash to a task whose earlier losses a previous holder charged: ${name}`, () => {
      const task = new Tasks().find('l')
      task.crashes = createCrashRecord(points)
      const tracker = new CrashTracker({ log: new TestLog(), tookOverMs, count: () => {}, onChanged: () => {} })
      const worker = { instanceId: 'w', rack: undefined, availabilityZone: undefined }
      tracker.recordLoss({ ...worker, lastAnswerMs: -100, lastReportMs: -100, runs: [runOf(task, -SOON)], isPlanned: false, isSilent: false }, 0)
      expect(task.crashes.points).to.equal(expected)
    })
  }

  it('takes back no points of newer crashes for an older crash of which a long run has cleared the task', () => {
    const tasks = new Tasks()
    const [lasting, culprit] = [tasks.find('l'), tasks.find('b')]
    const tracker = new CrashTracker({ log: new TestLog(), tookOverMs: -Infinity, count: () => {}, onChanged: () => {} })
    const recordCrash = (atMs: number, begun: readonly Task[]): void => tracker.recordLoss({
      instanceId: `w${atMs}`, rack: undefined, availabilityZone: undefined, lastAnswerMs: atMs - 50, lastReportMs: atMs - 50, runs: begun.map((task) => runOf(task, atMs - 100)), isPlanned: false, isSilent: false
    }, atMs)
    recordCrash(0, [lasting, culprit])
    listAt(runOf(lasting, 1000), 5000)
    recordCrash(6000, [lasting])
    recordCrash(8000, [lasting])
    const { points } = lasting.crashes
    tracker.clearOtherTasks(culprit)
    expect(lasting.crashes.points).to.equal(points)
    expect(isCrashSuspect(lasting)).to.equal(true)
  })

  const SILENCE_MS = 5000
  const returns: ReadonlyArray<{ readonly name: string, readonly instanceId: string, readonly askedMs: number, readonly points: number }> = [
    { name: 'the same lifetime answers again', instanceId: 'w', askedMs: SILENCE_MS + 1, points: 2 },
    { name: 'the same lifetime had been asked before', instanceId: 'w', askedMs: SILENCE_MS - 1, points: 3 },
    { name: 'another lifetime answers', instanceId: 'w2', askedMs: SILENCE_MS + 1, points: 3 }
  ]
  for (const { name, instanceId, askedMs, points } of returns) {
    it(`takes back the points for the silence of a worker, and no others, if that has not ended: ${name}`, () => {
      const task = new Tasks().find('a')
      const tracker = new CrashTracker({ log: new TestLog(), tookOverMs: -Infinity, count: () => {}, onChanged: () => {} })
      const loss = { rack: undefined, availabilityZone: undefined, lastAnswerMs: undefined, lastReportMs: -Infinity, isPlanned: false }
      tracker.recordLoss({ ...loss, instanceId: 'w', runs: [unknownRunOf(task)], isSilent: true }, SILENCE_MS)
      tracker.recordLoss({ ...loss, instanceId: 'w1', runs: [runOf(task, 2 * SILENCE_MS - SOON)], isSilent: false }, 2 * SILENCE_MS)
      tracker.recordReport(instanceId, askedMs)
      tracker.recordReport(instanceId, askedMs)
      expect(task.crashes.points).to.equal(points)
    })
  }

  it('never gives up a lasting task whose runs survive long enough, however many workers end', () => {
    const tasks = new Tasks()
    const task = tasks.find('l')
    const tracker = new CrashTracker({ log: new TestLog(), tookOverMs: -Infinity, count: () => {}, onChanged: () => {} })
    for (let atMs = 10_000; atMs < 1_000_000; atMs += 10_000) {
      const run = runOf(task, atMs - 4000)
      listAt(run, atMs)
      expect(decidePlacement(task, atMs)).to.equal('place')
      tracker.recordLoss({ instanceId: 'w', rack: undefined, availabilityZone: undefined, lastAnswerMs: atMs - 100, lastReportMs: atMs - 100, runs: [run], isPlanned: false, isSilent: false }, atMs)
    }
  })
})
