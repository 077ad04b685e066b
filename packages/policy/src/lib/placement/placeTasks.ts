/**
 * Decides which waiting tasks start on which workers.
 *
 * @module
 */
import type { StepSpec } from '../jobs/JobSpec.js'
import { isCrashSuspect } from '../jobs/crashes.js'
import { stepOf, type Task } from '../jobs/JobState.js'
import { compareRanks } from '../jobs/rankStep.js'
import type { QuotaAdmission } from '../quotas/QuotaAdmission.js'
import { StartBudget } from './StartBudget.js'
import { countWaiting, type PlacementGroup, type WorkerRoom } from './WorkerRoom.js'
import { minus, plus } from '../quotas/resources.js'
import { adjustRunCounts, countRunsOfOtherJobs, orderSuspectsFirst } from './isolation.js'
import { countPlaces, findReservableRoom, reserveForSuspects } from './reservations.js'
import { cpuDemandOf, demandOf, fits, isSuitable } from './suitability.js'

/** Assignment of a task to a worker. @public */
export interface Placement {
  readonly task: Task
  readonly instanceId: string
  readonly ticket?: string | undefined
}

/**
 * Places tasks in order of importance, each on the worker with the highest score.
 *
 * @param groups - steps with waiting tasks, the most important first
 * @param rooms - available workers; their remaining capacity is reduced
 * @param quota - remaining quota of the accounts; reduced, too
 * @param budget - the starts that may be made; reduced, too
 * @returns the placements; tasks without a suitable worker, or beyond the budget, are left out
 * @public
 */
export function placeTasks (
  groups: readonly PlacementGroup[], rooms: readonly WorkerRoom[], quota: QuotaAdmission, budget = new StartBudget(Infinity)
): Placement[] {
  const placements: Placement[] = []
  reserveForSuspects(groups.filter((group) => quota.hasQuotaFor(group.tasks, countWaiting(group))), rooms)
  // Capacity only shrinks: once no worker has this much CPU left, later tasks that need as much are skipped.
  let leastRefusedMillis = Infinity
  const queue = [...groups]
  for (const [at, group] of queue.entries()) {
    const mostStarts = budget.admit(group)
    const first = group.tasks[0]
    if (first === undefined) continue
    const wantedMillis = cpuDemandOf(stepOf(first))
    if (wantedMillis >= leastRefusedMillis && !group.mayReserve) continue
    const waiting = countWaiting(group)
    const admitted = quota.countAdmitted(orderSuspectsFirst(group.tasks), waiting, group.laterTasks)
    const starts = Math.min(admitted, mostStarts)
    if (starts < admitted) budget.recordCut(group)
    if (starts === 0) continue
    const placed = stepOf(first).isGang ? placeGang(group, rooms) : placeEach(group, starts, rooms)
    for (const { task } of placed) quota.consume(task)
    budget.take(placed.length, group)
    if (placed.length === 0 && rooms.every(({ cpuMillis }) => cpuMillis < wantedMillis)) leastRefusedMillis = Math.min(leastRefusedMillis, wantedMillis)
    for (const placement of placed) placements.push(placement)
    const next = placed.length === waiting ? group.next?.() : undefined
    if (next !== undefined) insertByRank(queue, at + 1, next)
  }
  return placements
}

/** Inserts a step behind those of the same rank or a higher one. */
function insertByRank (queue: PlacementGroup[], from: number, group: PlacementGroup): void {
  let low = from
  let high = queue.length
  while (low < high) {
    const middle = (low + high) >> 1
    const other = queue[middle]?.rank
    if (other !== undefined && group.rank !== undefined && compareRanks(other, group.rank) <= 0) low = middle + 1
    else high = middle
  }
  queue.splice(low, 0, group)
}

/** Yields the tasks of a step as they may be placed, suspect ones first; those that do not exist yet are created one by one. */
function * firstTasks (group: PlacementGroup, most: number): Generator<Task> {
  const created = orderSuspectsFirst(group.tasks).slice(0, most)
  yield * created
  for (let count = created.length; count < most; count++) {
    const task = group.further?.create()
    if (task === undefined) return
    yield task
  }
}

function placeEach (group: PlacementGroup, most: number, rooms: readonly WorkerRoom[]): Placement[] {
  const placements: Placement[] = []
  for (const task of firstTasks(group, most)) {
    const room = findBestRoom(task, group, rooms)
    if (room !== undefined) {
      adjustRoom(room, task, 1)
      if (isCrashSuspect(task)) room.reservedFor ??= task.job
      placements.push({ task, instanceId: room.instanceId, ticket: group.tickets?.get(room.instanceId) })
      continue
    }
    if (isCrashSuspect(task)) continue
    const reservable = group.mayReserve ? findReservableRoom(task, group, rooms) : undefined
    // The other tasks of the step need the same resources.
    if (reservable === undefined) break
    adjustRoom(reservable, task, 1)
  }
  return placements
}

