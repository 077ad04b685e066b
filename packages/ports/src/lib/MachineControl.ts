/**
 * Machines: which there are, in which pool, and the orders that change them.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'
import type { WorkerId } from './WorkerId.js'

/** What a machine is doing. @public */
export type MachineState = 'up' | 'moving' | 'upkeep' | 'down'

/** A machine as the platform lists it. @public */
export interface ListedMachine {
  readonly machineId: string
  /** The service whose worker it runs. */
  readonly pool: string
  readonly state: MachineState
  readonly availabilityZone: string
  /** Its worker, whichever lifetime that is in; empty in a pool whose machines are off. */
  readonly workerId: WorkerId | ''
}

/** Who gives an order, and under which token; both count per machine. @public */
export interface MachineOrder {
  readonly machineId: string
  readonly holder: string
  readonly fencingToken: number
}

/** What became of an order. `accepted` also when it was done before. @public */
export type MachineOrderOutcome = 'accepted' | 'fenced-off' | 'busy' | 'not-in-wave' | 'unknown-machine'

/** Control of machines. @public */
export interface MachineControl {
  /** @returns all machines */
  listMachines(): Promise<Result<readonly ListedMachine[], PlatformError>>
  /** @param order - which machine @param pool - where it goes; what runs on it dies @returns what became of it */
  move(order: MachineOrder, pool: string): Promise<Result<MachineOrderOutcome, PlatformError>>
  /** @param order - which machine @param wave - whose upkeep begins; what runs on it dies @returns what became of it */
  upkeep(order: MachineOrder, wave: number): Promise<Result<MachineOrderOutcome, PlatformError>>
}
