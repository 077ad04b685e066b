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
/** Covers the cooldown's safety margin, two takeovers and draining the machine. */
const COOLDOWN_TOLERANCE_MS = 1500

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

  async function startDuty (machines: MachineControl, waves: readonly WaveRequest[], hostName = 'host'): Promise<MachineDuty> {
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
      isEvacuated: () => false,
      holderChangeMs: () => holderChangeMs
    })
    duties.push(duty)
    void duty.run()
    return duty
  }

  it('maintains each machine of a wave once, respects maxAtOnce, and interrupts at most one task of a step at a time', async () => {
    service = new TestService(4)
    service.maxLeaseMs = 3000
    const machines = new FakeMachineControl(service, 4, 2)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true, maxAway: 1, maxPerWorker: 2 }])
    await service.until('all tasks run', () => service.runs.records.length === 4)
    const wave = { wave: 1, machineIds: ['m0', 'm1', 'm2', 'm3', 'm4'], deadlineMs: 20_000, maxAtOnce: 2 }
    await startDuty(machines, [wave])
    await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
    const maintained = machines.orders.filter(({ what }) => what === 'upkeep').map(({ machineId }) => machineId)
    expect([...maintained].sort()).to.deep.equal(wave.machineIds)
    expect(machines.maxDown).to.be.at.most(2)
    await service.until('all tasks run again', () => service.runs.records.filter(({ endedMs }) => endedMs === undefined).length === 4)
    expect(service.duplicatedTasks).to.deep.equal([])
  }).timeout(20_000)

  for (const when of ['the wave begins', 'it is being drained']) {
    it(`maintains a machine that is missing from a list when ${when}`, async () => {
      service = new TestService(2)
      service.maxLeaseMs = 3000
      const machines = new FakeMachineControl(service, 2, 0)
      await service.takeOver()
      const isDraining = when === 'it is being drained'
      if (isDraining) await service.submit(1, { runMs: 1500 }, [{ taskCount: 2, maxPerWorker: 1 }])
      if (isDraining) await service.until('all tasks run', () => service.runs.records.length === 2)
      if (!isDraining) machines.hide('m0', 1)
      await startDuty(machines, [{ wave: 1, machineIds: ['m0'], deadlineMs: 20_000, maxAtOnce: 1 }])
      await service.until('the wave is taken up', () => statuses.includes('1 running'))
      if (isDraining) await service.until('its machine is to be emptied', () => service.log.lines.some((line) => line.startsWith('machine is to be emptied')))
      if (isDraining) machines.hide('m0', 1)
      await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
      expect(machines.orders.map(({ machineId, what }) => `${machineId} ${what}`)).to.deep.equal(['m0 upkeep'])
    }).timeout(20_000)
  }

  it('a wave ends although one of its machines was removed', async () => {
    service = new TestService(2)
    const machines = new FakeMachineControl(service, 2, 0)
    await service.takeOver()
    machines.hide('m0', Infinity)
    await startDuty(machines, [{ wave: 1, machineIds: ['m0', 'm1'], deadlineMs: 20_000, maxAtOnce: 1 }])
    await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
    expect(machines.orders.map(({ machineId, what }) => `${machineId} ${what}`)).to.deep.equal(['m1 upkeep'])
  }).timeout(20_000)

  it('moves a parked machine to a service that needs more machines', async () => {
    service = new TestService(1)
    const machines = new FakeMachineControl(service, 1, 2)
    await service.takeOver()
    await service.submit(1, { runMs: 3000 }, [{ taskCount: 8 }])
    await startDuty(machines, [])
    await service.until('a parked machine has moved to the service', () => machines.poolOf('m1') === SERVICE)
    expect(machines.orders.every(({ what }) => what === `move to ${SERVICE}`)).to.equal(true)
  })

  it('a new holder continues the wave, and waits for the cooldown before it repeats a previous holder’s order', async () => {
    service = new TestService(3)
    service.maxLeaseMs = 3000
    const machines = new FakeMachineControl(service, 3, 0)
    await service.takeOver()
    const wave = { wave: 1, machineIds: ['m0', 'm1', 'm2'], deadlineMs: 20_000, maxAtOnce: 1 }
    const first = await startDuty(machines, [wave], 'first')
    await service.until('the first machine is ordered', () => machines.orders.length > 0)
    first.close()
    await delay(5)
    await startDuty(machines, [wave], 'second')
    await service.until('the wave is done', () => statuses.includes('1 done'), 15_000)
    for (const machineId of wave.machineIds) {
      const maintenanceOrders = machines.orders.filter((order) => order.machineId === machineId && order.what === 'upkeep')
      expect(maintenanceOrders.length, machineId).to.be.at.least(1)
      for (const [index, order] of maintenanceOrders.entries()) {
        const previousOrder = maintenanceOrders[index - 1]
        if (previousOrder !== undefined && previousOrder.holder !== order.holder) expect(order.atMs - previousOrder.atMs).to.be.above(HOLDER_CHANGE_MS)
      }
    }
  }).timeout(20_000)

  it('a new holder respects the cooldown after a previous holder’s order, even if that order has completed', async () => {
    service = new TestService(1)
    holderChangeMs = 2000
    const machines = new FakeMachineControl(service, 1, 1)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
    const first = await startDuty(machines, [], 'first')
    await service.until('a parked machine has moved to the service', () => machines.poolOf('m1') === SERVICE)
    await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
    first.close()
    await startDuty(machines, [{ wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }], 'second')
    await service.until('the wave is done', () => statuses.includes('1 done'))
    const [previousOrder, nextOrder] = machines.orders.filter(({ machineId }) => machineId === 'm1')
    expect((nextOrder?.atMs ?? 0) - (previousOrder?.atMs ?? 0)).to.be.above(holderChangeMs)
  }).timeout(20_000)

  /** Returns the machine that a worker is reported to have lost. */
  async function reportedMachine (instanceId: string): Promise<string | undefined> {
    const item = (await service.store.get(goneKey(SERVICE, workerIdOf(instanceId)))).unwrap()
    return item === undefined ? undefined : decodeMachineLossReport(item.value).unwrap().machineId
  }

  for (const { how, flushMs } of [{ how: 'shut down gracefully', flushMs: 500 }, { how: 'killed', flushMs: 0 }]) {
    it(`a new holder reports a machine that went down while the duty changed hands; the previous holder was ${how}`, async () => {
      service = new TestService(2)
      const machines = new FakeMachineControl(service, 2, 0)
      const first = await startDuty(machines, [], 'first')
      await service.until('its last-seen workers are written', async () => (await service.store.get(sightingsKey(SERVICE))).unwrap()?.value.includes('w0-1') === true)
      if (flushMs > 0) await first.flush(flushMs)
      first.close()
      machines.fail('m0')
      await startDuty(machines, [], 'second')
      await service.until('the loss is reported', async () => await reportedMachine('w0-1') === 'm0', 3000)
      expect((await service.store.get(goneKey(SERVICE, workerIdOf('w1-1')))).unwrap()).to.equal(undefined)
    })
  }

  for (const { takeOvers, tenureMs } of [{ takeOvers: 2, tenureMs: 300 }, { takeOvers: 8, tenureMs: 600 }]) {
    it(`the cooldown after a previous holder's order neither ends early nor restarts: ${takeOvers} takeovers, ${tenureMs} ms apart`, async () => {
      service = new TestService(1)
      holderChangeMs = 2000
      const machines = new FakeMachineControl(service, 1, 1)
      await service.takeOver()
      await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
      let duty = await startDuty(machines, [], 'first')
      await service.until('a parked machine has moved to the service', () => machines.poolOf('m1') === SERVICE)
      await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
      const wave = { wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }
      const ordersOfM1 = (): readonly RecordedOrder[] => machines.orders.filter(({ machineId }) => machineId === 'm1')
      for (let number = 1; number <= takeOvers && ordersOfM1().length === 1; number++) {
        await duty.flush(500)
        duty.close()
        duty = await startDuty(machines, [wave], `next-${number}`)
        await delay(tenureMs)
      }
      await service.until('the machine is ordered again', () => ordersOfM1().length > 1)
      const [previousOrder, nextOrder] = ordersOfM1()
      const cooldownMs = (nextOrder?.atMs ?? 0) - (previousOrder?.atMs ?? 0)
      expect(cooldownMs).to.be.above(holderChangeMs)
      expect(cooldownMs).to.be.below(holderChangeMs + COOLDOWN_TOLERANCE_MS)
    }).timeout(20_000)
  }

  it('a new holder respects the cooldown after a host of the previous software version, which forgets the orders of other holders, wrote the record', async () => {
    service = new TestService(1)
    holderChangeMs = 2000
    const machines = new FakeMachineControl(service, 1, 1)
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ taskCount: 4, isLasting: true }])
    const first = await startDuty(machines, [], 'first')
    await service.until('a parked machine has moved to the service', () => machines.poolOf('m1') === SERVICE)
    await service.until('its move is over', () => service.log.lines.some((line) => line.startsWith('machine released') && line.includes('m1')))
    await first.flush(500)
    first.close()
    service.write(MACHINE_DUTY_RECORD_KEY, JSON.stringify({ tasks: [], waves: [], ordered: [] }))
    const second = await startDuty(machines, [], 'second')
    await delay(600)
    await second.flush(500)
    second.close()
    await startDuty(machines, [{ wave: 1, machineIds: ['m1'], deadlineMs: 20_000, maxAtOnce: 1 }], 'third')
    await service.until('the wave is done', () => statuses.includes('1 done'))
    const [previousOrder, nextOrder] = machines.orders.filter(({ machineId }) => machineId === 'm1')
    expect((nextOrder?.atMs ?? 0) - (previousOrder?.atMs ?? 0)).to.be.above(holderChangeMs)
  }).timeout(20_000)

  it('withdraws drain requests that a previous holder left without a recorded task', async () => {
    service = new TestService(1)
    service.write(vacateKey(SERVICE, 'm0'), 'move 1.1')
    await service.takeOver()
    await startDuty(new FakeMachineControl(service, 1, 0), [])
    const jobId = await service.submit(1, { runMs: 10 })
    await service.untilStatus(jobId, 'succeeded')
  })
})
