import { expect } from 'chai'
import { createJob, jobSpecSchema, tasksOf, type Task, type UnplacedStep } from '@quillscale/policy'
import { UnplacedLog } from '../lib/jobs/UnplacedLog.js'
import { testJobId } from '@quillscale/policy/testing'
import { TestLog } from './TestService.js'

const SPEC = { queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1, memoryMb: 64_000 }] }

function stepOfJob (number: number, workers: UnplacedStep['workers'] = { memory: 2 }): UnplacedStep {
  const job = createJob(jobSpecSchema.parse({ ...SPEC, jobId: testJobId(number) }))
  return { task: tasksOf(job, 0)[0]?.[0] as Task, taskCount: 5, waitedMs: 4000, reason: 'workers', workers }
}

interface Look { readonly atMs: number, readonly steps: readonly UnplacedStep[], readonly lines: number }

const FIRST: Look = { atMs: 0, steps: [stepOfJob(1)], lines: 1 }
const FIVE = [1, 2, 3, 4, 5].map((number) => stepOfJob(number))

/** Rounds after which steps wait, and how many lines there are after each. */
const cases: ReadonlyArray<{ readonly name: string, readonly looks: readonly Look[] }> = [
  { name: 'once while its reason stays', looks: [FIRST, { atMs: 2000, steps: [stepOfJob(1, { memory: 3 })], lines: 1 }] },
  { name: 'again when its reason changes', looks: [FIRST, { atMs: 2000, steps: [stepOfJob(1, { full: 2 })], lines: 2 }] },
  { name: 'again after a while', looks: [FIRST, { atMs: 31_000, steps: [stepOfJob(1)], lines: 2 }] },
  { name: 'at most once a second', looks: [FIRST, { atMs: 500, steps: [stepOfJob(2)], lines: 1 }] },
  { name: 'with few others at once', looks: [{ atMs: 0, steps: FIVE, lines: 3 }, { atMs: 2000, steps: FIVE, lines: 5 }] }
]

describe('UnplacedLog', () => {
  for (const { name, looks } of cases) {
    it(`logs a step that waits ${name}`, () => {
      const log = new TestLog()
      const unplacedLog = new UnplacedLog(log)
      for (const { atMs, steps, lines } of looks) {
        unplacedLog.write({ listUnplaced: () => [...steps] }, atMs)
        expect(log.lines).to.have.length(lines)
      }
      expect(log.lines[0]).to.equal('tasks wait for room {"jobId":"0000000000000001","stepKey":"0000000000000001.0.0","tasks":5,"waitedMs":4000,' +
        '"wants":{"cpuMillis":0,"memoryMb":64000,"gpus":0},"label":"","reason":"workers","workers":{"memory":2}}')
    })
  }
})
