/**
 * The faults that the soak injects, drawn from a seed.
 *
 * @module
 */
import type { SeededRandom } from '@quillscale/utils'
import type { LinkFault } from './FaultProxy.js'
import { ACCOUNTS, APPLY_MS } from './SoakAccounts.js'
import { ZONES, type SoakEnvironment } from './SoakEnvironment.js'

/** Starts a fault and returns the function that ends it, or `undefined` if it ends by itself. */
type Fault = (environment: SoakEnvironment, random: SeededRandom, forMs: number) => (() => void) | undefined

const LINK_FAULTS: readonly LinkFault[] = ['delay', 'reset', 'refuse', 'silent', 'silent-to', 'silent-from']
/** Time between the stops of a rolling restart. */
const ROLLING_STOP_GAP_MS = 900
/** Machines that a wave asks for; more than may be down at once. */
const MACHINES_PER_WAVE = 4
const SLOW_STORE_MS = 120
const SERVICE_UNAVAILABLE = 503
/** Time that clients have to switch to a new key, after it is in force and before the old key is revoked. */
const KEY_SWITCH_MS = 500
/** Longest restart of a worker, shorter than its registration lasts. */
const MAX_RESTART_MS = 500
const RESTART_SHARE = 0.3
const JOBS_FOR_EXTRA_QUEUE = 10
/** Time in which all undisturbed hosts learn of an added queue, before it is removed. */
const ADDED_QUEUE_MS = 500
/** Time between two versions that replace a key and a queue at once. */
const ROTATION_GAP_MS = 400
/** Jobs with a schedule are sent again until shortly before their start. */
const MIN_ROTATIONS_MS = 3000
const JOBS_FOR_ROTATIONS = 8
/** Part of the transactions whose answer is lost while keys and queues are replaced. */
const LOST_ANSWER_SHARE = 0.2
const LARGE_SHARE = 0.5
/** How often a queue stays while it moves; otherwise it is away for a while. */
const STAYING_SHARE = 0.5
/** An evacuation lasts longer than the bound from which no run may start in its zone. */
const MIN_EVACUATION_MS = 5500
/** Time between the losses of workers in a series. */
const MIN_LOSS_GAP_MS = 150
const MAX_LOSS_GAP_MS = 450
/** A series of losses outlasts several starts of the tasks that it interrupts. */
const MIN_SERIES_MS = 4000
/** A worker whose capacity shrinks keeps less than this share of it. */
const MAX_SHRUNK_SHARE = 0.7

function disturbStore (environment: SoakEnvironment, change: () => void, undo: () => void): () => void {
  environment.storeLastDisturbedMs = Infinity
  change()
  return () => {
    undo()
    environment.storeLastDisturbedMs = environment.clock.monotonicMs()
  }
}

function misbehave (faults: Parameters<SoakEnvironment['fleet']['setWorkerFaults']>[1], undo: typeof faults): Fault {
  return (environment, random) => {
    const machineId = random.pick(environment.fleet.machineIds)
    environment.fleet.setWorkerFaults(machineId, faults)
    return () => environment.fleet.setWorkerFaults(machineId, undo)
  }
}

