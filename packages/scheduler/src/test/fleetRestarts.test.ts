import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import type { WaveRequest } from '@quillscale/ports'
import { MachineDuty } from '../lib/machines/MachineDuty.js'
import { MACHINE_DUTY_KEY } from '../lib/records/storeKeys.js'
import { PARKED_POOL, FakeMachineControl } from './FakeMachineControl.js'
import { SERVICE, TestService, type Tenure } from './TestService.js'

/** Results in leases of 4.8 s, so that a task that waits for one exceeds MAX_AWAY_MS. */
const MAX_LEASE_MS = 6000
const DOWN_MS = 300
/** The power loss, the first round of the new holder and a repeated stop; well below a lease. */
const MAX_AWAY_MS = DOWN_MS + 2500
const TASKS = 3
const WAVE: WaveRequest = { wave: 1, machineIds: ['m0', 'm1'], deadlineMs: 20_000, maxAtOnce: 1 }

type AsyncMethod = (...args: never[]) => Promise<unknown>

/** A service and its machines. All holders lose power at one step: a write, an order to a worker, or an order for a machine. */
class RestartedFleet {
  readonly service = new TestService(3)
  readonly machines = new FakeMachineControl(this.service, 3, 1)
  steps = 0
  #powerLosses = 0
  #isOff = false
  #isClosed = false
  #tenure: Tenure | undefined
  #duty: MachineDuty | undefined
  readonly #clock = setInterval(() => { for (const worker of this.service.runs.workers.values()) worker.step() }, 5)

  /**
   * @param fatalStep - number of the step at which power is lost, from 0
   * @param isDoneFirst - whether the step still takes effect
   * @param whileOff - called during the outage
   */
  constructor (readonly fatalStep: number, readonly isDoneFirst: boolean, readonly whileOff: (fleet: RestartedFleet) => void = () => {}) {
    const { service, machines } = this
    service.maxLeaseMs = MAX_LEASE_MS
    void service.submit(1, { runMs: 0 }, [{ isLasting: true, taskCount: TASKS, maxAway: 1, maxPerWorker: 2 }])
    this.#watch(service.store, 'transact')
    this.#watch(service.runs, 'start')
    this.#watch(service.runs, 'stop')
    this.#watch(machines, 'move')
    this.#watch(machines, 'upkeep')
  }

  /** Wraps a method to count steps and lose power at the fatal one. Calls of holders that lost power never return. */
  #watch<K extends string> (target: Record<K, AsyncMethod>, name: K): void {
    const method = target[name].bind(target)
    target[name] = async (...args: never[]) => {
      const losses = this.#powerLosses
      const isFatal = !this.#isOff && this.steps++ === this.fatalStep && losses === 0
      if (this.#isOff) return await never()
      if (isFatal && !this.isDoneFirst) return await this.#losePower()
      const result = await method(...args)
      if (isFatal) return await this.#losePower()
      return this.#powerLosses === losses ? result : await never()
    }
  }