/** Places all members or none, since a member that waits for the others would waste its capacity. Members are created only if there is room for all. */
function placeGang (group: PlacementGroup, rooms: readonly WorkerRoom[]): Placement[] {
  const racks = new Set(rooms.map(({ labels }) => labels.at(-1)))
  const first = group.tasks[0] as Task
  const attempts = stepOf(first).wantsOneRack ? [...[...racks].map((rack) => rooms.filter(({ labels }) => labels.at(-1) === rack)), rooms] : [rooms]
  const members = countWaiting(group)
  for (const candidates of attempts) {
    if (countPlaces(first, group, candidates, (room) => room) < members) continue
    const placements = placeEach({ ...group, mayReserve: false }, members, candidates)
    if (placements.length === members) return placements
    for (const { task, instanceId } of placements) adjustRoom(roomOf(instanceId, candidates), task, -1)
  }
  return []
}

function roomOf (instanceId: string, rooms: readonly WorkerRoom[]): WorkerRoom {
  return rooms.find((room) => room.instanceId === instanceId) as WorkerRoom
}

/**
 * Scores a worker for a task; higher is better. Prefers, in this order, workers where a crash would end the fewest other runs, where the task has
 * not failed, near its data, with the least interference, with few lasting tasks of the same step, warm if the task is urgent, and the fullest,
 * so that idle machines can be released. The warm-up passes while the criteria above it hold for as long as the task runs; but a slow start
 * delays somebody now, and a full worker only saves a machine later.
 */
function placementScore (task: Task, step: StepSpec, room: WorkerRoom, isUrgent: boolean): number {
  const isNear = step.preferredRack === '' || room.labels.includes(step.preferredRack)
  const isAvoided = task.avoidedInstances.has(room.instanceId)
  const disturbed = step.isFiller ? room.latencySensitiveTasks + room.fillers : step.targetTailMs > 0 ? room.fillers : 0
  const used = 2 - room.cpuMillis / Math.max(1, room.capacity.cpuMillis) - room.memoryMb / Math.max(1, room.capacity.memoryMb)
  const colocatedRuns = step.isLasting ? room.runsByStep.get(task.stepKey) ?? 0 : 0
  const endangeredRuns = isCrashSuspect(task) ? countRunsOfOtherJobs(room, task.job) : 0
  const penalty = endangeredRuns * ENDANGERED_RUN_WEIGHT + (isAvoided ? AVOIDED_WORKER_WEIGHT : 0) +
    disturbed * INTERFERENCE_WEIGHT + colocatedRuns * COLOCATION_WEIGHT + (isUrgent && room.isCold ? COLD_WORKER_WEIGHT : 0)
  return (isNear ? LOCALITY_WEIGHT : 0) + used - penalty
}

/** Each weight exceeds the sum of all lower criteria (utilization adds at most 2). */
const LOCALITY_WEIGHT = 1000
const AVOIDED_WORKER_WEIGHT = 10_000
const ENDANGERED_RUN_WEIGHT = 20_000
const INTERFERENCE_WEIGHT = 50
const COLOCATION_WEIGHT = 5
const COLD_WORKER_WEIGHT = 2.5

function findBestRoom (task: Task, group: PlacementGroup, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
  const step = stepOf(task)
  let best: WorkerRoom | undefined
  let bestScore = -Infinity
  for (const room of rooms) {
    if (!fits(step, room) || !isSuitable(task, group, room)) continue
    const value = placementScore(task, step, room, group.isUrgent === true)
    if (value > bestScore) [best, bestScore] = [room, value]
  }
  return best
}

/**
 * Finds the best worker with room for a task.
 *
 * @param task - the task
 * @param rooms - available workers
 * @returns the worker, `undefined` if none is suitable
 * @public
 */
export function findRoomFor (task: Task, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
  return findBestRoom(task, { tasks: [task], mayReserve: false }, rooms)
}

function adjustRoom (room: WorkerRoom, task: Task, sign: 1 | -1): void {
  const step = stepOf(task)
  const demand = demandOf(step)
  room.cpuMillis -= sign * demand.cpuMillis
  room.memoryMb -= sign * demand.memoryMb
  room.gpus -= sign * demand.gpus
  if (step.isLasting) room.reservable = sign > 0 ? minus(room.reservable, demand) : plus(room.reservable, demand)
  if (step.isFiller) room.fillers += sign
  else if (step.targetTailMs > 0) room.latencySensitiveTasks += sign
  const key = task.stepKey
  room.runsByStep.set(key, (room.runsByStep.get(key) ?? 0) + sign)
  adjustRunCounts(room, task, sign)
}

/** Deducts an existing run from the capacity of its worker. @param room - the worker @param task - task of the run @public */
export function occupy (room: WorkerRoom, task: Task): void {
  adjustRoom(room, task, 1)
}
