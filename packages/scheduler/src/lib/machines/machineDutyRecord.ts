/**
 * Stored state of the machine duty: tasks, waves and cooldowns that the next holder takes over.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import type { OrderCooldown } from './OrderCooldowns.js'

/** Store key of the record. @public */
export const MACHINE_DUTY_RECORD_KEY = 'machines/under-way'

const taskSchema = z.object({
  machineId: z.string(),
  kind: z.enum(['upkeep', 'move']),
  /** Wave of a maintenance task (`upkeep`); 0 for a move. */
  wave: z.number(),
  /** Service that drains the machine; empty if nothing runs on it. */
  from: z.string(),
  /** Destination pool of a move; empty for maintenance. */
  to: z.string(),
  /** `vacating`: being drained; `ordered`: an order was or will be sent, its outcome is unknown; `begun`: the order was accepted, the machine is down. */
  state: z.enum(['vacating', 'ordered', 'begun']),
  /** Identifies the drain request. */
  request: z.string()
})
const waveSchema = z.object({
  wave: z.number(),
  startedWallMs: z.number(),
  /** Machines whose maintenance has begun, or that are gone. */
  settled: z.array(z.string()),
  isDone: z.boolean()
})
const recordSchema = z.object({
  tasks: z.array(taskSchema),
  waves: z.array(waveSchema),
  /** Machines that holders ordered recently, whatever the outcome; hosts of the previous software version read only these ids. */
  ordered: z.array(z.string()).default([]),
  /** Remaining cooldown of each of them. Hosts of the previous software version do not write it, and they forget previous holders' orders. */
  pausesMs: z.record(z.string(), z.number()).optional(),
  /** Remaining cooldown of all machines, set if such a host held the duty recently. */
  allPausedMs: z.number().default(0)
})

/** A move or maintenance of one machine that is in progress. @public */
export type MachineTask = z.infer<typeof taskSchema> & {
  /** Monotonic time when this holder started or took over the task. */
  sinceMs: number
  /** Monotonic time when the last order was sent, or when it was answered. */
  orderedMs: number
}
/** Progress of a maintenance wave. @public */
export type WaveProgress = z.infer<typeof waveSchema>

/** State of the machine duty that is passed on to the next holder. @public */
export interface MachineDutyRecord {
  readonly tasks: ReadonlyArray<z.infer<typeof taskSchema>>
  readonly waves: readonly WaveProgress[]
  readonly cooldowns: readonly OrderCooldown[]
  /** Remaining time during which no machine may be ordered. */
  readonly allPausedMs: number
}

/** @param record - the state to store @returns its stored text @public */
export function encodeMachineDutyRecord ({ tasks, waves, cooldowns, allPausedMs }: MachineDutyRecord): string {
  const storedTasks = tasks.map(({ machineId, kind, wave, from, to, state, request }) => ({ machineId, kind, wave, from, to, state, request }))
  const ordered = cooldowns.map(({ machineId }) => machineId)
  const pausesMs = Object.fromEntries(cooldowns.map(({ machineId, remainingMs }) => [machineId, remainingMs]))
  return JSON.stringify({ tasks: storedTasks, waves, ordered, pausesMs, allPausedMs })
}

/** Assumed if the record cannot be read: any machine may just have been ordered, so all are in a cooldown. @public */
export const FALLBACK_MACHINE_DUTY_RECORD: MachineDutyRecord = { tasks: [], waves: [], cooldowns: [], allPausedMs: Infinity }

/** @param text - the stored text @returns the state, or why it cannot be decoded @public */
export function decodeMachineDutyRecord (text: string): Result<MachineDutyRecord, DecodeProblem> {
  return decodeJson(recordSchema, text).map(({ tasks, waves, pausesMs, allPausedMs }) => {
    const cooldowns = Object.entries(pausesMs ?? {}).map(([machineId, remainingMs]) => ({ machineId, remainingMs }))
    return { tasks, waves, cooldowns, allPausedMs: pausesMs === undefined ? Infinity : allPausedMs }
  })
}
