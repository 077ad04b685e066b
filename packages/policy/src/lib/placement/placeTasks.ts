/**
 * Decides which waiting tasks start on which workers.
 *
 * @module
 */
import type { StepSpec } from '../jobs/JobSpec.js'
import { isCrashSuspect } from '../jobs/crashes.js'
import { stepOf, type Task } from '../jobs/JobState.js'
import type { QuotaAdmission } from '../quotas/QuotaAdmission.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'
import { adjustRunCounts, allowsIsolation, reserveForSuspects, countRunsOfOtherJobs, orderSuspectsFirst } from './isolation.js'

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
export function placeTasks (groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[], quota: QuotaAdmission): Placement[] {
  const placements: Placement[] = []
  reserveForSuspects(groups.filter(({ tasks }) => quota.hasQuotaFor(tasks)), rooms)
  // Rooms only shrink: once no worker has so much processor time left, later tasks that want as much need not look.
  let leastRefusedMillis = Infinity
  for (const group of groups) {
    const first = group.tasks[0]
    if (first === undefined) continue
    const wantedMillis = cpuDemandOf(stepOf(first))
    if (wantedMillis >= leastRefusedMillis && !group.mayReserve) continue
    const tasks = quota.admit(orderSuspectsFirst(group.tasks))
    if (tasks.length === 0) continue
    const admitted = { ...group, tasks }
    const placed = stepOf(first).isGang ? placeGang(admitted, rooms) : placeEach(admitted, rooms)
    for (const { task } of placed) quota.consume(task)
    if (placed.length === 0 && rooms.every(({ cpuMillis }) => cpuMillis < wantedMillis)) leastRefusedMillis = Math.min(leastRefusedMillis, wantedMillis)
    placements.push(...placed)
  }
  return placements
}

function placeEach (group: PlacementGroup, rooms: readonly WorkerRoom[]): Placement[] {
  const placements: Placement[] = []
  for (const task of group.tasks) {
    const room = findBestRoom(task, group, rooms)
    if (room !== undefined) {
      adjustRoom(room, task, 1)
      if (isCrashSuspect(task)) room.reservedFor ??= task.job
      placements.push({ task, instanceId: room.instanceId, ticket: group.tickets?.get(room.instanceId) })
      continue
    }
    if (isCrashSuspect(task)) continue
    // The others of the step want the same.
    if (!group.mayReserve) break
    reserveLargestRoom(task, group, rooms)
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
    for (const { task, instanceId } of placements) adjustRoom(roomOf(instanceId, candidates), task, -1)
  }
  return []
}

function roomOf (instanceId: string, rooms: readonly WorkerRoom[]): WorkerRoom {
  return rooms.find((room) => room.instanceId === instanceId) as WorkerRoom
}

function isSuitable (task: Task, step: StepSpec, group: PlacementGroup, room: WorkerRoom): boolean {
  if (step.requiredLabel !== '' && !room.labels.includes(step.requiredLabel)) return false
  if (!allowsIsolation(task, group, room)) return false
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
function placementScore (task: Task, step: StepSpec, room: WorkerRoom): number {
  const isNear = step.preferredRack === '' || room.labels.includes(step.preferredRack)
  const isAvoided = task.avoidedInstances.has(room.instanceId)
  const disturbed = step.isFiller ? room.latencySensitiveTasks + room.fillers : step.targetTailMs > 0 ? room.fillers : 0
  const used = 2 - room.cpuMillis / Math.max(1, room.capacity.cpuMillis) - room.memoryMb / Math.max(1, room.capacity.memoryMb)
  const together = step.isLasting ? room.runsByStep.get(task.stepKey) ?? 0 : 0
  const harmed = isCrashSuspect(task) ? countRunsOfOtherJobs(room, task.job) : 0
  const against = harmed * ENDANGERED_RUN_WEIGHT + (isAvoided ? AVOIDED_WORKER_WEIGHT : 0) + disturbed * INTERFERENCE_WEIGHT + together * COLOCATION_WEIGHT
  return (isNear ? LOCALITY_WEIGHT : 0) + used - against
}

/** Weights order the wishes: each is larger than all that stand below it together (free room adds at most 2). */
const LOCALITY_WEIGHT = 1000
const AVOIDED_WORKER_WEIGHT = 10_000
const ENDANGERED_RUN_WEIGHT = 20_000
const INTERFERENCE_WEIGHT = 50
const COLOCATION_WEIGHT = 5

function findBestRoom (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
  const step = stepOf(task)
  let best: WorkerRoom | undefined
  let bestPreference = -Infinity
  for (const room of rooms) {
    if (!fits(step, room) || !isSuitable(task, step, group, room)) continue
    const value = placementScore(task, step, room)
    if (value > bestPreference) [best, bestPreference] = [room, value]
  }
  return best
}

/** Keeps the room of the suitable worker that has most of it, so that less important tasks do not take it piece by piece. */
function reserveLargestRoom (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): void {
  const step = stepOf(task)
  const suitable = rooms.filter((room) => isSuitable(task, step, group, room) && room.capacity.cpuMillis >= step.cpuMillis)
  const fullest = suitable.reduce<WorkerRoom | undefined>((best, room) => best === undefined || room.cpuMillis > best.cpuMillis ? room : best, undefined)
  if (fullest !== undefined) adjustRoom(fullest, task, 1)
}

function adjustRoom (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const step = stepOf(task)
  room.cpuMillis -= sign * cpuDemandOf(step)
  room.memoryMb -= sign * step.memoryMb
  room.gpus -= sign * step.gpus
  if (step.isFiller) room.fillers += sign
  else if (step.targetTailMs > 0) room.latencySensitiveTasks += sign
  const key = task.stepKey
  room.runsByStep.set(key, (room.runsByStep.get(key) ?? 0) + sign)
  adjustRunCounts(room, task, sign)
}

/** Counts a run that is there already. @param room - its worker's @param task - whose run @public */
export function occupy (room: WorkerRoom, task: Task): void {
  adjustRoom(room, task, 1)
}
