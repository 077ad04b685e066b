import { expect } from 'chai'
import type { ListedMachine } from '@quillscale/ports'
import { planWave } from '../lib/machines/planWave.js'

/** Machines `a0` to `a7` of a service, and `off0` to `off3` of a headroom pool. */
const MACHINES = new Map<string, ListedMachine>([
  ...Array.from({ length: 8 }, (_, index) => ['a', index] as const), ...Array.from({ length: 4 }, (_, index) => ['off', index] as const)
].map(([pool, index]) => [`${pool}${index}`, { machineId: `${pool}${index}`, pool, state: 'up', availabilityZone: 'z', workerId: '' }]))

describe('planWave', () => {
  interface WaveCase { name: string, open: string[], inProgress: string[], maxAtOnce: number, leftShare: number, evacuated?: string[], chosen: string[] }
  const cases: readonly WaveCase[] = [
    { name: 'machines where nothing runs go first, as many as may be down', open: ['a0', 'a1', 'off0', 'off1'], inProgress: [], maxAtOnce: 2, leftShare: 1, chosen: ['off0', 'off1'] },
    { name: 'one machine of a service at a time', open: ['a0', 'a1', 'a2'], inProgress: [], maxAtOnce: 3, leftShare: 1, chosen: ['a0'] },
    { name: 'more machines of a service when the wave is late', open: ['a0', 'a1', 'a2'], inProgress: [], maxAtOnce: 3, leftShare: 0.2, chosen: ['a0', 'a1'] },
    { name: 'none while the maximum is in progress', open: ['off0'], inProgress: ['a0', 'a1'], maxAtOnce: 2, leftShare: 1, chosen: [] },
    { name: 'none beside one of the same service', open: ['a1', 'a2'], inProgress: ['a0'], maxAtOnce: 4, leftShare: 1, chosen: [] },
    { name: 'none that is busy with something else', open: ['a7'], inProgress: [], maxAtOnce: 4, leftShare: 1, chosen: [] },
    { name: 'none that is not listed', open: ['gone'], inProgress: [], maxAtOnce: 4, leftShare: 1, chosen: [] },
    { name: 'evacuated machines first, beside one of the service', open: ['a0', 'a5', 'a6'], inProgress: [], maxAtOnce: 3, leftShare: 1, evacuated: ['a5', 'a6'], chosen: ['a5', 'a6', 'a0'] },
    { name: 'one of the service beside an evacuated one in progress', open: ['a0', 'a1'], inProgress: ['a6'], maxAtOnce: 4, leftShare: 1, evacuated: ['a6'], chosen: ['a0'] },
    { name: 'no more evacuated machines than may be down', open: ['a4', 'a5', 'a6'], inProgress: ['off0'], maxAtOnce: 3, leftShare: 1, evacuated: ['a4', 'a5', 'a6'], chosen: ['a4', 'a5'] }
  ]
  for (const { name, open, inProgress, maxAtOnce, leftShare, chosen, evacuated = [] } of cases) {
    it(name, () => {
      const planned = planWave({
        pendingMachineIds: open,
        inProgressMachineIds: inProgress,
        maxAtOnce,
        remainingTimeShare: leftShare,
        machines: MACHINES,
        isBusy: (machineId) => machineId === 'a7',
        isEvacuated: (machineId) => evacuated.includes(machineId),
        isHeadroomPool: (pool) => pool === 'off',
        countRuns: (machineId) => Number(machineId.slice(-1)),
        poolSize: (pool) => [...MACHINES.values()].filter((machine) => machine.pool === pool).length
      }, 4)
      expect(planned).to.deep.equal(chosen)
    })
  }
})
