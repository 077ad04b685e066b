/**
 * Decides which waiting tasks start on which workers.
 *
 * @module
 */
import type { StepSpec } from '../jobs/JobSpec.js'
import { isSuspect } from '../jobs/crashes.js'
import { stepOf, type Task } from '../jobs/JobState.js'
import type { QuotaRound } from '../quotas/QuotaRound.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'
import { countRun, isIsolated, leaveRooms, runsOfOthers, suspectsFirst } from './isolation.js'

/** A placement. @public */
export interface Placement {
  readonly task: Task
  readonly instanceId: string
  readonly ticket?: string | undefined
}

/** @param step - any @returns the processor time that it takes of a worker's room @public */
export const cpuDemandOf = (step: StepSpec): number => step.isFiller ? 0 : step.cpuMillis

/**
 * Places tasks, the most important first, each on the worker that suits it best.
 *
 * @param groups - steps with waiting tasks, the most important first
 * @param rooms - the workers that take work; their room is used up
 * @param quota - what each account may start; used up, too
 * @returns what to start where; tasks without a suitable worker are left out
 * @public
 */
export function placeTasks (groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[], quota: QuotaRound): Placement[] {
  const placements: Placement[] = []
  leaveRooms(groups.filter(({ tasks }) => quota.hasRoomFor(tasks)), rooms)
  // Rooms only shrink: once no worker has so much processor time left, later tasks that want as much need not look.
  let leastRefusedMillis = Infinity
  for (const group of groups) {
    const first = group.tasks[0]
    if (first === undefined) continue
    const wantedMillis = cpuDemandOf(stepOf(first))
    if (wantedMillis >= leastRefusedMillis && !group.mayReserve) continue
    const tasks = quota.admit(suspectsFirst(group.tasks))
    if (tasks.length === 0) continue
    const admitted = { ...group, tasks }
    const placed = stepOf(first).isGang ? placeGang(admitted, rooms) : placeEach(admitted, rooms)
    for (const { task } of placed) quota.take(task)
    if (placed.length === 0 && rooms.every(({ cpuMillis }) => cpuMillis < wantedMillis)) leastRefusedMillis = Math.min(leastRefusedMillis, wantedMillis)
    placements.push(...placed)
  }
  return placements
}

function placeEach (group: PlacementGroup, rooms: readonly WorkerRoom[]): Placement[] {
  const placements: Placement[] = []
  for (const task of group.tasks) {
    const room = bestRoom(task, group, rooms)
    if (room !== undefined) {
      take(room, task, 1)
      if (isSuspect(task)) room.leftTo ??= task.job
      placements.push({ task, instanceId: room.instanceId, ticket: group.tickets?.get(room.instanceId) })
      continue
    }
    if (isSuspect(task)) continue
    // The others of the step want the same.
    if (!group.mayReserve) break
    reserve(task, group, rooms)
  }
  return placements
}

/** All members at once or none: a member that waits for the others holds room for nothing. */
function placeGang (group: PlacementGroup, rooms: readonly WorkerRoom[]): Placement[] {
  const racks = new Set(rooms.map(({ labels }) => labels.at(-1)))
  const first = group.tasks[0] as Task
  const attempts = stepOf(first).wantsOneRack ? [...[...racks].map((rack) => rooms.filter(({ labels }) => labels.at(-1) === rack)), rooms] : [rooms]
  for (const candidates of attempts) {
    const placements = placeEach({ ...group, mayReserve: false }, candidates)
    if (placements.length === group.tasks.length) return placements
    for (const { task, instanceId } of placements) take(roomOf(instanceId, candidates), task, -1)
  }
  return []
}

function roomOf (instanceId: string, rooms: readonly WorkerRoom[]): WorkerRoom {
  return rooms.find((room) => room.instanceId === instanceId) as WorkerRoom
}

function suits (task: Task, step: StepSpec, group: PlacementGroup, room: WorkerRoom): boolean {
  if (step.requiredLabel !== '' && !room.labels.includes(step.requiredLabel)) return false
  if (!isIsolated(task, group, room)) return false
  if (group.tickets !== undefined && !group.tickets.has(room.instanceId)) return false
  return step.maxPerWorker === 0 || (room.runsByStep.get(task.stepKey) ?? 0) < step.maxPerWorker
}

function fits (step: StepSpec, room: WorkerRoom): boolean {
  return room.cpuMillis >= cpuDemandOf(step) && room.memoryMb >= step.memoryMb && room.gpus >= step.gpus
}

/**
 * Higher is better. Where it would end the fewest other runs, not where it failed before, near its data, away from what it would disturb,
 * lasting tasks of a step apart;
 * then the fullest, so that machines without work can be given to others.
 */
function preference (task: Task, step: StepSpec, room: WorkerRoom): number {
  const isNear = step.preferredRack === '' || room.labels.includes(step.preferredRack)
  const isAvoided = task.avoid.has(room.instanceId)
  const disturbed = step.isFiller ? room.servingTasks + room.fillers : step.targetTailMs > 0 ? room.fillers : 0
  const used = 2 - room.cpuMillis / Math.max(1, room.capacity.cpuMillis) - room.memoryMb / Math.max(1, room.capacity.memoryMb)
  const together = step.isLasting ? room.runsByStep.get(task.stepKey) ?? 0 : 0
  const harmed = isSuspect(task) ? runsOfOthers(room, task.job) : 0
  const against = harmed * HARMED_WEIGHT + (isAvoided ? AVOIDED_WEIGHT : 0) + disturbed * DISTURBED_WEIGHT + together * TOGETHER_WEIGHT
  return (isNear ? NEAR_WEIGHT : 0) + used - against
}

/** Weights order the wishes: each is larger than all that stand below it together (free room adds at most 2). */
const NEAR_WEIGHT = 1000
const AVOIDED_WEIGHT = 10_000
const HARMED_WEIGHT = 20_000
const DISTURBED_WEIGHT = 50
const TOGETHER_WEIGHT = 5

function bestRoom (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
  const step = stepOf(task)
  let best: WorkerRoom | undefined
  let bestPreference = -Infinity
  for (const room of rooms) {
    if (!fits(step, room) || !suits(task, step, group, room)) continue
    const value = preference(task, step, room)
    if (value > bestPreference) [best, bestPreference] = [room, value]
  }
  return best
}

/** Keeps the room of the suitable worker that has most of it, so that less important tasks do not take it piece by piece. */
function reserve (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): void {
  const step = stepOf(task)
  const suitable = rooms.filter((room) => suits(task, step, group, room) && room.capacity.cpuMillis >= step.cpuMillis)
  const fullest = suitable.reduce<WorkerRoom | undefined>((best, room) => best === undefined || room.cpuMillis > best.cpuMillis ? room : best, undefined)
  if (fullest !== undefined) take(fullest, task, 1)
}

function take (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const step = stepOf(task)
  room.cpuMillis -= sign * cpuDemandOf(step)
  room.memoryMb -= sign * step.memoryMb
  room.gpus -= sign * step.gpus
  if (step.isFiller) room.fillers += sign
  else if (step.targetTailMs > 0) room.servingTasks += sign
  const key = task.stepKey
  room.runsByStep.set(key, (room.runsByStep.get(key) ?? 0) + sign)
  countRun(room, task, sign)
}

/** Counts a run that is there already. @param room - its worker's @param task - whose run @public */
export function occupy (room: WorkerRoom, task: Task): void {
  take(room, task, 1)
}
