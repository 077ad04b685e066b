import { expect } from 'chai'
import { AdmissionQueue, type AdmissionRequest } from '../lib/AdmissionQueue.js'

const SERVICE_MS = 10
const SLOTS = 4

interface TenantLoad { readonly tenant: string, readonly weight?: number, readonly perTick: number, readonly priority?: AdmissionRequest['priority'] }
interface Case {
  readonly name: string
  readonly loads: TenantLoad[]
  /** Expected share of the executed requests for each tenant. */
  readonly shares: Record<string, number>
}

const CASES: Case[] = [
  { name: 'two tenants of equal weight, one sending ten times as many requests', loads: [{ tenant: 'a', perTick: 40 }, { tenant: 'b', perTick: 4 }], shares: { a: 0.5, b: 0.5 } },
  { name: 'two tenants with weights of 3 and 1', loads: [{ tenant: 'a', weight: 3, perTick: 20 }, { tenant: 'b', weight: 1, perTick: 20 }], shares: { a: 0.75, b: 0.25 } },
  { name: 'a tenant that needs less than its share gets all it needs', loads: [{ tenant: 'a', perTick: 40 }, { tenant: 'b', perTick: 1 }], shares: { a: 0.75, b: 0.25 } },
  { name: 'urgent requests run before batch requests without starving them', loads: [{ tenant: 'a', perTick: 20, priority: 'urgent' }, { tenant: 'b', perTick: 20, priority: 'batch' }], shares: { a: 0.97, b: 0.03 } }
]

/** Enqueues the requests of each tenant in every tick, runs as many as there are slots, and counts the executed requests by tenant. */
function simulate (loads: readonly TenantLoad[]): Map<string, number> {
  const queue = new AdmissionQueue<string>({ maxQueued: 64 })
  const ran = new Map<string, number>()
  let nowMs = 0
  for (let tick = 0; tick < 500; tick++) {
    nowMs += SERVICE_MS
    for (const { tenant, weight = 1, perTick, priority = 'normal' } of loads) {
      for (let count = 0; count < perTick; count++) queue.enqueue({ tenant, weight, priority, deadlineMs: nowMs + 500 }, tenant, SLOTS, nowMs)
    }
    for (let slot = 0; slot < SLOTS; slot++) {
      const { next } = queue.dequeue(nowMs)
      if (next === undefined) continue
      queue.recordCompletion(next.request, SERVICE_MS)
      ran.set(next.item, (ran.get(next.item) ?? 0) + 1)
    }
  }
  return ran
}

describe('AdmissionQueue', () => {
  for (const { name, loads, shares } of CASES) {
    it(`shares slots fairly: ${name}`, () => {
      const ran = simulate(loads)
      const total = [...ran.values()].reduce((sum, count) => sum + count, 0)
      for (const [tenant, share] of Object.entries(shares)) expect((ran.get(tenant) ?? 0) / total, tenant).to.be.closeTo(share, 0.05)
    })
  }

  it('keeps all slots busy under overload', () => {
    const total = [...simulate([{ tenant: 'a', perTick: 100 }]).values()][0]
    expect(total).to.be.at.least(500 * SLOTS * 0.98)
  })

  it('refuses a request at once if it cannot meet its deadline', () => {
    const queue = new AdmissionQueue<number>()
    const request: AdmissionRequest = { tenant: 'a', weight: 1, priority: 'normal', deadlineMs: 1000 }
    queue.recordCompletion(request, 600)
    expect(queue.enqueue(request, 1, 1, 0)).to.deep.include({ reason: 'overloaded' })
  })

  it('does not run a queued request that can no longer meet its deadline', () => {
    const queue = new AdmissionQueue<number>()
    queue.enqueue({ tenant: 'a', weight: 1, priority: 'normal', deadlineMs: 100 }, 1, 1, 0)
    const { next, expired } = queue.dequeue(200)
    expect([next, expired.map(({ item }) => item)]).to.deep.equal([undefined, [1]])
  })
})
