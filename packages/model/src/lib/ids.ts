/**
 * Branded ids: each kind of name is a type of its own, made by `createXId` and checked by `isXId`.
 *
 * @module
 */
import { assert } from '@quillscale/utils'

declare const brand: unique symbol
/** A text that was checked to be a name of one kind. @public */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** A machine of the fleet. @public */
export type HostId = Branded<'HostId'>
/** An availability zone. @public */
export type AvailabilityZone = Branded<'AvailabilityZone'>
/** A process of this system between callers and targets. @public */
export type EntryHostId = Branded<'EntryHostId'>
/** A declared service. @public */
export type ServiceName = Branded<'ServiceName'>
/** A declared pool. @public */
export type PoolName = Branded<'PoolName'>

const NAME_PATTERN = /^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$/

function isName (value: unknown): value is string {
  return typeof value === 'string' && NAME_PATTERN.test(value)
}

function createName (kind: string, value: string): string {
  assert(isName(value), `not a ${kind}: ${JSON.stringify(value)}`)
  return value
}

/** @param value - anything @returns whether it can name a host @public */
export const isHostId = (value: unknown): value is HostId => isName(value)
/** @param value - a checked text @returns it as an id @public */
export const createHostId = (value: string): HostId => createName('host id', value) as HostId
/** @param value - anything @returns whether it can name an availability zone @public */
export const isAvailabilityZone = (value: unknown): value is AvailabilityZone => isName(value)
/** @param value - a checked text @returns it as an id @public */
export const createAvailabilityZone = (value: string): AvailabilityZone => createName('availability zone', value) as AvailabilityZone
/** @param value - anything @returns whether it can name an entry host @public */
export const isEntryHostId = (value: unknown): value is EntryHostId => isName(value)
/** @param value - a checked text @returns it as an id @public */
export const createEntryHostId = (value: string): EntryHostId => createName('entry host id', value) as EntryHostId
/** @param value - anything @returns whether it can name a service @public */
export const isServiceName = (value: unknown): value is ServiceName => isName(value)
/** @param value - a checked text @returns it as an id @public */
export const createServiceName = (value: string): ServiceName => createName('service name', value) as ServiceName
/** @param value - anything @returns whether it can name a pool @public */
export const isPoolName = (value: unknown): value is PoolName => isName(value)
/** @param value - a checked text @returns it as an id @public */
export const createPoolName = (value: string): PoolName => createName('pool name', value) as PoolName
