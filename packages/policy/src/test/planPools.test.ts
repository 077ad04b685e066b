import { expect } from 'chai'
import type { ListedMachine, WorkerId } from '@quillscale/ports'
import { planPools, type PoolPlanningInput, type ServiceDemand } from '../lib/machines/planPools.js'

interface Pool {
  readonly name: string
  readonly machines: number
  readonly idle?: number
  readonly wantedCores?: number
  readonly recent?: number
  readonly busyRuns?: number
}

/** Pool `off` is a headroom pool with machines that are off; the others are services with machines of 16 cores, some of them idle. */
function viewOf (pools: readonly Pool[], refused: readonly string[] = []): PoolPlanningInput {
  const machines = new Map<string, ListedMachine>()
  const demands: ServiceDemand[] = []
  for (const { name, machines: count, idle = 0, wantedCores = 0, busyRuns = 8 } of pools) {
    const ids = Array.from({ length: count }, (_, index) => `${name}${index}`)
    for (const machineId of ids) machines.set(machineId, { machineId, pool: name, state: 'up', availabilityZone: 'z', workerId: (name === 'off' ? '' : machineId) as WorkerId })
    if (name === 'off') continue
    demands.push({
      service: name,
      wantedMillis: wantedCores * 1000,
      leastMachines: 2,
      machineMillis: 16_000,
      runsByMachine: new Map(ids.map((machineId, index) => [machineId, index < idle ? 0 : busyRuns]))
    })
  }
  return {
    demands,
    machines,
    headroomPools: ['off'],
    mayReleaseMachines: true,
    maxMoves: 6,
    predictedNeed: new Map(),
    busy: new Map(),
    evacuatedMachines: new Set(),
    unusableMachines: new Set(),
    isRefused: (machineId, pool) => refused.includes(`${machineId} ${pool}`),
    recentPeakNeed: new Map(pools.flatMap(({ name, recent }) => recent === undefined ? [] : [[name, recent] as const]))
  }
}

describe('planPools', () => {
  const cases: ReadonlyArray<{ name: string, pools: readonly Pool[], refused?: string[], moves: string[] }> = [
    { name: 'no move if capacity matches the need', pools: [{ name: 'a', machines: 3 }, { name: 'off', machines: 2 }], moves: [] },
    { name: 'a headroom machine to a service that needs more', pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'off', machines: 2 }], moves: ['off0 off>a'] },
    {
      name: 'an idle machine of another service if there is no headroom machine',
      pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'b', machines: 5, idle: 2 }],
      moves: ['b0 b>a', 'b1 b>off']
    },
    {
      name: 'a machine of another service with few runs, if none is idle',
      pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'b', machines: 5, busyRuns: 3 }],
      moves: ['b0 b>a']
    },
    { name: 'no busy machine of another service', pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'b', machines: 5 }], moves: [] },
    { name: 'idle machines beyond the need go to the headroom pool', pools: [{ name: 'a', machines: 6, idle: 6 }, { name: 'off', machines: 0 }], moves: ['a0 a>off', 'a1 a>off', 'a2 a>off', 'a3 a>off'] },
    {
      name: 'a headroom machine before an idle one of another service',
      pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'b', machines: 3, idle: 1 }, { name: 'off', machines: 2 }],
      moves: ['off0 off>a', 'b0 b>off']
    },
    { name: 'recently needed machines are kept', pools: [{ name: 'a', machines: 6, idle: 6, recent: 6 }, { name: 'off', machines: 0 }], moves: [] },
    { name: 'a move that the platform refused is not requested again', pools: [{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'off', machines: 1 }], refused: ['off0 a'], moves: [] }
  ]
  for (const { name, pools, refused, moves } of cases) {
    it(name, () => {
      const view = viewOf(pools, refused)
      const headroomPools = ['off']
      const planned = planPools({ ...view, headroomPools }).map(({ machineId, from, to }) => `${machineId} ${from}>${to}`)
      expect(planned).to.deep.equal(moves)
    })
  }

  const evacuations: ReadonlyArray<{ name: string, pools: readonly Pool[], evacuated: string[], moves: string[] }> = [
    { name: 'machines elsewhere take the place of evacuated ones', pools: [{ name: 'a', machines: 3 }, { name: 'off', machines: 2 }], evacuated: ['a0', 'a1'], moves: ['off0 off>a'] },
    { name: 'evacuated machines are not taken', pools: [{ name: 'a', machines: 1 }, { name: 'b', machines: 3, idle: 1 }, { name: 'off', machines: 2 }], evacuated: ['off0', 'b0'], moves: ['off1 off>a'] },
    { name: 'evacuated machines are not released', pools: [{ name: 'a', machines: 4, idle: 4 }, { name: 'off', machines: 0 }], evacuated: ['a0', 'a1'], moves: [] },
    { name: 'no move if all are evacuated', pools: [{ name: 'a', machines: 1, wantedCores: 50 }, { name: 'off', machines: 2 }], evacuated: ['a0', 'off0', 'off1'], moves: [] }
  ]
  for (const { name, pools, evacuated, moves } of evacuations) {
    it(name, () => {
      const planned = planPools({ ...viewOf(pools), evacuatedMachines: new Set(evacuated) }).map(({ machineId, from, to }) => `${machineId} ${from}>${to}`)
      expect(planned).to.deep.equal(moves)
    })
  }

  it('moves ahead of a growing need', () => {
    const view = viewOf([{ name: 'a', machines: 3, wantedCores: 20 }, { name: 'off', machines: 4 }])
    expect(planPools({ ...view, predictedNeed: new Map([['a', 5]]) })).to.have.length(2)
  })

  it('does not move busy machines, and counts them in their next pool', () => {
    const view = viewOf([{ name: 'a', machines: 3, wantedCores: 50 }, { name: 'off', machines: 2 }])
    expect(planPools({ ...view, busy: new Map([['off0', 'a']]) })).to.deep.equal([])
  })
})
