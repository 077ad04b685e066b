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

interface Life { readonly table: IdempotencyTable, readonly candidate: OwnerCandidate, readonly clockOffsetMs: number, isAlive: boolean, running: Set<string> }

/** Entry hosts, one shard, callers that repeat keys; the oracle counts runs. */
class World {
  readonly runs = new Map<string, number>()
  readonly keys: TimedKey[] = []
  nowMs = 1_000_000
  document: OwnershipDocument = NO_OWNERS
  readonly lives = new Map<EntryHostId, Life>()
  readonly gone = new Set<EntryHostId>()
  incarnation = 1

  /** @param skewMs - the stated bound @param trustsEmptyTable - a seeded fault: a new owner takes its table for complete */
  constructor (readonly skewMs: number, readonly trustsEmptyTable = false) {
    for (let index = 0; index < HOSTS; index++) this.begin(index)
    this.tick(0)
  }

  begin (index: number): void {
    const entryHostId = createEntryHostId(`e${index}`)
    const previous = this.lives.get(entryHostId)
    if (previous?.isAlive === true) return
    this.gone.delete(entryHostId)
    const table = new IdempotencyTable({ clockSkewMs: this.skewMs, retentionMs: RETENTION_MS })
    // Clocks differ by at most the stated skew.
    const clockOffsetMs = [0, SKEW_MS / 2, -SKEW_MS / 2][index] ?? 0
    this.lives.set(entryHostId, { table, candidate: { entryHostId, incarnation: this.incarnation++ }, clockOffsetMs, isAlive: true, running: new Set() })
  }

  crash (index: number, isListedGone: boolean): void {
    const id = createEntryHostId(`e${index}`)
    const life = this.lives.get(id)
    if (life === undefined || !life.isAlive) return
    life.isAlive = false
    if (isListedGone) this.gone.add(id)
  }

  viewOf (life: Life): OwnershipPlanningInput {
    const members = [...this.lives.values()].filter(({ isAlive }) => isAlive).map(({ candidate }) => candidate)
    return { document: this.document, self: life.candidate, members, gone: this.gone }
  }

  follow (): void {
    for (const life of this.lives.values()) {
      const owner = this.document.shards[SHARD]
      const isOurs = owner?.owner === life.candidate.entryHostId && owner.incarnation === life.candidate.incarnation
      if (isOurs && life.isAlive) life.table.addShard(SHARD, this.trustsEmptyTable ? 0 : owner.completeSinceMs)
      else life.table.releaseShard(SHARD)
    }
  }

  tick (index: number): void {
    const life = this.lives.get(createEntryHostId(`e${index}`))
    if (life === undefined || !life.isAlive) return
    const taken = planTakeover(this.viewOf(life), this.nowMs + life.clockOffsetMs)
    if (taken !== undefined) this.document = taken
    this.follow()
    const next = planHandover(this.viewOf(life), false).get(SHARD)
    if (next !== undefined) this.handOver(life, next)
  }

  handOver (life: Life, next: OwnerCandidate): void {
    const state = life.table.releaseShard(SHARD)
    if (state === undefined) return
    this.lives.get(next.entryHostId)?.table.importEntries(state.entries)
    const { completeSinceMs } = state
    const moved = { owner: next.entryHostId, incarnation: next.incarnation, completeSinceMs }
    const shards = this.document.shards.map((owner, shard) => shard === SHARD ? moved : owner)
    this.document = { ...this.document, revision: this.document.revision + 1, shards }
    this.follow()
  }

  newKey (ageMs: number): void {
    this.keys.push({ form: 'timed', text: `k${this.keys.length}`, createdMs: this.nowMs - ageMs, shard: SHARD })
  }

  call (keyIndex: number, ends: 'answered' | 'unknown' | 'not-run' | 'later'): void {
    const key = this.keys[keyIndex % Math.max(1, this.keys.length)]
    const owner = this.document.shards[SHARD]
    const life = owner === null || owner === undefined ? undefined : this.lives.get(owner.owner)
    if (key === undefined || life === undefined || !life.isAlive || life.candidate.incarnation !== owner?.incarnation) return
    // Callers' clocks may be ahead, so a key can seem to come from the near future.
    const claim = life.table.claim(key, 'same', this.nowMs + life.clockOffsetMs)
    if (claim !== 'run') return
    if (ends !== 'not-run') this.runs.set(key.text, (this.runs.get(key.text) ?? 0) + 1)
    if (ends === 'later') return
    life.table.finish(key, ends === 'answered' ? { statusCode: 200, headers: [], body: Buffer.from('x') } : ends)
  }
}

type Step = (world: World) => void
const hostIndex = fc.nat({ max: HOSTS - 1 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.oneof(fc.constantFrom(-SKEW_MS, 0, SKEW_MS / 4), fc.integer({ min: 0, max: RETENTION_MS }))
      .map((ageMs): Step => (world) => world.newKey(ageMs))
  },
  {
    weight: 8,
    arbitrary: fc.tuple(fc.nat({ max: 4 }), fc.constantFrom('answered' as const, 'unknown' as const, 'not-run' as const, 'later' as const))
      .map(([key, ends]): Step => (world) => world.call(key, ends))
  },
  { weight: 4, arbitrary: hostIndex.map((index): Step => (world) => world.tick(index)) },
  { weight: 2, arbitrary: fc.tuple(hostIndex, fc.boolean()).map(([index, isListed]): Step => (world) => world.crash(index, isListed)) },
  {
    weight: 3,
    arbitrary: fc.tuple(hostIndex, hostIndex).map(([lost, next]): Step => (world) => {
      world.crash(lost, true)
      world.tick(next)
    })
  },
  { weight: 2, arbitrary: hostIndex.map((index): Step => (world) => world.begin(index)) },
  { weight: 3, arbitrary: fc.oneof(fc.constantFrom(1, 20, 60), fc.integer({ min: 1, max: 2000 })).map((ms): Step => (world) => { world.nowMs += ms }) }
)

/** A key runs, its owner is lost, and the next owner's clock is behind. */
function replaceUnderKey (world: World): World {
  world.nowMs += 20 + 3 * world.skewMs
  world.newKey(0)
  world.call(0, 'answered')
  world.crash(0, true)
  world.tick(2)
  world.nowMs += 60
  world.call(0, 'answered')
  return world
}

const SEED = Number(process.env.FUZZ_SEED ?? 20261202)
const RUNS = Number(process.env.FUZZ_RUNS ?? 1500)

function property (skewMs: number, trustsEmptyTable = false): fc.IProperty<[Step[]]> {
  return fc.property(fc.array(stepArbitrary, { maxLength: 80 }), (steps) => {
    const world = new World(skewMs, trustsEmptyTable)
    for (const step of steps) {
      step(world)
      for (const [key, count] of world.runs) expect(count, key).to.be.at.most(1)
    }
  })
}

describe('keys through crashes, replacements, handovers and differing clocks', () => {
  it('run at most once', () => {
    fc.assert(property(SKEW_MS), { seed: SEED, numRuns: RUNS })
  }).timeout(60_000)

  it('run once when their owner is replaced by a host with a slower clock', () => {
    expect(replaceUnderKey(new World(SKEW_MS)).runs.get('k0')).to.equal(1)
  })

  it('are caught running twice by that case when the clocks differ by more than was stated', () => {
    expect(replaceUnderKey(new World(0)).runs.get('k0')).to.equal(2)
  })

  it('are caught running twice when a new owner trusts its empty table', () => {
    expect(fc.check(property(SKEW_MS, true), { seed: SEED, numRuns: RUNS }).failed).to.equal(true)
  }).timeout(60_000)
})
