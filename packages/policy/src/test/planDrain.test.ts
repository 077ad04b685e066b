import { expect } from 'chai'
import { createJob, type Run, type Task } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { isDisruptionAllowed, planDrain } from '../lib/machines/planDrain.js'
import { testJobId } from '../testing/testJobId.js'

const NOW_MS = 100_000

function tasksWith (step: Partial<StepSpec>): Task[] {
  const spec = jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 3, ...step }] })
  return tasksOf(createJob(spec), 0)[0] ?? []
}

function run (task: Task, seenAgoMs: number, percent: number): Run {
  const made: Run = {
    task,
    taskKey: task.key,
    runNumber: 1,
    instanceId: 'w',
    phase: 'running',
    placedMs: 0,
    startedMs: 0,
    stopConfirmedMs: undefined,
    isUncertain: false,
    shouldStop: false,
    lastListedMs: NOW_MS - seenAgoMs,
    percent,
    progressMs: 0,
    pacePercent: 100,
    load: 0
  }
  task.runs.push(made)
  return made
}

describe('isDisruptionAllowed', () => {
  const cases = [
    { name: 'all others are ready', others: [[100, 100], [100, 100]], maxAway: 1, expected: true },
    { name: 'another is still starting', others: [[100, 100], [100, 40]], maxAway: 1, expected: false },
    { name: 'another has no run', others: [[100, 100]], maxAway: 1, expected: false },
    { name: 'the worker of another has not answered recently', others: [[100, 100], [2000, 100]], maxAway: 1, expected: false },
    { name: 'two may be unavailable and one is', others: [[100, 100], [2000, 100]], maxAway: 2, expected: true },
    { name: 'none may be unavailable', others: [[100, 100], [100, 100]], maxAway: 0, expected: false },
    { name: 'there is no bound', others: [], maxAway: undefined, expected: true }
  ]
  for (const { name, others, maxAway, expected } of cases) {
    it(`${expected ? 'allows' : 'forbids'} it when ${name}`, () => {
      const tasks = tasksWith({ isLasting: true, maxAway })
      run(tasks[0] as Task, 100, 100)
      others.forEach(([seenAgoMs = 0, percent = 0], index) => run(tasks[index + 1] as Task, seenAgoMs, percent))
      expect(isDisruptionAllowed(tasks[0] as Task, tasks, NOW_MS)).to.equal(expected)
    })
  }
})

describe('planDrain', () => {
  const cases = [
    { name: 'lets a short task finish', step: {}, sinceMs: NOW_MS - 1000, stopped: 0 },
    { name: 'stops a task that takes too long', step: {}, sinceMs: NOW_MS - 6000, stopped: 3 },
    { name: 'stops a checkpointing task at once', step: { isCheckpointing: true }, sinceMs: NOW_MS, stopped: 3 },
    { name: 'stops lasting tasks of a step one at a time', step: { isLasting: true, maxAway: 1 }, sinceMs: NOW_MS, stopped: 1 }
  ]
  for (const { name, step, sinceMs, stopped } of cases) {
    it(name, () => {
      const runs = tasksWith(step).map((task) => run(task, 100, 100))
      expect(planDrain(runs, sinceMs, NOW_MS)).to.have.length(stopped)
    })
  }
})
