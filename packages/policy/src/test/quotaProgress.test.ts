import { expect } from 'chai'
import * as fc from 'fast-check'
import { SeededRandom } from '@quillscale/utils'
import { playQuotaModel, type ModelService, type ModelUnit } from './QuotaModel.js'
import { type Resources } from '../lib/quotas/resources.js'

const amounts = (cpuMillis: number, memoryMb = 0): Resources => ({ cpuMillis, memoryMb, gpus: 0 })
const unlimited = { cpuMillis: Infinity, memoryMb: Infinity, gpus: Infinity }
/** Rounds until each service must have started; a run takes at most {@link LONGEST_RUN_ROUNDS}. */
const ROUNDS = 400
/** All services write one record, one after the other. */
const WRITES_A_SERVICE = 4
const ROUNDS_A_WRITE = 3
const LONGEST_RUN_ROUNDS = 8
const LASTING = Infinity
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

const unit = (cpuMillis: number, count = 1, runRounds = 3, memoryMb = 0): ModelUnit => ({ size: amounts(cpuMillis, memoryMb), count, runRounds })
const service = (name: string, ...units: ModelUnit[]): ModelService => ({ name, units, skewMs: 0 })

function drawsOf (seed: number): (below: number) => number {
  const random = new SeededRandom(seed)
  return (below) => Math.floor(random.next() * below)
}

/** Services that keep parts of a limit while they wait for the rest of what their next task needs. */
const CASES: ReadonlyArray<{ readonly name: string, readonly limit: Resources, readonly services: readonly ModelService[] }> = [
  {
    name: 'a burst of two sizes in four services',
    limit: { ...unlimited, cpuMillis: 8000 },
    services: ['a', 'b', 'c', 'd'].map((name) => service(name, unit(1500, 9, 8), unit(3300, 9, 8)))
  },
  {
    name: 'three services of which two fit at once',
    limit: { ...unlimited, cpuMillis: 8000 },
    services: ['a', 'b', 'c'].map((name) => service(name, unit(3300, 4, 8)))
  },
  {
    name: 'two resources, each short for another service',
    limit: { ...unlimited, cpuMillis: 1000, memoryMb: 1000 },
    services: [service('a', unit(900, 3, 4, 100)), service('b', unit(100, 3, 4, 900)), service('c', unit(500, 3, 4, 500))]
  },
  {
    name: 'lasting runs in each service, and next tasks larger than an even share',
    limit: { ...unlimited, cpuMillis: 8000 },
    services: ['a', 'b', 'c', 'd'].map((name) => service(name, unit(100, 1, LASTING), unit(3300, 2, 4)))
  },
  {
    name: 'a gang that does not fit beside lasting runs, and small tasks of another service',
    limit: { ...unlimited, cpuMillis: 8000 },
    services: [service('a', unit(3900, 1, LASTING)), service('c', unit(100, 2, 4))]
  },
  {
    name: '143 services',
    limit: { ...unlimited, cpuMillis: 8000 },
    services: Array.from({ length: 143 }, (_, at) => service(`s${at}`, unit(1000, 1, 1)))
  }
]

describe('division of a limit among services', () => {
  // Guards against services that keep partial grants and wait for each other for ever.
  for (const { name, limit, services } of CASES) {
    it(`starts something of each waiting job: ${name}`, () => {
      for (const seed of SEEDS.slice(0, services.length > 100 ? 1 : SEEDS.length)) {
        const outcome = playQuotaModel(services, limit, drawsOf(seed), ROUNDS + services.length * WRITES_A_SERVICE * ROUNDS_A_WRITE)
        expect(outcome.isLimitKept).to.equal(true)
        expect(outcome.neverStarted, `seed ${seed}: ${JSON.stringify(outcome.claims)}`).to.deep.equal([])
      }
    }).timeout(60_000)
  }

  // A task that does not fit beside lasting runs must not keep what others could use.
  it('starts tasks that fit while an earlier one cannot fit beside lasting runs', () => {
    const limit = { ...unlimited, cpuMillis: 8000 }
    const services = [service('a', unit(3900, 1, LASTING)), service('b', unit(100, 1, 60), unit(4200, 1, 4)), service('c', unit(500, 9, 2))]
    for (const seed of SEEDS) {
      const { neverStarted, isLimitKept } = playQuotaModel(services, limit, drawsOf(seed), ROUNDS)
      expect(isLimitKept).to.equal(true)
      expect(neverStarted.filter(({ unit: { size } }) => size.cpuMillis < 4200)).to.deep.equal([])
    }
  })

  const upTo = (max: number, min = 0): fc.Arbitrary<number> => fc.integer({ min, max })
  const sizeArbitrary = (cpuMillis: number, memoryMb: number, gpus: number): fc.Arbitrary<Resources> =>
    fc.record({ cpuMillis: upTo(cpuMillis, 1), memoryMb: upTo(memoryMb), gpus: upTo(gpus) })
  const unitArbitrary = (size: fc.Arbitrary<Resources>, count: number): fc.Arbitrary<ModelUnit> =>
    fc.record({ size, count: upTo(count, 1), runRounds: upTo(LONGEST_RUN_ROUNDS, 1) })
  const lastingArbitrary = fc.record({ size: sizeArbitrary(15, 8, 0), count: fc.constant(1), runRounds: fc.constant(LASTING) })
  const servicesArbitrary = (units: fc.Arbitrary<ModelUnit[]>): fc.Arbitrary<ModelService[]> =>
    fc.array(fc.record({ units, skewMs: fc.integer({ min: -100, max: 100 }) }), { minLength: 2, maxLength: 6 })
      .map((drawn) => drawn.map((shape, at) => ({ name: `s${at}`, ...shape })))
  const limitArbitrary = fc.record({
    cpuMillis: upTo(250, 100), memoryMb: fc.oneof(fc.constant(Infinity), upTo(120, 50)), gpus: fc.oneof(fc.constant(Infinity), upTo(5, 2))
  })

  interface Property { readonly name: string, readonly services: fc.Arbitrary<ModelService[]>, readonly limit: fc.Arbitrary<Resources> }
  const properties: readonly Property[] = [
    {
      name: 'each job whose tasks end',
      services: servicesArbitrary(fc.array(unitArbitrary(sizeArbitrary(100, 50, 2), 4), { minLength: 1, maxLength: 3 })),
      limit: limitArbitrary
    },
    {
      name: 'each job beside lasting runs of under half of the limit, if its tasks need at most half',
      services: servicesArbitrary(fc.tuple(lastingArbitrary, unitArbitrary(sizeArbitrary(100, 50, 1), 3))),
      limit: fc.record({ cpuMillis: upTo(300, 200), memoryMb: fc.oneof(fc.constant(Infinity), upTo(150, 100)), gpus: upTo(4, 2) })
    }
  ]
  for (const { name, services, limit } of properties) {
    it(`starts ${name}, whatever is drawn`, () => {
      fc.assert(fc.property(services, limit, fc.integer({ min: 1, max: 1e6 }), (drawnServices, drawnLimit, seed) => {
        const outcome = playQuotaModel(drawnServices, drawnLimit, drawsOf(seed), ROUNDS)
        expect(outcome.isLimitKept).to.equal(true)
        expect(outcome.neverStarted).to.deep.equal([])
      }), { numRuns: 3000, seed: 71 })
    }).timeout(60_000)
  }
})
