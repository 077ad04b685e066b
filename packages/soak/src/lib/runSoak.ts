/**
 * Plays one seed.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { delay, SeededRandom, systemClock } from '@quillscale/utils'
import { checkPromises, type BrokenPromise } from './checkPromises.js'
import { FAULTS, planFaults, type PlannedFault } from './faults.js'
import type { History } from './History.js'
import { SoakCallers } from './SoakCallers.js'
import { MAX_IN_UPKEEP, SoakWorld } from './SoakWorld.js'

/** A run. @public */
export interface SoakOptions {
  readonly seed: number
  readonly lengthMs: number
  readonly hosts: number
  readonly machinesPerService: number
  /** The first so many kinds of faults; all by default. */
  readonly kindCount?: number | undefined
}

/** What came of it. @public */
export interface SoakResult {
  readonly seed: number
  readonly broken: readonly BrokenPromise[]
  readonly faults: readonly PlannedFault[]
  readonly jobs: number
  readonly accepted: number
  readonly runs: number
  readonly orders: number
  readonly probes: number
  /** With logs and the history; removed when all was kept. */
  readonly directory: string
}

/** The program is up and holds its duties after this. */
const START_MS = 2500
/** Longer than a lease of a run and a cut of the usual length: what was lost runs again. */
const SETTLE_MS = 25_000

/** @param options - which run @returns what came of it @public */
export async function runSoak ({ seed, lengthMs, hosts, machinesPerService, kindCount }: SoakOptions): Promise<SoakResult> {
  const directory = mkdtempSync(join(tmpdir(), `soak-${seed}-`))
  const random = new SeededRandom(seed)
  const world = new SoakWorld(systemClock, { hosts, machinesPerService })
  const callers = new SoakCallers(world, new SeededRandom(seed + 1))
  const faults = planFaults(random, lengthMs, kindCount)
  try {
    await world.start(hosts, directory, random)
    await delay(START_MS)
    void callers.run()
    await play(world, random, faults, lengthMs)
    world.heal()
    await callers.stop()
    await callers.settle(SETTLE_MS)
  } finally {
    await world.close()
  }
  const history: History = {
    jobs: callers.jobs,
    runs: world.fleet.runs,
    orders: world.fleet.orders,
    overloads: world.fleet.overloads,
    // The last ends are the soak's own.
    ends: world.hosts.flatMap(({ ends }) => ends.slice(0, -1)),
    broken: callers.broken,
    probes: callers.probes,
    keyProbes: callers.keyProbes,
    limits: world.accounts.limits,
    maxInUpkeep: MAX_IN_UPKEEP
  }
  const broken = checkPromises(history)
  if (broken.length === 0) rmSync(directory, { recursive: true })
  else writeFileSync(join(directory, 'history.json'), JSON.stringify({ broken, faults, history }, null, 1))
  const accepted = history.jobs.filter(({ submitted }) => submitted === 'accepted').length
  const { jobs, runs, orders, probes } = history
  return { seed, broken, faults, directory, accepted, jobs: jobs.length, runs: runs.length, orders: orders.length, probes: probes.length }
}

async function play (world: SoakWorld, random: SeededRandom, faults: readonly PlannedFault[], lengthMs: number): Promise<void> {
  const startedMs = world.clock.monotonicMs()
  for (const { kind, atMs, forMs } of faults) {
    await delay(Math.max(0, startedMs + atMs - world.clock.monotonicMs()))
    const end = FAULTS[kind]?.(world, random, forMs)
    if (end !== undefined) setTimeout(end, forMs)
  }
  await delay(Math.max(0, startedMs + lengthMs - world.clock.monotonicMs()))
}
