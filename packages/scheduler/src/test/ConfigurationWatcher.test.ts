import { expect } from 'chai'
import { delay, Ok, systemClock } from '@quillscale/utils'
import type { FleetConfiguration, Transaction } from '@quillscale/ports'
import { ConfigurationWatcher } from '../lib/records/ConfigurationWatcher.js'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { FaultyStore, TestLog } from './TestService.js'

const KEY = 'op/config'
/** Longer than a store must have given no answer to count as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 900
const DEADLINE_MS = 3000
const SPACING_MS = 60
/** Timers end up to this early by the monotonic clock. */
const TIMER_SLACK_MS = 1

class CountingStore extends FaultyStore {
  /** When transactions without a write were sent. */
  readonly checkStartsMs: number[] = []

  override async transact (transaction: Transaction): ReturnType<FaultyStore['transact']> {
    if (transaction.puts.length === 0) this.checkStartsMs.push(systemClock.monotonicMs())
    return await super.transact(transaction)
  }
}

describe('ConfigurationWatcher', () => {
  let store: CountingStore
  let watcher: ConfigurationWatcher
  beforeEach(async () => {
    store = new CountingStore()
    const log = new TestLog()
    watcher = new ConfigurationWatcher({
      store: new MonitoredStore(store, systemClock),
      clock: systemClock,
      log,
      records: new RecordReader(log, new SchedulerMetrics()),
      prefix: 'op/',
      configurationKey: KEY,
      decodeConfiguration: (text) => Ok<FleetConfiguration>({ version: Number(text), maxBodyBytes: 1, services: [], queues: [] }),
      decodeWave: () => undefined,
      decodeEvacuation: () => undefined,
      onChange: () => {}
    })
    await write(2)
    await confirm()
    store.checkStartsMs.length = 0
  })
  const nowMs = (): number => systemClock.monotonicMs()
  const confirm = (spacingMs?: number): Promise<boolean> => watcher.confirm(nowMs(), nowMs() + DEADLINE_MS, spacingMs)

  const write = (version: number): ReturnType<FaultyStore['transact']> => store.transact({ conditions: [], puts: [{ key: KEY, value: String(version) }], removals: [] })

  const cases = [
    { name: 'a known version', stored: 2, required: 2, isKnown: true, reads: 0 },
    { name: 'an older version', stored: 3, required: 1, isKnown: true, reads: 0 },
    { name: 'a newer version', stored: 3, required: 3, isKnown: true, reads: 1 },
    { name: 'a version that a later one replaced', stored: 5, required: 3, isKnown: true, reads: 1 },
    { name: 'a version that the store does not have', stored: 2, required: 3, isKnown: false, reads: 1 }
  ]
  for (const { name, stored, required, isKnown, reads } of cases) {
    it(`reads the configuration ${reads} times for ${name}`, async () => {
      await write(stored)
      expect(await watcher.requireVersion(required, nowMs())).to.equal(isKnown)
      expect(store.checkStartsMs).to.have.length(reads)
    })
  }

  it('shares one read among concurrent callers, and does not read again at once', async () => {
    await Promise.all([watcher.requireVersion(3, nowMs()), watcher.requireVersion(4, nowMs())])
    expect(store.checkStartsMs).to.have.length(1)
    const reads = watcher.requireVersion(3, nowMs())
    await delay(50)
    expect(store.checkStartsMs).to.have.length(1)
    await reads
    expect(store.checkStartsMs).to.have.length(2)
  })

  // A host accepted jobs by a large configuration however old it was: nothing ordered the acceptance after the newer one.
  describe('confirm', () => {
    let checks: number
    beforeEach(() => {
      checks = 0
      store.writeDelayMs = () => {
        checks++
        return 10
      }
    })

    const outcomes = [
      { name: 'an unchanged configuration', stored: undefined, lost: 0, isDown: false, isConfirmed: true, version: 2 },
      { name: 'a newer configuration', stored: 3, lost: 0, isDown: false, isConfirmed: true, version: 3 },
      { name: 'a newer configuration, repeated after a lost answer', stored: 3, lost: 1, isDown: false, isConfirmed: true, version: 3 },
      { name: 'nothing after two lost answers', stored: 3, lost: 2, isDown: false, isConfirmed: false, version: 2 },
      { name: 'nothing while the store refuses calls', stored: 3, lost: 0, isDown: true, isConfirmed: false, version: 2 }
    ]
    for (const { name, stored, lost, isDown, isConfirmed, version } of outcomes) {
      it(`finds ${name}`, async () => {
        if (stored !== undefined) await write(stored)
        let answersToLose = lost
        store.loseAnswers = () => answersToLose-- > 0
        store.isDown = isDown
        expect(await confirm()).to.equal(isConfirmed)
        expect(watcher.current?.version).to.equal(version)
      })
    }

    // A request waited for two timeouts of a store that was known not to answer, although it could be refused at once.
    it('asks no store that is known not to answer', async () => {
      store.loseAnswers = () => true
      for (let times = 0; times < 2; times++) await confirm()
      await delay(UNRESPONSIVE_AFTER_MS)
      checks = 0
      expect(await confirm()).to.equal(false)
      expect(checks).to.equal(0)
    })

    it('takes no check for fresh that began before the call', async () => {
      const first = confirm()
      await delay(15)
      await write(3)
      await confirm()
      expect(watcher.current?.version).to.equal(3)
      expect(await first).to.equal(true)
    })

    it('lets no caller wait whose configuration was confirmed meanwhile, though another check is under way', async () => {
      const calledMs = nowMs()
      watcher.acceptConflict({ key: KEY, value: '3', modRevision: 3 }, calledMs)
      const other = confirm()
      const startMs = nowMs()
      expect(await watcher.confirm(calledMs, calledMs + DEADLINE_MS, SPACING_MS)).to.equal(true)
      expect(nowMs() - startMs).to.be.below(10)
      await other
    })

    it('makes no check for a caller that has stopped waiting', async () => {
      const first = confirm()
      await delay(2)
      const startsBefore = store.checkStartsMs.length
      expect(await watcher.confirm(nowMs(), nowMs() + 5, SPACING_MS)).to.equal(false)
      expect(store.checkStartsMs).to.have.length(startsBefore)
      await first
    })

    it('serves all calls that come during a check by one more', async () => {
      const first = confirm()
      await delay(2)
      checks = 0
      expect(await Promise.all([first, ...Array.from({ length: 20 }, () => confirm())])).to.not.include(false)
      // Each check pauses twice: before it takes effect and before its answer. The first pause of the first check is over.
      expect(checks).to.equal(3)
    })

    // Clients that send wrong keys without a pause cost the store a call each.
    it('makes no more checks than their spacing allows, each of them after the calls that it serves', async () => {
      const startMs = nowMs()
      for (let version = 3; nowMs() - startMs < 6 * SPACING_MS; version++) {
        await write(version)
        expect(await Promise.all(Array.from({ length: 20 }, () => confirm(SPACING_MS)))).to.not.include(false)
        expect(watcher.current?.version).to.equal(version)
      }
      const gapsMs = store.checkStartsMs.slice(1).map((atMs, index) => atMs - (store.checkStartsMs[index] ?? 0))
      expect(gapsMs).to.have.length.above(2)
      expect(Math.min(...gapsMs)).to.be.at.least(SPACING_MS - TIMER_SLACK_MS)
    })

    it('lets no caller wait for the longer spacing of another', async () => {
      await confirm()
      const startMs = nowMs()
      const patient = confirm(10 * SPACING_MS)
      expect(await confirm(SPACING_MS)).to.equal(true)
      expect(nowMs() - startMs).to.be.below(5 * SPACING_MS)
      expect(await patient).to.equal(true)
    })
  })
})
