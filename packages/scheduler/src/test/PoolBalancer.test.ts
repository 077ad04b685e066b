/**
 * Guards against stalled jobs: machines without a usable worker used to count as capacity of their service, so it got no other machines.
 */
import { expect } from 'chai'
import { workerIdOf, type ListedMachine } from '@quillscale/ports'
import type { ServiceDemand } from '@quillscale/policy'
import { PoolBalancer } from '../lib/machines/PoolBalancer.js'
import { PARKED_POOL } from './FakeMachineControl.js'
import { SERVICE, TestLog } from './TestService.js'

const ORDERS_PER_S = 64
const ROUND_MS = 100
const MACHINE_MILLIS = 16_000
/** Users' requirement: work that could run on available capacity waits no longer than this. */
const MAX_WAIT_MS = 6000

interface Case {
  readonly name: string
  /** Number of machines that are up in the service's pool; {@link usableAt} tells how many of them have a usable worker at a time. */
  readonly machines: number
  readonly usableAt: (atMs: number) => number
  /** Number of machines that the service needs. */
  readonly need: number
  readonly moves: number
}

describe('PoolBalancer', () => {
  const cases: readonly Case[] = [
    { name: 'no machine is usable', machines: 39, usableAt: () => 0, need: 27, moves: 27 },
    { name: 'some machines are usable', machines: 10, usableAt: () => 4, need: 10, moves: 6 },
    { name: 'all machines are usable', machines: 10, usableAt: () => 10, need: 10, moves: 0 },
    { name: 'more machines are usable than needed', machines: 10, usableAt: () => 4, need: 3, moves: 0 },
    { name: 'workers are away during a store outage and two seconds more', machines: 10, usableAt: (atMs) => atMs < 3500 ? 0 : 10, need: 10, moves: 0 },
    { name: 'workers are away repeatedly, each time briefly', machines: 10, usableAt: (atMs) => atMs % 3000 < 2500 ? 2 : 10, need: 10, moves: 0 }
  ]
  for (const { name, machines: count, usableAt, need, moves } of cases) {
    it(`moves ${moves} machines to the service if ${name}`, () => {
      const balancer = new PoolBalancer({ log: new TestLog(), isEvacuated: () => false, ordersPerS: () => ORDERS_PER_S })
      const machines = new Map<string, ListedMachine>()
      const add = (machineId: string, pool: string): void => {
        machines.set(machineId, { machineId, pool, state: 'up', availabilityZone: 'z', workerId: workerIdOf(machineId) })
      }
      for (let index = 0; index < count; index++) add(`m${index}`, SERVICE)
      for (let index = 0; index < need; index++) add(`p${index}`, PARKED_POOL)
      const moved = new Map<string, string>()
      for (let atMs = 0; atMs <= MAX_WAIT_MS; atMs += ROUND_MS) {
        const usable = [...Array(usableAt(atMs)).keys()].map((index) => `m${index}`)
        const demand: ServiceDemand = {
          service: SERVICE,
          wantedMillis: 0,
          leastMachines: need,
          machineMillis: MACHINE_MILLIS,
          runsByMachine: new Map(usable.map((machineId) => [machineId, 8]))
        }
        for (const { machineId, to } of balancer.plan({
          demands: [demand], headroomPools: [PARKED_POOL], machines, busy: moved
        }, atMs)) moved.set(machineId, to)
      }
      expect([...moved.values()].filter((to) => to === SERVICE).length).to.equal(moves)
    })
  }
})
