/**
 * Decides which runs leave the workers of an evacuated availability zone, and why the others stay.
 *
 * Tasks that end by themselves are left to end: moving them would lose work that nobody asked to give up. Lasting tasks move one at a time
 * per step, and only to room that exists elsewhere, as an evacuation is not urgent.
 *
 * @module
 */
import { stepOf, type Run, type Task } from '../jobs/JobState.js'
import { findRoomFor, occupy } from '../placement/placeTasks.js'
import type { WorkerRoom } from '../placement/WorkerRoom.js'
import { countOthersAway } from './planDrain.js'

/**
 * Why a run is still on a worker of an evacuated zone. `leaving`: it is being stopped; `ending`: it ends by itself; `gang`: its gang runs
 * only as a whole; `disruption-limit`: another task of its step is away; `no-room`: no worker elsewhere has room for it.
 *
 * @public
 */
export type EvacuationState = typeof EVACUATION_STATES[number]

/** All states of runs in evacuated zones. @public */
export const EVACUATION_STATES = ['leaving', 'ending', 'gang', 'disruption-limit', 'no-room'] as const

/** Most tasks of a step without a disruption limit that are away at once because of an evacuation. */
const DEFAULT_MAX_AWAY = 1

/**
 * Classifies the runs in evacuated zones.
 *
 * @param runs - runs on workers of evacuated zones
 * @param rooms - available workers elsewhere; room that a leaving task needs is deducted
 * @param nowMs - monotonic
 * @returns for each run what becomes of it; those `leaving` that are in phase `running` are to be stopped now
 * @public
 */
export function planEvacuation (runs: readonly Run[], rooms: readonly WorkerRoom[], nowMs: number): Map<Run, EvacuationState> {
  const disruptedSteps = new Set<readonly Task[]>()
  return new Map(runs.map((run) => [run, stateOf(run, rooms, disruptedSteps, nowMs)]))
}

function stateOf (run: Run, rooms: readonly WorkerRoom[], disruptedSteps: Set<readonly Task[]>, nowMs: number): EvacuationState {
  const { task, phase } = run
  const step = stepOf(task)
  if (phase === 'stopping') return 'leaving'
  if (!step.isLasting || phase !== 'running') return 'ending'
  if (step.isGang) return 'gang'
  const members = task.job.occurrences.get(task.occurrence)?.[task.stepIndex] ?? [task]
  if (disruptedSteps.has(members) || countOthersAway(task, members, nowMs) >= (step.maxAway ?? DEFAULT_MAX_AWAY)) return 'disruption-limit'
  const room = findRoomFor(task, rooms)
  if (room === undefined) return 'no-room'
  occupy(room, task)
  disruptedSteps.add(members)
  return 'leaving'
}
