import { expect } from 'chai'
import { delay, systemClock } from '@quillscale/utils'
import { SilentWorkers } from '../lib/workers/SilentWorkers.js'
import { leaseTimerKey, leaseTimerPrefix, silentWorkersKey } from '../lib/records/storeKeys.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { FaultyStore, TestLog } from './TestService.js'

const TOKEN = 7
const LEFT_MS = 300
const LEASE_MS = 800

const RECORD = { key: silentWorkersKey('s'), value: JSON.stringify({ fencingToken: 5, leaseMs: 6500, workers: [{ instanceId: 'a', timer: '5-1' }] }), modRevision: 1 }

/** A record with writes that the test makes durable itself. */
class Recorded {
  readonly store = new FaultyStore()
  readonly log = new TestLog()
  #leasesEndMs = systemClock.monotonicMs() + LEFT_MS
  record: string | undefined
  timersOver = 0
  readonly #flushes: Array<(isDurable: boolean) => void> = []
  readonly silent = new SilentWorkers({
    service: 's',
    fencingToken: TOKEN,
    clock: systemClock,
    log: this.log,
    records: new RecordReader(this.log, new SchedulerMetrics()),
    store: this.store,
    minTtlMs: () => 100,
    longestLeaseMs: () => LEASE_MS,
    leasesLeftMs: (_instanceId, nowMs) => Math.max(0, this.#leasesEndMs - nowMs),
    put: (_key, source) => { this.record = source() },
    flushed: () => new Promise((resolve) => { this.#flushes.push(resolve) }),
    isTracked: () => true,
    onTimerExpired: () => { this.timersOver++ }
  })

  /** Leases last so long from now. */
  extendLeases (leftMs: number): void {
    this.#leasesEndMs = systemClock.monotonicMs() + leftMs
  }

  /** The oldest write that is waited for, now or soon, takes effect, or never will. */
  async settle (isDurable = true): Promise<void> {
    while (this.#flushes.length === 0) await delay(1)
    this.#flushes.shift()?.(isDurable)
    await delay(1)
  }

  async timers (): Promise<string[]> {
    return (await this.store.list(leaseTimerPrefix('s'))).unwrap().items.map(({ key }) => key)
  }
}

describe('SilentWorkers', () => {
  for (const writeDelayMs of [0, 10]) {
    it(`writes several workers with one timer, which lasts as long as their leases may, where a write takes ${writeDelayMs} ms`, async () => {
      const recorded = new Recorded()
      recorded.store.writeDelayMs = () => writeDelayMs
      void recorded.silent.recordSilent(['a', 'b'])
      await recorded.settle()
      expect(JSON.parse(recorded.record ?? '')).to.deep.equal({
        fencingToken: TOKEN, leaseMs: LEASE_MS, workers: [{ instanceId: 'a', timer: '7-1' }, { instanceId: 'b', timer: '7-1' }]
      })
      expect(await recorded.timers()).to.deep.equal([leaseTimerKey('s', '7-1')])
      await delay(LEFT_MS + 50)
      expect(await recorded.timers()).to.deep.equal([])
    })
  }

  it('does not write down a worker that was given a lease while its timer was made', async () => {
    const recorded = new Recorded()
    recorded.store.writeDelayMs = () => 60
    const noted = recorded.silent.recordSilent(['a'])
    await delay(30)
    recorded.extendLeases(LEFT_MS + 200)
    await noted
    expect([recorded.record, recorded.silent.isRecorded('a')]).to.deep.equal([undefined, false])
  })

  it('keeps a worker noted that was written down anew while its removal was under way', async () => {
    const recorded = new Recorded()
    const first = recorded.silent.recordSilent(['a'])
    await recorded.settle()
    await first
    const removals = [recorded.silent.remove('a'), recorded.silent.remove('a')]
    await recorded.settle()
    expect(recorded.silent.isRecorded('a')).to.equal(false)
    const again = recorded.silent.recordSilent(['a'])
    while (!recorded.silent.isRecorded('a')) await delay(1)
    // The second removal, then the new entry.
    await recorded.settle()
    await removals[1]
    expect(recorded.silent.isRecorded('a')).to.equal(true)
    await recorded.settle()
    await again
    expect(recorded.record).to.include('"7-2"')
    expect(recorded.silent.isRecorded('a')).to.equal(true)
  })

  it('keeps a worker noted whose removal will never be durable', async () => {
    const recorded = new Recorded()
    void recorded.silent.recordSilent(['a'])
    await recorded.settle()
    void recorded.silent.remove('a')
    await recorded.settle(false)
    expect(recorded.silent.isRecorded('a')).to.equal(true)
  })

  it('asks a store that refuses timers twice a second at most', async () => {
    const recorded = new Recorded()
    recorded.store.refusesWrites = true
    for (let round = 0; round < 100; round++) {
      await recorded.silent.recordSilent(['a'])
      await delay(10)
    }
    expect(recorded.log.lines.length).to.be.within(2, 4)
  })

  const writers = [
    { name: 'by the holder that wrote last', formerToken: 5, isBelieved: true },
    { name: 'before another holder wrote, which may not have looked at it', formerToken: 6, isBelieved: false }
  ]
  for (const { name, formerToken, isBelieved } of writers) {
    it(`${isBelieved ? 'believes' : 'does not believe'} a record that was written ${name}`, async () => {
      const recorded = new Recorded()
      recorded.silent.restore(RECORD, formerToken)
      await recorded.silent.watchTimers(new AbortController().signal)
      expect(recorded.silent.havePreviousLeasesExpired('a')).to.equal(isBelieved)
      expect(recorded.silent.isRecorded('a')).to.equal(isBelieved)
      expect(recorded.silent.previousLeaseMs).to.equal(isBelieved ? 6500 : undefined)
      expect(recorded.record?.includes('5-1')).to.equal(isBelieved)
      expect(recorded.timersOver).to.equal(isBelieved ? 1 : 0)
    })
  }

  it('waits for a timer that runs, and for a store that does not tell', async () => {
    const recorded = new Recorded()
    const lease = (await recorded.store.grantLease(300)).unwrap()
    await recorded.store.transact({ conditions: [], puts: [{ key: leaseTimerKey('s', '5-1'), value: '', leaseId: lease }], removals: [] })
    recorded.silent.restore(RECORD, 5)
    const followed = recorded.silent.watchTimers(new AbortController().signal)
    await delay(100)
    recorded.store.isDown = true
    await delay(500)
    expect(recorded.silent.havePreviousLeasesExpired('a')).to.equal(false)
    recorded.store.isDown = false
    await followed
    expect(recorded.silent.havePreviousLeasesExpired('a')).to.equal(true)
  })
})
