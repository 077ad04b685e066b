import { expect } from 'chai'
import { Err, Ok, type Result } from '@quillscale/utils'
import type { KeyValue, PlatformError } from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'

type ReadResult = Result<KeyValue | undefined, PlatformError>
type Event =
  | { readonly begin: string }
  | { readonly end: string, readonly as: ReadResult }
  | { readonly afterMs: number }

const ANSWERED: ReadResult = Ok(undefined)
const LOST: ReadResult = Err({ kind: 'unknown-effect', detail: 'lost' })
const LOST_TWICE: ReadResult = Err({ kind: 'unknown-effect', detail: 'lost', wasRetried: true })
const REFUSED: ReadResult = Err({ kind: 'unavailable', detail: 'refused' })
const HISTORY_GONE: ReadResult = Err({ kind: 'history-gone', detail: 'compacted' })

const begin = (...names: readonly string[]): Event[] => names.map((name) => ({ begin: name }))
const end = (as: ReadResult, ...names: readonly string[]): Event[] => names.map((name) => ({ end: name, as }))
const after = (afterMs: number): Event[] => [{ afterMs }]

/** A store whose reads complete when the test completes them. */
class ManualStore extends MemoryKeyValueStore {
  readonly #pendingReads = new Map<string, (reading: ReadResult) => void>()

  override get (key: string): Promise<ReadResult> {
    return new Promise((resolve) => this.#pendingReads.set(key, resolve))
  }

  end (key: string, reading: ReadResult): void {
    this.#pendingReads.get(key)?.(reading)
  }
}

describe('MonitoredStore', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly events: readonly Event[], readonly isUnresponsive: boolean }> = [
    { name: 'one lost call', events: [...begin('a'), ...after(900), ...end(LOST, 'a')], isUnresponsive: false },
    { name: 'several calls lost together', events: [...begin('a', 'b', 'c'), ...after(900), ...end(LOST, 'a', 'b', 'c')], isUnresponsive: false },
    {
      name: 'calls lost later that were in flight when the first loss was noticed',
      events: [...begin('a'), ...after(500), ...begin('b', 'c'), ...after(400), ...end(LOST, 'a'), ...after(500), ...end(LOST, 'b', 'c')],
      isUnresponsive: false
    },
    { name: 'a lost call that began after another loss was noticed', events: [...begin('a'), ...after(900), ...end(LOST, 'a'), ...begin('b'), ...after(900), ...end(LOST, 'b')], isUnresponsive: true },
    { name: 'a call that was lost again on a second connection', events: [...begin('a'), ...after(900), ...end(LOST_TWICE, 'a')], isUnresponsive: true },
    { name: 'successive refusals soon after an answer', events: [...begin('a'), ...end(REFUSED, 'a'), ...begin('b'), ...end(REFUSED, 'b')], isUnresponsive: false },
    { name: 'successive refusals for a long time', events: [...begin('a'), ...end(REFUSED, 'a'), ...after(900), ...begin('b'), ...end(REFUSED, 'b')], isUnresponsive: true },
    {
      name: 'successive losses, then an answer',
      events: [...begin('a'), ...after(900), ...end(LOST, 'a'), ...begin('b', 'c'), ...after(900), ...end(LOST, 'b'), ...end(ANSWERED, 'c')],
      isUnresponsive: false
    },
    {
      name: 'a loss after an answer, of a call that began before the answer',
      events: [...begin('a', 'b', 'c'), ...after(900), ...end(LOST, 'a'), ...end(ANSWERED, 'b'), ...after(900), ...end(LOST, 'c')],
      isUnresponsive: false
    },
    { name: 'an answer that the history is gone, which counts as an answer', events: [...begin('a'), ...after(900), ...end(LOST_TWICE, 'a'), ...begin('b'), ...end(HISTORY_GONE, 'b')], isUnresponsive: false }
  ]
  for (const { name, events, isUnresponsive } of cases) {
    it(`${isUnresponsive ? 'unresponsive' : 'responsive'}: ${name}`, async () => {
      let nowMs = 0
      const held = new ManualStore()
      const store = new MonitoredStore(held, { monotonicMs: () => nowMs, wallMs: () => nowMs, latestMs: () => nowMs })
      for (const event of events) {
        if ('begin' in event) void store.get(event.begin)
        else if ('end' in event) held.end(event.end, event.as)
        else nowMs += event.afterMs
        await new Promise((resolve) => setImmediate(resolve))
      }
      expect(store.isUnresponsive(nowMs)).to.equal(isUnresponsive)
    })
  }
})
