import { expect } from 'chai'
import type { WorkerCapacity } from '@quillscale/ports'
import { createJob, type Job } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema } from '../lib/jobs/JobSpec.js'
import { QuotaAdmission } from '../lib/quotas/QuotaAdmission.js'
import { placeTasks } from '../lib/placement/placeTasks.js'
import type { PlacementGroup, WorkerRoom } from '../lib/placement/WorkerRoom.js'
import { testJobId } from '../testing/testJobId.js'

/** A worker that counts reads of its remaining CPU. */
class CountedRoom implements WorkerRoom {
  static looks = 0
  readonly labels = ['a', 'r1']
  readonly capacity = { cpuMillis: 16_000, memoryMb: 32_000, gpus: 0 }
  readonly isCold = false
  memoryMb = 32_000
  gpus = 0
  reservable: WorkerCapacity = this.capacity
  latencySensitiveTasks = 0
  fillers = 0
  readonly runsByStep = new Map<string, number>()
  readonly runsByJob = new Map<Job, number>()
  lastingRuns = 0
  reservedFor: Job | undefined
  #cpuMillis: number

  constructor (readonly instanceId: string, cpuMillis: number) {
    this.#cpuMillis = cpuMillis
  }

  get cpuMillis (): number {
    CountedRoom.looks++
    return this.#cpuMillis
  }

  set cpuMillis (cpuMillis: number) {
    this.#cpuMillis = cpuMillis
  }
}

/** Creates one group per job, with a single step each. */
function groupsOf (jobs: number, cpuMillis: (job: number) => number, taskCount = 8): PlacementGroup[] {
  return Array.from({ length: jobs }, (_, number) => {
    const steps = [{ taskCount, cpuMillis: cpuMillis(number) }]
    const spec = jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', submittedMs: 0, steps })
    return { tasks: tasksOf(createJob(spec), 0)[0] ?? [], mayReserve: false }
  })
}

describe('placeTasks', () => {
  const cases = [
    { name: 'all tasks that fit', rooms: [16_000, 16_000], jobs: 2, cpuMillis: () => 1000, placed: 16 },
    { name: 'as many tasks as the capacity allows', rooms: [4000, 4000], jobs: 2, cpuMillis: () => 1000, placed: 8 },
    { name: 'smaller tasks after ones that do not fit', rooms: [4000], jobs: 2, cpuMillis: (job: number) => job === 0 ? 5000 : 500, placed: 8 },
    { name: 'nothing on full workers', rooms: [0, 0], jobs: 3, cpuMillis: () => 1000, placed: 0 }
  ]
  for (const { name, rooms, jobs, cpuMillis, placed } of cases) {
    it(`places ${name}`, () => {
      const made = rooms.map((free, index) => new CountedRoom(`w${index}`, free))
      expect(placeTasks(groupsOf(jobs, cpuMillis), made, new QuotaAdmission(() => undefined))).to.have.length(placed)
    })
  }

  it('reads full workers only a few times, however many tasks wait', () => {
    const rooms = Array.from({ length: 200 }, (_, index) => new CountedRoom(`w${index}`, 100))
    CountedRoom.looks = 0
    expect(placeTasks(groupsOf(500, (job) => 1000 + job), rooms, new QuotaAdmission(() => undefined))).to.have.length(0)
    expect(CountedRoom.looks).to.be.at.most(rooms.length * 3)
  })
})
