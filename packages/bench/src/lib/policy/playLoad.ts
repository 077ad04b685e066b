/**
 * Plays a load against the decisions, in simulated time.
 *
 * @module
 */
import type { FleetConfiguration } from '@quillscale/ports'
import { jobSpecSchema, type JobId } from '@quillscale/policy'
import { SeededRandom } from '@quillscale/utils'
import { drawJobs, type DrawnJob } from './drawJobs.js'
import type { LoadFault, PolicyLoad } from './policyLoad.js'
import { SimulatedPools } from './SimulatedPools.js'
import { SimulatedService } from './SimulatedService.js'

const MS_PER_S = 1000
const STEP_MS = 20
const POOLS_MS = 100
/** From a client's sending until its job is known to the scheduler. */
const ACCEPT_MS = 20
/** What came while no host was there is sent again about so long after one is. */
const RETRY_MS = 150
/** After the load, so long for what is left. */
const FINISH_MS = 14_000
const WINDOW_MS = 2000
/** A job earns something until this multiple of its objective. */
const LATE_FACTOR = 3
const LASTING_NUMBER = 1e9
/** How the parts of what was earned are weighed. */
const WEIGHTS = { day: 0.28, worstWindows: 0.4, worstZone: 0.2, worstKind: 0.12 } as const
const WORST_WINDOWS = 2
/** A window or kind with less of the worth than this says nothing. */
const LEAST_SHARE = 0.02

/** What a play shows. */
export interface PlayFigures {
  /** What was earned of what was owed: over all, in the two worst windows, by the worst kind of jobs. */
  readonly day: number
  readonly worstWindows: number
  readonly worstKind: number
  /** What each kind earned of what it was owed. */
  readonly kinds: ReadonlyArray<{ readonly name: string, readonly share: number }>
  /** Among the largest tenth of jobs of a kind, the share in time, against all of the kind; of the worst kind. */
  readonly largest: number
  readonly machineSeconds: number
  readonly moves: number
  /** Weighed together, less prices. */
  readonly worth: number
  /** Earned of owed by window. */
  readonly windows: ReadonlyArray<{ readonly atS: number, readonly owed: number, readonly earned: number }>
}

interface Played { readonly drawn: DrawnJob, tookMs: number }

/** One play. */
export class LoadPlay {
  readonly #load: PolicyLoad
  readonly #services: ReadonlyMap<string, SimulatedService>
  readonly #pools: SimulatedPools
  readonly #drawn: readonly DrawnJob[]
  readonly #played = new Map<JobId, Played>()

