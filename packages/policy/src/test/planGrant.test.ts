import { expect } from 'chai'
import * as fc from 'fast-check'
import { planGrant, sumGranted, type QuotaClaim, type OwnClaim } from '../lib/quotas/planGrant.js'
import { fitsWithin, least, NO_RESOURCES, plus, type Resources } from '../lib/quotas/resources.js'

const amounts = (cpuMillis: number, memoryMb = 0): Resources => ({ cpuMillis, memoryMb, gpus: 0 })
const LIMIT: Resources = { cpuMillis: 800, memoryMb: Infinity, gpus: Infinity }

interface Shape { readonly granted?: number, readonly used?: number, readonly wanted?: number, readonly first?: number, readonly sinceMs?: number }

function claimOf (service: string, { granted = 0, used = 0, wanted = used, first = 0, sinceMs }: Shape): OwnClaim {
  return { service, granted: amounts(granted), used: amounts(used), wanted: amounts(wanted), first: amounts(first), lackingSinceMs: sinceMs }
}

describe('planGrant', () => {
  const cases: ReadonlyArray<{
    readonly name: string, readonly own: Shape, readonly others?: readonly Shape[], readonly granted: number, readonly usable?: number
  }> = [
    { name: 'nothing running: the idle share of the limit', own: {}, granted: 100 },
    { name: 'a burst: twice what it wants', own: { granted: 100, used: 100, wanted: 300, first: 0 }, granted: 600 },
    { name: 'a burst beyond the limit: the limit', own: { used: 0, wanted: 3000, first: 10 }, granted: 800 },
    { name: 'others hold a part of the limit: the free part', own: { wanted: 3000, first: 10 }, others: [{ granted: 300, used: 300 }], granted: 500 },
    { name: 'less demand than before: the grant stays until another service lacks one', own: { granted: 700, used: 10 }, granted: 700 },
    { name: 'another service lacks a grant: the unused part is given up', own: { granted: 700, used: 10 }, others: [{ wanted: 600, first: 10, sinceMs: 1 }], granted: 10 },
    {
      name: 'another service lacks a grant while all of this one is used: it stays, and nothing starts beyond half of the limit',
      own: { granted: 800, used: 800, wanted: 900, sinceMs: 1 },
      others: [{ wanted: 900, sinceMs: 2 }],
      granted: 800,
      usable: 400
    },
    {
      name: 'both lack a grant: the free part up to half of the limit',
      own: { wanted: 900, first: 10, sinceMs: 2 },
      others: [{ granted: 800, wanted: 900, sinceMs: 1 }],
      granted: 0
    },
    {
      name: 'both lack a grant and the limit has a free part: half of the limit',
      own: { wanted: 900, first: 10, sinceMs: 2 },
      others: [{ granted: 300, wanted: 900, sinceMs: 1 }],
      granted: 405
    },
    {
      name: 'a limit of one task for two services: the one that has waited longer gets it',
      own: { wanted: 700, first: 700, sinceMs: 1 },
      others: [{ wanted: 700, first: 700, sinceMs: 2 }],
      granted: 700
    },
    {
      name: 'a limit of one task for two services: the other gets none',
      own: { wanted: 700, first: 700, sinceMs: 2 },
      others: [{ wanted: 700, first: 700, sinceMs: 1 }],
      granted: 0,
      usable: 0
    },
    {
      name: 'unused rests of five grants that add up to one task: each service gives up its own',
      own: { granted: 160, used: 100 },
      others: [{ wanted: 300, first: 300, sinceMs: 1 }, ...Array.from({ length: 4 }, () => ({ granted: 160 }))],
      granted: 100
    },
    { name: 'a lowered limit: runs continue, and nothing starts', own: { granted: 1200, used: 900, wanted: 2000, sinceMs: 1 }, granted: 900, usable: 0 },
    {
      name: 'a lowered limit that another exceeds: nothing starts',
      own: { granted: 100, used: 0, wanted: 50, first: 50 },
      others: [{ granted: 900 }],
      granted: 50,
      usable: 0
    },
    { name: 'runs placed before there was a limit: they count', own: { granted: 0, used: 300 }, granted: 600 }
  ]
  for (const { name, own, others = [], granted, usable } of cases) {
    it(name, () => {
      const plan = planGrant(claimOf('own', own), others.map((shape, at) => claimOf(`other${at}`, shape)), LIMIT, 0)
      expect(plan.granted.cpuMillis).to.equal(granted)
      if (usable !== undefined) expect(plan.usable.cpuMillis).to.equal(usable)
    })
  }

  it('does not limit resources without a limit', () => {
    const plan = planGrant({ ...claimOf('own', { wanted: 100 }), wanted: amounts(100, 5000) }, [], LIMIT, 0)
    expect(plan.granted.memoryMb).to.be.at.least(5000)
  })

  const NAMES = ['a', 'b', 'c'] as const
  const LIMIT_OF_MODEL: Resources = { cpuMillis: 100, memoryMb: 60, gpus: Infinity }
  const amountsArbitrary = fc.record({ cpuMillis: fc.integer({ min: 0, max: 60 }), memoryMb: fc.integer({ min: 0, max: 40 }), gpus: fc.constant(0) })
  const stepArbitrary = fc.record({
    service: fc.constantFrom(...NAMES),
    waiting: amountsArbitrary,
    task: amountsArbitrary,
    ends: fc.boolean(),
    isOvertaken: fc.boolean(),
    isUnknown: fc.boolean()
  })

  /** Model of a service: resources of its runs and of its waiting tasks. */
  interface Holder { used: Resources, waiting: Resources, first: Resources }

  it('never exceeds the limit by its grants or runs, in any order of changes', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
      const holders = new Map<string, Holder>(NAMES.map((name) => [name, { used: NO_RESOURCES, waiting: NO_RESOURCES, first: NO_RESOURCES }]))
      const claims = new Map<string, QuotaClaim>()
      for (const { service, waiting, task, ends, isOvertaken, isUnknown } of steps) {
        const holder = holders.get(service) as Holder
        if (ends) holder.used = NO_RESOURCES
        Object.assign(holder, { waiting, first: task })
        const known = claims.get(service)
        const own: OwnClaim = {
          service,
          used: holder.used,
          granted: known?.granted ?? NO_RESOURCES,
          wanted: plus(holder.used, waiting),
          first: NO_RESOURCES,
          lackingSinceMs: known?.lackingSinceMs
        }
        const others = [...claims.values()].filter((claim) => claim.service !== service)
        const plan = planGrant(own, others, LIMIT_OF_MODEL, 0)
        const usable = { ...plan.usable, gpus: Infinity }
        const isWritten = !isOvertaken
        if (isWritten) claims.set(service, { ...own, granted: plan.granted, lackingSinceMs: 1 })
        // If the answer of the store is lost, only what was already granted before is usable.
        const mayUse = isWritten && !isUnknown ? usable : { ...least(usable, own.granted), gpus: Infinity }
        if (fitsWithin(plus(holder.used, task), mayUse)) holder.used = plus(holder.used, task)
        expect(fitsWithin(sumGranted([...claims.values()]), LIMIT_OF_MODEL)).to.equal(true)
        const running = [...holders.values()].reduce((sum, { used }) => plus(sum, used), NO_RESOURCES)
        expect(fitsWithin(running, LIMIT_OF_MODEL)).to.equal(true)
      }
    }))
  })

  interface DividedCase {
    readonly name: string
    readonly limitMillis: number
    readonly services: ReadonlyArray<{ readonly recorded: Shape, readonly present: Shape }>
  }

  /** Plans each service by the stored claims and its own current claim, which may not be stored yet. @returns the sum of the grants */
  function dividedMillis ({ services, limitMillis }: DividedCase): number {
    const recorded = services.map((service, at) => claimOf(`s${at}`, service.recorded))
    return services.reduce((sum, { present }, at) => {
      const { granted = 0, sinceMs } = services[at]?.recorded ?? {}
      const own = claimOf(`s${at}`, { granted, sinceMs, ...present })
      const others = recorded.filter((_, other) => other !== at)
      return sum + planGrant(own, others, { ...LIMIT, cpuMillis: limitMillis }, 0, recorded[at]).granted.cpuMillis
    }, 0)
  }

  const waiting = { wanted: 100_000, sinceMs: 1 }
  const divided: readonly DividedCase[] = [
    {
      name: 'one of two services has no run any more, which is not stored yet',
      limitMillis: 1500,
      services: [
        { recorded: { granted: 750, ...waiting }, present: { wanted: 100_000 } },
        { recorded: { granted: 1000, ...waiting }, present: { wanted: 100_000, first: 500 } }
      ]
    },
    {
      name: 'three services whose next tasks differ from the stored claims',
      limitMillis: 1000,
      services: [400, 300, 200].map((first) => ({ recorded: { granted: 700, first: 10, ...waiting }, present: { wanted: 100_000, first } }))
    },
    {
      name: 'an amount that cannot be divided evenly',
      limitMillis: 1001,
      services: ['a', 'b'].map(() => ({ recorded: { granted: 800, ...waiting }, present: { wanted: 100_000 } }))
    }
  ]
  for (const { name, ...claims } of divided) {
    it(`services converge below a lowered limit independently: ${name}`, () => {
      expect(dividedMillis({ name, ...claims })).to.be.at.most(claims.limitMillis)
    })
  }

  it('services converge below a lowered limit independently, whatever is not stored yet', () => {
    const amount = fc.integer({ min: 0, max: 100 })
    const shape = fc.record({ granted: amount, wanted: amount, first: amount, isLacking: fc.boolean() })
    const service = fc.record({ recorded: shape, present: fc.record({ wanted: amount, first: amount, used: amount }) })
    fc.assert(fc.property(fc.array(service, { minLength: 2, maxLength: 5 }), amount, (drawn, limitMillis) => {
      const services = drawn.map(({ recorded: { isLacking, ...recorded }, present }) => {
        const used = Math.min(present.used, recorded.granted)
        return {
          recorded: isLacking ? { ...recorded, sinceMs: 1 } : { granted: recorded.granted },
          present: { used, wanted: used + present.wanted, first: used > 0 ? 0 : present.first }
        }
      })
      const grantedMillis = services.reduce((sum, { recorded }) => sum + recorded.granted, 0)
      const usedMillis = services.reduce((sum, { present }) => sum + present.used, 0)
      fc.pre(grantedMillis > limitMillis)
      expect(dividedMillis({ name: 'drawn', services, limitMillis })).to.be.at.most(limitMillis + usedMillis)
    }))
  })

  it('eventually starts the first task of each service, whatever the others want', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 2, maxLength: 4 }), (sizes) => {
      const limit = amounts(100)
      const claims = new Map<string, OwnClaim>(sizes.map((size, at) => [`s${at}`, claimOf(`s${at}`, { wanted: size * 5, first: size, sinceMs: at })]))
      const hasRun = new Set<string>()
      for (let round = 0; round < 40; round++) {
        for (const [service, claim] of claims) {
          const size = claim.first.cpuMillis === 0 ? claim.used.cpuMillis : claim.first.cpuMillis
          const { granted, usable } = planGrant(claim, [...claims.values()].filter((other) => other !== claim), limit, round)
          const starts = claim.used.cpuMillis === 0 && size <= usable.cpuMillis
          if (starts) hasRun.add(service)
          // One task runs for a round, then waits again behind the others.
          const used = starts ? size : 0
          const sinceMs = starts ? 100 + round : claim.lackingSinceMs ?? 0
          claims.set(service, claimOf(service, { used, granted: granted.cpuMillis, wanted: size * 5, first: used > 0 ? 0 : size, sinceMs }))
        }
      }
      expect([...hasRun]).to.have.length(sizes.length)
    }))
  })
})
