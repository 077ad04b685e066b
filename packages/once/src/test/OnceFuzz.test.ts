import { expect } from 'chai'
import fc from 'fast-check'
import { createEntryHostId, type EntryHostId } from '@quillscale/model'
import type { TimedKey } from '../lib/IdempotencyKey.js'
import { NO_OWNERS, planHandover, planTakeover, type OwnerCandidate, type OwnershipDocument, type OwnershipPlanningInput } from '../lib/KeyOwnership.js'
import { IdempotencyTable } from '../lib/IdempotencyTable.js'

const SKEW_MS = 100
const RETENTION_MS = 5000
const SHARD = 7
const HOSTS = 3

/** One incarnation of a simulated entry host. */
interface HostInstance {
  readonly table: IdempotencyTable
  readonly candidate: OwnerCandidate
  readonly clockOffsetMs: number
  isAlive: boolean
  running: Set<string>
}

/** Simulates entry hosts that own one shard and callers that repeat keys, and counts the runs of each key. */
class Simulation {
  readonly runs = new Map<string, number>()
  readonly keys: TimedKey[] = []
  nowMs = 1_000_000
  document: OwnershipDocument = NO_OWNERS
  readonly instances = new Map<EntryHostId, HostInstance>()
  readonly gone = new Set<EntryHostId>()
  incarnation = 1

  /**
   * @param skewMs - the clock skew that the tables are configured for
   * @param trustsEmptyTable - injects a fault: a new owner assumes that its empty table is complete
   */
  constructor (readonly skewMs: number, readonly trustsEmptyTable = false) {
    for (let index = 0; index < HOSTS; index++) this.startHost(index)
    this.reconcileOwnership(0)
  }

  startHost (index: number): void {
    const entryHostId = createEntryHostId(`e${index}`)
    const previous = this.instances.get(entryHostId)
    if (previous?.isAlive === true) return
    this.gone.delete(entryHostId)
    const table = new IdempotencyTable({ clockSkewMs: this.skewMs, retentionMs: RETENTION_MS })
    // Host clocks differ by at most SKEW_MS.
    const clockOffsetMs = [0, SKEW_MS / 2, -SKEW_MS / 2][index] ?? 0
    this.instances.set(entryHostId, { table, candidate: { entryHostId, incarnation: this.incarnation++ }, clockOffsetMs, isAlive: true, running: new Set() })
  }

  crash (index: number, isListedGone: boolean): void {
    const id = createEntryHostId(`e${index}`)
    const instance = this.instances.get(id)
    if (instance === undefined || !instance.isAlive) return
    instance.isAlive = false
    if (isListedGone) this.gone.add(id)
  }

  planningInputFor (instance: HostInstance): OwnershipPlanningInput {
    const members = [...this.instances.values()].filter(({ isAlive }) => isAlive).map(({ candidate }) => candidate)
    return { document: this.document, self: instance.candidate, members, gone: this.gone }
  }

  syncTables (): void {
    for (const instance of this.instances.values()) {
      const owner = this.document.shards[SHARD]
      const isOwner = owner?.owner === instance.candidate.entryHostId && owner.incarnation === instance.candidate.incarnation
      if (isOwner && instance.isAlive) instance.table.addShard(SHARD, this.trustsEmptyTable ? 0 : owner.completeSinceMs)
      else instance.table.releaseShard(SHARD)
    }
  }

  reconcileOwnership (index: number): void {
    const instance = this.instances.get(createEntryHostId(`e${index}`))
    if (instance === undefined || !instance.isAlive) return
    const updated = planTakeover(this.planningInputFor(instance), this.nowMs + instance.clockOffsetMs)
    if (updated !== undefined) this.document = updated
    this.syncTables()
    const next = planHandover(this.planningInputFor(instance), false).get(SHARD)
    if (next !== undefined) this.handOver(instance, next)
  }

  handOver (instance: HostInstance, next: OwnerCandidate): void {
    const state = instance.table.releaseShard(SHARD)
    if (state === undefined) return
    this.instances.get(next.entryHostId)?.table.importEntries(state.entries)
    const { completeSinceMs } = state
    const newOwner = { owner: next.entryHostId, incarnation: next.incarnation, completeSinceMs }
    const shards = this.document.shards.map((owner, shard) => shard === SHARD ? newOwner : owner)
    this.document = { ...this.document, revision: this.document.revision + 1, shards }
    this.syncTables()
  }

  createKey (ageMs: number): void {
    this.keys.push({ form: 'timed', text: `k${this.keys.length}`, createdMs: this.nowMs - ageMs, shard: SHARD })
  }

