import { expect } from 'chai'
import { Err, Ok, type Result } from '@quillscale/utils'
import type { KeyValue, PlatformError } from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'

type Reading = Result<KeyValue | undefined, PlatformError>
type Event =
  | { readonly begin: string }
  | { readonly end: string, readonly as: Reading }
  | { readonly afterMs: number }

const ANSWERED: Reading = Ok(undefined)
const LOST: Reading = Err({ kind: 'unknown-effect', detail: 'lost' })
const LOST_TWICE: Reading = Err({ kind: 'unknown-effect', detail: 'lost', isAskedAgain: true })
const REFUSED: Reading = Err({ kind: 'unavailable', detail: 'refused' })
const HISTORY_GONE: Reading = Err({ kind: 'history-gone', detail: 'compacted' })

const begin = (...names: readonly string[]): Event[] => names.map((name) => ({ begin: name }))
const end = (as: Reading, ...names: readonly string[]): Event[] => names.map((name) => ({ end: name, as }))
const after = (afterMs: number): Event[] => [{ afterMs }]

/** Readings end when the test says so. */
class HeldStore extends MemoryKeyValueStore {
  readonly #waiting = new Map<string, (reading: Reading) => void>()

  override get (key: string): Promise<Reading> {
    return new Promise((resolve) => this.#waiting.set(key, resolve))
  }

  end (key: string, reading: Reading): void {
    this.#waiting.get(key)?.(reading)
  }
}

describe('MonitoredStore', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly events: readonly Event[], readonly isSilent: boolean }> = [
    { name: 'one call that is lost', events: [...begin('a'), ...after(900), ...end(LOST, 'a')], isSilent: false },
    { name: 'many that are lost together', events: [...begin('a', 'b', 'c'), ...after(900), ...end(LOST, 'a', 'b', 'c')], isSilent: false },
    {
      name: 'those lost later that were under way when the first loss was noticed',
      events: [...begin('a'), ...after(500), ...begin('b', 'c'), ...after(400), ...end(LOST, 'a'), ...after(500), ...end(LOST, 'b', 'c')],
      isSilent: false
    },
    { name: 'one lost that began after another was noticed', events: [...begin('a'), ...after(900), ...end(LOST, 'a'), ...begin('b'), ...after(900), ...end(LOST, 'b')], isSilent: true },
    { name: 'one that a second connection did not answer either', events: [...begin('a'), ...after(900), ...end(LOST_TWICE, 'a')], isSilent: true },
    { name: 'refusals one after the other, soon after an answer', events: [...begin('a'), ...end(REFUSED, 'a'), ...begin('b'), ...end(REFUSED, 'b')], isSilent: false },
    { name: 'refusals one after the other, for long', events: [...begin('a'), ...end(REFUSED, 'a'), ...after(900), ...begin('b'), ...end(REFUSED, 'b')], isSilent: true },
    {
      name: 'losses one after the other, and then an answer',
      events: [...begin('a'), ...after(900), ...end(LOST, 'a'), ...begin('b', 'c'), ...after(900), ...end(LOST, 'b'), ...end(ANSWERED, 'c')],
      isSilent: false
    },
    {
      name: 'a loss after an answer, by a call from before it',
      events: [...begin('a', 'b', 'c'), ...after(900), ...end(LOST, 'a'), ...end(ANSWERED, 'b'), ...after(900), ...end(LOST, 'c')],
      isSilent: false
    },
    { name: 'history that is gone: an answer', events: [...begin('a'), ...after(900), ...end(LOST_TWICE, 'a'), ...begin('b'), ...end(HISTORY_GONE, 'b')], isSilent: false }
  ]
  for (const { name, events, isSilent } of cases) {
    it(`${isSilent ? 'silent' : 'not silent'}: ${name}`, async () => {
      let nowMs = 0
      const held = new HeldStore()
      const store = new MonitoredStore(held, { monotonicMs: () => nowMs, wallMs: () => nowMs, latestMs: () => nowMs })
      for (const event of events) {
        if ('begin' in event) void store.get(event.begin)
        else if ('end' in event) held.end(event.end, event.as)
        else nowMs += event.afterMs
        await new Promise((resolve) => setImmediate(resolve))
      }
      expect(store.isUnresponsive(nowMs)).to.equal(isSilent)
    })
  }
})
