/**
 * Interface for listing machines and their pools, moving machines between pools and starting their maintenance.
 *
 * @module
 */
import type { Result } from '@quillscale/utils'
import type { PlatformError } from './KeyValueStore.js'
import type { WorkerId } from './WorkerId.js'

/** The state of a machine; `upkeep` is maintenance. @public */
export type MachineState = 'up' | 'moving' | 'upkeep' | 'down'

/** An entry in the platform's list of machines. @public */
export interface ListedMachine {
  readonly machineId: string
  /** The service whose worker runs on the machine. */
  readonly pool: string
  readonly state: MachineState
  readonly availabilityZone: string
  /** The id of its worker, which doesn't depend on the worker's lifetime; empty in a pool whose machines are switched off. */
  readonly workerId: WorkerId | ''
}

/** The machine that an order is for, the sender and its fencing token. The platform checks both for each machine separately. @public */
export interface MachineOrder {
  readonly machineId: string
  readonly holder: string
  readonly fencingToken: number
}

/** The outcome of an order; a repeated order is `accepted` as well. @public */
export type MachineOrderOutcome = 'accepted' | 'fenced-off' | 'busy' | 'not-in-wave' | 'unknown-machine'

/** Lists machines and sends orders for them. @public */
export interface MachineControl {
  /** @returns all machines of the platform */
  listMachines(): Promise<Result<readonly ListedMachine[], PlatformError>>
  /** @param order - the machine and the sender @param pool - the pool to move it to; everything running on the machine is killed @returns the outcome */
  move(order: MachineOrder, pool: string): Promise<Result<MachineOrderOutcome, PlatformError>>
  /** @param order - the machine and the sender @param wave - its maintenance wave; everything running on the machine is killed @returns the outcome */
  upkeep(order: MachineOrder, wave: number): Promise<Result<MachineOrderOutcome, PlatformError>>
}
