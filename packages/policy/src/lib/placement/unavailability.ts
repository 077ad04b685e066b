/**
 * Why a worker gets no new runs. Placement, the demand for machines, metrics and logs read the same list.
 *
 * @module
 */
import type { WorkerView } from './WorkerView.js'

/**
 * Why a worker gets no new runs. `not-ready`: unregistered, unreadable or draining; `clock-unknown`: no lease can be granted yet;
 * `silent`: it does not answer; `recorded-silent`: the record of its silence is not removed yet; `refusing`: it refused a run moments ago;
 * `quarantined`: runs of several jobs failed there; `machine-draining`: its machine is to be moved or maintained; `evacuated`: an operator
 * evacuates its availability zone.
 *
 * @public
 */
export type UnavailabilityReason =
  'not-ready' | 'clock-unknown' | 'silent' | 'recorded-silent' | 'refusing' | 'quarantined' | 'machine-draining' | 'evacuated'

/** What the availability of a worker depends on besides its own state. @public */
export interface AvailabilityContext {
  /** Monotonic. */
  readonly nowMs: number
  readonly isMachineDraining: (machineId: string) => boolean
  readonly isEvacuated: (availabilityZone: string) => boolean
}

interface UnavailabilityRule {
  readonly applies: (worker: WorkerView, context: AvailabilityContext) => boolean
  /** Whether the worker still counts as capacity of its service, as the reason passes soon or is accounted for elsewhere. */
  readonly countsAsCapacity: boolean
}

/** Rules in the order in which they are checked; the first that applies is the reason. */
const RULES: Readonly<Record<UnavailabilityReason, UnavailabilityRule>> = {
  'not-ready': { applies: ({ acceptsRuns }) => !acceptsRuns, countsAsCapacity: false },
  evacuated: { applies: ({ instance }, { isEvacuated }) => isEvacuated(instance.availabilityZone), countsAsCapacity: false },
  silent: { applies: (worker, { nowMs }) => !worker.isAnswering(nowMs), countsAsCapacity: false },
  'clock-unknown': { applies: ({ clock }) => !clock.isKnown, countsAsCapacity: true },
  'recorded-silent': { applies: ({ isRecordedSilent }) => isRecordedSilent, countsAsCapacity: true },
  refusing: { applies: ({ refusingUntilMs }, { nowMs }) => nowMs < refusingUntilMs, countsAsCapacity: true },
  quarantined: { applies: ({ health }, { nowMs }) => health.isQuarantined(nowMs), countsAsCapacity: true },
  'machine-draining': { applies: ({ instance }, { isMachineDraining }) => isMachineDraining(instance.machineId), countsAsCapacity: true }
}

const REASONS = Object.keys(RULES) as UnavailabilityReason[]

/**
 * Finds why a worker gets no new runs.
 *
 * @param worker - the worker
 * @param context - the present time, drains and evacuations
 * @returns the first reason that applies, `undefined` if it may get runs
 * @public
 */
export function findUnavailability (worker: WorkerView, context: AvailabilityContext): UnavailabilityReason | undefined {
  return REASONS.find((reason) => RULES[reason].applies(worker, context))
}

/**
 * Counts the workers that get no new runs.
 *
 * @param workers - workers of a service
 * @param context - the present time, drains and evacuations
 * @returns the number of workers by the first reason that applies; reasons of none are left out
 * @public
 */
export function countUnavailable (workers: readonly WorkerView[], context: AvailabilityContext): Partial<Record<UnavailabilityReason, number>> {
  const counts: Partial<Record<UnavailabilityReason, number>> = {}
  for (const worker of workers) {
    const reason = findUnavailability(worker, context)
    if (reason !== undefined) counts[reason] = (counts[reason] ?? 0) + 1
  }
  return counts
}

/**
 * Tells whether a worker counts as capacity of its service.
 *
 * @param worker - the worker
 * @param context - the present time and evacuations
 * @returns false if it can't be expected to take runs soon
 * @public
 */
export function countsAsCapacity (worker: WorkerView, context: AvailabilityContext): boolean {
  const reason = findUnavailability(worker, context)
  return reason === undefined || RULES[reason].countsAsCapacity
}
