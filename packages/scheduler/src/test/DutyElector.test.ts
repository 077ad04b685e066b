import { expect } from 'chai'
import { delay, Err, SeededRandom, systemClock, type Result } from '@quillscale/utils'
import type { KeyValueStore, PlatformError } from '@quillscale/ports'
import { MemoryKeyValueStore } from '@quillscale/platform-memory'
import { DutyElector, type DutyGrant, type DutyTask } from '../lib/duties/DutyElector.js'
import { backlogKey, DUTY_PREFIX, hostKey, HOSTS_PREFIX } from '../lib/records/storeKeys.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { TestLog } from './TestService.js'

const TTL_MS = 1200
const DUTIES = ['duty/a', 'duty/b', 'duty/c', 'duty/d']

/** One host's connection to the shared store. It can be cut, and listing the capacities of the hosts can be delayed. */
class HostStore {
  isCut = false
  hostsDelayMs = 0

  constructor (store: MemoryKeyValueStore) {
    return new Proxy(this, {
      get: (target, name) => {
        if (name === 'isCut' || name === 'hostsDelayMs') return target[name]
        const method = store[name as keyof KeyValueStore] as (...args: unknown[]) => Promise<Result<unknown, PlatformError>>
        return async (...args: unknown[]) => {
          if (name === 'list' && args[0] === HOSTS_PREFIX) await delay(target.hostsDelayMs)
          return target.isCut ? Err({ kind: 'unavailable', detail: 'cut' }) : await method.apply(store, args)
        }
      }
    })
  }
}

/** Creates tasks that do nothing, and records which host took each duty last and when. */
class Tenures {
  readonly holders = new Map<string, { readonly host: string, readonly fromMs: number }>()

  create (dutyKey: string, host: string): (grant: DutyGrant) => DutyTask {
    return () => {
      this.holders.set(dutyKey, { host, fromMs: performance.now() })
      return { run: async () => {}, close: () => {}, flush: async () => {} }
    }
  }
}

interface Host { readonly elector: DutyElector, readonly store: HostStore, readonly name: string }

describe('DutyElector', () => {
  const store = new MemoryKeyValueStore(systemClock)
  let hosts: Host[] = []
  const tenures = new Tenures()

  afterEach(async () => {
    await Promise.all(hosts.map(({ elector }) => elector.stop()))
    hosts = []
  })

  function addHost (name: string, capacityCores: number, dutyKeys: readonly string[] = DUTIES, sharedStore = store): Host {
    const hostStore = new HostStore(sharedStore)
    const random = new SeededRandom(hosts.length)
    const elector = new DutyElector({
      hostName: name,
      capacityCores,
      store: hostStore as unknown as KeyValueStore,
      clock: systemClock,
      log: new TestLog(),
      records: new RecordReader(new TestLog(), new SchedulerMetrics()),
      ttlMs: TTL_MS,
      random: () => random.next()
    })
    for (const dutyKey of dutyKeys) elector.compete(dutyKey, tenures.create(dutyKey, name))
    void elector.run()
    const host = { elector, store: hostStore, name }
    hosts.push(host)
    return host
  }

  it('leaves a duty to a larger host if the duty appears before the capacities of the other hosts are known', async () => {
    const key = 'duty/late'
    const puts = [{ key: hostKey('strong'), value: '1' }, { key: hostKey('weak'), value: '0.25' }]
    await store.transact({ conditions: [], puts, removals: [] })
    const { elector, store: hostStore } = addHost('weak', 0.25, [])
    hostStore.hostsDelayMs = 150
    await delay(60)
    const addedMs = performance.now()
    elector.compete(key, tenures.create(key, 'weak'))
    await waitUntilHeld([key], addedMs, 2000)
    expect((tenures.holders.get(key)?.fromMs ?? 0) - addedMs).to.be.above(400)
  })

  async function waitUntilHeld (keys: readonly string[], sinceMs: number, timeoutMs: number): Promise<void> {
    const untilMs = performance.now() + timeoutMs
    while (keys.some((key) => (tenures.holders.get(key)?.fromMs ?? 0) < sinceMs)) {
      if (performance.now() > untilMs) throw new Error(`duties not taken in time: ${keys.filter((key) => (tenures.holders.get(key)?.fromMs ?? 0) < sinceMs).join(', ')}`)
      await delay(10)
    }
  }

  const cases = [
    { name: 'hosts as large as those that are cut off', survivors: [1, 1, 1, 1], timeoutMs: 700 },
    { name: 'small hosts only', survivors: [0.25, 0.25, 0.25, 0.25], timeoutMs: 1200 },
    { name: 'two hosts, a small and a large one', survivors: [0.25, 1], timeoutMs: 1500 }
  ]
  for (const { name, survivors, timeoutMs } of cases) {
    it(`several duties that become vacant together are all taken in time by ${name}`, async () => {
      const strong = [1, 2, 3, 4].map((number) => addHost(`strong${number}`, 1))
      await waitUntilHeld(DUTIES, performance.now(), 5000)
      survivors.forEach((capacityCores, index) => addHost(`survivor${index}`, capacityCores))
      await delay(500)
      for (const host of strong) host.store.isCut = true
      const lostMs = performance.now()
      for (const key of DUTIES) {
        const held = (await store.get(key)).unwrap()
        if (held !== undefined) await store.transact({ conditions: [], puts: [], removals: [key] })
      }
      await waitUntilHeld(DUTIES, lostMs, timeoutMs)
    }).timeout(20_000)
  }

  it('takes vacant duties though the backlog of a former holder is listed among them', async () => {
    const freshStore = new MemoryKeyValueStore(systemClock)
    await freshStore.transact({ conditions: [], puts: [{ key: backlogKey('a'), value: 'backlog#{}' }], removals: [] })
    const key = 'duty/service/a'
    const startedMs = performance.now()
    addHost('host1', 1, [key], freshStore)
    await waitUntilHeld([key], startedMs, 5000)
  }).timeout(20_000)

  it('skips the first-start delay when the fleet restarts', async () => {
    const first = addHost('host1', 1)
    await waitUntilHeld(DUTIES, performance.now(), 5000)
    await first.elector.stop()
    hosts = []
    const startedMs = performance.now()
    addHost('host1', 1)
    await delay(250)
    expect([...tenures.holders.values()].filter(({ fromMs }) => fromMs > startedMs)).to.not.have.length(0)
  }).timeout(20_000)

  it('leaves a vacant duty to a larger host that is running', async () => {
    for (const name of ['weak1', 'weak2', 'weak3']) addHost(name, 0.25)
    await store.transact({ conditions: [], puts: [{ key: hostKey('strong'), value: '1' }], removals: [] })
    addHost('strong', 1)
    await delay(400)
    const sinceMs = performance.now()
    for (const key of (await store.list(DUTY_PREFIX)).unwrap().items.map(({ key }) => key)) await store.transact({ conditions: [], puts: [], removals: [key] })
    await waitUntilHeld(DUTIES, sinceMs, 3000)
    expect([...tenures.holders.values()].filter(({ host }) => host === 'strong')).to.not.have.length(0)
  }).timeout(20_000)
})