  async #losePower (): Promise<never> {
    this.#powerLosses++
    this.#isOff = true
    this.#tenure?.scheduler.close()
    this.#duty?.close()
    if (this.#tenure !== undefined) this.#tenure.holdsDuty = false
    this.whileOff(this)
    setTimeout(() => {
      this.#isOff = false
      if (!this.#isClosed) void this.start()
    }, DOWN_MS)
    return await never()
  }

  async start (): Promise<void> {
    const { service, machines } = this
    const hostName = `host${this.#powerLosses}`
    service.write(MACHINE_DUTY_KEY, undefined)
    service.write(MACHINE_DUTY_KEY, hostName)
    const fencingToken = (await service.store.get(MACHINE_DUTY_KEY)).unwrap()?.modRevision ?? 0
    this.#duty = new MachineDuty({
      dutyKey: MACHINE_DUTY_KEY,
      fencingToken,
      holdsDuty: () => true,
      onDeposed: () => {},
      hostName,
      store: service.store,
      machines,
      clock: systemClock,
      log: service.log,
      records: service.records,
      waves: () => [WAVE],
      headroomPools: () => [PARKED_POOL],
      services: () => [SERVICE],
      waveStatus: (wave, isDone) => ({ key: `status/${wave}`, value: String(isDone) }),
      ordersPerS: () => 64,
      isEvacuated: () => false,
      holderChangeMs: () => 300
    })
    void this.#duty.run()
    this.#tenure = await service.takeOver()
  }

  async runToEnd (): Promise<void> {
    const { service } = this
    await this.start()
    const name = `${this.fatalStep} ${this.isDoneFirst}`
    await service.until(`the wave is done, step ${name}`, async () => (await service.store.get('status/1')).unwrap()?.value === 'true', 20_000)
    const running = (): number => service.runs.records.filter(({ endedMs }) => endedMs === undefined).length
    await service.until(`all tasks run, step ${name}`, () => running() === TASKS)
  }

  /** Longest gap between two runs of a task. */
  get longestGapMs (): number {
    const { records } = this.service.runs
    const gaps = records.flatMap((record) => {
      const later = records.filter(({ taskKey, runNumber }) => taskKey === record.taskKey && runNumber > record.runNumber)
      const [next] = later.sort((a, b) => a.runNumber - b.runNumber)
      return next === undefined || record.endedMs === undefined ? [] : [next.startedMs - record.endedMs]
    })
    return Math.max(0, ...gaps)
  }

  /** Ends the fleet for good, also during an outage: holders that came later would never be closed. */
  close (): void {
    this.#isClosed = true
    clearInterval(this.#clock)
    this.#duty?.close()
    this.service.close()
  }
}

const never = (): Promise<never> => new Promise(() => {})

describe('a restart of the whole fleet', () => {
  const MAX_STEPS = 60
  const BATCH_SIZE = 200

  /** Cuts the power of the machine whose worker started a task last. @param powerlessMs - duration of the outage */
  function failNewest (powerlessMs: number, { service, machines }: RestartedFleet): void {
    const newest = service.runs.records.filter(({ endedMs }) => endedMs === undefined).sort((a, b) => b.startedMs - a.startedMs)[0]
    const machineId = newest === undefined ? undefined : service.runs.workers.get(newest.instanceId)?.instance.machineId
    if (newest === undefined || machineId === undefined) return
    machines.fail(machineId, powerlessMs)
    service.unlist(newest.instanceId)
  }

  const cases = [
    { name: 'nothing else happens', whileOff: () => {} },
    { name: 'the worker that started a task last loses power for longer', whileOff: (fleet: RestartedFleet) => failNewest(3000, fleet) },
    { name: 'the worker that started a task last loses power for a shorter time', whileOff: (fleet: RestartedFleet) => failNewest(DOWN_MS / 2, fleet) }
  ]
  for (const { name, whileOff } of cases) {
    it(`at any step of a placement, stop or move interrupts no long-running task for as long as a lease, and runs none twice: ${name}`, async () => {
      const reference = new RestartedFleet(-1, false)
      await reference.runToEnd()
      const steps = Math.min(MAX_STEPS, reference.steps)
      reference.close()
      const fleets = Array.from({ length: steps }, (_, step) => [new RestartedFleet(step, false, whileOff), new RestartedFleet(step, true, whileOff)]).flat()
      try {
        for (let from = 0; from < fleets.length; from += BATCH_SIZE) await Promise.all(fleets.slice(from, from + BATCH_SIZE).map((fleet) => fleet.runToEnd()))
        const late = fleets.filter(({ longestGapMs }) => longestGapMs > MAX_AWAY_MS)
        expect(late.map(({ fatalStep, isDoneFirst, longestGapMs }) => `step ${fatalStep} ${isDoneFirst ? 'done' : 'not done'}: ${longestGapMs.toFixed(0)} ms`)).to.deep.equal([])
        expect(fleets.flatMap(({ service }) => service.duplicatedTasks)).to.deep.equal([])
      } finally {
        for (const fleet of fleets) fleet.close()
      }
    }).timeout(180_000)
  }
})