/** All kinds of faults. New kinds are appended, so that an old seed can be replayed with the kinds that existed then. @public */
export const FAULTS: Readonly<Record<string, Fault>> = {
  'host killed': (environment, random) => {
    random.pick(environment.hosts).kill()
    return undefined
  },
  'host stopped': (environment, random) => {
    random.pick(environment.hosts).terminate()
    return undefined
  },
  'hosts stopped in turn': (environment) => {
    environment.hosts.forEach((host, index) => setTimeout(() => host.terminate(), index * ROLLING_STOP_GAP_MS))
    return undefined
  },
  'all hosts killed': (environment) => {
    for (const host of environment.hosts) host.kill()
    return undefined
  },
  'host frozen': (environment, random) => {
    const host = random.pick(environment.hosts)
    host.freeze()
    return () => host.thaw()
  },
  'clock steps': (environment, random) => {
    const host = random.pick(environment.hosts)
    host.stepClock()
    return () => host.stepClock()
  },
  'store link': (environment, random) => {
    const index = random.integer(environment.hosts.length)
    const host = environment.hosts[index]
    const link = environment.storeLinks[index]
    if (host === undefined || link === undefined) return undefined
    host.lastDisturbedMs = Infinity
    link.set(random.pick(LINK_FAULTS))
    return () => {
      link.set('none')
      host.lastDisturbedMs = environment.clock.monotonicMs()
    }
  },
  'store down': (environment) => disturbStore(environment, () => { environment.store.forcedStatus = SERVICE_UNAVAILABLE }, () => { environment.store.forcedStatus = undefined }),
  'store slow': (environment) => disturbStore(environment, () => { environment.store.latencyMs = SLOW_STORE_MS }, () => { environment.store.latencyMs = 0 }),
  'answers of the store lost': (environment) => disturbStore(environment, () => { environment.store.losesAnswers = true }, () => { environment.store.losesAnswers = false }),
  'machine loses power': (environment, random, forMs) => {
    environment.fleet.crash(random.pick(environment.fleet.machineIds), forMs)
    return undefined
  },
  'worker link': (environment, random) => {
    const link = environment.machineLinks.get(random.pick(environment.fleet.machineIds))
    link?.set(random.pick(LINK_FAULTS))
    return () => link?.set('none')
  },
  'worker answers nothing': misbehave({ isSilent: true }, { isSilent: false }),
  'worker loses answers': misbehave({ losesAnswers: true }, { losesAnswers: false }),
  'worker fails all': misbehave({ failsAll: true }, { failsAll: false }),
  'machines due for upkeep': (environment, random) => {
    const first = random.integer(environment.fleet.machineIds.length)
    void environment.requestMaintenanceWave(environment.fleet.machineIds.slice(first, first + MACHINES_PER_WAVE))
    return undefined
  },
  'configuration changes': (environment) => {
    void environment.setExtraQueue(environment.extraQueueChanges.at(-1)?.exists !== true)
    return undefined
  },
  'entries of another writer': (environment, random) => {
    void environment.writeForeignEntry(random)
    return undefined
  },
  'a job that crashes workers': (environment) => {
    environment.remainingCrashingJobs++
    return undefined
  },
  'worker shrinks and grows': (environment, random) => {
    const machineId = random.pick(environment.fleet.machineIds)
    environment.fleet.resizeWorker(machineId, random.next() * MAX_SHRUNK_SHARE)
    return () => environment.fleet.resizeWorker(machineId, 1)
  },
  'host suspended': (environment, random) => {
    const host = random.pick(environment.hosts)
    host.suspend()
    return () => host.thaw()
  },
  'hosts suspended in turn': (environment, _random, forMs) => {
    environment.hosts.forEach((host, index) => {
      setTimeout(() => host.suspend(), index * ROLLING_STOP_GAP_MS)
      setTimeout(() => host.thaw(), index * ROLLING_STOP_GAP_MS + forMs)
    })
    return undefined
  },
  'a key is replaced': (environment, random) => {
    const account = random.pick(ACCOUNTS)
    const { accounts, clock } = environment
    accounts.addKey(account, clock.monotonicMs())
    void environment.writeConfiguration()
    setTimeout(() => {
      accounts.revokeReplacedKeys(account, clock.monotonicMs())
      void environment.writeConfiguration()
    }, APPLY_MS + KEY_SWITCH_MS)
    return undefined
  },
  'a limit is lowered and raised': (environment) => {
    environment.accounts.setLimit(true, environment.clock.monotonicMs())
    void environment.writeConfiguration()
    return () => {
      environment.accounts.setLimit(false, environment.clock.monotonicMs())
      void environment.writeConfiguration()
    }
  },
  'worker starts again': (environment, random) => {
    environment.fleet.crash(random.pick(environment.fleet.machineIds), random.integer(MAX_RESTART_MS))
    return undefined
  },
  'many workers start again': (environment, random) => {
    for (const machineId of environment.fleet.machineIds) if (random.next() < RESTART_SHARE) environment.fleet.crash(machineId, random.integer(MAX_RESTART_MS))
    return undefined
  },
  'a zone is evacuated': (environment, random, forMs) => {
    const zone = random.pick(ZONES)
    void environment.requestEvacuation(zone)
    setTimeout(() => { void environment.withdrawEvacuation(zone) }, MIN_EVACUATION_MS + forMs)
    return undefined
  },
  'a queue is added while hosts learn of it late': (environment, random) => {
    environment.delayConfiguration(random)
    void environment.setExtraQueue(true)
    environment.remainingExtraJobs = JOBS_FOR_EXTRA_QUEUE
    return () => environment.restoreConfiguration()
  },
  'a queue is removed while hosts learn of it late': (environment, random, forMs) => {
    void environment.setExtraQueue(true)
    setTimeout(() => {
      environment.delayConfiguration(random)
      void environment.setExtraQueue(false)
      environment.remainingExtraJobs = JOBS_FOR_EXTRA_QUEUE
      setTimeout(() => environment.restoreConfiguration(), forMs)
    }, ADDED_QUEUE_MS)
    return undefined
  },
  'a queue moves to another service, and its jobs are sent again': (environment, random, forMs) => {
    void environment.setExtraQueue(true)
    environment.remainingExtraJobs = JOBS_FOR_EXTRA_QUEUE
    environment.resendsExtraJobs = true
    setTimeout(() => { void environment.setExtraQueue(random.next() < STAYING_SHARE) }, ADDED_QUEUE_MS)
    setTimeout(() => { void environment.moveExtraQueue() }, ADDED_QUEUE_MS + forMs / 2)
    return undefined
  },
  'workers are lost in series, over a change of the duty holder': (environment, random, forMs) => {
    const schedule = (act: () => void, atMs: number): void => { setTimeout(() => { if (!environment.isHealed) act() }, atMs) }
    const seriesMs = MIN_SERIES_MS + forMs
    for (let atMs = 0; atMs < seriesMs; atMs += MIN_LOSS_GAP_MS + random.integer(MAX_LOSS_GAP_MS - MIN_LOSS_GAP_MS)) {
      const machineId = random.pick(environment.fleet.machineIds)
      const restartMs = random.integer(MAX_RESTART_MS)
      schedule(() => environment.fleet.crash(machineId, restartMs), atMs)
    }
    schedule(() => environment.hosts.find(({ hostSettings }) => hostSettings.hostName === environment.tenures.at(-1)?.hostName)?.kill(), seriesMs / 2)
    return undefined
  },
  'keys and queues are replaced while hosts learn of it late, and jobs are sent again by the new ones': (environment, random, forMs) => {
    environment.isConfigurationLarge = random.next() < LARGE_SHARE
    environment.delayConfiguration(random, APPLY_MS)
    const loseAnswers = (): void => { environment.store.losesAnswer = () => random.next() < LOST_ANSWER_SHARE }
    const restoreStore = disturbStore(environment, loseAnswers, () => environment.restoreConfiguration())
    environment.remainingRotatedJobs = JOBS_FOR_ROTATIONS
    const lengthMs = MIN_ROTATIONS_MS + forMs
    for (let atMs = ROTATION_GAP_MS; atMs < lengthMs; atMs += ROTATION_GAP_MS) setTimeout(() => { if (!environment.isHealed) void environment.rotate() }, atMs)
    setTimeout(restoreStore, lengthMs)
    return undefined
  },
  'a holder starts a job under a version that it has not heard of, and is asked right after': (environment) => {
    environment.remainingLagProbes++
    return undefined
  }
}

/** A fault of a run: its kind, start and duration. @public */
export interface PlannedFault { readonly kind: string, readonly atMs: number, readonly forMs: number }

/** Average time between the starts of faults, and the range of their durations; several faults overlap. */
const MEAN_FAULT_GAP_MS = 700
const MIN_FAULT_MS = 200
const MAX_FAULT_MS = 4000

/**
 * Draws the faults of a run.
 *
 * @param random - random numbers of the seed
 * @param lengthMs - length of the run
 * @param kindCount - how many kinds to draw from, in the order of {@link FAULTS}
 * @param firstKind - the first of them, from 1
 * @returns the faults, by time
 * @public
 */
export function planFaults (random: SeededRandom, lengthMs: number, kindCount = Infinity, firstKind = 1): PlannedFault[] {
  const planned: PlannedFault[] = []
  const kinds = Object.keys(FAULTS).slice(firstKind - 1, kindCount)
  for (let atMs = random.exponentialMs(MEAN_FAULT_GAP_MS); atMs < lengthMs; atMs += random.exponentialMs(MEAN_FAULT_GAP_MS)) {
    planned.push({ kind: random.pick(kinds), atMs, forMs: MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS) })
  }
  return planned
}
