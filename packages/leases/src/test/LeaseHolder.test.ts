import { expect } from 'chai'
import { Ok, delay, systemClock, type Clock } from '@quillscale/utils'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { LeaseHolder } from '../lib/LeaseHolder.js'

/** A clock that a test moves: a jump is a pause of the process. */
class ManualClock implements Clock {
  nowMs = 1000
  wallMs (): number { return this.nowMs }
  monotonicMs (): number { return this.nowMs }
}

/** Long enough that a busy machine does not miss renewals. */
const TTL_MS = 400

function holderOf (store: MemoryKeyValueStore, clock: Clock, name: string, ttlMs = 60): LeaseHolder {
  return new LeaseHolder({ key: 'lease', value: name, ttlMs, store, clock, mayTry: () => true })
}

describe('LeaseHolder', () => {
  it('does not act after a pause, and the next holder’s token is higher', async () => {
    const clock = new ManualClock()
    const store = new MemoryKeyValueStore(clock)
    const first = holderOf(store, clock, 'first')
    const stopFirst = new AbortController()
    const running = first.run(stopFirst.signal)
    await delay(5)
    const token = first.grantAt(clock.nowMs)?.fencingToken ?? 0
    expect(token).to.be.above(0)
    clock.nowMs += 61
    expect(first.grantAt(clock.nowMs)).to.equal(undefined)
    stopFirst.abort()
    await running
    const second = holderOf(store, clock, 'second')
    const stopSecond = new AbortController()
    const next = second.run(stopSecond.signal)
    await delay(5)
    expect(second.grantAt(clock.nowMs)?.fencingToken).to.be.above(token)
    stopSecond.abort()
    await next
  })

  it('counts a slow renewal from before it was sent', async () => {
    const clock = new ManualClock()
    const store = new MemoryKeyValueStore(clock)
    store.renewLease = async () => {
      clock.nowMs += 50
      return Ok(true)
    }
    const holder = holderOf(store, clock, 'slow')
    const stop = new AbortController()
    const running = holder.run(stop.signal)
    await delay(50)
    stop.abort()
    await running
    expect(holder.grantAt(clock.nowMs + 5)).to.equal(undefined)
  })

  it('keeps its grant when one renewal gets no answer for longer than the lease', async () => {
    const store = new MemoryKeyValueStore(systemClock)
    const renew = store.renewLease.bind(store)
    let calls = 0
    store.renewLease = async (leaseId) => {
      if (++calls === 1) await delay(TTL_MS * 2)
      return await renew(leaseId)
    }
    const holder = holderOf(store, systemClock, 'first', TTL_MS)
    const stop = new AbortController()
    const running = holder.run(stop.signal)
    await delay(TTL_MS * 1.5)
    const grant = holder.grantAt(systemClock.monotonicMs())
    stop.abort()
    await running
    expect(calls).to.be.above(1)
    expect(grant).not.to.equal(undefined)
  })
})
