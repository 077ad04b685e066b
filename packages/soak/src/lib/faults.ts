/**
 * What the soak does to the world, by a seed.
 *
 * @module
 */
import type { SeededRandom } from '@quillscale/utils'
import type { LinkFault } from './FaultProxy.js'
import { ACCOUNTS, APPLY_MS } from './SoakAccounts.js'
import type { SoakWorld } from './SoakWorld.js'

/** Begins a fault; what it returns ends it. */
type Fault = (world: SoakWorld, random: SeededRandom, forMs: number) => (() => void) | undefined

const LINK_FAULTS: readonly LinkFault[] = ['delay', 'reset', 'refuse', 'silent', 'silent-to', 'silent-from']
/** Between the stops of a rolling restart. */
const ROLL_GAP_MS = 900
/** More than may be down at once. */
const MACHINES_A_WAVE = 4
const SLOW_STORE_MS = 120
const UNAVAILABLE = 503
/** Clients take a new key up after it is in force, and before the old one goes. */
const SWITCH_MS = 500
/** A worker that starts again is back before its registration ends. */
const MOST_RESTART_MS = 500
const RESTARTED_SHARE = 0.3
/** A worker that shrinks keeps less than this of its size. */
const MOST_SHRUNK_SHARE = 0.7

function disturbStore (world: SoakWorld, change: () => void, undo: () => void): () => void {
  world.storeDisturbedMs = Infinity
  change()
  return () => {
    undo()
    world.storeDisturbedMs = world.clock.monotonicMs()
  }
}

function misbehave (faults: Parameters<SoakWorld['fleet']['misbehave']>[1], undo: typeof faults): Fault {
  return (world, random) => {
    const machineId = random.pick(world.fleet.machineIds)
    world.fleet.misbehave(machineId, faults)
    return () => world.fleet.misbehave(machineId, undo)
  }
}

/** Every kind of fault; new ones come last, so that a seed can be played with those that there were. @public */
export const FAULTS: Readonly<Record<string, Fault>> = {
  'host killed': (world, random) => {
    random.pick(world.hosts).kill()
    return undefined
  },
  'host stopped': (world, random) => {
    random.pick(world.hosts).terminate()
    return undefined
  },
  'hosts stopped in turn': (world) => {
    world.hosts.forEach((host, index) => setTimeout(() => host.terminate(), index * ROLL_GAP_MS))
    return undefined
  },
  'all hosts killed': (world) => {
    for (const host of world.hosts) host.kill()
    return undefined
  },
  'host frozen': (world, random) => {
    const host = random.pick(world.hosts)
    host.freeze()
    return () => host.thaw()
  },
  'clock steps': (world, random) => {
    const host = random.pick(world.hosts)
    host.stepClock()
    return () => host.stepClock()
  },
  'store link': (world, random) => {
    const index = random.integer(world.hosts.length)
    const host = world.hosts[index]
    const link = world.storeLinks[index]
    if (host === undefined || link === undefined) return undefined
    host.disturbedMs = Infinity
    link.set(random.pick(LINK_FAULTS))
    return () => {
      link.set('none')
      host.disturbedMs = world.clock.monotonicMs()
    }
  },
  'store down': (world) => disturbStore(world, () => { world.store.forcedStatus = UNAVAILABLE }, () => { world.store.forcedStatus = undefined }),
  'store slow': (world) => disturbStore(world, () => { world.store.latencyMs = SLOW_STORE_MS }, () => { world.store.latencyMs = 0 }),
  'answers of the store lost': (world) => disturbStore(world, () => { world.store.losesAnswers = true }, () => { world.store.losesAnswers = false }),
  'machine loses power': (world, random, forMs) => {
    world.fleet.crash(random.pick(world.fleet.machineIds), forMs)
    return undefined
  },
  'worker link': (world, random) => {
    const link = world.machineLinks.get(random.pick(world.fleet.machineIds))
    link?.set(random.pick(LINK_FAULTS))
    return () => link?.set('none')
  },
  'worker answers nothing': misbehave({ isSilent: true }, { isSilent: false }),
  'worker loses answers': misbehave({ losesAnswers: true }, { losesAnswers: false }),
  'worker fails all': misbehave({ failsAll: true }, { failsAll: false }),
  'machines due for upkeep': (world, random) => {
    const first = random.integer(world.fleet.machineIds.length)
    void world.requestWave(world.fleet.machineIds.slice(first, first + MACHINES_A_WAVE))
    return undefined
  },
  'configuration changes': (world) => {
    void world.setExtra(world.extraChanges.at(-1)?.exists !== true)
    return undefined
  },
  'entries of another writer': (world, random) => {
    void world.writeForeign(random)
    return undefined
  },
  'a job that crashes workers': (world) => {
    world.crashingJobs++
    return undefined
  },
  'worker shrinks and grows': (world, random) => {
    const machineId = random.pick(world.fleet.machineIds)
    world.fleet.resize(machineId, random.next() * MOST_SHRUNK_SHARE)
    return () => world.fleet.resize(machineId, 1)
  },
  'host suspended': (world, random) => {
    const host = random.pick(world.hosts)
    host.suspend()
    return () => host.thaw()
  },
  'hosts suspended in turn': (world, _random, forMs) => {
    world.hosts.forEach((host, index) => {
      setTimeout(() => host.suspend(), index * ROLL_GAP_MS)
      setTimeout(() => host.thaw(), index * ROLL_GAP_MS + forMs)
    })
    return undefined
  },
  'a key is replaced': (world, random) => {
    const account = random.pick(ACCOUNTS)
    const { accounts, clock } = world
    accounts.addKey(account, clock.monotonicMs())
    void world.configure()
    setTimeout(() => {
      accounts.dropOldKeys(account, clock.monotonicMs())
      void world.configure()
    }, APPLY_MS + SWITCH_MS)
    return undefined
  },
  'a limit is lowered and raised': (world) => {
    world.accounts.setLimit(true, world.clock.monotonicMs())
    void world.configure()
    return () => {
      world.accounts.setLimit(false, world.clock.monotonicMs())
      void world.configure()
    }
  },
  'worker starts again': (world, random) => {
    world.fleet.crash(random.pick(world.fleet.machineIds), random.integer(MOST_RESTART_MS))
    return undefined
  },
  'many workers start again': (world, random) => {
    for (const machineId of world.fleet.machineIds) if (random.next() < RESTARTED_SHARE) world.fleet.crash(machineId, random.integer(MOST_RESTART_MS))
    return undefined
  }
}

/** One fault of a run. @public */
export interface PlannedFault { readonly kind: string, readonly atMs: number, readonly forMs: number }

/** Faults come this far apart on average, and last between these; several overlap. */
const MEAN_GAP_MS = 700
const LEAST_MS = 200
const MOST_MS = 4000

/** @param random - of the seed @param lengthMs - of the run @param kindCount - the first so many kinds are drawn from @returns its faults @public */
export function planFaults (random: SeededRandom, lengthMs: number, kindCount = Infinity): PlannedFault[] {
  const planned: PlannedFault[] = []
  const kinds = Object.keys(FAULTS).slice(0, kindCount)
  for (let atMs = random.exponentialMs(MEAN_GAP_MS); atMs < lengthMs; atMs += random.exponentialMs(MEAN_GAP_MS)) {
    planned.push({ kind: random.pick(kinds), atMs, forMs: LEAST_MS + random.next() * (MOST_MS - LEAST_MS) })
  }
  return planned
}
