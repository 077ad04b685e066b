import { expect } from 'chai'
import { delay, Err, systemClock, type Result } from '@quillscale/utils'
import type { PlatformError, WatchEvents } from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { PrefixReplica } from '../lib/PrefixReplica.js'

/** A store whose watches can miss all events or find their history gone, and whose lists can fail. */
class FaultyStore extends MemoryKeyValueStore {
  dropsEvents = false
  isHistoryGone = false
  /** Makes every list fail, as if it had timed out. */
  failsLists = false
  /** How long the answer of a list takes after it was read. */
  listAnswerMs = 0
  /** Lists that were read after the latest call of {@link FaultyStore.forgetLists}, and answered. */
  answeredLists = 0
  #forgottenMs = 0

  forgetLists (): void {
    this.answeredLists = 0
    this.#forgottenMs = performance.now()
  }

  override async list (prefix: string): ReturnType<MemoryKeyValueStore['list']> {
    const readMs = performance.now()
    const listed = await super.list(prefix)
    if (this.listAnswerMs > 0) await delay(this.listAnswerMs)
    if (readMs >= this.#forgottenMs) this.answeredLists++
    return this.failsLists ? Err({ kind: 'unknown-effect', detail: 'timed out' }) : listed
  }

  override async watch (prefix: string, afterRevision: number, timeoutMs: number): Promise<Result<WatchEvents, PlatformError>> {
    if (this.isHistoryGone) {
      this.isHistoryGone = false
      return Err({ kind: 'history-gone', detail: '410' })
    }
    const watched = await super.watch(prefix, afterRevision, timeoutMs)
    return this.dropsEvents ? watched.map(({ revision }) => ({ revision, events: [] })) : watched
  }
}

describe('PrefixReplica', () => {
  let store: FaultyStore
  let stop: AbortController
  let replica: PrefixReplica
  beforeEach(async () => {
    store = new FaultyStore()
    stop = new AbortController()
    replica = new PrefixReplica({ store, prefix: 'p/', clock: systemClock, watchMs: 30, relistMs: 200, onChange: () => {} })
    await write('p/a', '1')
    void replica.run(stop.signal)
    await until(() => replica.items.has('p/a'))
  })
  afterEach(() => stop.abort())

  const write = async (key: string, value: string | undefined): Promise<void> => {
    const puts = value === undefined ? [] : [{ key, value }]
    await store.transact({ conditions: [], puts, removals: value === undefined ? [key] : [] })
  }
  async function until (condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition(); waitedMs += 5) {
      if (waitedMs > 5000) throw new Error('the condition did not become true within 5 s')
      await delay(5)
    }
  }

  const cases = [
    { name: 'replicates changes', before: () => {} },
    { name: 'finds changes that a watch missed by listing again', before: () => { store.dropsEvents = true } },
    { name: 'lists again when the history is gone', before: () => { store.isHistoryGone = true } }
  ]
  for (const { name, before } of cases) {
    it(name, async () => {
      before()
      await write('p/a', '2')
      await write('p/b', '3')
      await write('p/a', undefined)
      await until(() => replica.items.get('p/b')?.value === '3' && !replica.items.has('p/a'))
      expect([...replica.items.keys()]).to.deep.equal(['p/b'])
    })
  }

  it('keeps watching when a routine list fails', async () => {
    store.failsLists = true
    await delay(450)
    await write('p/b', '3')
    await until(() => replica.items.get('p/b')?.value === '3')
  })

  // Guards against a replica that learns nothing while a long routine list is under way, and against an outdated list that undoes later changes.
  it('brings changes beside a routine list that takes long, and keeps them after it', async () => {
    store.listAnswerMs = 600
    await delay(300)
    store.forgetLists()
    await write('p/a', undefined)
    await write('p/b', '3')
    await until(() => replica.items.get('p/b')?.value === '3' && !replica.items.has('p/a'))
    expect(store.answeredLists, 'no list can have brought them').to.equal(0)
    for (let waitedMs = 0; waitedMs < 2 * store.listAnswerMs; waitedMs += 10) {
      await delay(10)
      expect([...replica.items.keys()]).to.deep.equal(['p/b'])
    }
  })

  it('reports no changes after it was stopped, not even from a pending response', async () => {
    let changes = 0
    const ended = new AbortController()
    const other = new PrefixReplica({ store, prefix: 'p/', clock: systemClock, watchMs: 500, relistMs: 5000, onChange: () => { changes++ } })
    const running = other.run(ended.signal)
    await until(() => changes === 1)
    ended.abort()
    await write('p/c', '4')
    await running
    expect(changes).to.equal(1)
  })
})
