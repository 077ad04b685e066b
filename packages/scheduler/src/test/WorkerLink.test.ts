import { expect } from 'chai'
import { delay, Err, Ok, systemClock } from '@quillscale/utils'
import type { HoldRequest, RunOrders, WorkerInstance } from '@quillscale/ports'
import { WorkerLink } from '../lib/workers/WorkerLink.js'

const INSTANCE: WorkerInstance = {
  instanceId: 'w',
  machineId: 'm',
  service: 's',
  address: '10.0.0.1',
  port: 80,
  availabilityZone: 'z',
  state: 'ready',
  labels: [],
  capacity: { cpuMillis: 1, memoryMb: 1, gpus: 0 }
}
const HOLD_WAIT_MS = 1000

/** A worker that answers each hold at once, or after its wait, with the ends that it has. */
class AnsweringWorker {
  readonly holds: Array<HoldRequest & { readonly atMs: number }> = []
  hasEnd = false
  isSilent = false
  isNoted = false
  onClear = (): Promise<void> => new Promise(() => {})
  readonly link: WorkerLink

  constructor () {
    const orders = {
      hold: async (_worker: WorkerInstance, request: HoldRequest) => {
        this.holds.push({ ...request, atMs: performance.now() })
        await delay(this.hasEnd ? 5 : request.waitMs + 5)
        if (this.isSilent) return Err({ kind: 'unknown-effect', detail: 'no answer' })
        const ended = this.hasEnd ? [{ taskKey: 't', runNumber: 1, sequence: 1, end: 'done' as const, checkpoint: '' }] : []
        return Ok({ clockMs: performance.now(), running: [], ended, hasMoreEnds: false })
      },
      forget: () => {}
    } as unknown as RunOrders
    this.link = new WorkerLink(INSTANCE, {
      orders,
      clock: systemClock,
      fencingToken: 1,
      leaseMs: 6500,
      holdsDuty: () => true,
      isRecordedSilent: () => this.isNoted,
      removeSilentRecord: () => this.onClear(),
      onReport: () => {},
      onStarted: () => {},
      onNotStarted: () => {},
      ensureDurable: () => new Promise(() => {}),
      onLifetimeEnded: () => {},
      onFencedOff: () => {},
      onContactChange: () => {},
      holdWaitMs: () => HOLD_WAIT_MS
    })
    void this.link.keepPolling()
  }

  get leasesGiven (): number {
    return this.holds.filter(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined).length
  }
}

describe('WorkerLink', () => {
  let worker: AnsweringWorker
  afterEach(() => worker.link.close())

  it('goes on asking a worker whose ends wait for the store while it may not be given a lease', async () => {
    worker = new AnsweringWorker()
    worker.isNoted = worker.hasEnd = true
    await delay(3200)
    expect(worker.holds.length).to.be.within(4, 20)
    expect(worker.link.isAnswering(performance.now())).to.equal(true)
    expect(worker.leasesGiven).to.equal(0)
  })

  it('gives a lease as soon as it may, also where that took long', async () => {
    worker = new AnsweringWorker()
    worker.isNoted = true
    let clearedMs = Infinity
    worker.onClear = async () => {
      await delay(550)
      worker.isNoted = false
      clearedMs = performance.now()
    }
    await delay(1500)
    const first = worker.holds.find(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined)
    expect((first?.atMs ?? Infinity) - clearedMs).to.be.below(400)
  })

  it('does not ask without a pause where the record will never be changed', async () => {
    worker = new AnsweringWorker()
    worker.isNoted = true
    worker.onClear = () => Promise.resolve()
    await delay(1000)
    expect(worker.holds.length).to.be.within(3, 15)
  })

  it('gives no leases into the void while ends wait for the store', async () => {
    worker = new AnsweringWorker()
    worker.hasEnd = true
    await delay(700)
    worker.isSilent = true
    await delay(3500)
    const last = worker.holds.findLast(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined)
    expect(performance.now() - (last?.atMs ?? Infinity)).to.be.above(500)
  })
})
