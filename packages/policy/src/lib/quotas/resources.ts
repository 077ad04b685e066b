/**
 * Amounts of processor time, memory and accelerators, and limits on them.
 *
 * @module
 */
import type { WorkerCapacity } from '@quillscale/ports'
import type { StepSpec } from '../jobs/JobSpec.js'

/** Amounts of what workers have. @public */
export type Resources = WorkerCapacity

/** Nothing. @public */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 }

/** The names of the amounts. @public */
export const RESOURCE_KINDS = ['cpuMillis', 'memoryMb', 'gpus'] as const

/** @param make - gives each amount @returns them all @public */
export function mapResources (make: (kind: typeof RESOURCE_KINDS[number]) => number): Resources {
  return { cpuMillis: make('cpuMillis'), memoryMb: make('memoryMb'), gpus: make('gpus') }
}

/** @param step - any @returns what each of its tasks counts for against its account's limit; fillers count in full @public */
export function resourcesOf ({ cpuMillis, memoryMb, gpus }: StepSpec): Resources {
  return { cpuMillis, memoryMb, gpus }
}

/** @param a - amounts @param b - amounts @returns their sum @public */
export const plus = (a: Resources, b: Resources): Resources => mapResources((kind) => a[kind] + b[kind])

/** @param a - amounts @param b - amounts to be taken off @returns what is left, below 0 where there is less @public */
export const minus = (a: Resources, b: Resources): Resources => mapResources((kind) => a[kind] - b[kind])

/** @param a - amounts @param factor - any @returns each times the factor, rounded up @public */
export const times = (a: Resources, factor: number): Resources => mapResources((kind) => Math.ceil(a[kind] * factor))

/** @param a - amounts @param b - amounts @returns the smaller of each @public */
export const least = (a: Resources, b: Resources): Resources => mapResources((kind) => Math.min(a[kind], b[kind]))

/** @param a - amounts @param b - amounts @returns the larger of each @public */
export const most = (a: Resources, b: Resources): Resources => mapResources((kind) => Math.max(a[kind], b[kind]))

/** @param limit - 0 for none @returns it with infinite amounts in place of 0 @public */
export const unlimitedWhereZero = (limit: Resources): Resources => mapResources((kind) => limit[kind] === 0 ? Infinity : limit[kind])

/** @param wanted - amounts @param room - amounts @returns whether none is larger than its room @public */
export const fitsWithin = (wanted: Resources, room: Resources): boolean => RESOURCE_KINDS.every((kind) => wanted[kind] <= room[kind])
