import { expect } from 'chai'
import fc from 'fast-check'
import { delay } from '@quillscale/utils'
import { testJobId } from '@quillscale/policy/testing'
import { TestService } from './TestService.js'

/** One worker with room for four tasks in each. */
const ZONES = ['z0', 'z1', 'z2']
const CPU_MILLIS = 4000
const ALL_ROOM = { taskCount: 12, isGang: true }
const LATE_START_MS = 60
/** Time for a start that was sent before the request, as late as a worker carries it out. */
const BOUND_MS = LATE_START_MS + 90
const SERIES = 16
const SEED = Number(process.env.FUZZ_SEED ?? 11)

interface Interval { readonly zone: string, readonly fromMs: number, toMs: number }

/** A service under a series of requests and failures, and for how long each zone was evacuated. */
class Series {
  readonly service = new TestService(ZONES.length, CPU_MILLIS, undefined, ZONES.length)
  readonly #intervals: Interval[] = []
  #jobs = 0

  constructor () {
    this.service.maxLeaseMs = 400
  }

  /** @param zone - the zone @param isRequested - false withdraws the request @param isSeen - whether the watch reports it */
  evacuate (zone: string, isRequested: boolean, isSeen: boolean): void {
    this.service.isWatchCutOff = !isSeen
    const open = this.#openInterval(zone)
    if (!isRequested && open !== undefined) open.toMs = performance.now()
    this.service.evacuate(zone, isRequested)
    if (isRequested && open === undefined) this.#intervals.push({ zone, fromMs: performance.now(), toMs: Infinity })
  }

  #openInterval (zone: string): Interval | undefined {
    return this.#intervals.find((interval) => interval.zone === zone && interval.toMs === Infinity)
  }

  async takeOver (isKilled: boolean): Promise<void> {
    if (isKilled) this.service.tenures.at(-1)?.scheduler.close()
    await this.service.takeOver()
  }

  /** The answer may be lost, but the job is stored. @param step - its only step */
  submit (step: { readonly taskCount: number, readonly isGang?: boolean }): void {
    void this.service.submit(++this.#jobs, { runMs: 25 }, [step])
  }

  loseAnswers (areLost: boolean): void {
    this.service.store.loseAnswers = () => areLost
  }

  delayWrites (delayMs: number): void {
    this.service.store.writeDelayMs = () => delayMs
  }

  disturbWorker (zone: string, faults: Partial<{ isSilent: boolean, losesAnswers: boolean, startsLateMs: number }>): void {
    for (const worker of this.service.runs.workers.values()) if (worker.instance.availabilityZone === zone) Object.assign(worker.faults, faults)
  }

  /** Ends all failures and lets the watch catch up; the evacuations stay as they are. */
  async heal (): Promise<void> {
    this.loseAnswers(false)
    this.delayWrites(0)
    await this.service.jobApiStore.get('any')
    for (const zone of ZONES) {
      this.disturbWorker(zone, { isSilent: false, losesAnswers: false, startsLateMs: 0 })
      this.evacuate(zone, this.#openInterval(zone) !== undefined, true)
    }
  }

  async untilAllEnded (): Promise<void> {
    for (let number = 1; number <= this.#jobs; number++) await this.service.untilStatus(testJobId(number), 'succeeded')
  }

  async check (): Promise<void> {
    await this.heal()
    const isRoomLeft = ZONES.some((zone) => this.#openInterval(zone) === undefined)
    if (isRoomLeft) await this.untilAllEnded()
    for (const zone of ZONES) this.evacuate(zone, false, true)
    this.submit(ALL_ROOM)
    await this.untilAllEnded()
    const { runs, duplicatedTasks } = this.service
    const late = runs.records.filter(({ instanceId, startedMs }) => this.#intervals.some(({ zone, fromMs, toMs }) =>
      runs.workers.get(instanceId)?.instance.availabilityZone === zone && startedMs > fromMs + BOUND_MS && startedMs < toMs))
    expect([late, duplicatedTasks], this.service.log.lines.join('\n')).to.deep.equal([[], []])
  }
}

const zone = fc.constantFrom(...ZONES)
const actions = fc.oneof(
  fc.tuple(zone, fc.boolean()).map(([name, isSeen]) => (series: Series) => series.evacuate(name, true, isSeen)),
  fc.tuple(zone, fc.boolean()).map(([name, isSeen]) => (series: Series) => series.evacuate(name, false, isSeen)),
  fc.integer({ min: 1, max: 6 }).map((taskCount) => (series: Series) => series.submit({ taskCount })),
  fc.boolean().map((isKilled) => (series: Series) => series.takeOver(isKilled)),
  fc.boolean().map((areLost) => (series: Series) => series.loseAnswers(areLost)),
  fc.constantFrom(0, 30).map((delayMs) => (series: Series) => series.delayWrites(delayMs)),
  fc.tuple(zone, fc.boolean()).map(([name, isSilent]) => (series: Series) => series.disturbWorker(name, { isSilent })),
  fc.tuple(zone, fc.boolean()).map(([name, losesAnswers]) => (series: Series) => series.disturbWorker(name, { losesAnswers })),
  fc.tuple(zone, fc.constantFrom(0, LATE_START_MS)).map(([name, startsLateMs]) => (series: Series) => series.disturbWorker(name, { startsLateMs }))
)

describe('evacuations under random failures', () => {
  it('start nothing late in a zone, let run elsewhere what has room, and give the zone back', async () => {
    const steps = fc.array(fc.tuple(actions, fc.integer({ min: 0, max: 60 })), { minLength: 10, maxLength: 25 })
    await fc.assert(fc.asyncProperty(steps, async (series) => {
      const played = new Series()
      try {
        await played.takeOver(false)
        for (const [act, pauseMs] of series) {
          await act(played)
          await delay(pauseMs)
        }
        await played.check()
      } finally {
        played.service.close()
      }
    }), { seed: SEED, numRuns: SERIES, endOnFailure: true })
  }).timeout(60_000)
})
