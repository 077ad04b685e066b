import { expect } from 'chai'
import { delay, systemClock } from '@quillscale/utils'
import { workerIdOf, type MachineControl, type WaveRequest } from '@quillscale/ports'
import { decodeMachineLossReport } from '../lib/machines/machineLossReport.js'
import { MachineDuty } from '../lib/machines/MachineDuty.js'
import { MACHINE_DUTY_RECORD_KEY } from '../lib/machines/machineDutyRecord.js'
import { goneKey, MACHINE_DUTY_KEY, sightingsKey, vacateKey } from '../lib/records/storeKeys.js'
import { PARKED_POOL, FakeMachineControl, type RecordedOrder } from './FakeMachineControl.js'
import { SERVICE, TestService } from './TestService.js'

const HOLDER_CHANGE_MS = 300
/** The slack of the pause itself, two take-overs, and emptying the machine. */
const PAUSE_ALLOWANCE_MS = 1500

describe('MachineDuty', () => {
  let service: TestService
  const duties: MachineDuty[] = []
  const statuses: string[] = []
  let holderChangeMs = HOLDER_CHANGE_MS
  afterEach(() => {
    service.close()
    for (const duty of duties.splice(0)) duty.close()
    statuses.splice(0)
    holderChangeMs = HOLDER_CHANGE_MS
  })

  async function take (machines: MachineControl, waves: readonly WaveRequest[], hostName = 'host'): Promise<MachineDuty> {
    await service.store.transact({ conditions: [], puts: [], removals: [MACHINE_DUTY_KEY] })
    const taken = (await service.store.compareAndSwap({ key: MACHINE_DUTY_KEY, expectedModRevision: 0, value: hostName })).unwrap()
    const duty = new MachineDuty({
      dutyKey: MACHINE_DUTY_KEY,
      fencingToken: taken.swapped ? taken.modRevision : 0,
      holdsDuty: () => true,
      onDeposed: () => {},
      hostName,
      store: service.store,
      machines,
      clock: systemClock,
      log: service.log,
      records: service.records,
      waves: () => waves,
      headroomPools: () => [PARKED_POOL],
      services: () => [SERVICE],
      waveStatus: (wave, isDone) => {
        statuses.push(`${wave} ${isDone ? 'done' : 'running'}`)
        return { key: `status/${wave}`, value: String(isDone) }
      },
      ordersPerS: () => 64,
      holderChangeMs: () => holderChangeMs
    })
    duties.push(duty)
    void duty.run()
    return duty
  }

  it('keeps every machine of a wave up once, so many at a time, and no task of a step away beside another', async () => {
    service = new TestService(4)
    service.maxLeaseMs = 3000
    const machines = new FakeMachineControl(service, 4, 2)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true, maxAway: 1, maxPerWorker: 2 }])
    await service.until('all run', () => service.runs.records.length === 4)
    const wave = { wave: 1, machineIds: ['m0', 'm1', 'm2', 'm3', 'm4'], deadlineMs: 20_000, maxAtOnce: 2 }
    await take(machines, [wave])
    await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
    const kept = machines.orders.filter(({ what }) => what === 'upkeep').map(({ machineId }) => machineId)
    expect([...kept].sort()).to.deep.equal(wave.machineIds)
    expect(machines.maxDown).to.be.at.most(2)
    await service.until('all tasks run again', () => service.runs.records.filter(({ endedMs }) => endedMs === undefined).length === 4)
    expect(service.duplicatedTasks).to.deep.equal([])
  }).timeout(20_000)

  it('gives a service that wants more a parked machine', async () => {
    service = new TestService(1)
    const machines = new FakeMachineControl(service, 1, 2)
    await service.takeOver()
    await service.submit(1, { runMs: 3000 }, [{ taskCount: 8 }])
    await take(machines, [])
    await service.until('a machine came', () => machines.poolOf('m1') === SERVICE)
    expect(machines.orders.every(({ what }) => what === `move to ${SERVICE}`)).to.equal(true)
  })

  it('a next holder goes on with the wave, and waits before it repeats a former one’s order', async () => {
    service = new TestService(3)
    service.maxLeaseMs = 3000
    const machines = new FakeMachineControl(service, 3, 0)
    await service.takeOver()
    const wave = { wave: 1, machineIds: ['m0', 'm1', 'm2'], deadlineMs: 20_000, maxAtOnce: 1 }
    const first = await take(machines, [wave], 'first')
    await service.until('it began', () => machines.orders.length > 0)
    first.close()
    await delay(5)
    await take(machines, [wave], 'second')
    await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
    for (const machineId of wave.machineIds) {
      const holders = machines.orders.filter((order) => order.machineId === machineId && order.what === 'upkeep')
      expect(holders.length, machineId).to.be.at.least(1)
      for (const [index, order] of holders.entries()) {
        const former = holders[index - 1]
        if (former !== undefined && former.holder !== order.holder) expect(order.atMs - former.atMs).to.be.above(HOLDER_CHANGE_MS)
      }
    }
  }).timeout(20_000)

  it('a next holder orders no machine so soon after a former one’s order, though that was done', async () => {
    service = new TestService(1)
    holderChangeMs = 2000
    const machines = new FakeMachineControl(service, 1, 1)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
    const first = await take(machines, [], 'first')
    await service.until('a machine came', () => machines.poolOf('m1') === SERVICE)
    await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
    first.close()
    await take(machines, [{ wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }], 'second')
    await service.until('the wave is done', () => statuses.includes('1 done'))
    const [former, next] = machines.orders.filter(({ machineId }) => machineId === 'm1')
    expect((next?.atMs ?? 0) - (former?.atMs ?? 0)).to.be.above(holderChangeMs)
  }).timeout(20_000)

  /** The machine that a worker is reported to have lost. */
  async function reportedMachine (instanceId: string): Promise<string | undefined> {
    const item = (await service.store.get(goneKey(SERVICE, workerIdOf(instanceId)))).unwrap()
    return item === undefined ? undefined : decodeMachineLossReport(item.value).unwrap().machineId
  }

  for (const { how, flushMs } of [{ how: 'stopped as planned', flushMs: 500 }, { how: 'killed', flushMs: 0 }]) {
    it(`a next holder tells of a machine that went down while the duty changed hands; the former one was ${how}`, async () => {
      service = new TestService(2)
      const machines = new FakeMachineControl(service, 2, 0)
      const first = await take(machines, [], 'first')
      await service.until('its sightings are written', async () => (await service.store.get(sightingsKey(SERVICE))).unwrap()?.value.includes('w0-1') === true)
      if (flushMs > 0) await first.flush(flushMs)
      first.close()
      machines.fail('m0')
      await take(machines, [], 'second')
      await service.until('it is told', async () => await reportedMachine('w0-1') === 'm0', 3000)
      expect((await service.store.get(goneKey(SERVICE, workerIdOf('w1-1')))).unwrap()).to.equal(undefined)
    })
  }

  for (const { takeOvers, tenureMs } of [{ takeOvers: 2, tenureMs: 300 }, { takeOvers: 8, tenureMs: 600 }]) {
    it(`the pause after a former holder's order neither ends early nor begins anew: ${takeOvers} take-overs, ${tenureMs} ms apart`, async () => {
      service = new TestService(1)
      holderChangeMs = 2000
      const machines = new FakeMachineControl(service, 1, 1)
      await service.takeOver()
      await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
      let duty = await take(machines, [], 'first')
      await service.until('a machine came', () => machines.poolOf('m1') === SERVICE)
      await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
      const wave = { wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }
      const ordersOfM1 = (): readonly RecordedOrder[] => machines.orders.filter(({ machineId }) => machineId === 'm1')
      for (let number = 1; number <= takeOvers && ordersOfM1().length === 1; number++) {
        await duty.flush(500)
        duty.close()
        duty = await take(machines, [wave], `next-${number}`)
        await delay(tenureMs)
      }
      await service.until('it is ordered again', () => ordersOfM1().length > 1)
      const [former, next] = ordersOfM1()
      const pausedMs = (next?.atMs ?? 0) - (former?.atMs ?? 0)
      expect(pausedMs).to.be.above(holderChangeMs)
      expect(pausedMs).to.be.below(holderChangeMs + PAUSE_ALLOWANCE_MS)
    }).timeout(20_000)
  }

  it('a next holder orders nothing so soon where a host of the version before wrote in between, which forgets what others ordered', async () => {
    service = new TestService(1)
    holderChangeMs = 2000
    const machines = new FakeMachineControl(service, 1, 1)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
    const first = await take(machines, [], 'first')
    await service.until('a machine came', () => machines.poolOf('m1') === SERVICE)
    await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
    await first.flush(500)
    first.close()
    service.write(MACHINE_DUTY_RECORD_KEY, JSON.stringify({ tasks: [], waves: [], ordered: [] }))
    const second = await take(machines, [], 'second')
    await delay(600)
    await second.flush(500)
    second.close()
    await take(machines, [{ wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }], 'third')
    await service.until('the wave is done', () => statuses.includes('1 done'))
    const [former, next] = machines.orders.filter(({ machineId }) => machineId === 'm1')
    expect((next?.atMs ?? 0) - (former?.atMs ?? 0)).to.be.above(holderChangeMs)
  }).timeout(20_000)

  it('withdraws requests to empty a machine that a former holder left without a record', async () => {
    service = new TestService(1)
    service.write(vacateKey(SERVICE, 'm0'), 'move 1.1')
    await service.takeOver()
    await take(new FakeMachineControl(service, 1, 0), [])
    const jobId = await service.submit(1, { runMs: 10 })
    await service.untilStatus(jobId, 'succeeded')
  })
})
