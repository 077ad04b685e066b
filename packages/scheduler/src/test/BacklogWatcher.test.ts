import { expect } from 'chai'
import { createClock, type Clock } from '@quillscale/utils'
import type { KeyValue } from '@quillscale/ports'
import type { Backlog } from '@quillscale/policy'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { encodeBacklog } from '../lib/pressure/backlogRecord.js'
import { BacklogWatcher } from '../lib/pressure/BacklogWatcher.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { backlogKey, serviceDutyKey } from '../lib/records/storeKeys.js'
import { TestLog } from './TestService.js'

const SERVICE = 's'
const TOKEN = 7
const BACKLOG: Backlog = { roomMillis: 1000, freeMillis: 0, largestFreeMillis: 0, ahead: [{ priority: 0, waitMs: 9000, taskMillis: 500 }], runTimes: [['i', 20]] }
const DUTY: KeyValue = { key: serviceDutyKey(SERVICE), value: 'host#1', modRevision: TOKEN }
const RECORD: KeyValue = { key: backlogKey(SERVICE), value: encodeBacklog({ fencingToken: TOKEN, backlog: BACKLOG }), modRevision: 8 }
const LATER: KeyValue = { ...RECORD, modRevision: 10 }

class Fixture {
  monotonicMs = 1000
  wallMs = 1e12
  readonly clock: Clock = createClock({ wallMs: () => this.wallMs, monotonicMs: () => this.monotonicMs })
  readonly log = new TestLog()
  readonly watcher = new BacklogWatcher({ clock: this.clock, records: new RecordReader(this.log, new SchedulerMetrics()) })

  change (changed: readonly KeyValue[], removed: readonly string[] = [], isInContact = true): void {
    this.watcher.apply({ changed, removed }, isInContact)
  }

  pass (elapsedMs: number, wallStepMs = 0): void {
    this.monotonicMs += elapsedMs
    this.wallMs += elapsedMs + wallStepMs
  }
}

describe('BacklogWatcher', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly act: (fixture: Fixture) => void, readonly ageMs?: number, readonly isUnused?: boolean }> = [
    { name: 'is used for up to 2 s', act: (fixture) => { fixture.pass(1999) }, ageMs: 1999 },
    { name: 'is not used after that, when its holder is gone', act: (fixture) => { fixture.pass(2000) }, isUnused: true },
    { name: 'is used on after a repeat', act: (fixture) => { fixture.pass(1500); fixture.change([LATER]); fixture.pass(1500) }, ageMs: 1500 },
    { name: 'is not used once its holder has lost the duty', act: (fixture) => { fixture.change([], [DUTY.key]) }, isUnused: true },
    { name: 'is not used under the next holder', act: (fixture) => { fixture.change([{ ...DUTY, modRevision: 9 }]) }, isUnused: true },
    { name: 'is not used once it is removed', act: (fixture) => { fixture.change([], [RECORD.key]) }, isUnused: true },
    { name: 'is not used if it was learnt of after an interruption', act: (fixture) => { fixture.change([LATER], [], false) }, isUnused: true },
    { name: 'is used when the wall clock steps back', act: (fixture) => { fixture.pass(100, -3_600_000) }, ageMs: 100 },
    { name: 'is not used after a suspension of the host', act: (fixture) => { fixture.pass(100, 60_000) }, isUnused: true },
    { name: 'is not used if a later one cannot be read', act: (fixture) => { fixture.change([{ ...LATER, value: 'backlog#{' }]) }, isUnused: true },
    { name: 'is not used if another build writes other fields', act: (fixture) => { fixture.change([{ ...LATER, value: 'backlog#{"fencingToken":7,"work":[]}' }]) }, isUnused: true },
    { name: 'is used with fields that a later build adds', act: (fixture) => { fixture.change([{ ...LATER, value: RECORD.value.replace('{', '{"more":1,') }]) }, ageMs: 0 }
  ]
  for (const { name, act, ageMs = 0, isUnused = false } of cases) {
    it(`a record ${name}`, () => {
      const fixture = new Fixture()
      fixture.change([DUTY])
      fixture.change([RECORD])
      expect(fixture.watcher.backlogOf(SERVICE)).to.deep.equal({ backlog: BACKLOG, ageMs: 0 })
      act(fixture)
      expect(fixture.watcher.backlogOf(SERVICE)).to.deep.equal(isUnused ? undefined : { backlog: BACKLOG, ageMs })
    })
  }

  it('does not use a record of the first list, whose age is unknown, but knows that it exists', () => {
    const fixture = new Fixture()
    fixture.change([DUTY, RECORD])
    expect(fixture.watcher.backlogOf(SERVICE)).to.equal(undefined)
    expect([fixture.watcher.hasRecord(SERVICE), fixture.watcher.hasRecord('other')]).to.deep.equal([true, false])
  })

  it('reports an unreadable record once', () => {
    const fixture = new Fixture()
    fixture.change([DUTY])
    for (const removed of [[], []]) fixture.change([{ ...RECORD, value: 'x' }], removed)
    expect(fixture.log.lines.filter((line) => line.startsWith('a record cannot be read'))).to.have.length(1)
  })
})
