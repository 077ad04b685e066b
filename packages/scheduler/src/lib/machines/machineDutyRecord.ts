/**
 * What is under way with machines, as it is kept for the next holder of that duty.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import type { OrderCooldown } from './OrderCooldowns.js'

/** Where it is kept. @public */
export const MACHINE_DUTY_RECORD_KEY = 'machines/under-way'

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
  /** Machines that holders ordered lately, whatever became of it; hosts of the version before read no more than these names. */
  ordered: z.array(z.string()).default([]),
  /** For how long each of them must not be ordered by another holder. Without it a host of the version before wrote: it forgets former holders' orders. */
  pausesMs: z.record(z.string(), z.number()).optional(),
  /** The same for any machine, where such a host held the duty lately. */
  allPausedMs: z.number().default(0)
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

/** What is kept. @public */
export interface MachineDutyRecord {
  readonly tasks: ReadonlyArray<z.infer<typeof taskSchema>>
  readonly waves: readonly WaveProgress[]
  readonly cooldowns: readonly OrderCooldown[]
  /** For how long no machine at all must be ordered. */
  readonly allPausedMs: number
}

/** @param record - what is kept @returns the record @public */
export function encodeMachineDutyRecord ({ tasks, waves, cooldowns, allPausedMs }: MachineDutyRecord): string {
  const kept = tasks.map(({ machineId, kind, wave, from, to, state, request }) => ({ machineId, kind, wave, from, to, state, request }))
  const ordered = cooldowns.map(({ machineId }) => machineId)
  const pausesMs = Object.fromEntries(cooldowns.map(({ machineId, remainingMs }) => [machineId, remainingMs]))
  return JSON.stringify({ tasks: kept, waves, ordered, pausesMs, allPausedMs })
}

/** What a holder goes by that knows nothing of the one before: any machine may just have been ordered. @public */
export const FALLBACK_MACHINE_DUTY_RECORD: MachineDutyRecord = { tasks: [], waves: [], cooldowns: [], allPausedMs: Infinity }

/** @param text - as kept @returns what it holds, or why it cannot be read @public */
export function decodeMachineDutyRecord (text: string): Result<MachineDutyRecord, DecodeProblem> {
  return decodeJson(recordSchema, text).map(({ tasks, waves, pausesMs, allPausedMs }) => {
    const cooldowns = Object.entries(pausesMs ?? {}).map(([machineId, remainingMs]) => ({ machineId, remainingMs }))
    return { tasks, waves, cooldowns, allPausedMs: pausesMs === undefined ? Infinity : allPausedMs }
  })
}
