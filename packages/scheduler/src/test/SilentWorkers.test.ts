import { expect } from 'chai'
import { delay, systemClock } from '@quillscale/utils'
import { SilentWorkers } from '../lib/workers/SilentWorkers.js'
import { leaseTimerKey, leaseTimerPrefix, silentWorkersKey } from '../lib/records/storeKeys.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { FaultyStore, TestLog } from './TestService.js'

const TOKEN = 7
const LEASES_LEFT_MS = 300
const LEASE_MS = 800

const RECORD = { key: silentWorkersKey('s'), value: JSON.stringify({ fencingToken: 5, leaseMs: 6500, workers: [{ instanceId: 'a', timer: '5-1' }] }), modRevision: 1 }

/** Wraps SilentWorkers so that the test decides when writes become durable. */
class SilentWorkersFixture {
  readonly store = new FaultyStore()
  readonly log = new TestLog()
  #leasesEndMs = systemClock.monotonicMs() + LEASES_LEFT_MS
  record: string | undefined
  expiredTimers = 0
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
    onTimerExpired: () => { this.expiredTimers++ }
  })

  /** Extends the leases to end after the given time from now. */
  extendLeases (leftMs: number): void {
    this.#leasesEndMs = systemClock.monotonicMs() + leftMs
  }

  /** Waits for the oldest pending flush and resolves it as durable or as failed. */
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
    it(`records several workers with one timer that lasts as long as their leases may, when a write takes ${writeDelayMs} ms`, async () => {
      const fixture = new SilentWorkersFixture()
      fixture.store.writeDelayMs = () => writeDelayMs
      void fixture.silent.recordSilent(['a', 'b'])
      await fixture.settle()
      expect(JSON.parse(fixture.record ?? '')).to.deep.equal({
        fencingToken: TOKEN, leaseMs: LEASE_MS, workers: [{ instanceId: 'a', timer: '7-1' }, { instanceId: 'b', timer: '7-1' }]
      })
      expect(await fixture.timers()).to.deep.equal([leaseTimerKey('s', '7-1')])
      await delay(LEASES_LEFT_MS + 50)
      expect(await fixture.timers()).to.deep.equal([])
    })
  }

  it('does not record a worker that was granted a lease while its timer was being created', async () => {
    const fixture = new SilentWorkersFixture()
    fixture.store.writeDelayMs = () => 60
    const recording = fixture.silent.recordSilent(['a'])
    await delay(30)
    fixture.extendLeases(LEASES_LEFT_MS + 200)
    await recording
    expect([fixture.record, fixture.silent.isRecorded('a')]).to.deep.equal([undefined, false])
  })

  it('keeps a worker recorded that was recorded again while its removal was pending', async () => {
    const fixture = new SilentWorkersFixture()
    const first = fixture.silent.recordSilent(['a'])
    await fixture.settle()
    await first
    const removals = [fixture.silent.remove('a'), fixture.silent.remove('a')]
    await fixture.settle()
    expect(fixture.silent.isRecorded('a')).to.equal(false)
    const again = fixture.silent.recordSilent(['a'])
    while (!fixture.silent.isRecorded('a')) await delay(1)
    // Resolves the second removal, then the new entry.
    await fixture.settle()
    await removals[1]
    expect(fixture.silent.isRecorded('a')).to.equal(true)
    await fixture.settle()
    await again
    expect(fixture.record).to.include('"7-2"')
    expect(fixture.silent.isRecorded('a')).to.equal(true)
  })

  it('keeps a worker recorded when its removal does not become durable', async () => {
    const fixture = new SilentWorkersFixture()
    void fixture.silent.recordSilent(['a'])
    await fixture.settle()
    void fixture.silent.remove('a')
    await fixture.settle(false)
    expect(fixture.silent.isRecorded('a')).to.equal(true)
  })

  it('sends at most two requests per second to a store that refuses timers', async () => {
    const fixture = new SilentWorkersFixture()
    fixture.store.refusesWrites = true
    for (let round = 0; round < 100; round++) {
      await fixture.silent.recordSilent(['a'])
      await delay(10)
    }
    expect(fixture.log.lines.length).to.be.within(2, 4)
  })

  const writers = [
    { name: 'by the last holder that wrote anything', previousToken: 5, isBelieved: true },
    { name: 'before another holder wrote, which may not have read it', previousToken: 6, isBelieved: false }
  ]
  for (const { name, previousToken, isBelieved } of writers) {
    it(`${isBelieved ? 'uses' : 'ignores'} a record that was written ${name}`, async () => {
      const fixture = new SilentWorkersFixture()
      fixture.silent.restore(RECORD, previousToken)
      await fixture.silent.watchTimers(new AbortController().signal)
      expect(fixture.silent.havePreviousLeasesExpired('a')).to.equal(isBelieved)
      expect(fixture.silent.isRecorded('a')).to.equal(isBelieved)
      expect(fixture.silent.previousLeaseMs).to.equal(isBelieved ? 6500 : undefined)
      expect(fixture.record?.includes('5-1')).to.equal(isBelieved)
      expect(fixture.expiredTimers).to.equal(isBelieved ? 1 : 0)
    })
  }

  it('waits while a timer is running or the store is unavailable', async () => {
    const fixture = new SilentWorkersFixture()
    const lease = (await fixture.store.grantLease(300)).unwrap()
    await fixture.store.transact({ conditions: [], puts: [{ key: leaseTimerKey('s', '5-1'), value: '', leaseId: lease }], removals: [] })
    fixture.silent.restore(RECORD, 5)
    const watching = fixture.silent.watchTimers(new AbortController().signal)
    await delay(100)
    fixture.store.isDown = true
    await delay(500)
    expect(fixture.silent.havePreviousLeasesExpired('a')).to.equal(false)
    fixture.store.isDown = false
    await watching
    expect(fixture.silent.havePreviousLeasesExpired('a')).to.equal(true)
  })
})
