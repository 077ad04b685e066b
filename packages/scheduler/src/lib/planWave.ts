/**
 * Decides which machines of a wave are emptied and ordered next.
 *
 * @module
 */
import type { ListedMachine } from '@quillscale/ports'

/** `ordered`: an order was sent or is about to be, its outcome is not known; `begun`: the upkeep has begun; `gone`: it left. @public */
export type WorkState = 'waiting' | 'vacating' | 'ordered' | 'begun' | 'gone'

/** One machine of a wave. @public */
export interface MachineWork {
  readonly machineId: string
  state: WorkState
  /** An earlier holder may have ordered it. */
  readonly isFormerOrder: boolean
  /** Monotonic; when the last order was sent or answered. */
  orderedMs: number | undefined
  /** Monotonic; when emptying began. */
  sinceMs: number
  /** The service that was asked to empty it. */
  pool?: string | undefined
  /** It is back, and its service was told. */
  isReleased?: boolean
}

/** What the decision sees. @public */
export interface WaveView {
  readonly work: readonly MachineWork[]
  readonly machines: ReadonlyMap<string, ListedMachine>
  /** Monotonic; when the list was asked for. */
  readonly listedMs: number
  readonly maxAtOnce: number
  readonly isVacated: (machineId: string) => boolean
  readonly isHeadroom: (pool: string) => boolean
  readonly nowMs: number
  /** Monotonic; from then on machines that a former holder ordered may be ordered again. */
  readonly mayRepeatFormerMs: number
  /** Share of the wave's time that is left; below 0 it is late. */
  readonly leftShare: number
}

/** What to do. @public */
export interface WavePlan {
  readonly vacate: readonly MachineWork[]
  readonly order: readonly MachineWork[]
  readonly returned: readonly MachineWork[]
  readonly gone: readonly MachineWork[]
}

/** An order that got no answer is repeated after this: it may still be on its way. */
const REPEAT_MS = 1000
/** Machines of one service that are emptied or down at once, out of about eight; more when the wave runs late. */
const AT_ONCE_A_SERVICE = 1
const AT_ONCE_A_SERVICE_LATE = 2
/** A machine that nobody empties is ordered all the same when so little of the wave's time is left. */
const LATE_SHARE = 0.3

/**
 * Plans a round of a wave.
 *
 * @param view - what is known
 * @returns what to do
 * @public
 */
export function planWave (view: WaveView): WavePlan {
  const gone = view.work.filter((work) => isOpen(work) && work.state !== 'ordered' && !view.machines.has(work.machineId))
  const returned = view.work.filter((work) => work.state === 'begun' && work.isReleased !== true && isBack(work, view))
  const down = view.work.filter((work) => work.state === 'ordered' || (work.state === 'begun' && !isBack(work, view)))
  const present = view.work.filter((work) => !gone.includes(work))
  const order = chooseOrders(present, view, view.maxAtOnce - down.length)
  return { gone, returned, order, vacate: chooseVacate(present, view, down) }
}

const isOpen = (work: MachineWork): boolean => work.state === 'waiting' || work.state === 'vacating' || work.state === 'ordered'

/** Listed as up by a list that was asked for well after the order. */
function isBack (work: MachineWork, view: WaveView): boolean {
  if (work.orderedMs === undefined || view.listedMs <= work.orderedMs + SETTLE_MS) return work.orderedMs === undefined && work.state === 'begun'
  const machine = view.machines.get(work.machineId)
  return machine === undefined || machine.state === 'up'
}

/** The list may lag behind an order. */
const SETTLE_MS = 500

function chooseOrders (present: readonly MachineWork[], view: WaveView, free: number): MachineWork[] {
  const repeats = present.filter((work) => work.state === 'ordered' && view.nowMs - (work.orderedMs ?? 0) > REPEAT_MS &&
    (!work.isFormerOrder || view.nowMs >= view.mayRepeatFormerMs))
  const ready = present.filter((work) => isReady(work, view))
  return [...repeats, ...ready.slice(0, Math.max(0, free))]
}

function isReady (work: MachineWork, view: WaveView): boolean {
  const machine = view.machines.get(work.machineId)
  if (machine === undefined || machine.state !== 'up') return false
  if (work.state === 'vacating') return view.isVacated(work.machineId)
  return work.state === 'waiting' && isIdle(machine, view)
}

/** In a pool whose machines are off, nothing runs. */
const isIdle = (machine: ListedMachine, view: WaveView): boolean => view.isHeadroom(machine.pool) || machine.instanceId === ''

function chooseVacate (present: readonly MachineWork[], view: WaveView, down: readonly MachineWork[]): MachineWork[] {
  const limit = view.leftShare < LATE_SHARE ? AT_ONCE_A_SERVICE_LATE : AT_ONCE_A_SERVICE
  const busy = new Map<string, number>()
  const poolOf = (work: MachineWork): string => work.pool ?? view.machines.get(work.machineId)?.pool ?? ''
  const isBusy = (work: MachineWork): boolean => work.state === 'vacating' || down.includes(work) || (work.state === 'begun' && work.isReleased !== true)
  for (const work of present) if (isBusy(work)) busy.set(poolOf(work), (busy.get(poolOf(work)) ?? 0) + 1)
  return present.filter((work) => {
    const machine = view.machines.get(work.machineId)
    if (work.state !== 'waiting' || machine === undefined || isIdle(machine, view)) return false
    const pool = poolOf(work)
    if ((busy.get(pool) ?? 0) >= limit) return false
    busy.set(pool, (busy.get(pool) ?? 0) + 1)
    return true
  })
}
