import { expect } from 'chai'
import { delay, Err, Ok, systemClock } from '@quillscale/utils'
import type { HoldRequest, RunOrderError, RunOrders, WorkerInstance } from '@quillscale/ports'
import type { Run } from '@quillscale/policy'
import { createTestWorker } from '@quillscale/policy/testing'
import type { StopSlots } from '../lib/workers/StopSlots.js'
import { WorkerLink } from '../lib/workers/WorkerLink.js'

const { instance: INSTANCE } = createTestWorker(1)
const HOLD_WAIT_MS = 1000
const SEND_AT_ONCE: Pick<StopSlots, 'use'> = { use: (_job, send) => send() }

/** A fake worker: answers each hold at once if a run has ended, otherwise after the requested wait. */
class FakeWorker {
  readonly holds: Array<HoldRequest & { readonly atMs: number }> = []
  hasEndedRun = false
  isSilent = false
  isRecorded = false
  onRemoveRecord = (): Promise<void> => new Promise(() => {})
  /** Starts that are not sent before one is, each after this time. */
  unsentStarts = 0
  unsentAfterMs = 600
  readonly started: Run[] = []
  readonly notStarted: RunOrderError[] = []
  /** How long orders waited that say how fast the host is. */
  readonly waits: number[] = []
  readonly link: WorkerLink

  constructor () {
    const orders = {
      hold: async (_worker: WorkerInstance, request: HoldRequest) => {
        this.holds.push({ ...request, atMs: performance.now() })
        await delay(this.hasEndedRun ? 5 : request.waitMs + 5)
        if (this.isSilent) return Err({ kind: 'unknown-effect', detail: 'no answer' })
        const ended = this.hasEndedRun ? [{ taskKey: 't', runNumber: 1, sequence: 1, end: 'done' as const, checkpoint: '' }] : []
        return Ok({ clockMs: performance.now(), running: [], ended, hasMoreEnds: false })
      },
      start: async () => {
        if (this.unsentStarts-- <= 0) return Ok(performance.now())
        await delay(this.unsentAfterMs)
        return Err({ kind: 'not-sent', detail: 'no connection became free in time' })
      },
      releaseConnections: () => {}
    } as unknown as RunOrders
    this.link = new WorkerLink(INSTANCE, {
      orders,
      clock: systemClock,
      fencingToken: Promise.resolve(1),
      hasPredecessor: false,
      leaseMs: 6500,
      holdsDuty: () => true,
      mayStart: () => true,
      isRecordedSilent: () => this.isRecorded,
      removeSilentRecord: () => this.onRemoveRecord(),
      onReport: () => {},
      stopSlots: { answering: SEND_AT_ONCE, failing: SEND_AT_ONCE },
      onOrderAnswered: (waitedMs) => this.waits.push(waitedMs),
      onStarted: (run) => this.started.push(run),
      onNotStarted: (_link, _run, error) => this.notStarted.push(error),
      ensureDurable: () => new Promise(() => {}),
      onLifetimeEnded: () => {},
      onFencedOff: () => {},
      onContactChange: () => {},
      mayRepeatStart: () => true,
      holdWaitMs: () => HOLD_WAIT_MS
    })
    void this.link.keepPolling()
  }

  get leasesGranted (): number {
    return this.holds.filter(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined).length
  }
}

describe('WorkerLink', () => {
  let worker: FakeWorker
  afterEach(() => worker.link.close())

  it('keeps polling a worker whose reported ends are not yet durable while leases may not be extended', async () => {
    worker = new FakeWorker()
    worker.isRecorded = worker.hasEndedRun = true
    await delay(3200)
    expect(worker.holds.length).to.be.within(4, 20)
    expect(worker.link.isAnswering(performance.now())).to.equal(true)
    expect(worker.leasesGranted).to.equal(0)
  })

  it('grants a lease as soon as the worker is no longer recorded as silent, even if the removal took long', async () => {
    worker = new FakeWorker()
    worker.isRecorded = true
    let removedMs = Infinity
    worker.onRemoveRecord = async () => {
      await delay(550)
      worker.isRecorded = false
      removedMs = performance.now()
    }
    await delay(1500)
    const first = worker.holds.find(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined)
    expect((first?.atMs ?? Infinity) - removedMs).to.be.below(400)
  })

  it('polls with pauses while the worker stays recorded as silent', async () => {
    worker = new FakeWorker()
    worker.isRecorded = true
    worker.onRemoveRecord = () => Promise.resolve()
    await delay(1000)
    expect(worker.holds.length).to.be.within(3, 15)
  })

  describe('with starts that are not sent in time', () => {
    const startRun = async (isSilent = false): Promise<void> => {
      while (!worker.link.hasResponded) await delay(5)
      worker.isSilent = isSilent
      await worker.link.startRun({ phase: 'starting', taskKey: 't', runNumber: 1 } as unknown as Run, '', undefined)
    }

    // Guards against runs that are closed, recorded and placed again because this host was busy.
    it('hands a start over again while the worker answers', async () => {
      worker = new FakeWorker()
      worker.hasEndedRun = true
      worker.unsentStarts = 2
      await startRun()
      expect([worker.started.length, worker.notStarted.length]).to.deep.equal([1, 0])
      expect(worker.waits).to.have.length(3)
    })

    it('gives a start up if the worker has answered nothing meanwhile', async () => {
      worker = new FakeWorker()
      worker.unsentStarts = 3
      await startRun(true)
      expect(worker.notStarted.map(({ kind }) => kind)).to.deep.equal(['not-sent'])
      expect(worker.waits).to.deep.equal([])
    })

    it('gives a start up if the worker begins to drain meanwhile', async () => {
      worker = new FakeWorker()
      worker.hasEndedRun = true
      worker.unsentStarts = 3
      const started = startRun()
      await delay(300)
      worker.link.instance = { ...INSTANCE, state: 'draining' }
      await started
      expect(worker.notStarted.map(({ kind }) => kind)).to.deep.equal(['not-sent'])
      expect(worker.unsentStarts).to.equal(2)
    })

    it('gives a start up after the time for which starts are repeated', async () => {
      worker = new FakeWorker()
      worker.hasEndedRun = true
      worker.unsentStarts = 100
      await startRun()
      expect(worker.notStarted.map(({ kind }) => kind)).to.deep.equal(['not-sent'])
    })
  })

  it('extends no leases of a worker that stops answering while reported ends are not yet durable', async () => {
    worker = new FakeWorker()
    worker.hasEndedRun = true
    await delay(700)
    worker.isSilent = true
    await delay(3500)
    const last = worker.holds.findLast(({ leaseEndsAtMs }) => leaseEndsAtMs !== undefined)
    expect(performance.now() - (last?.atMs ?? Infinity)).to.be.above(500)
  })
})