  sendRequest (keyIndex: number, ends: 'answered' | 'unknown' | 'not-run' | 'later'): void {
    const key = this.keys[keyIndex % Math.max(1, this.keys.length)]
    const owner = this.document.shards[SHARD]
    const instance = owner === null || owner === undefined ? undefined : this.instances.get(owner.owner)
    if (key === undefined || instance === undefined || !instance.isAlive || instance.candidate.incarnation !== owner?.incarnation) return
    // A caller's clock may be ahead, so the key may have been created in the near future.
    const claim = instance.table.claim(key, 'same', this.nowMs + instance.clockOffsetMs)
    if (claim !== 'run') return
    if (ends !== 'not-run') this.runs.set(key.text, (this.runs.get(key.text) ?? 0) + 1)
    if (ends === 'later') return
    instance.table.finish(key, ends === 'answered' ? { statusCode: 200, headers: [], body: Buffer.from('x') } : ends)
  }
}

type Step = (simulation: Simulation) => void
const hostIndex = fc.nat({ max: HOSTS - 1 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.oneof(fc.constantFrom(-SKEW_MS, 0, SKEW_MS / 4), fc.integer({ min: 0, max: RETENTION_MS }))
      .map((ageMs): Step => (simulation) => simulation.createKey(ageMs))
  },
  {
    weight: 8,
    arbitrary: fc.tuple(fc.nat({ max: 4 }), fc.constantFrom('answered' as const, 'unknown' as const, 'not-run' as const, 'later' as const))
      .map(([key, ends]): Step => (simulation) => simulation.sendRequest(key, ends))
  },
  { weight: 4, arbitrary: hostIndex.map((index): Step => (simulation) => simulation.reconcileOwnership(index)) },
  { weight: 2, arbitrary: fc.tuple(hostIndex, fc.boolean()).map(([index, isListed]): Step => (simulation) => simulation.crash(index, isListed)) },
  {
    weight: 3,
    arbitrary: fc.tuple(hostIndex, hostIndex).map(([lost, next]): Step => (simulation) => {
      simulation.crash(lost, true)
      simulation.reconcileOwnership(next)
    })
  },
  { weight: 2, arbitrary: hostIndex.map((index): Step => (simulation) => simulation.startHost(index)) },
  {
    weight: 3,
    arbitrary: fc.oneof(fc.constantFrom(1, 20, 60), fc.integer({ min: 1, max: 2000 })).map((ms): Step => (simulation) => { simulation.nowMs += ms })
  }
)

/** Runs a key, loses its owner, and repeats the key at a new owner whose clock is behind. */
function loseOwnerAfterRun (simulation: Simulation): Simulation {
  simulation.nowMs += 20 + 3 * simulation.skewMs
  simulation.createKey(0)
  simulation.sendRequest(0, 'answered')
  simulation.crash(0, true)
  simulation.reconcileOwnership(2)
  simulation.nowMs += 60
  simulation.sendRequest(0, 'answered')
  return simulation
}

const SEED = Number(process.env.FUZZ_SEED ?? 20261202)
const RUNS = Number(process.env.FUZZ_RUNS ?? 1500)

function atMostOneRun (skewMs: number, trustsEmptyTable = false): fc.IProperty<[Step[]]> {
  return fc.property(fc.array(stepArbitrary, { maxLength: 80 }), (steps) => {
    const simulation = new Simulation(skewMs, trustsEmptyTable)
    for (const step of steps) {
      step(simulation)
      for (const [key, count] of simulation.runs) expect(count, key).to.be.at.most(1)
    }
  })
}

describe('idempotency keys during crashes, replacements, handovers and clock skew', () => {
  it('run at most once', () => {
    fc.assert(atMostOneRun(SKEW_MS), { seed: SEED, numRuns: RUNS })
  }).timeout(60_000)

  it('run once when their owner is replaced by a host whose clock is behind', () => {
    expect(loseOwnerAfterRun(new Simulation(SKEW_MS)).runs.get('k0')).to.equal(1)
  })

  it('run twice in that case when the clocks differ by more than the configured skew', () => {
    expect(loseOwnerAfterRun(new Simulation(0)).runs.get('k0')).to.equal(2)
  })

  it('run twice, and the property fails, when a new owner trusts its empty table', () => {
    expect(fc.check(atMostOneRun(SKEW_MS, true), { seed: SEED, numRuns: RUNS }).failed).to.equal(true)
  }).timeout(60_000)
})
