import { expect } from 'chai'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { createJob, isOpen, type Job, type Run, type Task } from '../lib/jobs/JobState.js'
import {
  allTasks, countDue, countOpen, countReadyTasks, createdTasksIn, findTask, gangOf, isJobDone, listBegun, nextUnbegun, rangesBetween, readyStepsOf,
  retireOccurrence, tasksOf
} from '../lib/jobs/jobTasks.js'
import { listReadySteps } from './listReadySteps.js'
import { rankStep } from '../lib/jobs/rankStep.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { testJobId } from '../testing/testJobId.js'

const jobOf = (steps: ReadonlyArray<Partial<StepSpec>>, times?: number): Job => createJob(jobSpecSchema.parse({
  jobId: testJobId(1),
  queue: 'q',
  command: '',
  submittedMs: 0,
  steps: steps.map((step) => ({ cpuMillis: 1000, estimateMs: 1000, ...step })),
  ...(times === undefined ? {} : { schedule: { runs: times, firstRunMs: 0, intervalMs: 1 } })
}))

/** Counts how often any task of a job is asked whether it is done. */
class LookCounter {
  looks = 0
  readonly tasks: readonly Task[]

  constructor (job: Job, occurrences = 1) {
    this.tasks = Array.from({ length: occurrences }, (_, occurrence) => tasksOf(job, occurrence)).flat(2)
    for (const task of this.tasks) {
      let isDone = false
      Object.defineProperty(task, 'isDone', {
        get: () => {
          this.looks++
          return isDone
        },
        set: (value: boolean) => { isDone = value }
      })
    }
  }
}

/** What is done at each end of a run, or in each placement round. */
const passes: ReadonlyArray<{ readonly name: string, readonly pass: (job: Job) => void }> = [
  { name: 'whether it is done', pass: (job) => { isJobDone(job) } },
  { name: 'which of its steps are ready', pass: (job) => { for (const occurrence of listBegun(job, countDue(job, Infinity))) readyStepsOf(job, occurrence) } },
  { name: 'how many of its tasks are open', pass: (job) => { countReadyTasks(job, Infinity, isOpen) } },
  { name: 'its rank', pass: (job) => { for (const ready of countReadyTasks(job, Infinity, isOpen)) rankStep(ready, undefined, new RunTimeEstimator(), 0) } }
]

describe('tasks of a job', () => {
  for (const { name, pass } of passes) {
    // Guards against a holder that passes all tasks that are done at each end of a run, until it has lost the duty.
    it(`that are done are not looked at again to tell ${name}`, () => {
      const job = jobOf([{ taskCount: 2000 }, { taskCount: 10, dependsOn: [0] }])
      const counter = new LookCounter(job)
      const passed = counter.tasks.slice(0, 1999)
      for (const task of passed) task.isDone = true
      pass(job)
      counter.looks = 0
      for (let times = 0; times < 10; times++) pass(job)
      expect(counter.looks / 10).to.be.at.most(50)
    })
  }

  it('of past occurrences are not looked at again', () => {
    const job = jobOf([{ taskCount: 2 }], 1000)
    const counter = new LookCounter(job, 1000)
    for (const task of counter.tasks.slice(0, -1)) task.isDone = true
    isJobDone(job)
    counter.looks = 0
    for (const { pass } of passes) pass(job)
    expect(counter.looks).to.be.at.most(100)
  })

  // Guards against a holder that keeps each time of a scheduled job that is done.
  it('of past occurrences are dropped once no run is left', () => {
    const job = jobOf([{ taskCount: 2 }], 100)
    for (const occurrence of [1, 0, 3, 2]) {
      const tasks = tasksOf(job, occurrence).flat()
      for (const task of tasks) task.isDone = true
      tasks[0]?.runs.push({} as Run)
      expect(retireOccurrence(job, occurrence)).to.equal(true)
      expect(job.occurrences.has(occurrence)).to.equal(true)
      tasks[0]?.runs.pop()
      retireOccurrence(job, occurrence)
    }
    expect(job.occurrences.size).to.equal(0)
    expect(job.doneOccurrences.size).to.equal(4)
    expect(findTask(job, `${testJobId(1)}.2.0.0`)).to.equal(undefined)
    expect(nextUnbegun(job, 0, 100)).to.equal(4)
    expect(countReadyTasks(job, Infinity, isOpen).map(({ occurrence, count }) => ({ occurrence, count }))).to.deep.equal([{ occurrence: 4, count: 192 }])
  })

  it('are not created before their turn, of whichever kind their step is, but for one of each ready step', () => {
    const job = jobOf([{ taskCount: 30, isLasting: true }, { taskCount: 20, isGang: true }, { taskCount: 10 }])
    expect(listReadySteps(job, 0).map(({ length }) => length)).to.deep.equal([1, 1, 1])
  })

  it('are all members of a gang for each of them', () => {
    const job = jobOf([{ taskCount: 20, isGang: true }])
    const [[first] = []] = listReadySteps(job, 0)
    expect(gangOf(first as Task).map(({ index }) => index)).to.deep.equal(Array.from({ length: 20 }, (_, index) => index))
  })

  it('count in full where they are not created yet', () => {
    const job = jobOf([{ taskCount: 100 }, { taskCount: 50, dependsOn: [0] }])
    const [step = []] = listReadySteps(job, 0)
    expect(countOpen(step, 100)).to.equal(100)
    const first = step[0] as Task
    expect(rankStep(first, undefined, new RunTimeEstimator(), 0).workLeft).to.equal(150 * 1000 * 1000)
    first.isDone = true
    expect(countOpen(step, 100)).to.equal(99)
    expect(isJobDone(job)).to.equal(false)
    expect(rankStep(first, undefined, new RunTimeEstimator(), 0).placedShare).to.be.closeTo(1 / 150, 1e-9)
  })

  it('are done once all of each step were created and are done, in any order', () => {
    const job = jobOf([{ taskCount: 5 }, { taskCount: 3, dependsOn: [0] }])
    for (const task of tasksOf(job, 0).flat().reverse()) {
      expect(isJobDone(job)).to.equal(false)
      task.isDone = true
    }
    expect(isJobDone(job)).to.equal(true)
    expect(listReadySteps(job, 0)).to.deep.equal([])
  })

  const keys = [
    { key: '0.1.7', found: true },
    { key: '0.1.8', found: false },
    { key: '0.2.0', found: false },
    { key: '1.0.0', found: false },
    { key: '0.0.x', found: false }
  ]
  for (const { key, found } of keys) {
    it(`are ${found ? 'found' : 'not found'} by their key: ${key}`, () => {
      const job = jobOf([{ taskCount: 4 }, { taskCount: 8 }])
      expect(findTask(job, `${testJobId(1)}.${key}`)?.key).to.equal(found ? `${testJobId(1)}.${key}` : undefined)
    })
  }

  it('are found by their position, whichever were created', () => {
    const job = jobOf([{ taskCount: 100 }, { taskCount: 100 }])
    findTask(job, `${testJobId(1)}.0.1.5`)
    findTask(job, `${testJobId(1)}.0.0.2`)
    expect(allTasks(job)).to.have.length(9)
    expect(rangesBetween(job, 2, 103).flatMap((range) => createdTasksIn(job, range)).map(({ key }) => key.slice(17))).to.deep.equal(['0.0.2', '0.1.0', '0.1.1', '0.1.2'])
  })
})
