/**
 * Arithmetic on amounts of CPU, memory and GPUs, and on limits on them.
 *
 * @module
 */
import type { WorkerCapacity } from '@quillscale/ports'
import type { StepSpec } from '../jobs/JobSpec.js'

/** Amounts of CPU, memory and GPUs. @public */
export type Resources = WorkerCapacity

/** Zero of every resource. @public */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 }

/** Names of the resources. @public */
export const RESOURCE_KINDS = ['cpuMillis', 'memoryMb', 'gpus'] as const

/** @param make - computes the amount of one resource @returns the amounts of all resources @public */
export function mapResources (make: (kind: typeof RESOURCE_KINDS[number]) => number): Resources {
  return { cpuMillis: make('cpuMillis'), memoryMb: make('memoryMb'), gpus: make('gpus') }
}

/** @param step - a step @returns what each of its tasks counts against the account's limit; fillers count in full @public */
export function resourcesOf ({ cpuMillis, memoryMb, gpus }: StepSpec): Resources {
  return { cpuMillis, memoryMb, gpus }
}

/** @param a - amounts @param b - amounts @returns their sum @public */
export const plus = (a: Resources, b: Resources): Resources => mapResources((kind) => a[kind] + b[kind])

/** @param a - amounts @param b - amounts to subtract @returns the difference, negative where `b` is larger @public */
export const minus = (a: Resources, b: Resources): Resources => mapResources((kind) => a[kind] - b[kind])

/** @param a - amounts @param factor - a number @returns each amount times the factor, rounded up @public */
export const times = (a: Resources, factor: number): Resources => mapResources((kind) => Math.ceil(a[kind] * factor))

/** @param a - amounts @param b - amounts @returns the smaller amount of each resource @public */
export const least = (a: Resources, b: Resources): Resources => mapResources((kind) => Math.min(a[kind], b[kind]))

/** @param a - amounts @param b - amounts @returns the larger amount of each resource @public */
export const most = (a: Resources, b: Resources): Resources => mapResources((kind) => Math.max(a[kind], b[kind]))

/** @param limit - a limit, where 0 means none @returns the limit with 0 replaced by infinity @public */
export const unlimitedWhereZero = (limit: Resources): Resources => mapResources((kind) => limit[kind] === 0 ? Infinity : limit[kind])

/** @param each - amounts @param room - amounts available @returns how many times they are available, infinite if they are zero @public */
export function countWithin (each: Resources, room: Resources): number {
  if (!fitsWithin(each, room)) return 0
  return Math.min(...RESOURCE_KINDS.map((kind) => each[kind] === 0 ? Infinity : Math.floor(room[kind] / each[kind])))
}

/** @param wanted - amounts @param room - amounts available @returns whether every wanted amount is available @public */
export const fitsWithin = (wanted: Resources, room: Resources): boolean => RESOURCE_KINDS.every((kind) => wanted[kind] <= room[kind])
