import { expect } from 'chai'
import type { WorkerInstance } from '@quillscale/ports'
import { createJob, jobSpecSchema, type Run, tasksOf } from '@quillscale/policy'
import type { FencingTokens } from '../lib/workers/FencingTokens.js'
import type { SilentWorkers } from '../lib/workers/SilentWorkers.js'
import { WorkerTracker, type WorkerTrackerOptions } from '../lib/workers/WorkerTracker.js'
import { testJobId } from '@quillscale/policy/testing'
import { TestLog } from './TestService.js'

const INSTANCE: WorkerInstance = {
  instanceId: 'w0/1',
  machineId: 'm0',
  service: 'checks',
  address: '10.0.0.1',
  port: 80,
  availabilityZone: 'z',
  state: 'ready',
  capacity: { cpuMillis: 1e6, memoryMb: 1e6, gpus: 0 },
  labels: []
}
/** Long after the takeover, while all leases of the former holder last. */
const LATER_MS = 1000

/** A holder that has taken over a worker that does not answer, with runs of the former holder. */
class TakeoverPlay {
  readonly log = new TestLog()
  /** How often the state of any run was looked at. */
  looks = 0
  #nowMs = 0

  /** @param runCount - number of runs on the worker */
  constructor (runCount: number) {
    const never = new Promise<never>(() => {})
    const tracker = new WorkerTracker({
      clock: { monotonicMs: () => this.#nowMs, latestMs: () => this.#nowMs, wallMs: () => this.#nowMs },
      log: this.log,
      bounds: () => ({ maxLeaseMs: 6000, stopMs: 20 }),
      fencingTokens: { dutyToken: 1 } as FencingTokens,
      linkOptions: { orders: { hold: () => never, releaseConnections: () => {} }, holdsDuty: () => true } as unknown as WorkerTrackerOptions['linkOptions'],
      silentWorkers: {
        isRecorded: () => false, havePreviousLeasesExpired: () => false, previousLeaseMs: undefined, refreshLeaseMs: () => {}, recordSilent: async () => {}
      } as unknown as SilentWorkers,
      isDraining: () => false,
      onWorkerLost: () => {},
      onLost: () => {},
      onMachineDownForgotten: () => {},
      onMoved: () => {},
      onChange: () => {}
    })
    tracker.updateRegistrations({ workers: [INSTANCE], restartedElsewhere: [], registeredIds: new Set() })
    for (const run of this.#createRuns(runCount)) tracker.addRun(run)
    this.looks = 0
    this.#nowMs = LATER_MS
    tracker.loseExpiredRuns(LATER_MS)
    tracker.close()
  }

  #createRuns (runCount: number): Run[] {
    const spec = jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: runCount }] })
    const look = (): void => { this.looks++ }
    return tasksOf(createJob(spec), 0).flat().map((task): Run => ({
      task,
      taskKey: task.key,
      runNumber: 1,
      instanceId: INSTANCE.instanceId,
      phase: 'unconfirmed',
      placedMs: undefined,
      startedMs: undefined,
      stopConfirmedMs: undefined,
      isUncertain: true,
      shouldStop: false,
      get lastListedMs () {
        look()
        return -Infinity
      },
      set lastListedMs (_ms: number) {},
      percent: 0,
      progressMs: 0,
      pacePercent: 100,
      load: 0
    }))
  }
}

describe('WorkerTracker', () => {
  // Guards against a new holder that stands still over the runs of its predecessor until it has lost the duty itself.
  it('looks at each run of a former holder as often however many there are', () => {
    const [few, many] = [new TakeoverPlay(20), new TakeoverPlay(400)]
    expect(few.log.lines.some((line) => line.startsWith('runs wait for leases of former holders'))).to.equal(true)
    expect(few.looks).to.be.greaterThan(0)
    expect(many.looks / 400).to.equal(few.looks / 20)
  })

  it('logs how many runs wait, and the longest wait', () => {
    const line = new TakeoverPlay(3).log.lines.find((each) => each.startsWith('runs wait for leases of former holders'))
    expect(line).to.contain('"count":3')
    expect(line).to.match(/"mostLeftMs":[1-9]\d{3,4}\b/)
  })
})
