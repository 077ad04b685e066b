/**
 * Chooses the next machines of a maintenance wave from the state of the machine duty.
 *
 * @module
 */
import type { ListedMachine, WaveRequest } from '@quillscale/ports'
import { planWave, type ServiceDemand } from '@quillscale/policy'
import type { MachineTask, WaveProgress } from './machineDutyRecord.js'

/** State of the machine duty that waves depend on. @public */
export interface WaveState {
  readonly request: WaveRequest
  readonly progress: WaveProgress
  /** Machines whose maintenance has begun, or that are gone. */
  readonly settled: ReadonlySet<string>
  readonly tasks: ReadonlyMap<string, MachineTask>
  readonly machines: ReadonlyMap<string, ListedMachine>
  readonly demands: readonly ServiceDemand[]
  readonly headroomPools: readonly string[]
  readonly isEvacuated: (availabilityZone: string) => boolean
}

/**
 * Chooses the machines of a wave to start draining now.
 *
 * @param state - current state
 * @param wallMs - current wall-clock time
 * @returns ids of the machines
 * @public
 */
export function chooseWaveMachines (state: WaveState, wallMs: number): string[] {
  const { request, progress, settled, tasks, machines, demands, headroomPools, isEvacuated } = state
  const inProgress = [...tasks.values()].filter(({ kind, wave }) => kind === 'upkeep' && wave === progress.wave).map(({ machineId }) => machineId)
  const isMachineEvacuated = (machineId: string): boolean => isEvacuated(machines.get(machineId)?.availabilityZone ?? '')
  return planWave({
    pendingMachineIds: request.machineIds.filter((machineId) => !settled.has(machineId) && !inProgress.includes(machineId)),
    machines,
    isBusy: (machineId) => tasks.has(machineId),
    inProgressMachineIds: inProgress,
    maxAtOnce: request.maxAtOnce,
    isHeadroomPool: (pool) => headroomPools.includes(pool),
    isEvacuated: isMachineEvacuated,
    countRuns: (machineId) => demands.find(({ runsByMachine }) => runsByMachine.has(machineId))?.runsByMachine.get(machineId) ?? 0,
    poolSize: (pool) => [...machines.values()].filter((machine) => machine.pool === pool && !isMachineEvacuated(machine.machineId)).length,
    remainingTimeShare: 1 - (wallMs - progress.startedWallMs) / Math.max(1, request.deadlineMs)
  }, request.machineIds.length)
}
