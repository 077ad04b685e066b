import { expect } from 'chai'
import type { WorkerInstance } from '@quillscale/ports'
import { createJob, type Run, type Task } from '../lib/jobs/JobState.js'
import { tasksOf } from '../lib/jobs/jobTasks.js'
import { jobSpecSchema, type StepSpec } from '../lib/jobs/JobSpec.js'
import { planEvacuation, type EvacuationState } from '../lib/machines/planEvacuation.js'
import { createWorkerRoom } from '../lib/placement/createWorkerRoom.js'
import { countsAsCapacity, findUnavailability, type UnavailabilityReason } from '../lib/placement/unavailability.js'
import { WorkerHealth } from '../lib/placement/WorkerHealth.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'
import { testJobId } from '../testing/testJobId.js'

const NOW_MS = 100_000

function worker (changes: Partial<WorkerView> = {}, cpuMillis = 4000): WorkerView {
  const instance = { instanceId: 'elsewhere', machineId: 'm', availabilityZone: 'z1', labels: [], capacity: { cpuMillis, memoryMb: 10_000, gpus: 0 } }
  return {
    instance: instance as unknown as WorkerInstance,
    runs: new Map(),
    clock: { isKnown: true } as WorkerView['clock'],
    health: new WorkerHealth(),
    refusingUntilMs: -Infinity,
    isRecordedSilent: false,
    acceptsRuns: true,
    isAnswering: () => true,
    ...changes
  } as WorkerView
}

describe('planEvacuation', () => {
  /** Each step has three tasks; those of the first `inZone` are in the evacuated zone, all but the one numbered `notReady` are ready. */
  interface EvacuationCase {
    readonly name: string
    readonly steps: ReadonlyArray<Partial<StepSpec>>
    readonly inZone?: number
    readonly cpuMillis?: number
    readonly phase?: Run['phase']
    readonly notReady?: number
    readonly states: EvacuationState[]
  }
  const cases: readonly EvacuationCase[] = [
    { name: 'tasks that end by themselves are left to end', steps: [{}], states: ['ending', 'ending', 'ending'] },
    { name: 'a gang that ends by itself is left to end', steps: [{ isGang: true }], inZone: 1, states: ['ending'] },
    { name: 'a lasting gang stays whole', steps: [{ isGang: true, isLasting: true }], inZone: 2, states: ['gang', 'gang'] },
    { name: 'lasting tasks leave one at a time', steps: [{ isLasting: true }], states: ['leaving', 'disruption-limit', 'disruption-limit'] },
    { name: 'they leave one at a time also if more may be away', steps: [{ isLasting: true, maxAway: 2 }], inZone: 2, states: ['leaving', 'disruption-limit'] },
    { name: 'none leaves while another is away and no limit is given', steps: [{ isLasting: true }], inZone: 2, notReady: 2, states: ['disruption-limit', 'disruption-limit'] },
    { name: 'one leaves beside another that is away if two may be', steps: [{ isLasting: true, maxAway: 2 }], inZone: 1, notReady: 2, states: ['leaving'] },
    { name: 'none leaves if none may be away', steps: [{ isLasting: true, maxAway: 0 }], inZone: 1, states: ['disruption-limit'] },
    { name: 'steps do not wait for each other', steps: [{ isLasting: true }, { isLasting: true }], inZone: 1, states: ['leaving', 'leaving'] },
    { name: 'room is taken once', steps: [{ isLasting: true }, { isLasting: true }], inZone: 1, cpuMillis: 1000, states: ['leaving', 'no-room'] },
    { name: 'tasks stay without room', steps: [{ isLasting: true }], cpuMillis: 900, states: ['no-room', 'no-room', 'no-room'] },
    { name: 'tasks stay if no worker with room is suitable', steps: [{ isLasting: true, requiredLabel: 'gpu' }], inZone: 1, states: ['no-room'] },
    { name: 'a run that is being stopped leaves', steps: [{ isLasting: true }], inZone: 1, phase: 'stopping', states: ['leaving'] },
    { name: 'a run that is being started is not stopped', steps: [{ isLasting: true }], inZone: 1, phase: 'starting', states: ['ending'] }
  ]
  for (const { name, steps, states, inZone = 3, cpuMillis = 4000, phase = 'running', notReady } of cases) {
    it(name, () => {
      const spec = jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, steps: steps.map((step) => ({ taskCount: 3, cpuMillis: 1000, ...step })) })
      const runs = tasksOf(createJob(spec), 0).flatMap((tasks) => tasks.map((task, index) => runOf(task, phase, index === notReady ? 0 : 100)).slice(0, inZone))
      const planned = planEvacuation(runs, [createWorkerRoom(worker({}, cpuMillis), NOW_MS)], NOW_MS)
      expect(runs.map((run) => planned.get(run))).to.deep.equal(states)
    })
  }
})

function runOf (task: Task, phase: Run['phase'], percent: number): Run {
  const run = { task, taskKey: task.key, runNumber: 1, instanceId: 'w', phase, placedMs: 0, startedMs: 0, lastListedMs: NOW_MS, percent } as Run
  task.runs.push(run)
  return run
}

describe('findUnavailability', () => {
  const quarantined = { isQuarantined: () => true } as unknown as WorkerHealth
  interface WorkerCase { name: string, view?: Partial<WorkerView>, evacuated?: string, draining?: boolean, reason?: UnavailabilityReason, isCapacity: boolean }
  const cases: readonly WorkerCase[] = [
    { name: 'a ready worker', isCapacity: true },
    { name: 'a worker beside an evacuated zone', evacuated: 'z0', isCapacity: true },
    { name: 'a worker in an evacuated zone', evacuated: 'z1', reason: 'evacuated', isCapacity: false },
    { name: 'a worker that also refuses runs there', evacuated: 'z1', view: { refusingUntilMs: Infinity }, reason: 'evacuated', isCapacity: false },
    { name: 'a worker that is leaving from there', evacuated: 'z1', view: { acceptsRuns: false }, reason: 'not-ready', isCapacity: false },
    { name: 'a silent worker', view: { isAnswering: () => false }, reason: 'silent', isCapacity: false },
    { name: 'a worker whose clock is unknown', view: { clock: { isKnown: false } as WorkerView['clock'] }, reason: 'clock-unknown', isCapacity: true },
    { name: 'a worker that is recorded as silent', view: { isRecordedSilent: true }, reason: 'recorded-silent', isCapacity: true },
    { name: 'a worker that refused a run', view: { refusingUntilMs: NOW_MS + 1 }, reason: 'refusing', isCapacity: true },
    { name: 'a worker where runs failed', view: { health: quarantined }, reason: 'quarantined', isCapacity: true },
    { name: 'a worker of a draining machine', draining: true, reason: 'machine-draining', isCapacity: true }
  ]
  for (const { name, view, evacuated, draining = false, reason, isCapacity } of cases) {
    it(`${name}: ${reason ?? 'available'}, ${isCapacity ? '' : 'no '}capacity`, () => {
      const context = { nowMs: NOW_MS, isMachineDraining: () => draining, isEvacuated: (zone: string) => zone === evacuated }
      expect([findUnavailability(worker(view), context), countsAsCapacity(worker(view), context)]).to.deep.equal([reason, isCapacity])
    })
  }
})
