import { expect } from 'chai'
import { countUnavailable, findUnavailability, type AvailabilityContext, type UnavailabilityReason } from '../lib/placement/unavailability.js'
import type { WorkerView } from '../lib/placement/WorkerView.js'

const NOW_MS = 1000
const USABLE = {
  instance: { machineId: 'm', availabilityZone: 'z' },
  acceptsRuns: true,
  clock: { isKnown: true },
  health: { isQuarantined: () => false },
  refusingUntilMs: NOW_MS,
  isRecordedSilent: false,
  isAnswering: () => true
}
const NOTHING: AvailabilityContext = { nowMs: NOW_MS, isMachineDraining: () => false, isEvacuated: () => false }

/** Workers that get no run for several reasons at once show the first. */
const cases: ReadonlyArray<{ worker?: object, context?: Partial<AvailabilityContext>, reason: UnavailabilityReason | undefined }> = [
  { reason: undefined },
  { worker: { acceptsRuns: false, isAnswering: () => false }, context: { isEvacuated: () => true }, reason: 'not-ready' },
  { worker: { isAnswering: () => false }, context: { isEvacuated: (zone) => zone === 'z' }, reason: 'evacuated' },
  { worker: { isAnswering: () => false, clock: { isKnown: false } }, reason: 'silent' },
  { worker: { clock: { isKnown: false } }, reason: 'clock-unknown' },
  { worker: { isRecordedSilent: true }, reason: 'recorded-silent' },
  { worker: { refusingUntilMs: NOW_MS + 1 }, reason: 'refusing' },
  { worker: { health: { isQuarantined: () => true } }, reason: 'quarantined' },
  { context: { isMachineDraining: (machineId) => machineId === 'm' }, reason: 'machine-draining' }
]
const viewOf = (changes: object = {}): WorkerView => ({ ...USABLE, ...changes }) as unknown as WorkerView

describe('findUnavailability', () => {
  for (const { worker, context, reason } of cases) {
    it(`finds ${reason ?? 'nothing'}`, () => expect(findUnavailability(viewOf(worker), { ...NOTHING, ...context })).to.equal(reason))
  }

  it('counts workers by reason, and leaves out usable ones', () => {
    const workers = [viewOf(), viewOf({ acceptsRuns: false }), viewOf({ isRecordedSilent: true }), viewOf({ acceptsRuns: false })]
    expect(countUnavailable(workers, NOTHING)).to.deep.equal({ 'not-ready': 2, 'recorded-silent': 1 })
  })
})
