import type { Run } from '../lib/jobs/JobState.js'
import { WorkerHealth } from '../lib/placement/WorkerHealth.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'

/** A worker whose runs a test adds and removes. */
export type TestWorker = WorkerView & { readonly runs: Map<string, Run> }

/** @param cpuMillis - capacity @param instanceId - its lifetime @param gpus - capacity @returns a healthy worker without runs, with memory for all */
export function createTestWorker (cpuMillis: number, instanceId = 'w', gpus = 0): TestWorker {
  return {
    instance: {
      instanceId,
      machineId: instanceId,
      service: 's',
      address: '10.0.0.1',
      port: 80,
      availabilityZone: 'z',
      state: 'ready',
      labels: [],
      capacity: { cpuMillis, memoryMb: 1e9, gpus }
    },
    acceptsRuns: true,
    runs: new Map(),
    clock: { isKnown: true },
    health: new WorkerHealth(),
    refusingUntilMs: -Infinity,
    coldUntilMs: -Infinity,
    isRecordedSilent: false,
    isAnswering: () => true
  }
}