  /** @param load - what is played @param seed - draws its jobs @param silentAfterMs - without an answer for so long a worker gets no work */
  constructor (load: PolicyLoad, seed: number, silentAfterMs: number) {
    this.#load = load
    this.#drawn = drawJobs(load, new SeededRandom(seed))
    const configuration = configurationOf(load)
    this.#services = new Map(load.services.map(({ name }) => [name, new SimulatedService(name, configuration, load)]))
    this.#pools = new SimulatedPools({
      load, services: this.#services, silentAfterMs, isCut: (zone, nowMs) => this.#active('zone-cut', nowMs).some((fault) => fault.zone === zone)
    })
    load.services.forEach(({ name, lastingTasks, lastingCpuMillis }, index) => {
      if (lastingTasks === 0) return
      const jobId = (LASTING_NUMBER + index).toString(16).padStart(16, '0')
      const steps = [{ taskCount: lastingTasks, cpuMillis: lastingCpuMillis, isLasting: true, maxAway: 1 }]
      this.#services.get(name)?.accept(jobSpecSchema.parse({ jobId, queue: '', command: '', submittedMs: 0, steps }), undefined, 0)
    })
  }

  #active<K extends LoadFault['kind']> (kind: K, nowMs: number): Array<Extract<LoadFault, { kind: K }>> {
    return this.#load.faults.filter((fault): fault is Extract<LoadFault, { kind: K }> =>
      fault.kind === kind && nowMs >= fault.atS * MS_PER_S && nowMs < (fault.atS + fault.forS) * MS_PER_S)
  }

  /** @param nowMs - the present @returns when hosts decide again, the present if they do */
  #backMs (nowMs: number): number {
    const restarts = this.#load.faults.filter((fault) => fault.kind === 'all-hosts-restart')
    const ends = restarts.filter(({ atS, forS, startS }) => nowMs >= atS * MS_PER_S && nowMs < (atS + forS + startS) * MS_PER_S)
    return Math.max(nowMs, ...ends.map(({ atS, forS, startS }) => (atS + forS + startS) * MS_PER_S + RETRY_MS))
  }

  /** @returns what the play shows */
  run (): PlayFigures {
    const waiting = this.#drawn.map((drawn) => ({ drawn, atMs: this.#backMs(drawn.sentMs) + ACCEPT_MS }))
    for (let nowMs = 0; nowMs < this.#load.lengthS * MS_PER_S + FINISH_MS; nowMs += STEP_MS) {
      this.#pools.pass(nowMs, STEP_MS)
      this.#slow(nowMs)
      if (this.#backMs(nowMs) > nowMs) {
        this.#pools.takeOver(nowMs)
        continue
      }
      for (let next = waiting[0]; next !== undefined && next.atMs <= nowMs; next = waiting[0]) {
        waiting.shift()
        const spec = { ...next.drawn.spec, submittedMs: next.atMs }
        this.#services.get(next.drawn.kind.service)?.accept(spec, next.drawn, nowMs)
      }
      for (const service of this.#services.values()) {
        service.hear(nowMs, (drawn) => this.#played.set(drawn.spec.jobId, { drawn, tookMs: nowMs - drawn.sentMs }))
        service.round(nowMs)
      }
      if (nowMs % POOLS_MS === 0) this.#pools.plan(nowMs)
    }
    return this.#figures()
  }

  #slow (nowMs: number): void {
    const [fault] = this.#active('slow-workers', nowMs)
    for (const service of this.#services.values()) {
      for (const worker of service.workers.values()) {
        const isHit = fault !== undefined && Number.parseInt(worker.instance.machineId.slice(1)) * 0.618 % 1 < fault.share
        worker.slowness = isHit ? fault.factor : 1
      }
    }
  }

  #earned (drawn: DrawnJob): number {
    const tookMs = this.#played.get(drawn.spec.jobId)?.tookMs ?? Infinity
    const objectiveMs = objectiveOf(drawn)
    if (tookMs <= objectiveMs) return drawn.worth
    return tookMs <= LATE_FACTOR * objectiveMs ? drawn.worth * drawn.kind.lateWorth / drawn.kind.worth : 0
  }

  #shareOf (jobs: readonly DrawnJob[]): number {
    const owed = jobs.reduce((sum, { worth }) => sum + worth, 0)
    return owed === 0 ? 1 : jobs.reduce((sum, drawn) => sum + this.#earned(drawn), 0) / owed
  }

  #figures (): PlayFigures {
    const owed = this.#drawn.reduce((sum, { worth }) => sum + worth, 0)
    const windows = groupBy(this.#drawn, ({ sentMs }) => Math.floor(sentMs / WINDOW_MS)).map(([index, jobs]) => {
      const owedThen = jobs.reduce((sum, { worth }) => sum + worth, 0)
      return { atS: index * WINDOW_MS / MS_PER_S, owed: owedThen, earned: this.#shareOf(jobs) * owedThen }
    })
    const day = this.#shareOf(this.#drawn)
    const shares = windows.filter((window) => window.owed > LEAST_SHARE * owed).map((window) => window.earned / window.owed).sort((a, b) => a - b)
    const worstWindows = shares.slice(0, WORST_WINDOWS).reduce((sum, share) => sum + share, 0) / Math.max(1, Math.min(shares.length, WORST_WINDOWS))
    const byKind = groupBy(this.#drawn, ({ kind }) => kind.name)
    const kinds = byKind.map(([name, jobs]) => ({ name, share: this.#shareOf(jobs) }))
    const worstKind = Math.min(...kinds.map(({ share }) => share))
    const { machineSeconds, moves } = this.#pools
    const prices = (machineSeconds * this.#load.prices.machineS + moves * this.#load.prices.move) / owed
    const earned = WEIGHTS.day * day + WEIGHTS.worstWindows * worstWindows + WEIGHTS.worstZone * day + WEIGHTS.worstKind * worstKind
    const largest = Math.min(...byKind.map(([, jobs]) => this.#largest(jobs)))
    return { day, worstWindows, worstKind, kinds, largest, machineSeconds, moves, worth: earned - prices, windows }
  }

  /** Jobs in time among the largest tenth of a kind, against all of it. */
  #largest (jobs: readonly DrawnJob[]): number {
    const inTime = (some: readonly DrawnJob[]): number => some.filter((drawn) => this.#earned(drawn) === drawn.worth).length / Math.max(1, some.length)
    const largest = [...jobs].sort((a, b) => b.work - a.work).slice(0, Math.ceil(jobs.length / 10))
    return inTime(largest) / Math.max(1e-9, inTime(jobs))
  }
}

function objectiveOf ({ kind, chainMs }: DrawnJob): number {
  return kind.stretch * chainMs + kind.targetLatencyMs
}

function groupBy<T, K> (items: readonly T[], keyOf: (item: T) => K): Array<[K, T[]]> {
  const groups = new Map<K, T[]>()
  for (const item of items) groups.set(keyOf(item), [...groups.get(keyOf(item)) ?? [], item])
  return [...groups]
}

function configurationOf ({ services, jobs }: PolicyLoad): FleetConfiguration {
  return {
    version: 1,
    maxBodyBytes: 0,
    services: services.map(({ name }) => ({ name, isHeadroom: false, refusesOverload: true, healthPath: '' })),
    queues: jobs.map(({ name, service, stretch, targetLatencyMs, priority }) =>
      ({ name, host: '', pathPrefix: '/', service, priority, attempts: 3, stretch, targetLatencyMs, timeoutMs: 3000 }))
  }
}
