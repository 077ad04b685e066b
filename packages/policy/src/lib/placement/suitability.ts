/**
 * Tells on which workers tasks can run: by resources, label, spread, tickets and isolation.
 *
 * @module
 */
import type { StepSpec } from '../jobs/JobSpec.js'
import { stepOf, type Task } from '../jobs/JobState.js'
import { countWithin, RESOURCE_KINDS, type Resources } from '../quotas/resources.js'
import { allowsIsolation } from './isolation.js'
import type { PlacementGroup, WorkerRoom } from './WorkerRoom.js'

/** @param step - a step @returns the CPU that a task of it takes from a worker's capacity; none for fillers @public */
export const cpuDemandOf = (step: StepSpec): number => step.isFiller ? 0 : step.cpuMillis

/** @param step - a step @returns what a task of it takes from a worker's capacity @public */
export const demandOf = (step: StepSpec): Resources => ({ cpuMillis: cpuDemandOf(step), memoryMb: step.memoryMb, gpus: step.gpus })

/** @param step - a step @param free - free capacity of a worker @returns whether a task of the step fits @public */
export const fits = (step: StepSpec, free: Resources): boolean =>
  free.cpuMillis >= cpuDemandOf(step) && free.memoryMb >= step.memoryMb && free.gpus >= step.gpus

/** @param step - a step @param labels - labels of a worker @returns whether the worker has the label that the step requires @public */
export const hasRequiredLabel = ({ requiredLabel }: StepSpec, labels: readonly string[]): boolean => requiredLabel === '' || labels.includes(requiredLabel)

/** @param task - task to place @param room - a worker @returns whether the worker has fewer runs of its step than it may have @public */
export function allowsSpread (task: Task, room: WorkerRoom): boolean {
  const { maxPerWorker } = stepOf(task)
  return maxPerWorker === 0 || (room.runsByStep.get(task.stepKey) ?? 0) < maxPerWorker
}

/** @param group - a step @param room - a worker @returns whether the step needs no ticket or has one for the worker @public */
export const hasTicket = ({ tickets }: PlacementGroup, { instanceId }: WorkerRoom): boolean => tickets === undefined || tickets.has(instanceId)

/**
 * Tells whether a task may run on a worker as far as its conditions go, apart from resources and isolation.
 *
 * @param task - task to place
 * @param group - its step
 * @param room - the worker
 * @returns whether label, ticket and spread permit it
 * @public
 */
export const meetsConditions = (task: Task, group: PlacementGroup, room: WorkerRoom): boolean =>
  hasRequiredLabel(stepOf(task), room.labels) && hasTicket(group, room) && allowsSpread(task, room)

/** @param task - task to place @param group - its step @param room - the worker @returns whether conditions and isolation permit it @public */
export const isSuitable = (task: Task, group: PlacementGroup, room: WorkerRoom): boolean =>
  meetsConditions(task, group, room) && allowsIsolation(task, group, room)

/**
 * Counts the tasks of a step that fit into an amount of capacity.
 *
 * @param step - the step
 * @param free - free capacity of a worker
 * @returns the number of tasks, infinite if they need nothing
 * @public
 */
export const countFitting = (step: StepSpec, free: Resources): number => countWithin(demandOf(step), free)

/**
 * Tells how much of a task's demand a worker has free.
 *
 * @param step - the step of the task
 * @param free - free capacity of the worker
 * @returns the share of the demand that is free of its scarcest resource; above 1 if more is free
 * @public
 */
export function freeShareOf (step: StepSpec, free: Resources): number {
  const demand = demandOf(step)
  return Math.min(...RESOURCE_KINDS.map((kind) => demand[kind] === 0 ? Infinity : free[kind] / demand[kind]))
}
