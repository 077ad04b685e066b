import type { FleetConfiguration } from '@quillscale/ports'
import type { Job, Run } from '../lib/jobs/JobState.js'
import { RunTimeEstimator } from '../lib/jobs/RunTimeEstimator.js'
import { PlacementRound } from '../lib/placement/PlacementRound.js'
import type { TestWorker } from './createTestWorker.js'

/** State of a service between rounds in which no run ends. */
export interface PlayedService {
  readonly configuration: FleetConfiguration
  readonly jobs: readonly Job[]
  readonly workers: readonly TestWorker[]
  readonly maxStartsUnderWay: number
  /** Monotonic. */
  readonly nowMs: number
  readonly wallMs: number
}

/**
 * Plays a placement round after which all starts are answered.
 *
 * @param service - the service; its workers get the new runs
 * @returns the new runs, and the jobs that were left out because their steps could not be listed
 */
export function playRound ({ workers, ...state }: PlayedService): { readonly runs: Run[], readonly failedJobs: PlacementRound['failedJobs'] } {
  const round = new PlacementRound({
    ...state,
    workerViews: workers,
    runTimes: new RunTimeEstimator(),
    advice: { ticketsFor: () => undefined },
    accountQuotaOf: () => undefined,
    availability: { isMachineDraining: () => false, isEvacuated: () => false }
  })
  const runs = round.place()
  for (const run of runs) {
    run.phase = 'running'
    workers.find(({ instance }) => instance.instanceId === run.instanceId)?.runs.set(run.taskKey, run)
  }
  return { runs, failedJobs: round.failedJobs }
}
