/**
 * Runs the soak with one seed.
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
import { MAX_IN_MAINTENANCE, SoakEnvironment } from './SoakEnvironment.js'

/** Parameters of a run. @public */
export interface SoakOptions {
  readonly seed: number
  readonly lengthMs: number
  readonly hosts: number
  readonly machinesPerService: number
  /** How many kinds of faults to draw from, in the order of `FAULTS`; all by default. */
  readonly kindCount?: number | undefined
  /** The first of them, from 1. */
  readonly firstKind?: number | undefined
}

/** Broken promises and counts of a run. @public */
export interface SoakResult {
  readonly seed: number
  readonly broken: readonly BrokenPromise[]
  readonly faults: readonly PlannedFault[]
  readonly jobs: number
  readonly accepted: number
  readonly runs: number
  readonly orders: number
  readonly probes: number
  /** Time for which the process of the soak stood still at the longest. */
  readonly stalledMs: number
  /** How often a lagging holder was asked after a start. */
  readonly meetings: number
  /** Directory with logs and history; removed if no promise was broken. */
  readonly directory: string
}

/** Time until all processes serve and the duties are held. */
const STARTUP_MS = 2500
/** Longer than a run's lease plus a typical network cut, so that lost tasks have been started again. */
const SETTLE_MS = 25_000

/** Runs the soak once and checks all promises. @param options - parameters of the run @returns broken promises and counts @public */
export async function runSoak ({ seed, lengthMs, hosts, machinesPerService, kindCount, firstKind }: SoakOptions): Promise<SoakResult> {
  const directory = mkdtempSync(join(tmpdir(), `soak-${seed}-`))
  const random = new SeededRandom(seed)
  const environment = new SoakEnvironment(systemClock, { hosts, machinesPerService })
  const callers = new SoakCallers(environment, new SeededRandom(seed + 1), new SeededRandom(seed + 2))
  const faults = planFaults(random, lengthMs, kindCount, firstKind)
  try {
    await environment.start(hosts, directory, random)
    await delay(STARTUP_MS)
    void callers.run()
    await playFaults(environment, random, faults, lengthMs)
    environment.heal()
    await callers.stop()
    await callers.awaitFinalStates(SETTLE_MS)
  } finally {
    await environment.close()
  }
  const history: History = {
    jobs: callers.jobs,
    runs: environment.fleet.runs,
    orders: environment.fleet.orders,
    overloads: environment.fleet.overloads,
    // The last exit of each host was caused by close().
    ends: environment.hosts.flatMap(({ ends }) => ends.slice(0, -1)),
    broken: callers.broken,
    probes: callers.probes,
    lookups: callers.lookups,
    extraQueueChanges: environment.extraQueueChanges,
    configurations: environment.configurations,
    storedJobs: environment.storedJobs,
    tenures: environment.tenures,
    keyProbes: callers.keyProbes,
    limits: environment.accounts.limits,
    evacuations: environment.evacuations,
    rotatedCalls: callers.rotatedCalls,
    lagAnswers: callers.lagProbe.answers,
    maxInUpkeep: MAX_IN_MAINTENANCE
  }
  const broken = checkPromises(history)
  if (broken.length === 0) rmSync(directory, { recursive: true })
  else writeFileSync(join(directory, 'history.json'), JSON.stringify({ broken, faults, history }, null, 1))
  const accepted = history.jobs.filter(({ submitted }) => submitted === 'accepted').length
  const { jobs, runs, orders, probes } = history
  const { meetings } = callers.lagProbe
  const stalledMs = Math.round(environment.stalls.longestMs)
  return { seed, broken, faults, directory, accepted, meetings, stalledMs, jobs: jobs.length, runs: runs.length, orders: orders.length, probes: probes.length }
}

async function playFaults (environment: SoakEnvironment, random: SeededRandom, faults: readonly PlannedFault[], lengthMs: number): Promise<void> {
  const startedMs = environment.clock.monotonicMs()
  for (const { kind, atMs, forMs } of faults) {
    await delay(Math.max(0, startedMs + atMs - environment.clock.monotonicMs()))
    const end = FAULTS[kind]?.(environment, random, forMs)
    if (end !== undefined) setTimeout(end, forMs)
  }
  await delay(Math.max(0, startedMs + lengthMs - environment.clock.monotonicMs()))
}
