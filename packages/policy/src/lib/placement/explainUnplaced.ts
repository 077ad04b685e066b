/**
 * Explains why the tasks of a step are not placed.
 *
 * @module
 */
import { stepOf, type Task } from '../jobs/JobState.js'
import { allowsIsolation } from './isolation.js'
import { allowsSpread, cpuDemandOf, fits, hasRequiredLabel, hasTicket } from './suitability.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'

/**
 * Why a worker that takes runs gets no task of a step. `label`: it lacks the label; `cpu`, `memory`, `gpus`: it is too small even when empty; `ticket`: it
 * has none; `spread`: it has all the runs of the step that it may have; `lasting-runs`: its lasting runs leave too little; `kept-apart`: it is kept for,
 * or from, a job that may crash it; `full`: its finite runs leave too little now; `others`: its room is reserved, the gang does not fit
 * as a whole, or too many starts are under way.
 *
 * @public
 */
export type PlacementObstacle = 'label' | 'cpu' | 'memory' | 'gpus' | 'ticket' | 'spread' | 'lasting-runs' | 'kept-apart' | 'full' | 'others'

/** Waiting tasks of a step, and what stands in their way. @public */
export interface UnplacedStep {
  readonly task: Task
  readonly taskCount: number
  readonly waitedMs: number
  /** `quota`: their account has used up its quota; `advice`: there is no advice yet; `workers`: as `workers` tells. */
  readonly reason: 'quota' | 'advice' | 'workers'
  /** Number of workers that take runs, by the first obstacle that applies. */
  readonly workers: Partial<Record<PlacementObstacle, number>>
}

type ObstacleRule = (task: Task, group: PlacementGroup, room: WorkerRoom) => boolean

/** Rules in the order in which they are checked: first those that waiting does not change. */
const RULES: Readonly<Record<PlacementObstacle, ObstacleRule>> = {
  label: (task, _group, room) => !hasRequiredLabel(stepOf(task), room.labels),
  cpu: (task, _group, { capacity }) => capacity.cpuMillis < cpuDemandOf(stepOf(task)),
  memory: (task, _group, { capacity }) => capacity.memoryMb < stepOf(task).memoryMb,
  gpus: (task, _group, { capacity }) => capacity.gpus < stepOf(task).gpus,
  ticket: (_task, group, room) => !hasTicket(group, room),
  spread: (task, _group, room) => !allowsSpread(task, room),
  'lasting-runs': (task, _group, room) => !fits(stepOf(task), room.reservable),
  'kept-apart': (task, group, room) => !allowsIsolation(task, group, room),
  full: (task, _group, room) => !fits(stepOf(task), room),
  others: () => true
}
const OBSTACLES = Object.keys(RULES) as PlacementObstacle[]

/**
 * Counts workers by what keeps a task from them.
 *
 * @param task - a waiting task
 * @param group - its step
 * @param rooms - workers that take runs, with their present free capacity
 * @returns the number of workers by the first obstacle that applies
 */
export function countObstacles (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): Partial<Record<PlacementObstacle, number>> {
  const counts: Partial<Record<PlacementObstacle, number>> = {}
  for (const room of rooms) {
    const obstacle = OBSTACLES.find((each) => RULES[each](task, group, room)) ?? 'others'
    counts[obstacle] = (counts[obstacle] ?? 0) + 1
  }
  return counts
}
