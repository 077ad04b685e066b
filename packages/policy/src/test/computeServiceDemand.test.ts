import { expect } from 'chai'
import type { AccountName } from '@quillscale/ports'
import { createJob, type Job } from '../lib/jobs/JobState.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { computeServiceDemand } from '../lib/machines/computeServiceDemand.js'
import { machinesNeeded } from '../lib/machines/planPools.js'
import type { Resources } from '../lib/quotas/resources.js'
import { createTestWorker } from '../testing/createTestWorker.js'
import { testJobId } from '../testing/testJobId.js'

const MACHINE: Resources = { cpuMillis: 16_000, memoryMb: 32_000, gpus: 2 }
const ACCOUNT = 'press' as AccountName

function jobOf (number: number, step: Partial<StepSpec>): Job {
  const steps = [{ taskCount: 1, cpuMillis: 1000, memoryMb: 256, ...step }]
  return createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', owner: { account: ACCOUNT, keyTag: 't' }, command: '', submittedMs: 0, steps }))
}

const cases: ReadonlyArray<{
  readonly name: string
  readonly steps: ReadonlyArray<Partial<StepSpec>>
  readonly machines?: readonly Resources[]
  readonly limit?: Resources
  readonly expected: number
}> = [
  { name: 'the least number for little work', steps: [{}], expected: 2 },
  { name: 'by CPU', steps: [{ taskCount: 136 }], expected: 10 },
  { name: 'one for each task that fills a machine\'s memory, and room for small ones', steps: [{ taskCount: 5, memoryMb: 32_000, isLasting: true }], expected: 6 },
  { name: 'one for each task of more than half a machine\'s memory', steps: [{ taskCount: 5, memoryMb: 17_000 }], expected: 5 },
  { name: 'one for each task of more than half a machine\'s CPU', steps: [{ taskCount: 5, cpuMillis: 9000 }], expected: 5 },
  { name: 'by memory', steps: [{ taskCount: 136, cpuMillis: 100, memoryMb: 2000 }], expected: 10 },
  { name: 'by GPUs', steps: [{ taskCount: 8, gpus: 1 }], expected: 5 },
  { name: 'no sum of tasks that go together on one machine', steps: [{ taskCount: 5, memoryMb: 30_000 }, { taskCount: 5, cpuMillis: 15_000, memoryMb: 100 }], expected: 6 },
  { name: 'by CPU alone for tasks that fit on no machine', steps: [{ taskCount: 50, cpuMillis: 100, memoryMb: 64_000 }], expected: 2 },
  { name: 'within the limit of the account', steps: [{ taskCount: 10, memoryMb: 32_000 }], limit: { cpuMillis: Infinity, memoryMb: 96_000, gpus: Infinity }, expected: 4 },
  { name: 'by what each machine holds, as they differ', steps: [{ taskCount: 6, cpuMillis: 8000 }], machines: [MACHINE, { ...MACHINE, cpuMillis: 15_500 }], expected: 4 }
]

// Five tasks that need a worker's whole memory got two machines for good, and small jobs found no room beside them.
describe('the machines that a service needs', () => {
  for (const { name, steps, machines = [MACHINE, MACHINE], limit, expected } of cases) {
    it(`are counted: ${name}`, () => {
      const workerViews = machines.map((capacity, index) => {
        const worker = createTestWorker(capacity.cpuMillis, `w${index}`)
        return { ...worker, instance: { ...worker.instance, capacity } }
      })
      const demand = computeServiceDemand({
        service: 's', jobs: steps.map((step, index) => jobOf(index, step)), workerViews, limitOf: () => limit, isEvacuated: () => false, nowMs: 0, wallMs: 0
      })
      expect(machinesNeeded(demand)).to.equal(expected)
    })
  }
})
