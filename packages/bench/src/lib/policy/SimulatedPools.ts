/**
 * The machines of the simulated fleet: which pool each is in, and its moves between pools.
 *
 * @module
 */
import { workerIdOf, type ListedMachine } from '@quillscale/ports'
import { NEED_WINDOW_MS, planPools, MachineNeedTracker } from '@quillscale/policy'
import type { PolicyLoad } from './policyLoad.js'
import type { SimulatedService } from './SimulatedService.js'
import { SimulatedWorker } from './SimulatedWorker.js'

/** The pool whose machines are off. */
const SPARE_POOL = 'spare'
/** From the wish to move an empty machine to its order, and from its return to its first work. */
const ORDER_MS = 120
const MEET_MS = 200
const MOST_MOVES = 12

interface SimulatedMachine { readonly id: string, readonly zone: string, pool: string, readyMs: number, life: number }

/** What the pools work with. */
export interface SimulatedPoolsOptions {
  readonly load: PolicyLoad
  readonly services: ReadonlyMap<string, SimulatedService>
  /** Without an answer for so long a worker gets no work. */
  readonly silentAfterMs: number
  readonly isCut: (zone: string, nowMs: number) => boolean
}

/** The pools. */
export class SimulatedPools {
  moves = 0
  machineSeconds = 0
  readonly #options: SimulatedPoolsOptions
  readonly #machines: SimulatedMachine[] = []
  readonly #moving = new Map<string, string>()
  #needs = new MachineNeedTracker()
  #tookOverMs = 0

  /** @param options - what it works with */
  constructor (options: SimulatedPoolsOptions) {
    this.#options = options
    const { load } = options
    const pools = [...load.services.flatMap(({ name, machines }) => Array<string>(machines).fill(name)), ...Array<string>(load.spareMachines).fill(SPARE_POOL)]
    pools.forEach((pool, index) => {
      const machine = { id: `m${index}`, zone: load.zones[index % load.zones.length] as string, pool, readyMs: 0, life: 1 }
      this.#machines.push(machine)
      if (pool !== SPARE_POOL) this.#register(machine, 0)
    })
  }

  #register (machine: SimulatedMachine, nowMs: number): void {
    const { load, services, silentAfterMs } = this.#options
    const instanceId = `${machine.id}-${machine.life}`
    const capacity = { ...load.machine, gpus: 0 }
    const instance = {
      instanceId, machineId: machine.id, service: machine.pool, address: '', port: 0, availabilityZone: machine.zone, state: 'ready' as const, capacity, labels: []
    }
    const worker = new SimulatedWorker(instance, silentAfterMs)
    worker.answeredMs = this.#options.isCut(machine.zone, nowMs) ? -Infinity : nowMs
    services.get(machine.pool)?.workers.set(instanceId, worker)
  }

  #workerOf (machine: SimulatedMachine): SimulatedWorker | undefined {
    return this.#options.services.get(machine.pool)?.workers.get(`${machine.id}-${machine.life}`)
  }

  /** Lets time pass: machines arrive, workers are cut off and come back. @param nowMs - the present @param stepMs - since the last call */
  pass (nowMs: number, stepMs: number): void {
    for (const machine of this.#machines) {
      if (machine.pool !== SPARE_POOL) this.machineSeconds += stepMs / 1000
      const worker = this.#workerOf(machine)
      if (worker !== undefined) worker.isCut = this.#options.isCut(machine.zone, nowMs)
      else if (machine.pool !== SPARE_POOL && machine.readyMs <= nowMs) this.#register(machine, nowMs)
    }
  }

  /** Another holder decides from now on: it remembers no needs. @param nowMs - the present */
  takeOver (nowMs: number): void {
    this.#needs = new MachineNeedTracker()
    this.#tookOverMs = nowMs
  }

  /** Decides and carries out. @param nowMs - the present */
  plan (nowMs: number): void {
    for (const [machineId, to] of this.#moving) this.#moveIfEmpty(machineId, to, nowMs)
    const demands = [...this.#options.services.values()].map((service) => service.demand(nowMs))
    const recentNeed = this.#needs.trackRecentPeak(demands, nowMs)
    const moves = planPools({
      demands,
      headroomPools: [SPARE_POOL],
      machines: this.#listed(nowMs),
      busy: this.#moving,
      isRefused: () => false,
      evacuatedMachines: new Set(),
      unusableMachines: new Set(),
      mayReleaseMachines: nowMs - this.#tookOverMs > NEED_WINDOW_MS,
      recentPeakNeed: recentNeed,
      predictedNeed: this.#needs.predictNeed(demands, nowMs),
      maxMoves: MOST_MOVES
    })
    for (const { machineId, from, to } of moves) {
      this.#moving.set(machineId, to)
      this.#options.services.get(from)?.vacating.set(machineId, nowMs)
      this.#moveIfEmpty(machineId, to, nowMs)
    }
  }

  #moveIfEmpty (machineId: string, to: string, nowMs: number): void {
    const machine = this.#machines.find(({ id }) => id === machineId) as SimulatedMachine
    const worker = this.#workerOf(machine)
    if (worker !== undefined && (worker.runs.size > 0 || worker.isCut)) return
    const from = this.#options.services.get(machine.pool)
    from?.vacating.delete(machineId)
    from?.workers.delete(worker?.instance.instanceId ?? '')
    this.#moving.delete(machineId)
    machine.pool = to
    machine.life++
    machine.readyMs = nowMs + ORDER_MS + this.#options.load.moveMs + MEET_MS
    this.moves++
  }

  #listed (nowMs: number): Map<string, ListedMachine> {
    return new Map(this.#machines.map((machine) => [machine.id, {
      machineId: machine.id,
      pool: machine.pool,
      state: machine.readyMs <= nowMs ? 'up' as const : 'moving' as const,
      availabilityZone: machine.zone,
      workerId: workerIdOf(this.#workerOf(machine)?.instance.instanceId ?? '')
    }]))
  }
}
