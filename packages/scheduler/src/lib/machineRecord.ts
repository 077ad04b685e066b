/**
 * What is under way with machines, as it is kept for the next holder of that duty.
 *
 * @module
 */
import { z } from 'zod'

/** Where it is kept. @public */
export const MACHINE_RECORD_KEY = 'machines/under-way'

const taskSchema = z.object({
  machineId: z.string(),
  kind: z.enum(['upkeep', 'move']),
  /** Of an upkeep. */
  wave: z.number(),
  /** The service that empties it; empty where nothing runs. */
  from: z.string(),
  /** The pool to which it moves; empty for an upkeep. */
  to: z.string(),
  /** `vacating`: it is being emptied; `ordered`: an order was or will be sent, its outcome is not known; `begun`: it is down. */
  state: z.enum(['vacating', 'ordered', 'begun']),
  /** Names the request to empty it. */
  request: z.string()
})
const waveSchema = z.object({
  wave: z.number(),
  startedWallMs: z.number(),
  /** Machines whose upkeep has begun, or that are gone. */
  settled: z.array(z.string()),
  isDone: z.boolean()
})
const recordSchema = z.object({
  tasks: z.array(taskSchema),
  waves: z.array(waveSchema),
  /** Machines that the holder ordered lately, whatever became of it. */
  ordered: z.array(z.string()).default([])
})

/** Something under way with a machine. @public */
export type MachineTask = z.infer<typeof taskSchema> & {
  /** Monotonic; when it was begun by this holder. */
  sinceMs: number
  /** Monotonic; when it was last ordered, or when that order was answered. */
  orderedMs: number
}
/** How far a wave is. @public */
export type WaveProgress = z.infer<typeof waveSchema>

/** @param tasks - under way @param waves - all @param ordered - machines that were ordered lately @returns the record @public */
export function encodeMachineRecord (tasks: readonly MachineTask[], waves: readonly WaveProgress[], ordered: readonly string[]): string {
  const kept = tasks.map(({ machineId, kind, wave, from, to, state, request }) => ({ machineId, kind, wave, from, to, state, request }))
  return JSON.stringify({ tasks: kept, waves, ordered })
}

/** @param text - as kept @returns what it holds @public */
export const decodeMachineRecord = (text: string): z.infer<typeof recordSchema> => recordSchema.parse(JSON.parse(text))
