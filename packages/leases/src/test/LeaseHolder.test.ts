import { expect } from 'chai'
import { createClock, Ok, delay, systemClock, type Clock } from '@quillscale/utils'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { LeaseHolder } from '../lib/LeaseHolder.js'

/** A clock that a test advances by hand; a jump simulates a pause of the process. */
class ManualClock implements Clock {
  nowMs = 1000
  wallMs (): number { return this.nowMs }
  monotonicMs (): number { return this.nowMs }
  latestMs (): number { return this.nowMs }
}

/** Long enough that renewals are not missed on a busy machine. */
const TTL_MS = 400

function createHolder (store: MemoryKeyValueStore, clock: Clock, name: string, ttlMs = 60): LeaseHolder {
  return new LeaseHolder({ key: 'lease', value: name, ttlMs, store, clock, mayAcquire: () => true })
}

describe('LeaseHolder', () => {
  it('has no grant after a pause of the process, and the next holder gets a higher fencing token', async () => {
    const clock = new ManualClock()
    const store = new MemoryKeyValueStore(clock)
    const first = createHolder(store, clock, 'first')
    const stopFirst = new AbortController()
    const running = first.run(stopFirst.signal)
    await delay(5)
    const token = first.grantAt(clock.nowMs)?.fencingToken ?? 0
    expect(token).to.be.above(0)
    clock.nowMs += 61
    expect(first.grantAt(clock.nowMs)).to.equal(undefined)
    stopFirst.abort()
    await running
    const second = createHolder(store, clock, 'second')
    const stopSecond = new AbortController()
    const next = second.run(stopSecond.signal)
    await delay(5)
    expect(second.grantAt(clock.nowMs)?.fencingToken).to.be.above(token)
    stopSecond.abort()
    await next
  })

  it('measures the lease from before a slow renewal was sent', async () => {
    const clock = new ManualClock()
    const store = new MemoryKeyValueStore(clock)
    store.renewLease = async () => {
      clock.nowMs += 50
      return Ok(true)
    }
    const holder = createHolder(store, clock, 'slow')
    const stop = new AbortController()
    const running = holder.run(stop.signal)
    await delay(50)
    stop.abort()
    await running
    expect(holder.grantAt(clock.nowMs + 5)).to.equal(undefined)
  })

  it('keeps its grant when one renewal gets no response for longer than the lease duration', async () => {
    const store = new MemoryKeyValueStore(systemClock)
    const renew = store.renewLease.bind(store)
    let calls = 0
    store.renewLease = async (leaseId) => {
      if (++calls === 1) await delay(TTL_MS * 2)
      return await renew(leaseId)
    }
    const holder = createHolder(store, systemClock, 'first', TTL_MS)
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

/** A host that can be suspended: real time, which `world` shows, continues while the host's monotonic clock stops. */
class SuspendableHost {
  suspendedMs = 0
  readonly clock: Clock
  readonly holder: LeaseHolder
  readonly stop = new AbortController()
  readonly done: Promise<void>

  constructor (readonly world: ManualClock, store: MemoryKeyValueStore, name: string) {
    this.clock = createClock({ wallMs: () => world.nowMs, monotonicMs: () => world.nowMs - this.suspendedMs })
    this.holder = createHolder(store, this.clock, name, SUSPENSION_TTL_MS)
    this.done = this.holder.run(this.stop.signal)
  }

  get isHolder (): boolean {
    return this.holder.grantAt(this.clock.latestMs()) !== undefined
  }

  /** @param forMs - the real time for which the host is suspended */
  suspend (forMs: number): void {
    this.suspendedMs += forMs
    this.world.nowMs += forMs
  }
}

/** Four renewals per lease make one about every 50 ms of process time, while the simulated time of `world` does not advance. */
const SUSPENSION_TTL_MS = 200

describe('LeaseHolder on a suspended host', () => {
  const cases = [1000, 5000, 30_000].flatMap((forMs) => [1, 3].map((times) => ({ forMs, times })))
  for (const { forMs, times } of cases) {
    it(`has no grant from a lease that expired during the suspension: ${forMs} ms, ${times} times`, async () => {
      const world = new ManualClock()
      const store = new MemoryKeyValueStore(world)
      const first = new SuspendableHost(world, store, 'first')
      await delay(10)
      for (let time = 0; time < times; time++) {
        expect(first.isHolder, 'before the suspension').to.equal(true)
        first.suspend(forMs)
        expect(first.isHolder, 'right after it resumed').to.equal(false)
        // The next renewal finds that the lease has expired, and the holder acquires it again.
        await delay(200)
      }
      first.stop.abort()
      await first.done
    })

    it(`has no holder right after a suspension and one later, with two hosts suspended in turn: ${forMs} ms, ${times} times`, async () => {
      const world = new ManualClock()
      const store = new MemoryKeyValueStore(world)
      const hosts = [new SuspendableHost(world, store, 'first'), new SuspendableHost(world, store, 'second')]
      await delay(10)
      for (let time = 0; time < times * 2; time++) {
        const suspendedHost = hosts[time % 2] as SuspendableHost
        suspendedHost.suspend(forMs)
        expect(hosts.filter(({ isHolder }) => isHolder).length, 'right after it resumed').to.equal(0)
        await delay(200)
        expect(hosts.filter(({ isHolder }) => isHolder).length, 'once the lease is acquired again').to.equal(1)
      }
      for (const { stop } of hosts) stop.abort()
      await Promise.all(hosts.map(({ done }) => done))
    })
  }
})
