import { expect } from 'chai'
import { createClock, Ok, delay, systemClock, type Clock } from '@quillscale/utils'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { LeaseHolder } from '../lib/LeaseHolder.js'

/** A clock that a test moves: a jump is a pause of the process. */
class ManualClock implements Clock {
  nowMs = 1000
  wallMs (): number { return this.nowMs }
  monotonicMs (): number { return this.nowMs }
  latestMs (): number { return this.nowMs }
}

/** Long enough that a busy machine does not miss renewals. */
const TTL_MS = 400

function holderOf (store: MemoryKeyValueStore, clock: Clock, name: string, ttlMs = 60): LeaseHolder {
  return new LeaseHolder({ key: 'lease', value: name, ttlMs, store, clock, mayAcquire: () => true })
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

/** A host that can be suspended: true time goes on, its steady clock does not. */
class SuspendedHost {
  suspendedMs = 0
  readonly clock: Clock
  readonly holder: LeaseHolder
  readonly stop = new AbortController()
  readonly done: Promise<void>

  constructor (readonly world: ManualClock, store: MemoryKeyValueStore, name: string) {
    this.clock = createClock({ wallMs: () => world.nowMs, monotonicMs: () => world.nowMs - this.suspendedMs })
    this.holder = holderOf(store, this.clock, name, HELD_TTL_MS)
    this.done = this.holder.run(this.stop.signal)
  }

  get isHolder (): boolean {
    return this.holder.grantAt(this.clock.latestMs()) !== undefined
  }

  /** @param forMs - true time, which passes meanwhile */
  sleep (forMs: number): void {
    this.suspendedMs += forMs
    this.world.nowMs += forMs
  }
}

/** Renewed four times in it: renewals come each 50 ms of real time, while the world's time stands still. */
const HELD_TTL_MS = 200

describe('a host that is suspended', () => {
  const cases = [1000, 5000, 30_000].flatMap((forMs) => [1, 3].map((times) => ({ forMs, times })))
  for (const { forMs, times } of cases) {
    it(`does nothing by a lease that lapsed meanwhile: ${forMs} ms, ${times} times`, async () => {
      const world = new ManualClock()
      const store = new MemoryKeyValueStore(world)
      const first = new SuspendedHost(world, store, 'first')
      await delay(10)
      for (let time = 0; time < times; time++) {
        expect(first.isHolder, 'before').to.equal(true)
        first.sleep(forMs)
        expect(first.isHolder, 'right after it woke').to.equal(false)
        // Its next renewal finds that the lease is over, and it is taken anew.
        await delay(200)
      }
      first.stop.abort()
      await first.done
    })

    it(`has one holder with its successor, both suspended in turn: ${forMs} ms, ${times} times`, async () => {
      const world = new ManualClock()
      const store = new MemoryKeyValueStore(world)
      const hosts = [new SuspendedHost(world, store, 'first'), new SuspendedHost(world, store, 'second')]
      await delay(10)
      for (let time = 0; time < times * 2; time++) {
        const sleeping = hosts[time % 2] as SuspendedHost
        sleeping.sleep(forMs)
        expect(hosts.filter(({ isHolder }) => isHolder).length, 'right after it woke').to.equal(0)
        await delay(200)
        expect(hosts.filter(({ isHolder }) => isHolder).length, 'once it is taken again').to.equal(1)
      }
      for (const { stop } of hosts) stop.abort()
      await Promise.all(hosts.map(({ done }) => done))
    })
  }
})
