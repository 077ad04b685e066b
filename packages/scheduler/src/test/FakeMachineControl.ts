import { Ok, type Result } from '@quillscale/utils'
import type { ListedMachine, MachineControl, MachineOrder, MachineOrderOutcome, PlatformError, WorkerId } from '@quillscale/ports'
import { SERVICE, type TestService } from './TestService.js'

const DOWNTIME_MS = 60
/** Pool whose machines are switched off. */
export const PARKED_POOL = 'parked'

/** An accepted order, with the time and the kind of the order. */
export interface RecordedOrder extends MachineOrder { readonly atMs: number, readonly what: string }

/** Simulates the machines of the service under test. Maintenance and moves end the worker and start a new one. */
export class FakeMachineControl implements MachineControl {
  readonly orders: RecordedOrder[] = []
  readonly #machines = new Map<string, ListedMachine>()
  readonly #lifetimes = new Map<string, number>()
  /** How many of the next lists each machine is missing from. */
  readonly #hiddenLists = new Map<string, number>()
  maxDown = 0

  constructor (readonly service: TestService, count: number, parked: number) {
    for (let index = 0; index < count + parked; index++) {
      const isParked = index >= count
      this.#set(`m${index}`, isParked ? PARKED_POOL : SERVICE, 'up', isParked ? '' : `w${index}-1`)
    }
  }

  /** Cuts the power of a machine. @param machineId - the machine @param forMs - time until it restarts with a new worker; by default it stays down */
  fail (machineId: string, forMs = Infinity): void {
    const machine = this.#machines.get(machineId)
    const pool = machine?.pool ?? ''
    this.service.runs.workers.get(machine?.workerId ?? '')?.crash()
    this.#set(machineId, pool, 'down', '')
    if (forMs < Infinity) setTimeout(() => this.#restart(machineId, pool), forMs)
  }

  /** Leaves a machine out of lists. @param machineId - the machine @param lists - how many */
  hide (machineId: string, lists: number): void {
    this.#hiddenLists.set(machineId, lists)
  }

  poolOf (machineId: string): string | undefined {
    return this.#machines.get(machineId)?.pool
  }

  #set (machineId: string, pool: string, state: ListedMachine['state'], workerId: string): void {
    this.#machines.set(machineId, { machineId, pool, state, availabilityZone: 'z', workerId: workerId as WorkerId })
  }

  async listMachines (): Promise<Result<readonly ListedMachine[], PlatformError>> {
    const listed = [...this.#machines.values()].filter(({ machineId }) => (this.#hiddenLists.get(machineId) ?? 0) === 0)
    for (const [machineId, lists] of this.#hiddenLists) this.#hiddenLists.set(machineId, Math.max(0, lists - 1))
    return Ok(listed)
  }

  move (order: MachineOrder, pool: string): Promise<Result<MachineOrderOutcome, PlatformError>> {
    return this.#order(order, `move to ${pool}`, pool, 'moving')
  }

  upkeep (order: MachineOrder): Promise<Result<MachineOrderOutcome, PlatformError>> {
    return this.#order(order, 'upkeep', this.#machines.get(order.machineId)?.pool ?? '', 'upkeep')
  }

  async #order (order: MachineOrder, what: string, pool: string, state: 'moving' | 'upkeep'): Promise<Result<MachineOrderOutcome, PlatformError>> {
    const machine = this.#machines.get(order.machineId)
    if (machine === undefined) return Ok('unknown-machine')
    if (machine.state !== 'up') return Ok('busy')
    this.orders.push({ ...order, what, atMs: performance.now() })
    this.service.runs.workers.get(machine.workerId)?.crash()
    if (machine.workerId !== '') this.service.unlist(machine.workerId)
    this.#set(order.machineId, pool, state, '')
    this.maxDown = Math.max(this.maxDown, [...this.#machines.values()].filter((each) => each.state === 'upkeep').length)
    setTimeout(() => this.#restart(order.machineId, pool), DOWNTIME_MS)
    return Ok('accepted')
  }

  #restart (machineId: string, pool: string): void {
    const lifetime = (this.#lifetimes.get(machineId) ?? 1) + 1
    this.#lifetimes.set(machineId, lifetime)
    const index = Number(machineId.slice(1))
    this.#set(machineId, pool, 'up', pool === PARKED_POOL ? '' : `w${index}-${lifetime}`)
    if (pool !== PARKED_POOL) this.service.addWorker(index, lifetime)
  }
}
